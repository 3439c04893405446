/**
 * Limits the calls to the endpoints of a plain service over all hosts of the
 * fleet, each of which sends only a few calls a second. A host admits a
 * fraction of its calls, from the demand and the queueing delay that the hosts
 * of its subset observe. Estimates only: endpoints still reject what they
 * cannot take, and no promise to a caller depends on a limit.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {type LoadReport, type LoadReportDraft} from '@gatehead/schema/relay-message';
import {type Random} from '../utils/random.js';
import {DecayingSum} from '../utils/decaying-sum.js';

/** Endpoints in one report; other parts report as many for the same service, and a report holds twice that. */
const maxReported = 128;
/** Calls that an endpoint queues beyond its slots. */
const endpointQueue = 24;
/** Averaging time of the demand, in milliseconds: a subset of 22 hosts receives about 70 calls in it, a sampling error of 0.12. */
const demandAveragingMs = 500;
/** Averaging time of response times, in milliseconds: half a report interval. Longer ones left more calls late (0.02 at 0.4 s) and less of the capacity used at endpoints of different pace. */
const responseAveragingMs = 250;
/** Averaging time of completions and service times, in milliseconds: long enough for about 50 completions of one endpoint in a subset. */
const serviceAveragingMs = 2000;
/** Time in which an estimated service time may rise by a factor of e, in milliseconds. An endpoint that is closed completes few calls, which looks like a slow one until its queue has drained. */
const serviceRiseMs = 2000;
/** Recent calls from which their mean time bounds the service time. */
const minRecentCalls = 3;
/** Weight of the service time among the response times, in calls; returns an idle endpoint to no delay. */
const idleWeight = 0.5;
/** Time in which a deviation from the wanted queueing delay is corrected, in milliseconds; longer than the age of the reports, so that the correction does not oscillate. */
const correctionMs = 550;
/** Wanted queueing delay as a share of the time that the target leaves after the service time; the rest covers the spread. */
const wantedDelayShare = 0.4;
/** Wanted number of queued calls at most, as a share of the endpoint's queue. */
const wantedQueueShare = 0.4;
/** Share of the target, and of the endpoint's queue, beyond which no call is sent; the rest covers the spread. */
const limitShare = 0.85;
/** Minimum queueing delay, in service times, that is allowed where the service alone takes about the whole target: a late response is worth more than none. */
const minDelayShare = 0.1;
/** Bounds of the correction factor, which keep a wrong estimate from stopping or flooding an endpoint. */
const minCorrection = 0.3;
const maxCorrection = 1.3;
/** Factor on the rate of an endpoint that has just rejected a call. */
const rejectedFactor = 0.5;
/** Share of the wanted delay, on average over the endpoints, below which demand up to `calmFactor` of the allowed rate is admitted whole; sampled demand is off by up to a quarter. */
const calmDelayShare = 0.3;
const calmFactor = 1.25;
/** Minimum fraction of calls admitted, so that response times remain observed. */
const minFraction = 0.05;
/** Credit up to which callers that return after a rejection are sent in advance; the next first attempts pay for it. */
const returnCredit = -2;
const maxCredit = 1;
/** Age at which a peer's calls in flight no longer count, in milliseconds; somewhat longer than the suspicion timeout. */
const peerStateMs = 2500;
/** Time over which promised returns are spread, in milliseconds, if no call is admitted. */
const returnSpreadMs = 400;
/** Share of the admitted calls for which a return may be promised. Returns take the places of first attempts, so that under lasting overload promising all of them would reject every first attempt once. */
const promisedShare = 0.1;
/** Returns that a host may promise at once. */
const maxPromises = 3;
/** Retry time without a promise, in milliseconds: about half of a peak of 4 to 5 s. */
const unpromisedMs = 2000;

export type CallEndpoint = Pick<Endpoint, 'id' | 'slots'>;

export type CallLimitsOptions = {
	readonly random: Random;
	/** Hosts of the fleet per host whose load is known here; 1 in an undivided fleet. */
	readonly hostRatio: () => number;
	/** Service time of an endpoint relative to the average; the initial estimate until calls to it have completed. */
	readonly paceOf?: ((endpoint: string, now: number) => number) | undefined;
};

/** Requirements of a call. */
export type CallRequest = {
	/** Endpoints that the call may be sent to, best first. */
	readonly candidates: readonly CallEndpoint[];
	readonly targetMs: number;
	/** Whether its caller returns after a rejection. */
	readonly isReturn: boolean;
};

