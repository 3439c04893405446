/**
 * Load of a candidate endpoint for one request, by when the request is
 * expected to get its first event and to finish there. Loads are in units of a
 * full endpoint, as in placement.ts. Endpoints that would miss a target come
 * last, but are not excluded: a late response is worth more than none.
 */
import {type Random} from '../utils/random.js';

/** Time per event at full memory, beyond that with an empty batch. The stand-in engine takes 1.1 more with 12 streams, the engines of some deployments take none. */
const batchSlowdown = 0.4;
/** Share of the gap target that the mean gap may take: the longest of some seventy gaps exceeds the mean. */
const gapShare = 0.7;
/** Fraction of the target below which a request has no slack. */
const minSlackShare = 0.5;
/** Load that a request without slack accepts for each unit of pace. */
const tightPaceWeight = 0.3;
/** Load of an endpoint at which a request misses one of its targets: above any load that it can have otherwise. */
const missCost = 2;
/** Pace above which a replica gets only probes and what no other one takes. A deployment with replicas at 0.7 and 1.7 of the nominal pace has some at 2.4 times the median, and those have to be used. */
const maxPace = 3.5;
/** Maximum factor of the expected hold time: that of the slowest replicas that get more than probes. */
const maxHoldFactor = 2.5;
/** Share of the requests with slack that probe an endpoint which is known as slow. At 0.04, a subset with nine calls a second took longer than 3 s to find that an endpoint had recovered. */
const probeShare = 0.06;
/** Time without an observation after which an endpoint needs a probe, in milliseconds: more than one report interval. */
const probeAfterMs = 800;
/** Pace above which an endpoint needs probes; others get requests anyway. */
const minProbePace = 1.3;

/** What is known of one candidate. */
export type Candidate = {
	/** Fraction of its memory, or of its slots, that is in use by the requests of all hosts. */
	readonly fill: number;
	/** Time per unit, relative to the service; below 1 is faster. */
	readonly pace: number;
};

/** What a stream needs of its decode replica; times are in milliseconds. */
export type StreamNeeds = {
	/** Median time per event of the service; undefined if unknown. */
	readonly eventMs: number | undefined;
	/** Events expected. */
	readonly events: number;
	/** Time until the target for the first event, and that target. */
	readonly firstLeftMs: number;
	readonly targetMs: number;
	/** Time until the deadline. */
	readonly leftMs: number;
	/** Maximum gap between events; undefined: none. */
	readonly gapTargetMs: number | undefined;
};

/** How long a probe target was not observed, and its pace. */
export type ProbeTarget = {
	readonly pace: number;
	readonly unobservedMs: number;
};

/** Factor by which a batch that takes `fill` of the memory lengthens the time per event. */
export function batchFactor(fill: number): number {
	return 1 + (batchSlowdown * Math.min(1, Math.max(0, fill)));
}

/** Whether a request has time to spare before its target. A continuation, whose target has passed, has none. */
export function hasSlack(firstLeftMs: number, targetMs: number): boolean {
	return firstLeftMs >= minSlackShare * targetMs;
}

/** Load of a decode replica for a stream. */
export function decodeLoad({fill, pace}: Candidate, {eventMs, events, firstLeftMs, targetMs, leftMs, gapTargetMs}: StreamNeeds): number {
	if (eventMs === undefined) {
		return fill;
	}

	const isTight = !hasSlack(firstLeftMs, targetMs);
	const expectedEventMs = eventMs * pace * batchFactor(fill);
	const misses = [
		pace > maxPace,
		gapTargetMs !== undefined && expectedEventMs > gapShare * gapTargetMs,
		expectedEventMs * events > leftMs,
		// Past the target, every replica misses it
		isTight && firstLeftMs > 0 && expectedEventMs > firstLeftMs,
	];
	return fill + (isTight ? tightPaceWeight * (pace - 1) : 0) + (missCost * misses.filter(Boolean).length);
}

/** Factor by which streams at a replica hold their memory longer than average ones. Bounded, since streams at a replica that recovers end sooner than expected, and their memory would keep it from getting new ones. */
export function holdFactor(pace: number): number {
	return Math.min(pace, maxHoldFactor);
}

/** Load of a plain endpoint: the expected response time relative to that of an idle endpoint of average pace, less 1. */
export function callLoad({fill, pace}: Candidate): number {
	return (pace * (1 + fill)) - 1;
}

/** Index of the candidate that this request should probe, or undefined. Only requests with slack probe. */
export function chooseProbe(targets: readonly ProbeTarget[], random: Random): number | undefined {
	let chosen: number | undefined;
	let longestMs = probeAfterMs;
	for (const [index, {pace, unobservedMs}] of targets.entries()) {
		if (pace >= minProbePace && unobservedMs > longestMs) {
			chosen = index;
			longestMs = unobservedMs;
		}
	}

	return chosen !== undefined && random.next() < probeShare ? chosen : undefined;
}
