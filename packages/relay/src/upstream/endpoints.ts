/**
 * All that one host knows of the endpoints it sends to: which take work,
 * which fail, what it has in work at each, and the connections kept to them.
 * Safety: an endpoint that is leaving gets nothing new from here.
 */
import {EndpointBook} from '@gatehead/policy/relay/endpoint-book';
import {type EndpointChange} from '@gatehead/policy/relay/endpoint-change';
import {
	ownSource, SignalBook, type SignalChange, type Statement,
} from '@gatehead/policy/relay/endpoint-signals';
import {EndpointHealth, type Outcome, type Pause} from '@gatehead/policy/relay/endpoint-health';
import {MemoryReservations} from '@gatehead/policy/relay/memory-reservations';
import {orderEndpoints, type PlacementWeights, type EndpointStatus} from '@gatehead/policy/relay/placement';
import {PrefillQueue} from '@gatehead/policy/relay/prefill-queue';
import {decodePrefillFactor} from '@gatehead/policy/relay/stage-split';
import {type Subset} from '@gatehead/policy/relay/subsets';
import {type Departure} from '@gatehead/policy/relay/departures';
import {type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type RateLimit} from '@gatehead/schema/relay-message';
import {type Endpoint} from '@gatehead/schema/routing';
import {type BaseContext, type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type Connections} from './connections.js';
import {EndpointUse} from './endpoint-use.js';
import {NearEndpoints} from './near-endpoints.js';

/** How often vanished entries are looked at, in milliseconds: small against the graces that it ends. */
const sweepMs = 250;
/** A prefill replica's queue that weighs as one whole load, in milliseconds: a few prompts. */
const wholeQueueMs = 300;

/** Time without a request after which a rate-limited endpoint is placed like any other, in milliseconds: its limit can only change with a response. */
const limitProbeMs = 1000;

/** Who hands on a pause that follows from an order of this host's own. */
export const ownOrder = 'order';

/** Changes by which an endpoint stops to take work for good. */
const departing: ReadonlySet<EndpointChange['change']> = new Set(['leaving', 'outdated', 'gone']);

type EndpointContext = BaseContext & Pick<RelayContext, 'settings'>;

/** Who hears of changes, and knows which subset this host belongs to. */
export type EndpointListener = {
	/** This host has set an endpoint aside. */
	onPause(pause: Pause): void;
	/** An endpoint is known to be gone. */
	onGone(endpoint: Endpoint): void;
	/** An endpoint has stated to this host that its rate limit began, changed or ended. */
	onLimit(endpoint: string): void;
	/** An endpoint has announced to this host that it drains. */
	onDrain(endpoint: string): void;
	/** Room may have come free at a service. */
	onRoom(service: string): void;
	/** This host's subset among the fleet's. */
	subset(): Subset;
};

