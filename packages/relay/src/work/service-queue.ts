/**
 * Admission to one service at one host: its waiting requests, what was
 * observed of its memory, and what peers are told of both. Efficiency only.
 */
import {AdmissionQueue, type Outlook, type Waiter} from '@gatehead/policy/relay/admission-queue';
import {ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {StartTime} from '@gatehead/policy/relay/start-time';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type LoadNews} from '../peer/load-news.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type RateLimiter} from '../upstream/rate-limiter.js';
import {type OwnCalls} from '../upstream/own-calls.js';
import {comeBackMs} from './generation-end.js';
import {type Reservation, type RoomSearch, type Wish} from './room-search.js';

/** Waiting requests that ask in one round: small ones fill the room that is too small for a large one at the head. */
const askersPerRound = 4;
/** Time between a reservation and its use, while the prompt is read, in milliseconds: half of them are read within 0.25 s, nine in ten within 0.45 s. */
const readingMs = 300;

/** What came of asking. */
export type AdmissionAnswer
	= | {readonly kind: 'granted'; readonly reservation: Reservation}
		| {readonly kind: 'refused'; readonly code: 'overloaded' | 'endpointsDown' | 'endpointsUnavailable'; readonly retryAfterMs: number; readonly detail: string}
		| {readonly kind: 'gone'};

type Waiting = Waiter & {
	readonly wish: Wish;
	readonly resolve: (answer: AdmissionAnswer) => void;
};

/** What admission works with. */
export type AdmissionParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly calls: OwnCalls;
	readonly news: LoadNews;
	readonly limiter: RateLimiter;
};

/** The queue of one service, with what decides about it. */
export class ServiceQueue {
	readonly rate = new ReleaseRate();
	readonly #service: string;
	readonly #parts: AdmissionParts;
	readonly #search: RoomSearch;
	readonly #start = new StartTime();
	readonly #queue = new AdmissionQueue<Waiting>();
	/** Timely waiting requests, as last told to peers. */
	#told = 0;
	#waitedAt = Number.NEGATIVE_INFINITY;

	constructor(service: string, parts: AdmissionParts, search: RoomSearch) {
		this.#service = service;
		this.#parts = parts;
		this.#search = search;
	}

	/** Requests that wait here. */
	get size(): number {
		return this.#queue.size;
	}

