/**
 * Gets decode memory for a host's requests before their prompts are read, by
 * asking the replicas (room-search.ts). Requests that find none wait in their
 * service's queue (service-queue.ts), which is served in rounds. Efficiency
 * only.
 */
import {type ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {retryAfterWait} from '@gatehead/policy/relay/retry-after';
import {jitter} from '@gatehead/policy/utils/random';
import {type Timer} from '@gatehead/policy/utils/clock';
import {timeLeft} from './job.js';
import {RoomSearch, type Wish} from './room-search.js';
import {ServiceQueue, type AdmissionAnswer, type AdmissionParts} from './service-queue.js';

/** Pause between two rounds of asking while requests wait, in milliseconds: a place comes free at a replica about three times a second, and is taken after half of the pause. */
const pollMs = 60;
/** Part by which the pause differs, so that hosts do not ask together. */
const pollSpread = 0.3;

/** One host's admission to all services. */
export class Admission {
	readonly #parts: AdmissionParts;
	readonly #search: RoomSearch;
	readonly #queues = new Map<string, ServiceQueue>();
	#timer: Timer | undefined;
	#isAsking = false;
	#isAgain = false;

	constructor(parts: AdmissionParts) {
		this.#parts = parts;
		this.#search = new RoomSearch(parts);
	}

	/** Requests that wait. */
	get waiting(): number {
		let waiting = 0;
		for (const {size} of this.#queues.values()) {
			waiting += size;
		}

		return waiting;
	}

	/** Stops asking. */
	close(): void {
		this.#timer?.stop();
	}

	/** Gets room for a request, or says that there is none for it. */
	async reserve(wish: Wish): Promise<AdmissionAnswer> {
		const queue = this.#queueOf(wish.job.service.name);
		const reservation = await queue.tryNow(wish);
		if (reservation !== undefined) {
			return {kind: 'granted', reservation};
		}

		if (wish.job.signal.aborted) {
			return {kind: 'gone'};
		}

		const waitMs = this.#waitPastTarget(wish);
		if (waitMs !== undefined) {
			return {
				kind: 'refused', code: 'endpointsUnavailable', retryAfterMs: waitMs, detail: 'no replica takes requests now',
			};
		}

		const answer = queue.wait(wish);
		this.#schedule();
		return answer;
	}

	/** Notes how long a request has held its memory, to know how fast memory comes free. */
	noteHold(service: string, tokens: number, heldMs: number): void {
		this.rateOf(service).note(tokens, heldMs);
	}

	/** Notes how long after its reservation a request's first event came, to know who can still be in time. */
	noteStart(service: string, startMs: number): void {
		this.#queueOf(service).noteStart(startMs);
	}

	/** Room may have come free. */
	roomAt(service: string): void {
		if ((this.#queues.get(service)?.size ?? 0) > 0) {
			void this.#round();
		}
	}

	/** How fast a service's memory comes free. */
	rateOf(service: string): ReleaseRate {
		return this.#queueOf(service).rate;
	}

	/** When a request last waited for a service's memory, here or at a peer that tells this host. */
	waitedAt(service: string): number {
		return this.#queueOf(service).waitedAt();
	}

	/** Time until the first replica takes requests again, where that is too late for the request's target. */
	#waitPastTarget({job, isStarted}: Wish): number | undefined {
		const {context: {clock, random}, endpoints} = this.#parts;
		const waitMs = isStarted ? undefined : endpoints.shortestWaitMs(job.service.name, 'decode');
		const isLate = waitMs !== undefined && clock.now() + waitMs > job.arrivedAt + job.route.targetMs;
		return isLate ? retryAfterWait(waitMs, timeLeft(job, clock.now()), random) : undefined;
	}

	#schedule(): void {
		for (const queue of this.#queues.values()) {
			queue.tell();
		}

		if (this.#timer !== undefined || this.waiting === 0) {
			return;
		}

		const {clock, random} = this.#parts.context;
		this.#timer = clock.after(jitter(random, pollMs, pollSpread), () => {
			this.#timer = undefined;
			void this.#round();
		});
	}

	/** One round of asking for the heads of all queues; rounds never overlap. */
	async #round(): Promise<void> {
		if (this.#isAsking) {
			this.#isAgain = true;
			return;
		}

		this.#isAsking = true;
		try {
			do {
				this.#isAgain = false;
				for (const queue of this.#queues.values()) {
					await queue.serve();
				}
			} while (this.#isAgain);
		} catch (error) {
			this.#parts.context.log('internal', {detail: `a round for decode memory failed: ${String(error)}`});
		} finally {
			this.#isAsking = false;
			this.#schedule();
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
