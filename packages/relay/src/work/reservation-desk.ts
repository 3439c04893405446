/**
 * Gets decode memory for a host's requests before their prompts are read, by
 * asking the replicas (room-search.ts). Requests that find none wait in line,
 * those that can still be in time first; who has no chance is told early, so
 * that its next try counts. Efficiency only.
 */
import {ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {StartTime} from '@gatehead/policy/relay/start-time';
import {WaitLine, type Outlook, type Waiter} from '@gatehead/policy/relay/wait-line';
import {jitter} from '@gatehead/policy/utils/random';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type LoadNews} from '../peer/load-news.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type OwnCalls} from '../upstream/own-calls.js';
import {comeBackMs} from './generation-end.js';
import {RoomSearch, type Reservation, type Wish} from './room-search.js';

/** Pause between two rounds of asking while requests wait, in milliseconds; a place comes free at a replica about three times a second. */
const pollMs = 60;
const pollSpread = 0.3;
/** Waiting requests that ask in one round: a large one at the head must not hold up all others. */
const askersPerRound = 2;
/** Time between a reservation and its use, while the prompt is read, in milliseconds. */
const readingMs = 300;

/** What came of asking. */
export type DeskAnswer
	= | {readonly kind: 'granted'; readonly reservation: Reservation}
		| {readonly kind: 'refused'; readonly code: 'overloaded' | 'endpointsDown'; readonly retryAfterMs: number; readonly detail: string}
		| {readonly kind: 'gone'};

type Waiting = Waiter & {
	readonly wish: Wish;
	readonly resolve: (answer: DeskAnswer) => void;
};

/** What a desk works with. */
export type DeskParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly calls: OwnCalls;
	readonly news: LoadNews;
};

/** One host's desk, for all services. */
export class ReservationDesk {
	readonly #context: RelayContext;
	readonly #endpoints: Endpoints;
	readonly #calls: OwnCalls;
	readonly #search: RoomSearch;
	readonly #news: LoadNews;
	readonly #lines = new Map<string, WaitLine<Waiting>>();
	readonly #releases = new Map<string, ReleaseRate>();
	readonly #starts = new Map<string, StartTime>();
	/** Counts of waiting requests as last told. */
	readonly #told = new Map<string, number>();
	readonly #waitedAt = new Map<string, number>();
	#timer: Timer | undefined;
	#isAsking = false;
	#isAgain = false;