/** The endpoints of one host. */
export class Endpoints {
	readonly signals = new SignalBook();
	readonly book = new EndpointBook(id => this.signals.isDraining(id));
	readonly health = new EndpointHealth();
	readonly #context: EndpointContext;
	readonly #listener: EndpointListener;
	/** What follows from each change. */
	readonly #follow: Readonly<Record<EndpointChange['change'], (endpoint: Endpoint) => void>> = {
		added: ({service}) => {
			this.#listener.onRoom(service);
		},
		changed: ({service}) => {
			this.#listener.onRoom(service);
		},
		restaged: ({id, service}) => {
			// What it failed in was its other part
			this.health.forget(id);
			this.#queues.delete(id);
			this.#listener.onRoom(service);
		},
		leaving: ignore,
		unreadable: ignore,
		vanished: ignore,
		outdated: ignore,
		gone: endpoint => {
			this.#listener.onGone(endpoint);
			this.#forget(endpoint.id);
		},
	};

	/** Which signals of an endpoint other hosts have to know: a backoff period is between it and this host. */
	readonly #announce: Readonly<Record<SignalChange['signal'], (endpoint: string) => void>> = {
		limit: endpoint => {
			this.#listener.onLimit(endpoint);
		},
		drain: endpoint => {
			this.#listener.onDrain(endpoint);
		},
		backoff: ignore,
	};

	readonly #uses = new Map<string, EndpointUse>();
	readonly #queues = new Map<string, PrefillQueue>();
	readonly #peerUse = new MemoryReservations();
	readonly #near = new NearEndpoints();
	#sweep: Timer | undefined;

	constructor(context: EndpointContext, listener: EndpointListener) {
		this.#context = context;
		this.#listener = listener;
	}

	/** Starts to drop what stays vanished. */
	start(): void {
		const {clock} = this.#context;
		this.#sweep = clock.after(sweepMs, () => {
			this.note(this.book.sweep(clock.now()), 'grace');
			this.start();
		});
	}

	/** Stops and closes all connections. */
	close(): void {
		this.#sweep?.stop();
		for (const {connections} of this.#uses.values()) {
			connections.destroy();
		}
	}

	/** Writes down what changed in the book; `source` says where the news came from, `ageMs` how long ago the directory was read for it. */
	note(changes: readonly EndpointChange[], source: string, ageMs = 0): void {
		for (const {endpoint, change, position} of changes) {
			const {id, service, address, stage, hall} = endpoint;
			this.#context.log('endpointChanged', {
				endpoint: id, service, address, stage, endpointHall: hall, change, ...position, source, ageMs: Math.round(ageMs),
			});
			if (departing.has(change)) {
				this.#noteDeparture(endpoint, ageMs);
			}

			this.#follow[change](endpoint);
		}
	}

	/** Takes over which endpoints another host knows to have left. */
	hearDepartures(departures: readonly Departure[], from: string): void {
		this.note(this.book.mergeDepartures(departures, this.#context.clock.now()), from);
	}

	/** Endpoints of a service that take new work, in the order to try them. */
	order(service: string, {stage, hall, tokens = 0, weights, bearable}: OrderWish): Endpoint[] {
		const now = this.#context.clock.now();
		const {candidates, near} = this.#listCandidates(service, stage);
		const weighed = isOff(this.#context, 'nearHalls') ? {...weights, otherHall: 0} : weights;
		return orderEndpoints(candidates, endpoint => this.#standingOf(endpoint, {tokens, bearable, near}, now), hall, weighed, this.#context.random);
	}

	/** Whether an endpoint may get a request of this host now. */
	isUsable(id: string): boolean {
		const now = this.#context.clock.now();
		return this.health.isUsable(id, now) && this.signals.waitMs(id, now) === 0;
	}

	/** Usable decode replicas of a service in this host's subset. */
	countDecode(service: string): number {
		const now = this.#context.clock.now();
		const {candidates, near} = this.#listCandidates(service, 'decode');
		return candidates.filter(({id}) => isNear(id, near) && this.health.isUsable(id, now)).length;
	}

	/** Notes memory that is taken at a decode replica without a send of this host in work there. */
	noteTaken(id: string, tokens: number, heldMs: number): void {
		this.#peerUse.add(id, tokens, heldMs, this.#context.clock.now());
	}

	/** Whether an endpoint said a moment ago that it had no room for as much. */
	isFull(id: string, tokens: number): boolean {
		return this.#uses.get(id)?.isFull(tokens, this.#context.clock.now()) ?? false;
	}

	/** Notes that an endpoint has no room for so many tokens. */
	noteFull(id: string, tokens: number): void {
		this.#uses.get(id)?.noteFull(tokens, this.#context.clock.now());
	}

	/** Connections to an endpoint. */
	connectionsOf(endpoint: Endpoint): Connections {
		return this.#useOf(endpoint).connections;
	}

	/** Notes work at an endpoint; the returned function ends it, once. */
	begin(endpoint: Endpoint, tokens: number): () => void {
		return this.#useOf(endpoint).begin(tokens, this.#context.clock.now(), () => {
			this.#listener.onRoom(endpoint.service);
		});
	}

	/** Sends of this host in work at an endpoint. */
	countOpen(id: string): number {
		return this.#uses.get(id)?.open ?? 0;
	}

	/** Prompts on their way to a replica that reads them: all at a prefill replica, at a decode replica those that no other has read. */
	queueOf(id: string): PrefillQueue {
		let queue = this.#queues.get(id);
		if (queue === undefined) {
			queue = new PrefillQueue(this.book.stageOf(id) === 'decode' ? decodePrefillFactor : 1);
			this.#queues.set(id, queue);
		}

		return queue;
	}

	/** Notes what became of a send. */
	judge({id, service, address}: Endpoint, outcome: Outcome): void {
		const {clock, log, metrics} = this.#context;
		if (isOff(this.#context, 'pauses')) {
			return;
		}

		const badness = this.health.badness(id, clock.now());
		const pause = this.health.end(id, outcome, clock.now());
		if (pause !== undefined) {
			log('endpointPaused', {
				endpoint: id, service, address, outcome, badness, pauseMs: Math.round(pause.leftMs), source: 'own',
			});
			metrics.add('pauses', {source: 'own'});
			this.#listener.onPause(pause);
		}
	}

	/** Takes what an endpoint states about itself in a response. */
	noteSignals(endpoint: Endpoint, statement: Statement): void {
		const {clock, log, metrics} = this.#context;
		for (const header of statement.signals.malformed) {
			metrics.add('signalsMalformed', {header});
			log('signalMalformed', {endpoint: endpoint.id, service: endpoint.service, header});
		}

		this.#noteSignalChanges(endpoint.id, this.signals.note(endpoint.id, statement, clock.now()), ownSource);
	}

	/** Takes over rate limits from another host. */
	receiveLimits(limits: readonly RateLimit[], from: string): void {
		for (const limit of limits) {
			if (this.book.isKnown(limit.endpoint)) {
				this.#noteSignalChanges(limit.endpoint, this.signals.mergeLimit(limit, from, this.#context.clock.now()), from);
			}
		}
	}

	/** Takes over drain notices from another host. */
	receiveDrains(endpoints: readonly string[], from: string): void {
		for (const endpoint of endpoints) {
			this.#noteSignalChanges(endpoint, this.signals.mergeDrain(endpoint, from), from);
		}
	}

	/** Endpoints that drain and that the directory still lists. */
	listDraining(): string[] {
		return this.signals.listDraining().filter(id => this.book.isKnown(id));
	}

	/** Shortest time until an endpoint of a service may get a request, in milliseconds; undefined: one may now, or there is none. */
	shortestWaitMs(service: string, stage: Endpoint['stage']): number | undefined {
		const now = this.#context.clock.now();
		const waits = this.book.listReady(service).filter(each => each.stage === stage).map(({id}) => this.signals.waitMs(id, now));
		return waits.length === 0 || waits.includes(0) ? undefined : Math.min(...waits);
	}

	/** Takes over another host's pause. */
	hearPause(pause: Pause, from: string): void {
		const {clock, log, metrics} = this.#context;
		if (from !== ownOrder && isOff(this.#context, 'pauseNews')) {
			return;
		}

		if (this.health.mergePause(pause, clock.now())) {
			log('endpointPaused', {endpoint: pause.endpoint, pauseMs: Math.round(pause.leftMs), source: from});
			metrics.add('pauses', {source: 'peer'});
		}
	}

	#noteSignalChanges(endpoint: string, changes: readonly SignalChange[], source: string): void {
		const {log, metrics} = this.#context;
		for (const {signal, change, value} of changes) {
			log('endpointSignal', {
				endpoint, signal, change, value, source,
			});
			metrics.add('signals', {signal, change, source: source === ownSource ? ownSource : 'peer'});
			if (source === ownSource) {
				this.#announce[signal](endpoint);
			}
		}
	}

	/** How late this host learns that an endpoint leaves, and whether it sent there although another host had read it. */
	#noteDeparture({id, service}: Endpoint, ageMs: number): void {
		const {clock, log, metrics} = this.#context;
		metrics.time('departure', ageMs);
		const sentMs = clock.now() - (this.#uses.get(id)?.beganAt ?? Number.NEGATIVE_INFINITY);
		if (sentMs < ageMs) {
			log('sentToLeaving', {
				endpoint: id, service, sentMs: Math.round(sentMs), ageMs: Math.round(ageMs),
			});
		}
	}

	/** Endpoints of one part of a service that take new work, and those of this host's subset among them. */
	#listCandidates(service: string, stage: Endpoint['stage']): Candidates {
		const now = this.#context.clock.now();
		const candidates = this.book.listReady(service).filter(each => each.stage === stage && this.signals.waitMs(each.id, now) === 0);
		return {candidates, near: this.#near.list(candidates, this.#listener.subset())};
	}

	#standingOf(endpoint: Endpoint, {tokens, bearable, near}: Weighing, now: number): EndpointStatus {
		const use = this.#uses.get(endpoint.id);
		return {
			load: this.#loadOf(endpoint, use, bearable, now),
			isUsable: this.health.isUsable(endpoint.id, now),
			failureRate: this.health.badness(endpoint.id, now),
			hasConnection: use?.connections.hasFree ?? false,
			isFull: this.isFull(endpoint.id, tokens),
			isInOtherSubset: !isNear(endpoint.id, near),
			isLimited: this.signals.limitOf(endpoint.id) !== undefined && now - (use?.beganAt ?? Number.NEGATIVE_INFINITY) < limitProbeMs,
			isRamping: this.#context.random.next() >= this.signals.rampShare(endpoint.id, now),
		};
	}

	/** A prefill replica's load is its queue, a decode replica's the memory taken from here and by the hosts that say so, another's the requests from here. */
	#loadOf({id, stage, slots}: Endpoint, use: EndpointUse | undefined, bearable: number, now: number): number {
		if (stage === 'prefill') {
			return this.queueOf(id).estimateMs(0, now) / wholeQueueMs;
		}

		if (bearable > 0) {
			return ((use?.tokens ?? 0) + this.#peerUse.sum(id, now)) / bearable;
		}

		return (use?.open ?? 0) / Math.max(1, slots);
	}

	#useOf({id}: Endpoint): EndpointUse {
		let use = this.#uses.get(id);
		if (use === undefined) {
			use = new EndpointUse(() => {
				this.#context.metrics.add('connections');
			});
			this.#uses.set(id, use);
		}

		return use;
	}

	/** Requests in work go on; nothing new starts. */
	#forget(id: string): void {
		const use = this.#uses.get(id);
		this.health.forget(id);
		this.signals.forgetLimit(id);
		this.#queues.delete(id);
		this.#peerUse.forget(id);
		if (use?.open === 0) {
			use.connections.destroy();
			this.#uses.delete(id);
		}
	}
}

function isNear(id: string, near: Candidates['near']): boolean {
	return near?.has(id) ?? true;
}

/** Endpoints that may be sent to. */
type Candidates = {
	readonly candidates: readonly Endpoint[];
	/** Those of this host's subset; undefined: all are. */
	readonly near: ReadonlySet<string> | undefined;
};

/** What endpoints are weighed for. */
type Weighing = Pick<Candidates, 'near'> & {
	readonly tokens: number;
	readonly bearable: number;
};

/** What a send looks for. */
export type OrderWish = {
	readonly stage: 'prefill' | 'decode' | undefined;
	/** The hall that is preferred. */
	readonly hall: string;
	/** Memory that the send needs, where memory bounds it. */
	readonly tokens?: number;
	readonly weights: PlacementWeights;
	/** Tokens that one endpoint bears, to weigh the own ones against; 0: requests are weighed against slots. */
	readonly bearable: number;
};
