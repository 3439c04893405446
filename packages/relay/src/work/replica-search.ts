/**
 * Finds a decode replica with free memory for a request. Replicas are asked
 * one after another, because only they know their current free memory. An
 * unused reservation expires at the replica.
 */
import {type ForecastRequest, type OwnStream} from '@gatehead/policy/relay/memory-forecast';
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {type Permit} from '@gatehead/policy/relay/rate-permits';
import {type Endpoint} from '@gatehead/schema/routing';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type ControlCalls} from '../upstream/control-calls.js';
import {type RateLimiter} from '../upstream/rate-limiter.js';
import {type Reachability} from '../upstream/reachability.js';
import {type Job} from './job.js';
import {placementNeeds} from './placement-needs.js';

/** Maximum replicas asked per search; each costs a network round trip. */
const maxReplicasTried = 4;

/** Placement weights for decoding: the load of this host there counts most, then failures. A replica in the own hall is worth a thirtieth of a replica's memory, and a replica of another subset is preferred to one that is nearly full. */
const weights: PlacementWeights = {
	otherHall: 0.03, newConnection: 0.08, failureRate: 1, otherSubset: 0.6, noise: 0.08,
};

/** Decode memory reserved for a request. */
export type Reservation = {
	readonly endpoint: Endpoint;
	readonly name: string;
	readonly expiresAt: number;
	/** Memory reserved, in tokens. */
	readonly tokens: number;
	/** The request in the forecast of the replica's memory; its user ends it. Undefined where load is not managed. */
	readonly stream?: OwnStream | undefined;
	/** Permit to send the request, if the replica is rate-limited. */
	readonly permit?: Permit;
	/** Announces to the peers a reservation that may be given up; called when a run begins with it. Undefined: it has been announced. */
	readonly announce?: (() => void) | undefined;
};

/** Gives back the memory and the permit of a reservation that no run was begun with. */
export function giveUpReservation({calls, limiter}: {readonly calls: Pick<ControlCalls, 'cancelReservation'>; readonly limiter: Pick<RateLimiter, 'returnPermit'>}, {endpoint, name, stream, permit}: Reservation): void {
	stream?.end();
	calls.cancelReservation(endpoint, name);
	if (permit !== undefined) {
		limiter.returnPermit(endpoint.id, permit);
	}
}

/** What a request needs from a replica. */
export type ReservationRequest = {
	readonly job: Job;
	readonly tokens: number;
	readonly ttlMs: number;
	readonly capacityTokens: number;
	/** Output that the caller has already, in tokens; counts where load is managed. */
	readonly doneTokens?: number;
	/** Replicas tried for this request before; used only if there are no others. */
	readonly avoid: ReadonlySet<string>;
	/** Replica that is never used, as it still runs the request. */
	readonly excluded?: string | undefined;
	/** Ends the search; absent: the job's signal. */
	readonly signal?: AbortSignal;
	/** Whether the caller has part of its response already; such a request is not refused before its deadline. */
	readonly isContinuation: boolean;
	/** The only software version that may serve the request; undefined: any. */
	readonly softwareVersion: string | undefined;
};

/** A request at one replica, and why it should not take it. */
type Forecast = {
	readonly request: ForecastRequest;
	readonly obstacle: 'slots' | 'memory' | undefined;
};

export type ReplicaSearchParts = {
	readonly context: Pick<RelayContext, 'clock' | 'metrics' | 'settings'>;
	readonly endpoints: Endpoints;
	readonly calls: Pick<ControlCalls, 'reserve'>;
	readonly limiter: Pick<RateLimiter, 'acquire' | 'returnPermit'>;
	readonly reachability: Pick<Reachability, 'isUnreachable'>;
};

/** Reserves memory at the decode replicas of all services. */
export class ReplicaSearch {
	readonly #context: ReplicaSearchParts['context'];
	readonly #endpoints: Endpoints;
	readonly #calls: ReplicaSearchParts['calls'];
	readonly #limiter: ReplicaSearchParts['limiter'];
	readonly #reachability: ReplicaSearchParts['reachability'];
	/** Requests that were searched for. */
	readonly #searched = new WeakSet<Job>();