	constructor({context, endpoints, calls, news}: DeskParts) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#calls = calls;
		this.#search = new RoomSearch(context, endpoints, calls);
		this.#news = news;
	}

	/** Requests that wait. */
	get waiting(): number {
		let waiting = 0;
		for (const line of this.#lines.values()) {
			waiting += line.size;
		}

		return waiting;
	}

	/** Stops asking. */
	close(): void {
		this.#timer?.stop();
	}

	/** Gets room for a request, or says that there is none for it. */
	async reserve(wish: Wish): Promise<DeskAnswer> {
		const {job} = wish;
		const line = this.#lineOf(job.service.name);
		if (line.size === 0 && !this.#doesYield(wish)) {
			const reservation = await this.#search.find(wish);
			if (reservation !== undefined) {
				this.#noteGrant(wish, reservation, 0);
				return {kind: 'granted', reservation};
			}
		}

		return job.signal.aborted ? {kind: 'gone'} : this.#wait(wish, line);
	}

	/** Notes how long a request has held its memory, to know how fast memory comes free. */
	noteHold(service: string, tokens: number, heldMs: number): void {
		this.rateOf(service).note(tokens, heldMs);
	}

	/** Notes how long after its reservation a request's first event came, to know who can still be in time. */
	noteStart(service: string, startMs: number): void {
		this.#startOf(service).note(startMs);
	}

	/** Room may have come free. */
	roomAt(service: string): void {
		if ((this.#lines.get(service)?.size ?? 0) > 0) {
			void this.#round();
		}
	}

	/** How fast a service's memory comes free. */
	rateOf(service: string): ReleaseRate {
		let rate = this.#releases.get(service);
		if (rate === undefined) {
			rate = new ReleaseRate();
			this.#releases.set(service, rate);
		}

		return rate;
	}

	/** When a request last waited for a service's memory, here or at a peer that tells this host. */
	waitedAt(service: string): number {
		if (this.#news.waitingElsewhere(service) > 0 || this.#lineOf(service).size > 0) {
			this.#waitedAt.set(service, this.#context.clock.now());
		}

		return this.#waitedAt.get(service) ?? Number.NEGATIVE_INFINITY;
	}

	async #wait(wish: Wish, line: WaitLine<Waiting>): Promise<DeskAnswer> {
		const {job} = wish;
		const {clock, metrics} = this.#context;
		return new Promise<DeskAnswer>(resolve => {
			const waiter: Waiting = {
				wish,
				since: clock.now(),
				// A stream that continues begins its wait anew
				arrivedAt: wish.isStarted ? clock.now() : job.arrivedAt,
				targetMs: job.route.targetMs,
				deadlineAt: job.deadlineAt,
				stage: this.#stageOf(wish),
				resolve(answer) {
					job.signal.removeEventListener('abort', leave);
					line.remove(waiter);
					metrics.time('reserve', clock.now() - waiter.since);
					resolve(answer);
				},
			};
			const leave = () => {
				waiter.resolve({kind: 'gone'});
			};

			job.signal.addEventListener('abort', leave, {once: true});
			line.add(waiter);
			this.#waitedAt.set(job.service.name, clock.now());
			this.#schedule();
		});
	}

	/** Tells other hosts how many wait here that can still be in time, where that has changed. */
	#tell(): void {
		for (const [service, line] of this.#lines) {
			const timely = line.countTimely(this.#context.clock.now(), this.#startOf(service).valueMs);
			if (timely !== (this.#told.get(service) ?? 0)) {
				this.#told.set(service, timely);
				this.#news.tellWaiting(service, timely);
			}
		}
	}

	#schedule(): void {
		this.#tell();
		if (this.#timer !== undefined || this.waiting === 0) {
			return;
		}

		const {clock, random} = this.#context;
		this.#timer = clock.after(jitter(random, pollMs, pollSpread), () => {
			this.#timer = undefined;
			void this.#round();
		});
	}

	/** One round of asking for the heads of all lines; rounds never overlap. */
	async #round(): Promise<void> {
		if (this.#isAsking) {
			this.#isAgain = true;
			return;
		}

		this.#isAsking = true;
		try {
			do {
				this.#isAgain = false;
				for (const [service, line] of this.#lines) {
					this.#refuseHopeless(service, line);
					await this.#serve(service, line);
				}
			} while (this.#isAgain);
		} catch (error) {
			this.#context.log('internal', {detail: `a round for decode memory failed: ${String(error)}`});
		} finally {
			this.#isAsking = false;
			this.#schedule();
		}
	}

	async #serve(service: string, line: WaitLine<Waiting>): Promise<void> {
		let refused = 0;
		for (const waiter of line.order(this.#context.clock.now(), this.#startOf(service).valueMs)) {
			if (refused >= askersPerRound) {
				return;
			}

			if (!line.has(waiter) || line.doesYield(waiter, this.#context.clock.now(), this.#outlookOf(service))) {
				continue;
			}

			const reservation = await this.#search.find(waiter.wish);
			if (reservation === undefined) {
				refused += 1;
			} else if (line.has(waiter)) {
				const now = this.#context.clock.now();
				this.#noteGrant(waiter.wish, reservation, now - waiter.since);
				waiter.resolve({kind: 'granted', reservation});
			} else {
				this.#calls.cancelReservation(reservation.endpoint, reservation.name);
			}
		}
	}

	#refuseHopeless(service: string, line: WaitLine<Waiting>): void {
		const {clock, random} = this.#context;
		const now = clock.now();
		const hasEndpoints = this.#endpoints.countDecode(service) > 0;
		const outlook = this.#outlookOf(service);
		for (const {waiter, detail} of line.findHopeless(now, outlook)) {
			waiter.resolve({
				kind: 'refused', code: hasEndpoints ? 'overloaded' : 'endpointsDown', retryAfterMs: isOff(this.#context, 'comeBackTimes') ? comeBackMs : line.comeBackMs(outlook, random), detail,
			});
		}
	}

	#outlookOf(service: string): Outlook {
		const replicas = this.#endpoints.countDecode(service);
		return {elsewhere: this.#news.waitingElsewhere(service), releasesPerS: this.rateOf(service).perSecond(replicas), startMs: this.#startOf(service).valueMs};
	}

	#stageOf({isStarted, job}: Wish): Waiter['stage'] {
		if (isStarted) {
			return 'started';
		}

		if (job.facts.lastEventId !== undefined) {
			return isOff(this.#context, 'resumedTurns') ? 'returned' : 'resumed';
		}

		if (isOff(this.#context, 'earlyRefusal')) {
			return 'resumed';
		}

		return job.isSecondTry && !isOff(this.#context, 'secondTries') ? 'returned' : 'first';
	}

	/** A returned caller does not pass those that wait elsewhere and can be in time. */
	#doesYield(wish: Wish): boolean {
		return this.#stageOf(wish) === 'returned' && this.#news.waitingElsewhere(wish.job.service.name) > 0;
	}

	#startOf(service: string): StartTime {
		let start = this.#starts.get(service);
		if (start === undefined) {
			start = new StartTime();
			this.#starts.set(service, start);
		}

		return start;
	}

	#lineOf(service: string): WaitLine<Waiting> {
		let line = this.#lines.get(service);
		if (line === undefined) {
			line = new WaitLine();
			this.#lines.set(service, line);
		}

		return line;
	}

	#noteGrant({job, tokens, bearable}: Wish, {endpoint}: Reservation, waitedMs: number): void {
		const rate = this.rateOf(job.service.name);
		rate.setCapacity(bearable);
		this.#endpoints.noteTaken(endpoint.id, tokens, readingMs);
		this.#news.tellPlaced(endpoint.id, tokens, readingMs + rate.holdMs);
		this.#context.log('reserved', {
			request: job.id, endpoint: endpoint.id, tokens, waitedMs: Math.round(waitedMs), waiting: this.waiting,
		});
	}
}
