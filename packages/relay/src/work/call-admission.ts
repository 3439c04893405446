/**
 * Admits calls to plain services whose load is managed: chooses the endpoint
 * of each attempt by the limits over all hosts, and keeps the calls that find
 * no place. Safety: a call that is rejected here has not been sent by this
 * attempt; whether an earlier one may have run is for the caller to check.
 */
import {
	CallLimits, type CallEstimate, type CallRequest,
} from '@gatehead/policy/relay/call-limits';
import {CallQueue, latestSendAt, type WaitingCall} from '@gatehead/policy/relay/call-queue';
import {retryAfterWait} from '@gatehead/policy/relay/retry-after';
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter} from '@gatehead/policy/utils/random';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {type LoadGossip, type LoadReportPart} from '../peer/load-gossip.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type Job} from './job.js';

/** Interval at which waiting calls are offered to the endpoints, in milliseconds: a third of a usual service time. */
const serveIntervalMs = 20;
/** Jitter of a retry time that is not promised. */
const unpromisedJitter = 0.3;
/** Time after which the number of hosts is counted again, in milliseconds; counting takes a pass over all members. */
const hostCountMs = 250;
/** Multiple of the expected duration from which a call is overdue; the service times of an endpoint differ by less. */
const overdueFactor = 2;

/** The parts of a job that its admission depends on. */
export type AdmittedJob = Pick<Job, 'arrivedAt' | 'deadlineAt' | 'isCallerRetry' | 'signal'> & {
	readonly service: Pick<Job['service'], 'name'>;
	readonly route: Pick<Job['route'], 'targetMs'>;
};

/** Why an attempt is made: the first of a call, a repeat of one that failed, or a hedge. */
export type AttemptKind = 'first' | 'repeat' | 'hedge';

export type CallAdmissionResult
	= | {readonly kind: 'granted'; readonly endpoint: Endpoint}
		| {readonly kind: 'refused'; readonly retryAfterMs: number}
		| {readonly kind: 'aborted'};

export type CallAdmissionParts = {
	readonly context: Pick<RelayContext, 'clock' | 'metrics' | 'random'>;
	readonly endpoints: Pick<Endpoints, 'isUsable'> & {readonly book: Pick<Endpoints['book'], 'listReady'>};
	readonly news: Pick<LoadGossip, 'fleetSize' | 'subsetSize'>;
	/** Whether the active configuration calls for load management. */
	readonly isManaged: () => boolean;
	/** Whether calls wait for a place and are rejected early; otherwise they are placed only. */
	readonly isLimiting: boolean;
	/** Service time of an endpoint relative to the average; the initial estimate until calls to it have completed. */
	readonly paceOf?: (endpoint: string, now: number) => number;
	/** Called with the duration of a call whose response shows how long calls take at its endpoint, in milliseconds. */
	readonly onDuration?: (endpoint: Endpoint, tookMs: number) => void;
};

type AdmittedRequest = Omit<CallRequest, 'candidates'> & {readonly candidates: readonly Endpoint[]};

type QueuedCall = WaitingCall & {
	readonly request: AdmittedRequest;
	readonly resolve: (result: CallAdmissionResult) => void;
	readonly job: AdmittedJob;
};

/** Limits and waiting calls of one service. */
type ServiceCalls = {
	readonly limits: CallLimits;
	readonly queue: CallQueue<QueuedCall>;
};

export class CallAdmission {
	/** Contribution to the load reports. */
	readonly reports: LoadReportPart = {
		collect: (service, now) => {
			const limits = this.#services.get(service)?.limits;
			limits?.prune(new Set(this.#parts.endpoints.book.listReady(service).map(({id}) => id)), now);
			return limits?.collect() ?? {};
		},
		receive: (host, service, report, now) => {
			// A model service has no calls; its reports must not create limits
			if (this.#services.has(service) || report.arrivals > 0 || report.inFlight.length > 0) {
				this.#callsOf(service).limits.receive(host, report, now);
				this.#serve(service);
			}
		},
	};

	readonly #parts: CallAdmissionParts;
	readonly #services = new Map<string, ServiceCalls>();
	readonly #handlers: Readonly<Record<AttemptKind, (job: AdmittedJob, request: AdmittedRequest) => Promise<CallAdmissionResult> | CallAdmissionResult | undefined>> = {
		first: async (job, request) => this.#admitFirst(job, request),
		repeat: (job, request) => this.#admitRepeat(job, request),
		hedge: (job, request) => this.#admitHedge(job, request),
	};

	#hostRatio = 1;
	#hostsCountedAt = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	constructor(parts: CallAdmissionParts) {
		this.#parts = parts;
	}

