/**
 * Reserves decode memory before a request's prompt is prefilled. The replicas
 * are asked directly (replica-search.ts); requests that none of them accepts
 * wait in a queue per service (service-queue.ts), and all queues are polled
 * together.
 */
import {type ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {retryAfterWait} from '@gatehead/policy/relay/retry-after';
import {jitter} from '@gatehead/policy/utils/random';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type ServiceState, type WaitingState} from '@gatehead/schema/relay-status';
import {defaultRetryAfterMs} from './generation-failure.js';
import {timeLeft} from './job.js';
import {
	giveUpReservation, ReplicaSearch, type Reservation, type ReservationRequest,
} from './replica-search.js';
import {
	pollIntervalMs, ServiceQueue, type AdmissionResult, type AdmissionParts,
} from './service-queue.js';

/** Jitter as a share of the interval, so that hosts do not poll in step. */
const pollJitter = 0.3;

/** Admission control for all services of this host. */
export class Admission {
	readonly #parts: AdmissionParts;
	readonly #search: ReplicaSearch;
	readonly #queues = new Map<string, ServiceQueue>();
	#timer: Timer | undefined;
	#isServing = false;
	#isServeRequested = false;

	constructor(parts: AdmissionParts) {
		this.#parts = parts;
		this.#search = new ReplicaSearch(parts);
		parts.news.register({
			collect: service => this.#queues.get(service)?.collectReport() ?? {},
			receive: (host, service, report) => {
				this.#queueOf(service).receiveReport(host, report);
			},
			receivePlacement: (host, endpoint, tokens) => {
				this.#queues.get(parts.endpoints.book.serviceOf(endpoint) ?? '')?.receivePlacement(host, tokens);
			},
		});
	}

	/** Number of waiting requests, over all services. */
	get waiting(): number {
		let waiting = 0;
		for (const {size} of this.#queues.values()) {
			waiting += size;
		}

		return waiting;
	}

	/** Waiting requests of a service by urgency and workspace. */
	countWaiting(service: string): WaitingState[] {
		return this.#queues.get(service)?.countWaiting() ?? [];
	}

	/** Shares and promised returns of a service where load is managed; empty before its first request. */
	describeLoad(service: string): Pick<ServiceState, 'shares' | 'promisedReturns'> {
		return this.#queues.get(service)?.describeLoad() ?? {};
	}

	/** Cancels the pending poll. */
	close(): void {
		this.#timer?.stop();
	}

	/** Reserves decode memory, waiting for it if necessary. Resolves with `refused` if the request cannot be served in time, and with `aborted` if its signal fires first. */
	async reserve(request: ReservationRequest): Promise<AdmissionResult> {
		const service = request.job.service.name;
		const queue = this.#queueOf(service);
		const refusal = await queue.checkVersion(request);
		if (refusal !== undefined) {
			return refusal;
		}

		const reservation = await queue.tryReserve(request);
		if (reservation !== undefined) {
			return {kind: 'granted', reservation};
		}

		if (request.job.signal.aborted) {
			return {kind: 'aborted'};
		}

		if (this.#parts.reachability.isUnreachable(service)) {
			return {
				kind: 'refused', code: 'endpointsDown', retryAfterMs: defaultRetryAfterMs, detail: 'this host has lost its links to the replicas',
			};
		}

		const waitMs = this.#retryAfterPastTarget(request);
		if (waitMs !== undefined) {
			return {
				kind: 'refused', code: 'endpointsUnavailable', retryAfterMs: waitMs, detail: 'no replica takes requests now',
			};
		}

		const result = queue.wait(request);
		this.#schedulePoll();
		return result;
	}

	/** Reserves decode memory for a request that is still running at a replica, without waiting for it; undefined if no other replica has room. */
	async reserveAhead(request: ReservationRequest): Promise<Reservation | undefined> {
		return this.#queueOf(request.job.service.name).reserveAhead(request);
	}

	/** Gives back a reservation that no run was begun with. */
	giveUp(reservation: Reservation): void {
		giveUpReservation(this.#parts, reservation);
	}

	/** Records how long a completed request held its memory, in milliseconds; feeds the release rate. */
	recordHold(service: string, tokens: number, heldMs: number): void {
		this.#queueOf(service).recordHold(tokens, heldMs);
	}

	/** Records the time from a request's reservation to its first event, in milliseconds; feeds the estimate of which waiting requests can still meet their target. */
	recordStartLatency(service: string, startMs: number): void {
		this.#queueOf(service).recordStartLatency(startMs);
	}

	/** Polls the replicas at once if requests of the service are waiting. */
	handleCapacityFreed(service: string): void {
		if ((this.#queues.get(service)?.size ?? 0) > 0) {
			void this.#serveQueues();
		}
	}

	/** Refuses the waiting requests of a service to which this host has lost its links. */
	refuseAll(service: string): void {
		this.#queues.get(service)?.refuseAll();
	}

	/** Estimated rate at which the service's decode memory is released. */
	releaseRateOf(service: string): ReleaseRate {
		return this.#queueOf(service).rate;
	}

	/** Time at which a request last waited for the service's memory, at this host or at a peer that reported it. */
	lastWaitedAt(service: string): number {
		return this.#queueOf(service).lastWaitedAt();
	}

	/** `Retry-After` in milliseconds if every replica is paused until after the request's target; otherwise undefined. */
	#retryAfterPastTarget({job, isContinuation, softwareVersion}: ReservationRequest): number | undefined {
		const {context: {clock, random}, endpoints} = this.#parts;
		const waitMs = isContinuation ? undefined : endpoints.shortestWaitMs(job.service.name, 'decode', softwareVersion);
		const isLate = waitMs !== undefined && clock.now() + waitMs > job.arrivedAt + job.route.targetMs;
		return isLate ? retryAfterWait(waitMs, timeLeft(job, clock.now()), random) : undefined;
	}

	#schedulePoll(): void {
		for (const queue of this.#queues.values()) {
			queue.publishWaiting();
		}

		if (this.#timer !== undefined || this.waiting === 0) {
			return;
		}

		const {clock, random} = this.#parts.context;
		this.#timer = clock.after(jitter(random, pollIntervalMs, pollJitter), () => {
			this.#timer = undefined;
			void this.#serveQueues();
		});
	}

	/** Serves all queues. Runs never overlap: a call during a run makes it run once more. */
	async #serveQueues(): Promise<void> {
		if (this.#isServing) {
			this.#isServeRequested = true;
			return;
		}

		this.#isServing = true;
		try {
			do {
				this.#isServeRequested = false;
				for (const queue of this.#queues.values()) {
					await queue.serve();
				}
			} while (this.#isServeRequested);
		} catch (error) {
			this.#parts.context.log('internal', {detail: `serving the admission queues failed: ${String(error)}`});
		} finally {
			this.#isServing = false;
			this.#schedulePoll();
		}
	}

	#queueOf(service: string): ServiceQueue {
		let queue = this.#queues.get(service);
		if (queue === undefined) {
			queue = new ServiceQueue(service, this.#parts, this.#search);
			this.#queues.set(service, queue);
		}

		return queue;
	}
}