/** What is estimated of one endpoint. */
export type CallEstimate = {
	readonly serviceMs: number;
	readonly delayMs: number;
	/** Calls that may be in flight there, over all hosts. */
	readonly limit: number;
	/** Calls per millisecond that all hosts may send. */
	readonly rate: number;
	/** Whether its calls in flight are below the limit. */
	readonly hasRoom: boolean;
};

/** When a rejected caller should return. */
export type CallReturn = {
	readonly waitMs: number;
	/** Whether a place is expected then; the return goes ahead of first attempts. */
	readonly isPromised: boolean;
};

/** Limits of one service as one host applies them. */
export class CallLimits {
	readonly #options: CallLimitsOptions;
	readonly #loads = new Map<string, EndpointLoad>();
	readonly #peers = new Map<string, PeerCalls>();
	readonly #demand: DecayingSum;
	#credit: number;
	/** Returns that may still be promised. */
	#promises = 1;
	#newArrivals = 0;

	constructor(options: CallLimitsOptions, now: number) {
		this.#options = options;
		this.#demand = new DecayingSum(demandAveragingMs, now);
		// Hosts that start together must not send in step
		this.#credit = options.random.next();
	}

	/** Counts a call that arrives, and adds the admitted fraction to the credit. */
	recordArrival(request: CallRequest, now: number): void {
		this.#demand.add(1, now);
		this.#newArrivals += 1;
		const fraction = this.fraction(request, now);
		// Credit that grew while all calls are admitted would let all hosts exceed the rate together when demand rises
		if (fraction < 1) {
			this.#credit = Math.min(maxCredit, this.#credit) + fraction;
			this.#promises = Math.min(maxPromises, this.#promises + (promisedShare * fraction));
		}
	}

	/** Takes a place for a call: returns the endpoint to send it to, or undefined if it has to wait. */
	take(request: CallRequest, now: number): CallEndpoint | undefined {
		const isWhole = this.fraction(request, now) >= 1;
		if (!isWhole && this.#credit < (request.isReturn ? returnCredit : 1)) {
			return undefined;
		}

		const chosen = this.choose(request, now);
		if (chosen !== undefined && !isWhole) {
			this.#credit -= 1;
		}

		return chosen;
	}