	/** When a request last waited, here or at a peer that tells this host. */
	waitedAt(): number {
		const {context: {clock}, news} = this.#parts;
		if (this.size > 0 || news.waitingElsewhere(this.#service) > 0) {
			this.#waitedAt = clock.now();
		}

		return this.#waitedAt;
	}

	/** Asks at once, where nobody who goes first waits; undefined: the request has to wait. */
	async tryNow(wish: Wish): Promise<Reservation | undefined> {
		const isBehind = this.size > 0 || (this.#stageOf(wish) === 'returned' && this.#parts.news.waitingElsewhere(this.#service) > 0);
		const reservation = isBehind ? undefined : await this.#search.find(wish);
		if (reservation !== undefined) {
			this.#noteGrant(wish, reservation, 0);
		}

		return reservation;
	}

	/** Waits for memory, until there is some, the request is refused or its caller leaves. */
	async wait(wish: Wish): Promise<AdmissionAnswer> {
		const {job} = wish;
		const {clock, metrics} = this.#parts.context;
		return new Promise<AdmissionAnswer>(resolve => {
			const waiter: Waiting = {
				wish,
				since: clock.now(),
				// A stream that continues begins its wait anew
				arrivedAt: wish.isStarted ? clock.now() : job.arrivedAt,
				targetMs: job.route.targetMs,
				deadlineAt: job.deadlineAt,
				priorities: [job.workspace?.priority ?? 0, job.route.priority],
				stage: this.#stageOf(wish),
				resolve: answer => {
					job.signal.removeEventListener('abort', leave);
					this.#queue.remove(waiter);
					metrics.time('reserve', clock.now() - waiter.since);
					resolve(answer);
				},
			};
			const leave = () => {
				waiter.resolve({kind: 'gone'});
			};

			job.signal.addEventListener('abort', leave, {once: true});
			this.#queue.add(waiter);
			this.#waitedAt = clock.now();
		});
	}

	/** Notes how long after its reservation a request's first event came. */
	noteStart(startMs: number): void {
		this.#start.note(startMs);
	}

	/** Tells peers how many wait here that can still be in time, where that has changed. */
	tell(): void {
		const timely = this.#queue.countTimely(this.#parts.context.clock.now(), this.#start.valueMs);
		if (timely !== this.#told) {
			this.#told = timely;
			this.#parts.news.tellWaiting(this.#service, timely);
		}
	}

	/** Refuses who has no chance, and asks for the first of the others. */
	async serve(): Promise<void> {
		const outlook = this.#outlook();
		this.#refuseHopeless(outlook);
		let refused = 0;
		for (const waiter of this.#queue.order(this.#parts.context.clock.now(), this.#start.valueMs)) {
			if (refused >= askersPerRound) {
				return;
			}

			if (this.#queue.has(waiter) && !this.#queue.doesYield(waiter, this.#parts.context.clock.now(), outlook)) {
				refused += await this.#ask(waiter) ? 0 : 1;
			}
		}
	}

	/** Asks for one that waits; false where there was no room. */
	async #ask(waiter: Waiting): Promise<boolean> {
		const reservation = await this.#search.find(waiter.wish);
		if (reservation === undefined) {
			return false;
		}

		if (this.#queue.has(waiter)) {
			this.#noteGrant(waiter.wish, reservation, this.#parts.context.clock.now() - waiter.since);
			waiter.resolve({kind: 'granted', reservation});
		} else {
			this.#parts.calls.cancelReservation(reservation.endpoint, reservation.name);
		}

		return true;
	}

	#refuseHopeless(outlook: Outlook): void {
		const {endpoints, context} = this.#parts;
		const code = endpoints.countDecode(this.#service) > 0 ? 'overloaded' : 'endpointsDown';
		for (const {waiter, detail} of this.#queue.findHopeless(context.clock.now(), outlook)) {
			const retryAfterMs = isOff(context, 'comeBackTimes') ? comeBackMs : this.#queue.comeBackMs(waiter, context.clock.now(), outlook, context.random);
			waiter.resolve({
				kind: 'refused', code, retryAfterMs, detail,
			});
		}
	}

	#outlook(): Outlook {
		const {endpoints, news} = this.#parts;
		const replicas = endpoints.countDecode(this.#service);
		return {elsewhere: news.waitingElsewhere(this.#service), releasesPerS: this.rate.perSecond(replicas), startMs: this.#start.valueMs};
	}

	#stageOf({isStarted, job}: Wish): Waiter['stage'] {
		const {context} = this.#parts;
		if (isStarted) {
			return 'started';
		}

		if (job.facts.lastEventId !== undefined) {
			return isOff(context, 'resumedTurns') ? 'returned' : 'resumed';
		}

		if (isOff(context, 'earlyRefusal')) {
			return 'resumed';
		}

		return job.isSecondTry && !isOff(context, 'secondTries') ? 'returned' : 'first';
	}

	#noteGrant({job, tokens, bearable}: Wish, {endpoint}: Reservation, waitedMs: number): void {
		const {endpoints, news, context: {log}} = this.#parts;
		this.rate.setCapacity(bearable);
		endpoints.noteTaken(endpoint.id, tokens, readingMs);
		news.tellPlaced(endpoint.id, tokens, readingMs + this.rate.holdMs);
		log('reserved', {
			request: job.id, endpoint: endpoint.id, tokens, waitedMs: Math.round(waitedMs), waiting: this.size,
		});
	}
}
