/**
 * Estimates how many requests' memory a service releases per second for the
 * hosts of a subset, from the completed requests of all of them. One host sees
 * a stream in three seconds, so its own observations do not converge.
 */
import {type LoadReport} from '@gatehead/schema/relay-message';
import {HalfLifeSum} from '../utils/half-life-sum.js';

/** Half-life of the observed memory and hold times, in milliseconds. A much longer one would include the times of endpoints that have recovered since. */
const holdHalfLifeMs = 10_000;
/** Half-life of the observed release rate, in milliseconds: half the time for which a request holds its memory, after which releases follow other admissions. */
const rateHalfLifeMs = 1500;
/** Weight of the modelled rate, in seconds of observed shortage. */
const modelSeconds = 0.5;
/** Weight of the prior, in requests. */
const priorRequests = 2;
/** Prior time for which a request holds its memory, in milliseconds: a stream of 70 events of 75 tokens at the nominal pace, and its prefill. */
const priorHoldMs = 3300;
/** Prior memory of a request, in tokens, until the first one arrives. */
const priorTokens = 10_000;
const millisecondsPerSecond = 1000;

/** Memory that serves the hosts of the subset. */
export type ServiceCapacity = {
	/** Decode replicas of the whole fleet. */
	readonly replicas: number;
	/** Hosts in the subset over hosts in the fleet. */
	readonly subsetFraction: number;
	/** Memory of one replica, in tokens. */
	readonly capacityTokens: number;
	/** Concurrent requests of one replica; unknown if absent. */
	readonly slots?: number | undefined;
};

type Holds = NonNullable<LoadReport['holds']>;

/** Release rate of one service. */
export class FleetReleases {
	readonly #count = new HalfLifeSum(holdHalfLifeMs);
	readonly #tokens = new HalfLifeSum(holdHalfLifeMs);
	readonly #heldMs = new HalfLifeSum(holdHalfLifeMs);
	readonly #shortCount = new HalfLifeSum(rateHalfLifeMs);
	readonly #shortSeconds = new HalfLifeSum(rateHalfLifeMs);
	#priorTokens = priorTokens;
	#unreported: Holds = {count: 0, tokens: 0, heldMs: 0};
	/** Completed requests in the current interval. */
	#completed = 0;
	#measuredAt: number | undefined;

	/** Sets the memory of a request to assume before any has completed, in tokens. */
	setPriorTokens(tokens: number): void {
		this.#priorTokens = tokens;
	}

	/** Records a completed request of this host. */
	note(tokens: number, heldMs: number, now: number): void {
		const {count, tokens: sum, heldMs: held} = this.#unreported;
		this.#unreported = {count: count + 1, tokens: sum + tokens, heldMs: held + heldMs};
		this.receive({count: 1, tokens, heldMs}, now);
	}

	/** Records completed requests of a peer. */
	receive({count, tokens, heldMs}: Holds, now: number): void {
		this.#count.add(count, now);
		this.#tokens.add(tokens, now);
		this.#heldMs.add(heldMs, now);
		this.#completed += count;
	}

	/** Returns the completed requests since the previous call; undefined if there are none. */
	takeHolds(): Holds | undefined {
		const holds = this.#unreported;
		this.#unreported = {count: 0, tokens: 0, heldMs: 0};
		return holds.count > 0 ? holds : undefined;
	}

	/** Closes an interval of the observed rate. It counts only if memory was short throughout, since otherwise completions follow demand. */
	measure(isShort: boolean, now: number): void {
		if (isShort && this.#measuredAt !== undefined) {
			this.#shortCount.add(this.#completed, now);
			this.#shortSeconds.add((now - this.#measuredAt) / millisecondsPerSecond, now);
		}

		this.#completed = 0;
		this.#measuredAt = isShort ? now : undefined;
	}

	/** Mean memory of a request, in tokens. */
	meanTokens(now: number): number {
		return (this.#tokens.valueAt(now) + (priorRequests * this.#priorTokens)) / (this.#count.valueAt(now) + priorRequests);
	}

	/** Mean time for which a request holds its memory, in milliseconds. */
	meanHoldMs(now: number): number {
		return (this.#heldMs.valueAt(now) + (priorRequests * priorHoldMs)) / (this.#count.valueAt(now) + priorRequests);
	}

	/** Returns how many requests' memory is released per second for the hosts of the subset while memory is short. */
	perSecond(capacity: ServiceCapacity, now: number): number {
		const seconds = this.#shortSeconds.valueAt(now);
		return ((modelSeconds * this.#modelPerSecond(capacity, now)) + this.#shortCount.valueAt(now)) / (modelSeconds + seconds);
	}

	#modelPerSecond({replicas, subsetFraction, capacityTokens, slots}: ServiceCapacity, now: number): number {
		const perReplica = Math.max(1, Math.min(slots ?? Number.POSITIVE_INFINITY, capacityTokens / this.meanTokens(now)));
		return Math.max(1, replicas) * subsetFraction * perReplica * millisecondsPerSecond / this.meanHoldMs(now);
	}
}