	/** Chooses an endpoint with room at random, in proportion to the allowed rates. */
	choose({candidates, targetMs}: CallRequest, now: number): CallEndpoint | undefined {
		const weighted = candidates.map(endpoint => {
			const estimate = this.estimate(endpoint, targetMs, now);
			const weight = estimate === undefined ? 1 : estimate.rate / (1 + (this.#loads.get(endpoint.id)?.inFlight ?? 0));
			return {endpoint, weight: estimate?.hasRoom === false ? 0 : weight};
		});
		let left = this.#options.random.next() * weighted.reduce((sum, {weight}) => sum + weight, 0);
		for (const {endpoint, weight} of weighted) {
			left -= weight;
			if (weight > 0 && left < 0) {
				return endpoint;
			}
		}

		return undefined;
	}

	/** Fraction of the calls that are admitted now. */
	fraction({candidates, targetMs}: CallRequest, now: number): number {
		let rate = 0;
		let delayShares = 0;
		for (const candidate of candidates) {
			const estimate = this.estimate(candidate, targetMs, now);
			if (estimate === undefined) {
				return 1;
			}

			rate += estimate.hasRoom ? estimate.rate : 0;
			delayShares += estimate.delayMs / wantedDelayMs(candidate, estimate.serviceMs, targetMs);
		}

		const isCalm = delayShares < calmDelayShare * candidates.length;
		const demand = this.#demand.perMs(now) * this.#options.hostRatio();
		if (demand <= rate * (isCalm ? calmFactor : 1)) {
			return 1;
		}

		return Math.max(minFraction, rate / demand);
	}

	/** Estimates an endpoint; undefined if nothing is known of any. */
	estimate(endpoint: CallEndpoint, targetMs: number, now: number): CallEstimate | undefined {
		const load = this.#loads.get(endpoint.id);
		const slots = Math.max(1, endpoint.slots);
		const serviceMs = load?.serviceMs(slots, this.#options.hostRatio(), now) ?? this.#expectedServiceMs(endpoint.id, now);
		if (serviceMs === undefined) {
			return undefined;
		}

		const delayMs = load?.delayMs(serviceMs, now) ?? 0;
		const limit = limitOf(slots, serviceMs, targetMs);
		const correction = 1 + ((wantedDelayMs(endpoint, serviceMs, targetMs) - delayMs) / correctionMs);
		const rejection = load?.isRejecting(now) ? rejectedFactor : 1;
		const inFlight = this.#countInFlight(endpoint.id, now);
		return {
			serviceMs,
			delayMs,
			limit,
			rate: rejection * slots / serviceMs * Math.min(maxCorrection, Math.max(minCorrection, correction)),
			hasRoom: slots * (1 + (delayMs / serviceMs)) <= limit && inFlight.atLeast < limit,
		};
	}

	/** Plans the return of a rejected caller. Without a promise its time is that of a later attempt, when the peak has probably passed. */
	planReturn(request: CallRequest, now: number): CallReturn {
		if (this.#promises < 1) {
			return {waitMs: unpromisedMs, isPromised: false};
		}

		this.#promises -= 1;
		const delays = request.candidates.map(each => this.estimate(each, request.targetMs, now)?.delayMs ?? 0);
		return {waitMs: Math.min(...delays, request.targetMs) + ((1 - this.fraction(request, now)) * returnSpreadMs), isPromised: true};
	}

	/** Counts a call sent to an endpoint; the returned function ends it, with its duration if it had a complete response. */
	begin({id}: CallEndpoint, now: number): (now: number, tookMs?: number) => void {
		const load = this.#loadOf(id, now);
		load.inFlight += 1;
		return (endedAt, tookMs) => {
			load.inFlight -= 1;
			if (tookMs !== undefined) {
				load.record(1, tookMs, endedAt);
				load.newCalls += 1;
				load.newCallMs += tookMs;
			}
		};
	}

	/** Lowers an endpoint's rate after it rejected a call, for the time in which its queue drains. */
	recordRejection(endpoint: CallEndpoint, targetMs: number, now: number): void {
		const serviceMs = this.estimate(endpoint, targetMs, now)?.serviceMs ?? targetMs;
		this.#loadOf(endpoint.id, now).rejectingUntil = now + (endpointQueue * serviceMs / Math.max(1, endpoint.slots));
	}

	/** Fields for the load report: all calls in flight, and what happened since the previous report. */
	collect(): Partial<LoadReportDraft> {
		const loads = [...this.#loads].slice(0, maxReported);
		const arrivals = this.#newArrivals;
		this.#newArrivals = 0;
		return {
			arrivals,
			inFlight: loads.filter(([, {inFlight}]) => inFlight > 0).map(([endpoint, {inFlight}]) => ({endpoint, count: inFlight})),
			paces: loads.flatMap(([endpoint, load]) => load.takePaces(endpoint)),
		};
	}

	/** Merges another host's report. */
	receive(host: string, {arrivals, inFlight, paces}: Pick<LoadReport, 'arrivals' | 'inFlight' | 'paces'>, now: number): void {
		this.#demand.add(arrivals, now);
		this.#peers.set(host, {at: now, inFlight: new Map(inFlight.map(({endpoint, count}) => [endpoint, count]))});
		for (const {endpoint, activity, units, totalMs} of paces) {
			if (activity === 'call') {
				this.#loadOf(endpoint, now).record(units, totalMs, now);
			}
		}
	}

	/** Drops the endpoints that are not listed any more, and the state of hosts that no longer report. */
	prune(known: ReadonlySet<string>, now: number): void {
		for (const [id, {inFlight}] of this.#loads) {
			if (!known.has(id) && inFlight === 0) {
				this.#loads.delete(id);
			}
		}

		for (const [host, {at}] of this.#peers) {
			if (now - at >= peerStateMs) {
				this.#peers.delete(host);
			}
		}
	}

	/** Service time of an endpoint without completed calls: the average of the others, by its pace. */
	#expectedServiceMs(id: string, now: number): number | undefined {
		const known = [...this.#loads.values()].map(load => load.meanMs(now)).filter(each => each !== undefined);
		return known.length === 0 ? undefined : known.reduce((sum, each) => sum + each, 0) / known.length * (this.#options.paceOf?.(id, now) ?? 1);
	}

	/** Calls in flight at an endpoint over all hosts: at least, given the sampling error of a subset. */
	#countInFlight(id: string, now: number): {readonly atLeast: number} {
		let counted = this.#loads.get(id)?.inFlight ?? 0;
		for (const {at, inFlight} of this.#peers.values()) {
			counted += now - at < peerStateMs ? inFlight.get(id) ?? 0 : 0;
		}

		const ratio = this.#options.hostRatio();
		const samplingError = ratio > 1 ? 2 * Math.sqrt(counted) : 0;
		return {atLeast: ratio * Math.max(0, counted - samplingError)};
	}

	#loadOf(id: string, now: number): EndpointLoad {
		let load = this.#loads.get(id);
		if (load === undefined) {
			load = new EndpointLoad(now);
			this.#loads.set(id, load);
		}

		return load;
	}
}

/** Calls of a peer in flight, by endpoint. */
type PeerCalls = {
	readonly at: number;
	readonly inFlight: ReadonlyMap<string, number>;
};

/** Observed calls of one endpoint. */
class EndpointLoad {
	inFlight = 0;
	rejectingUntil = Number.NEGATIVE_INFINITY;
	/** Own calls completed since the last report. */
	newCalls = 0;
	newCallMs = 0;
	readonly #recentCalls: DecayingSum;
	readonly #recentMs: DecayingSum;
	readonly #calls: DecayingSum;
	readonly #callMs: DecayingSum;
	/** Last estimate of the service time, and when it was made. */
	#serviceMs = Number.POSITIVE_INFINITY;
	#serviceAt = 0;

	constructor(now: number) {
		this.#recentCalls = new DecayingSum(responseAveragingMs, now);
		this.#recentMs = new DecayingSum(responseAveragingMs, now);
		this.#calls = new DecayingSum(serviceAveragingMs, now);
		this.#callMs = new DecayingSum(serviceAveragingMs, now);
	}

	record(calls: number, totalMs: number, now: number): void {
		this.#recentCalls.add(calls, now);
		this.#recentMs.add(totalMs, now);
		this.#calls.add(calls, now);
		this.#callMs.add(totalMs, now);
	}

	isRejecting(now: number): boolean {
		return now < this.rejectingUntil;
	}

	/** Mean time of a call; undefined before the first. */
	meanMs(now: number): number | undefined {
		const calls = this.#calls.at(now);
		return calls > 0 ? this.#callMs.at(now) / calls : undefined;
	}

	/** Service time: the mean time of a call, or, at saturation, the slots per completion rate. */
	serviceMs(slots: number, hostRatio: number, now: number): number | undefined {
		const meanMs = this.meanMs(now);
		if (meanMs === undefined) {
			return undefined;
		}

		const recentCalls = this.#recentCalls.at(now);
		const recentMs = recentCalls >= minRecentCalls ? this.#recentMs.at(now) / recentCalls : meanMs;
		const measuredMs = Math.min(meanMs, recentMs, slots / (this.#calls.perMs(now) * hostRatio));
		const mostMs = this.#serviceMs * Math.exp((now - this.#serviceAt) / serviceRiseMs);
		this.#serviceMs = Math.min(measuredMs, mostMs);
		this.#serviceAt = now;
		return this.#serviceMs;
	}

	/** Mean queueing delay of recent calls. */
	delayMs(serviceMs: number, now: number): number {
		const totalMs = this.#recentMs.at(now) + (idleWeight * serviceMs);
		return Math.max(0, (totalMs / (this.#recentCalls.at(now) + idleWeight)) - serviceMs);
	}

	/** Own calls since the last report. */
	takePaces(endpoint: string): NonNullable<LoadReportDraft['paces']> {
		const units = this.newCalls;
		const totalMs = this.newCallMs;
		this.newCalls = 0;
		this.newCallMs = 0;
		if (units === 0) {
			return [];
		}

		return [{
			endpoint, activity: 'call', units, totalMs,
		}];
	}
}

/** Calls that may be in flight at an endpoint: those that finish within the target and fit into its queue. */
function limitOf(slots: number, serviceMs: number, targetMs: number): number {
	const timely = slots * limitShare * targetMs / serviceMs;
	return Math.min(slots + (limitShare * endpointQueue), Math.max(timely, slots * (1 + minDelayShare)));
}

/** Queueing delay at which an endpoint is neither idle nor late. */
function wantedDelayMs({slots}: CallEndpoint, serviceMs: number, targetMs: number): number {
	const queueMs = wantedQueueShare * endpointQueue * serviceMs / Math.max(1, slots);
	return Math.min(queueMs, Math.max(minDelayShare * serviceMs, wantedDelayShare * (targetMs - serviceMs)));
}