	constructor({context, endpoints, calls, limiter, reachability}: ReplicaSearchParts) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#calls = calls;
		this.#limiter = limiter;
		this.#reachability = reachability;
	}

	/** Asks replicas in order of preference; undefined if none grants a reservation. */
	async find({job, tokens, ttlMs, capacityTokens, doneTokens, avoid, excluded, signal = job.signal, softwareVersion}: ReservationRequest): Promise<Reservation | undefined> {
		const {clock, settings: {hall}} = this.#context;
		const ordered = this.#endpoints.order(job.service.name, {
			stage: 'decode', hall, tokens, weights, capacityTokens, softwareVersion, needs: {...placementNeeds(job, clock.now()), isRepeated: this.#searched.has(job)},
		}).filter(({id}) => id !== excluded);
		this.#searched.add(job);
		const [best] = ordered;
		if (best !== undefined && isOff(this.#context, 'reservations')) {
			return {
				endpoint: best, name: '', expiresAt: 0, tokens,
			};
		}

		let tried = 0;
		for (const endpoint of this.#listForecastable(this.#filterCandidates(ordered, avoid))) {
			if (tried >= maxReplicasTried || signal.aborted || this.#reachability.isUnreachable(job.service.name)) {
				return undefined;
			}

			const forecast = this.#forecast(job, endpoint, {capacityTokens, doneTokens});
			const reservedTokens = forecast?.request.reservedTokens ?? tokens;
			if (this.#endpoints.isFull(endpoint.id, reservedTokens) || !this.#endpoints.book.isReady(endpoint.id)) {
				continue;
			}

			if (forecast?.obstacle !== undefined) {
				this.#context.metrics.add('replicasSkipped', {cause: forecast.obstacle});
				continue;
			}

			// Before anything is awaited, so that other searches of this host count the request
			const stream = forecast === undefined ? undefined : this.#endpoints.memoryForecast.begin(endpoint.id, forecast.request, clock.now());
			const acquired = await this.#limiter.acquire(endpoint.id);
			if (acquired.kind === 'limited') {
				stream?.end();
				continue;
			}

			tried += 1;
			const reply = await this.#calls.reserve(endpoint, reservedTokens, ttlMs, signal);
			if (reply.kind === 'granted') {
				stream?.confirm();
				return {
					endpoint, name: reply.reservation, expiresAt: clock.now() + ttlMs, tokens: reservedTokens, stream, permit: acquired.permit,
				};
			}

			stream?.end();
			this.#limiter.returnPermit(endpoint.id, acquired.permit);
		}

		return undefined;
	}

	/** The request as the forecast counts it at a replica, and what speaks against it there; undefined where load is not managed. */
	#forecast({service, facts}: Job, endpoint: Endpoint, {capacityTokens, doneTokens = 0}: Pick<ReservationRequest, 'capacityTokens' | 'doneTokens'>): Forecast | undefined {
		if (!this.#endpoints.isLoadManaged) {
			return undefined;
		}

		const {memoryForecast} = this.#endpoints;
		const length = {promptTokens: facts.promptTokens, estimateTokens: facts.answerTokens, doneTokens};
		const request: ForecastRequest = {
			...length,
			service: service.name,
			reservedTokens: memoryForecast.reservationFor(service.name, length, this.#endpoints.isInSubset(endpoint)),
		};
		const slots = service.engine?.slots ?? Number.POSITIVE_INFINITY;
		return {request, obstacle: memoryForecast.findObstacle(endpoint.id, {capacityTokens, slots}, request, this.#context.clock.now())};
	}

	/** Where load is managed, leaves out replicas of other subsets while the own one has any: their streams are unknown here, and their free memory is what those will grow into. */
	#listForecastable(candidates: readonly Endpoint[]): readonly Endpoint[] {
		if (!this.#endpoints.isLoadManaged) {
			return candidates;
		}

		const known = candidates.filter(endpoint => this.#endpoints.isInSubset(endpoint));
		return known.length > 0 ? known : candidates;
	}

	/** Leaves out failing replicas and those in `avoid`, unless no others remain. */
	#filterCandidates(ordered: readonly Endpoint[], avoid: ReadonlySet<string>): readonly Endpoint[] {
		const usable = ordered.filter(({id}) => this.#endpoints.isUsable(id));
		const candidates = usable.length > 0 ? usable : ordered;
		const untried = candidates.filter(({id}) => !avoid.has(id));
		return untried.length > 0 ? untried : candidates;
	}
}