	/** Whether calls are admitted here; otherwise they are sent as they come. */
	get isManaged(): boolean {
		return this.#parts.isManaged();
	}

	/** Number of waiting calls, over all services. */
	get waiting(): number {
		let waiting = 0;
		for (const {queue} of this.#services.values()) {
			waiting += queue.size;
		}

		return waiting;
	}

	/** Chooses the endpoint of an attempt among `ordered`, the endpoints that the call was not sent to yet, best first. Undefined: there is none, or the hedge has to be left out. */
	async admit(job: AdmittedJob, kind: AttemptKind, ordered: readonly Endpoint[]): Promise<CallAdmissionResult | undefined> {
		const usable = ordered.filter(({id}) => this.#parts.endpoints.isUsable(id));
		const request = {candidates: usable.length > 0 ? usable : ordered, targetMs: job.route.targetMs, isReturn: job.isCallerRetry};
		if (ordered.length === 0) {
			return undefined;
		}

		return this.#parts.isLimiting ? this.#handlers[kind](job, request) : this.#place(job, kind, request);
	}

	/** Counts an attempt at an endpoint. The returned function ends it; `isMeasured`: its duration says how long calls take there. */
	begin(service: string, endpoint: Endpoint): (isMeasured: boolean) => void {
		const {clock} = this.#parts.context;
		const startedAt = clock.now();
		const end = this.#callsOf(service).limits.begin(endpoint, startedAt);
		return isMeasured => {
			const now = clock.now();
			end(now, isMeasured ? now - startedAt : undefined);
			if (isMeasured) {
				this.#parts.onDuration?.(endpoint, now - startedAt);
			}

			this.#serve(service);
		};
	}

	/** Lowers the limit of an endpoint that rejected a call. */
	recordRejection({service, route}: AdmittedJob, endpoint: Endpoint): void {
		this.#callsOf(service.name).limits.recordRejection(endpoint, route.targetMs, this.#parts.context.clock.now());
	}

	/** Time after which a call to an endpoint is overdue by the durations observed there, in milliseconds; 0: none are known. */
	overdueMs({service, route}: AdmittedJob, endpoint: Endpoint): number {
		const estimate = this.#callsOf(service.name).limits.estimate(endpoint, route.targetMs, this.#parts.context.clock.now());
		return estimate === undefined ? 0 : overdueFactor * finishMs(estimate);
	}

	/** Rejects the waiting calls. */
	close(): void {
		this.#timer?.stop();
		for (const {queue} of this.#services.values()) {
			for (const call of queue.list()) {
				this.#refuse(call);
			}
		}
	}

	/** Chooses an endpoint without limiting the calls; a hedge needs one with room. */
	#place({service}: AdmittedJob, kind: AttemptKind, request: AdmittedRequest): CallAdmissionResult | undefined {
		const chosen = this.#callsOf(service.name).limits.choose(request, this.#parts.context.clock.now());
		const fallback = kind === 'hedge' ? undefined : request.candidates[0];
		const endpoint = request.candidates.find(({id}) => id === chosen?.id) ?? fallback;
		return endpoint === undefined ? undefined : {kind: 'granted', endpoint};
	}

