/**
 * Finds a decode replica with room for one request: replicas are asked one
 * after the other, since they know their room now. Efficiency only: a
 * reservation that comes to nothing lapses at the replica.
 */
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {type Permit} from '@gatehead/policy/relay/rate-permits';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type OwnCalls} from '../upstream/own-calls.js';
import {type RateLimiter} from '../upstream/rate-limiter.js';
import {type Job} from './job.js';

/** Replicas asked in one round for one request: each costs a way there and back, some milliseconds of the target. */
const mostAsked = 4;

/** How replicas are weighed for decoding: own memory there counts most, then failures; a near replica is worth a thirtieth of a whole one's memory; one of another subset is asked before one that is nearly full. */
const weights: PlacementWeights = {
	farHall: 0.03, newConnection: 0.08, badness: 1, otherSubset: 0.6, noise: 0.08,
};

/** A reservation that a request holds. */
export type Reservation = {
	readonly endpoint: Endpoint;
	readonly name: string;
	readonly lapsesAt: number;
	/** Leave to send the request there, where the replica is rate-limited. */
	readonly permit?: Permit;
};

/** What is asked for. */
export type Wish = {
	readonly job: Job;
	readonly tokens: number;
	readonly lifeMs: number;
	readonly bearable: number;
	/** Replicas that have had the request before. */
	readonly avoid: ReadonlySet<string>;
	/** The caller has a part of its answer: it is not refused while its time lasts. */
	readonly isStarted: boolean;
};

/** What rooms are searched with. */
export type RoomSearchParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly calls: OwnCalls;
	readonly limiter: RateLimiter;
};

/** Asks the replicas of all services. */
export class RoomSearch {
	readonly #context: RelayContext;
	readonly #endpoints: Endpoints;
	readonly #calls: OwnCalls;

	readonly #limiter: RateLimiter;

	constructor({context, endpoints, calls, limiter}: RoomSearchParts) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#calls = calls;
		this.#limiter = limiter;
	}

	/** Asks replicas one after the other. */
	async find({job, tokens, lifeMs, bearable, avoid}: Wish): Promise<Reservation | undefined> {
		const {clock, settings: {hall}} = this.#context;
		const ordered = this.#endpoints.order(job.service.name, {
			stage: 'decode', hall, tokens, weights, bearable,
		});
		const [best] = ordered;
		if (best !== undefined && isOff(this.#context, 'reservations')) {
			return {endpoint: best, name: '', lapsesAt: 0};
		}

		let asked = 0;
		for (const endpoint of this.#narrow(ordered, avoid)) {
			if (asked >= mostAsked || job.signal.aborted) {
				return undefined;
			}

			if (this.#endpoints.isFull(endpoint.id, tokens) || !this.#endpoints.book.isReady(endpoint.id)) {
				continue;
			}

			const leave = await this.#limiter.acquire(endpoint.id);
			if (leave.kind === 'limited') {
				continue;
			}

			asked += 1;
			const answer = await this.#calls.reserve(endpoint, tokens, lifeMs, job.signal);
			if (answer.kind === 'granted') {
				return {
					endpoint, name: answer.reservation, lapsesAt: clock.now() + lifeMs, permit: leave.permit,
				};
			}

			this.#limiter.giveBack(endpoint.id, leave.permit);
		}

		return undefined;
	}

	/** Leaves out replicas that fail, and those that had the request before, unless there are no others. */
	#narrow(ordered: readonly Endpoint[], avoid: ReadonlySet<string>): readonly Endpoint[] {
		const usable = ordered.filter(({id}) => this.#endpoints.isUsable(id));
		const candidates = usable.length > 0 ? usable : ordered;
		const fresh = candidates.filter(({id}) => !avoid.has(id));
		return fresh.length > 0 ? fresh : candidates;
	}
}