	async #admitFirst(job: AdmittedJob, request: AdmittedRequest): Promise<CallAdmissionResult> {
		const {clock} = this.#parts.context;
		const {limits, queue} = this.#callsOf(job.service.name);
		const now = clock.now();
		limits.recordArrival(request, now);
		const finish = Math.min(...request.candidates.map(each => finishMs(limits.estimate(each, request.targetMs, now))));
		return new Promise<CallAdmissionResult>(resolve => {
			const leave = () => {
				call.resolve({kind: 'aborted'});
			};

			const call: QueuedCall = {
				request,
				job,
				isReturn: request.isReturn,
				sendBy: latestSendAt({arrivedAt: job.arrivedAt, targetMs: request.targetMs}, finish),
				resolve: result => {
					job.signal.removeEventListener('abort', leave);
					queue.remove(call);
					this.#parts.context.metrics.add('callAdmissions', {outcome: result.kind === 'granted' && clock.now() > now ? 'waited' : result.kind});
					resolve(result);
				},
			};
			job.signal.addEventListener('abort', leave, {once: true});
			queue.add(call);
			this.#serve(job.service.name);
		});
	}

	/** Admits a repeat where an endpoint has room; it takes the place of the attempt that failed. */
	#admitRepeat(job: AdmittedJob, request: AdmittedRequest): CallAdmissionResult {
		const chosen = this.#callsOf(job.service.name).limits.choose(request, this.#parts.context.clock.now());
		const endpoint = request.candidates.find(({id}) => id === chosen?.id);
		return endpoint === undefined ? {kind: 'refused', retryAfterMs: this.#returnMs(job, request)} : {kind: 'granted', endpoint};
	}

	/** Admits a hedge below the capacity only, and where an endpoint has room. */
	#admitHedge(job: AdmittedJob, request: AdmittedRequest): CallAdmissionResult | undefined {
		const {limits} = this.#callsOf(job.service.name);
		const now = this.#parts.context.clock.now();
		const chosen = limits.fraction(request, now) < 1 ? undefined : limits.choose(request, now);
		const endpoint = request.candidates.find(({id}) => id === chosen?.id);
		return endpoint === undefined ? undefined : {kind: 'granted', endpoint};
	}

	/** Sends the waiting calls that have a place, and rejects those that can no longer finish in time. */
	#serve(service: string): void {
		const calls = this.#services.get(service);
		if (calls === undefined || calls.queue.size === 0) {
			return;
		}

		const {limits, queue} = calls;
		const now = this.#parts.context.clock.now();
		for (const call of queue.list()) {
			const chosen = limits.take(call.request, now);
			const endpoint = call.request.candidates.find(({id}) => id === chosen?.id);
			if (endpoint !== undefined) {
				call.resolve({kind: 'granted', endpoint});
			}
		}

		for (const call of queue.expire(now)) {
			this.#refuse(call);
		}

		this.#schedule();
	}

	#refuse(call: QueuedCall): void {
		call.resolve({kind: 'refused', retryAfterMs: this.#returnMs(call.job, call.request)});
	}

	#returnMs(job: AdmittedJob, request: CallRequest): number {
		const {clock, random} = this.#parts.context;
		const {waitMs, isPromised} = this.#callsOf(job.service.name).limits.planReturn(request, clock.now());
		// Limiting an unpromised time to what callers wait would bring them back to a second rejection
		return isPromised ? retryAfterWait(waitMs, Math.max(0, job.deadlineAt - clock.now()), random) : jitter(random, waitMs, unpromisedJitter);
	}

	#schedule(): void {
		if (this.#timer !== undefined || this.waiting === 0) {
			return;
		}

		const {clock} = this.#parts.context;
		const expiries = [...this.#services.values()].map(({queue}) => queue.nextExpiry() ?? Number.POSITIVE_INFINITY);
		this.#timer = clock.after(Math.min(serveIntervalMs, ...expiries.map(at => at - clock.now())), () => {
			this.#timer = undefined;
			for (const service of this.#services.keys()) {
				this.#serve(service);
			}
		});
	}

	#callsOf(service: string): ServiceCalls {
		let calls = this.#services.get(service);
		if (calls === undefined) {
			const {context: {clock, random}, paceOf} = this.#parts;
			calls = {limits: new CallLimits({random, hostRatio: () => this.#countHosts(), paceOf}, clock.now()), queue: new CallQueue()};
			this.#services.set(service, calls);
		}

		return calls;
	}

	/** Hosts of the fleet per host of the subset. */
	#countHosts(): number {
		const now = this.#parts.context.clock.now();
		if (now - this.#hostsCountedAt >= hostCountMs) {
			this.#hostsCountedAt = now;
			this.#hostRatio = Math.max(1, this.#parts.news.fleetSize / this.#parts.news.subsetSize);
		}

		return this.#hostRatio;
	}
}

function finishMs(estimate: CallEstimate | undefined): number {
	return estimate === undefined ? 0 : estimate.serviceMs + estimate.delayMs;
}
