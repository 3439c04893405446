/**
 * State of the endpoints that this host sends to: readiness, health, signals,
 * sends in flight and connections. Safety: an endpoint that is leaving is not
 * selected for new requests.
 */
import {EndpointContacts} from '@gatehead/policy/relay/endpoint-contacts';
import {EndpointBook} from '@gatehead/policy/relay/endpoint-book';
import {type EndpointChange} from '@gatehead/policy/relay/endpoint-change';
import {
	ownSource, SignalBook, type SignalChange, type Statement,
} from '@gatehead/policy/relay/endpoint-signals';
import {type EndpointPace} from '@gatehead/policy/relay/endpoint-pace';
import {EndpointHealth, type Outcome, type Pause} from '@gatehead/policy/relay/endpoint-health';
import {MemoryForecast} from '@gatehead/policy/relay/memory-forecast';
import {MemoryReservations} from '@gatehead/policy/relay/memory-reservations';
import {orderEndpoints, type PlacementWeights, type EndpointStatus} from '@gatehead/policy/relay/placement';
import {PrefillQueue} from '@gatehead/policy/relay/prefill-queue';
import {decodePrefillFactor} from '@gatehead/policy/relay/stage-split';
import {type Subset} from '@gatehead/policy/relay/subsets';
import {type Departure} from '@gatehead/policy/relay/departures';
import {VersionHistory} from '@gatehead/policy/relay/version-history';
import {type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type RateLimit} from '@gatehead/schema/relay-message';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {type BaseContext, type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {type ConnectionPool} from './connection-pool.js';
import {EndpointUse} from './endpoint-use.js';
import {ManagedLoad, type PlacementNeeds} from './managed-load.js';
import {SubsetCache} from './subset-cache.js';

/** Interval of the checks for vanished entries, in milliseconds: short compared with their grace periods. */
const sweepIntervalMs = 250;
/** Prefill queue that counts as a load of 1, in milliseconds: a few prompts. */
const fullLoadQueueMs = 300;

/** Time without a request after which a rate-limited endpoint is placed like any other, in milliseconds: only a response can change its limit. */
const limitProbeMs = 1000;

/** Source of a pause that follows from a stage order of this host. */
export const ownOrderSource = 'order';

/** Changes after which an endpoint takes no new work for good. */
const departureChanges: ReadonlySet<EndpointChange['change']> = new Set(['leaving', 'outdated', 'gone']);

type EndpointContext = BaseContext & Pick<RelayContext, 'settings'>;

/** Callbacks for changes, and the source of this host's subset. */
export type EndpointListener = {
	/** This host has paused an endpoint. */
	onPause(pause: Pause): void;
	/** An endpoint is known to be gone. */
	onGone(endpoint: Endpoint): void;
	/** A response to this host shows that an endpoint's rate limit started, changed or ended. */
	onLimit(endpoint: string): void;
	/** An endpoint has announced to this host that it is draining. */
	onDrain(endpoint: string): void;
	/** An attempt of this host to connect to an endpoint has failed. */
	onLinkFailure(endpoint: Endpoint): void;
	/** A service may have free capacity again. */
	onCapacityFreed(service: string): void;
	/** This host's subset among the fleet's. */
	subset(): Subset;
	/** Whether the active configuration calls for load management. */
	isLoadManaged(): boolean;
};

/** Endpoints as one host knows them. */
export class Endpoints {
	readonly signals = new SignalBook();
	readonly book = new EndpointBook(id => this.signals.isDraining(id));
	readonly health = new EndpointHealth();
	readonly contacts = new EndpointContacts();
	readonly versions: VersionHistory;
	/** Expected memory of decode replicas; used where load is managed. */
	readonly memoryForecast = new MemoryForecast();
	/** Paces and loads where load is managed. */
	readonly managed: ManagedLoad;
	readonly #context: EndpointContext;
	readonly #listener: EndpointListener;
	readonly #changeHandlers: Readonly<Record<EndpointChange['change'], (endpoint: Endpoint) => void>> = {
		added: ({service}) => {
			this.#listener.onCapacityFreed(service);
		},
		changed: ({service}) => {
			this.#listener.onCapacityFreed(service);
		},
		restaged: ({id, service}) => {
			// Its failures were in the other stage
			this.health.forget(id);
			this.#queues.delete(id);
			this.#listener.onCapacityFreed(service);
		},
		leaving: ignore,
		unreadable: ignore,
		vanished: ignore,
		outdated: ignore,
		gone: endpoint => {
			this.versions.forget(endpoint.id, this.#context.clock.now());
			this.#listener.onGone(endpoint);
			this.#forget(endpoint.id);
		},
	};

	/** Passes on signals that other hosts have to know. A backoff period concerns this host only. */
	readonly #signalHandlers: Readonly<Record<SignalChange['signal'], (endpoint: string) => void>> = {
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
	readonly #subsets = new SubsetCache();
	#sweepTimer: Timer | undefined;

	constructor(context: EndpointContext, listener: EndpointListener) {
		this.#context = context;
		this.#listener = listener;
		this.versions = new VersionHistory(context.settings.start);
		this.managed = new ManagedLoad({context, isManaged: () => listener.isLoadManaged(), isKnown: id => this.book.isKnown(id)});
	}

	/** Pace of each endpoint relative to its service. */
	get pace(): EndpointPace {
		return this.managed.pace;
	}

	/** Whether the active configuration calls for load management. */
	get isLoadManaged(): boolean {
		return this.#listener.isLoadManaged();
	}

	/** Starts the periodic removal of vanished entries. */
	start(): void {
		const {clock} = this.#context;
		this.#sweepTimer = clock.after(sweepIntervalMs, () => {
			this.note(this.book.sweep(clock.now()), 'grace');
			this.start();
		});
	}

	/** Stops the periodic removal and closes all connections. */
	close(): void {
		this.#sweepTimer?.stop();
		for (const {connections} of this.#uses.values()) {
			connections.destroy();
		}
	}

	/** Logs and handles directory changes. `source`: where they came from; `ageMs`: how long ago they were read from the directory. */
	note(changes: readonly EndpointChange[], source: string, ageMs = 0): void {
		for (const {endpoint, change, position} of changes) {
			const {id, service, address, stage, hall, softwareVersion} = endpoint;
			this.#context.log('endpointChanged', {
				endpoint: id, service, address, stage, softwareVersion, endpointHall: hall, change, ...position, source, ageMs: Math.round(ageMs),
			});
			if (departureChanges.has(change)) {
				this.#reportDeparture(endpoint, ageMs);
			}

			this.versions.see(endpoint, this.#context.clock.now());
			this.#changeHandlers[change](endpoint);
		}
	}

	/** Merges departures that another host knows of. */
	mergeDepartures(departures: readonly Departure[], from: string): void {
		this.note(this.book.mergeDepartures(departures, this.#context.clock.now()), from);
	}

	/** Endpoints of a service that take new work, in the order in which to try them. */
	order(service: string, {stage, hall, tokens = 0, weights, capacityTokens, softwareVersion, preferredVersion, needs}: PlacementRequest): Endpoint[] {
		const now = this.#context.clock.now();
		const {candidates, subsetIds} = this.#listCandidates(service, stage, softwareVersion);
		const effectiveWeights = isOff(this.#context, 'nearHalls') ? {...weights, otherHall: 0} : weights;
		const managedNeeds = this.#listener.isLoadManaged() ? needs : undefined;
		const ordered = orderEndpoints(candidates, endpoint => this.#standingOf(endpoint, {
			tokens, capacityTokens, subsetIds, preferredVersion, needs: managedNeeds,
		}, now), hall, effectiveWeights, this.#context.random);
		return managedNeeds === undefined ? ordered : this.managed.moveProbe(ordered, managedNeeds, ({id}) => this.isUsable(id) && !this.isFull(id, tokens));
	}

	/** Whether an endpoint is in this host's subset, whose hosts report its load. */
	isInSubset({id, service, stage}: Endpoint): boolean {
		return isInSubset(id, this.#listCandidates(service, stage).subsetIds);
	}

	/** Whether this host may send a request to an endpoint now. */
	isUsable(id: string): boolean {
		const now = this.#context.clock.now();
		return this.health.isUsable(id, now) && this.signals.waitMs(id, now) === 0;
	}

	/** Number of usable decode replicas of a service in this host's subset. */
	countDecode(service: string): number {
		const now = this.#context.clock.now();
		const {candidates, subsetIds} = this.#listCandidates(service, 'decode');
		return candidates.filter(({id}) => isInSubset(id, subsetIds) && this.health.isUsable(id, now)).length;
	}

	/** Number of decode replicas of a service in this host's subset that take new work, whether this host has paused them or not. */
	countListedDecode(service: string): number {
		const {candidates, subsetIds} = this.#listCandidates(service, 'decode');
		return candidates.filter(({id}) => isInSubset(id, subsetIds)).length;
	}

	/** Fraction of a decode replica's memory that this host and its peers use, as far as it is known. */
	fillOf(id: string, capacityTokens: number): number {
		const tokens = (this.#uses.get(id)?.tokens ?? 0) + this.#peerUse.sum(id, this.#context.clock.now());
		return capacityTokens > 0 ? tokens / capacityTokens : 0;
	}

	/** Whether this host's subset has its own decode replicas; otherwise the whole fleet shares all. */
	hasOwnDecode(service: string): boolean {
		return this.#listCandidates(service, 'decode').subsetIds !== undefined;
	}

	/** Records memory that is in use at a decode replica for `heldMs` milliseconds without a send of this host in flight there. */
	recordMemoryInUse(id: string, tokens: number, heldMs: number): void {
		this.#peerUse.add(id, tokens, heldMs, this.#context.clock.now());
	}

	/** Whether an endpoint recently refused a request of at most this size for lack of capacity. */
	isFull(id: string, tokens: number): boolean {
		return this.#uses.get(id)?.isFull(tokens, this.#context.clock.now()) ?? false;
	}

	/** Records that an endpoint refused a request of this size, in tokens, for lack of capacity. */
	noteFull(id: string, tokens: number): void {
		this.#uses.get(id)?.noteFull(tokens, this.#context.clock.now());
	}

	/** Connection pool of an endpoint. */
	connectionsOf(endpoint: Endpoint): ConnectionPool {
		return this.#useOf(endpoint).connections;
	}

	/** Starts tracking a send of `tokens` tokens; the returned function ends it, and does nothing when called again. */
	begin(endpoint: Endpoint, tokens: number): () => void {
		return this.#useOf(endpoint).begin(tokens, this.#context.clock.now(), () => {
			this.#listener.onCapacityFreed(endpoint.service);
		});
	}

	/** Number of this host's sends in flight at an endpoint. */
	countOpen(id: string): number {
		return this.#uses.get(id)?.inFlight ?? 0;
	}

	/** Records that a connection with a request in flight was lost. */
	noteLostConnection(id: string): void {
		const use = this.#uses.get(id);
		if (use !== undefined) {
			use.lastLostAt = this.#context.clock.now();
		}
	}

	/** Whether a connection was lost at or after a time, and none is left. */
	hasLostConnections(endpoint: Endpoint, since: number): boolean {
		const lostAt = this.#uses.get(endpoint.id)?.lastLostAt ?? Number.NEGATIVE_INFINITY;
		return lostAt >= since && !this.connectionsOf(endpoint).isConnected;
	}

	/** Queue of prompts to be prefilled by a replica: all prompts of a prefill replica; of a decode replica, those without a prefill result. */
	queueOf(id: string): PrefillQueue {
		let queue = this.#queues.get(id);
		if (queue === undefined) {
			queue = new PrefillQueue(this.#prefillSlownessOf(id));
			this.#queues.set(id, queue);
		}

		const endpoint = this.book.endpointOf(id);
		const tokenMs = endpoint === undefined ? undefined : this.managed.prefillTokenMs(endpoint, this.#prefillSlownessOf(id));
		if (tokenMs !== undefined) {
			queue.seed(tokenMs);
		}

		return queue;
	}

	/** Records the outcome of a send; may pause the endpoint. */
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

	/** Records a failed attempt to connect that began at `from`. */
	recordLinkFailure(endpoint: Endpoint, from: number): void {
		this.contacts.recordFailure(endpoint.id, from);
		this.#listener.onLinkFailure(endpoint);
	}

	/** Applies the signals in an endpoint's response. */
	noteSignals(endpoint: Endpoint, statement: Statement): void {
		const {clock, log, metrics} = this.#context;
		for (const header of statement.signals.malformed) {
			metrics.add('signalsMalformed', {header});
			log('signalMalformed', {endpoint: endpoint.id, service: endpoint.service, header});
		}

		this.#reportSignalChanges(endpoint.id, this.signals.note(endpoint.id, statement, clock.now()), ownSource);
	}

	/** Forgets the failures of a service's endpoints, which were those of this host's links. */
	forgetFailures(service: string): void {
		for (const {id} of this.book.listReady(service)) {
			this.health.forget(id);
		}
	}

	/** Merges rate limits from another host. */
	receiveLimits(limits: readonly RateLimit[], from: string): void {
		for (const limit of limits) {
			if (this.book.isKnown(limit.endpoint)) {
				this.#reportSignalChanges(limit.endpoint, this.signals.mergeLimit(limit, from, this.#context.clock.now()), from);
			}
		}
	}

	/** Merges drain notices from another host. */
	receiveDrains(endpoints: readonly string[], from: string): void {
		for (const endpoint of endpoints) {
			this.#reportSignalChanges(endpoint, this.signals.mergeDrain(endpoint, from), from);
		}
	}

	/** Draining endpoints that the directory still lists. */
	listDraining(): string[] {
		return this.signals.listDraining().filter(id => this.book.isKnown(id));
	}

	/** Removes the state of an endpoint that is not listed. */
	release(id: string): void {
		if (!this.book.isKnown(id)) {
			this.#forget(id);
		}
	}

	/** Whether an endpoint of one software version takes new work, now or after its backoff. */
	hasVersion(service: string, stage: Endpoint['stage'], softwareVersion: string): boolean {
		return this.#listReady(service, stage, softwareVersion).length > 0;
	}

	/** Whether an endpoint of another software version takes new work, now or after its backoff. */
	hasOtherVersion(service: string, stage: Endpoint['stage'], softwareVersion: string): boolean {
		return this.#listReady(service, stage, undefined).some(each => versionOf(each) !== softwareVersion);
	}

	/** Whether an endpoint of one software version takes new work and is not set aside. */
	hasUsableVersion(service: string, stage: Endpoint['stage'], softwareVersion: string): boolean {
		return this.#listReady(service, stage, softwareVersion).some(({id}) => this.isUsable(id));
	}

	/** Whether an endpoint's current entry has the given software version; true if it has no entry any more. */
	isSameVersion({id, softwareVersion}: Pick<Endpoint, 'id' | 'softwareVersion'>): boolean {
		const known = this.book.endpointOf(id);
		return known === undefined || versionOf(known) === versionOf({softwareVersion});
	}

	/** Shortest time until an endpoint of a service may be sent a request, in milliseconds; undefined: one may now, or there is none. */
	shortestWaitMs(service: string, stage: Endpoint['stage'], softwareVersion?: string): number | undefined {
		const now = this.#context.clock.now();
		const waits = this.#listReady(service, stage, softwareVersion).map(({id}) => this.signals.waitMs(id, now));
		return waits.length === 0 || waits.includes(0) ? undefined : Math.min(...waits);
	}

	/** Merges a pause from another host. */
	mergePause(pause: Pause, from: string): void {
		const {clock, log, metrics} = this.#context;
		if (from !== ownOrderSource && isOff(this.#context, 'pauseNews')) {
			return;
		}

		if (this.health.mergePause(pause, clock.now())) {
			log('endpointPaused', {endpoint: pause.endpoint, pauseMs: Math.round(pause.leftMs), source: from});
			metrics.add('pauses', {source: 'peer'});
		}
	}

	#reportSignalChanges(endpoint: string, changes: readonly SignalChange[], source: string): void {
		const {log, metrics} = this.#context;
		for (const {signal, change, value} of changes) {
			log('endpointSignal', {
				endpoint, signal, change, value, source,
			});
			metrics.add('signals', {signal, change, source: source === ownSource ? ownSource : 'peer'});
			if (source === ownSource) {
				this.#signalHandlers[signal](endpoint);
			}
		}
	}

	/** Records how late this host learns of a departure, and logs if it sent to the endpoint after another host had read the change. */
	#reportDeparture({id, service}: Endpoint, ageMs: number): void {
		const {clock, log, metrics} = this.#context;
		metrics.time('departure', ageMs);
		const sinceSendMs = clock.now() - (this.#uses.get(id)?.lastSentAt ?? Number.NEGATIVE_INFINITY);
		if (sinceSendMs < ageMs) {
			log('sentToLeaving', {
				endpoint: id, service, sentMs: Math.round(sinceSendMs), ageMs: Math.round(ageMs),
			});
		}
	}

	/** Endpoints of one stage of a service that take new work, all or those of one software version, and which of them are in this host's subset. */
	#listCandidates(service: string, stage: Endpoint['stage'], softwareVersion?: string): Candidates {
		const now = this.#context.clock.now();
		const candidates = this.#listReady(service, stage, softwareVersion).filter(({id}) => this.signals.waitMs(id, now) === 0);
		return {candidates, subsetIds: this.#subsets.list(candidates, this.#listener.subset())};
	}

	#listReady(service: string, stage: Endpoint['stage'], softwareVersion: string | undefined): Endpoint[] {
		return this.book.listReady(service).filter(each => each.stage === stage && (softwareVersion === undefined || versionOf(each) === softwareVersion));
	}

	#standingOf(endpoint: Endpoint, context: PlacementContext, now: number): EndpointStatus {
		const {tokens, subsetIds, preferredVersion, needs} = context;
		const use = this.#uses.get(endpoint.id);
		const load = this.#loadOf(endpoint, use, context, now);
		return {
			load: needs === undefined ? load : this.managed.loadOf(endpoint, load, needs),
			isUsable: this.health.isUsable(endpoint.id, now),
			failureRate: this.health.badness(endpoint.id, now),
			hasConnection: use?.connections.hasIdle ?? false,
			isFull: this.isFull(endpoint.id, tokens),
			isInOtherSubset: !isInSubset(endpoint.id, subsetIds),
			isLimited: this.signals.limitOf(endpoint.id) !== undefined && now - (use?.lastSentAt ?? Number.NEGATIVE_INFINITY) < limitProbeMs,
			isOtherVersion: preferredVersion !== undefined && versionOf(endpoint) !== preferredVersion,
			isRamping: this.#context.random.next() >= this.signals.rampShare(endpoint.id, now),
		};
	}

	/** Prefill time per token at an endpoint, relative to a prefill replica. */
	#prefillSlownessOf(id: string): number {
		return this.book.stageOf(id) === 'decode' ? decodePrefillFactor : 1;
	}

	/** Load of an endpoint: the queue of a prefill replica, the memory that this host and its peers use at a decode replica, otherwise this host's sends per slot. */
	#loadOf({id, stage, slots}: Endpoint, use: EndpointUse | undefined, {capacityTokens, needs}: PlacementContext, now: number): number {
		if (stage === 'prefill') {
			return this.queueOf(id).estimateMs(needs?.promptTokens ?? 0, now) / fullLoadQueueMs;
		}

		if (capacityTokens > 0) {
			return ((use?.tokens ?? 0) + this.#peerUse.sum(id, now)) / capacityTokens;
		}

		return (use?.inFlight ?? 0) / Math.max(1, slots);
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

	/** Removes an endpoint's state; its connections stay open while sends are in flight. */
	#forget(id: string): void {
		const use = this.#uses.get(id);
		this.health.forget(id);
		this.contacts.forget(id);
		this.signals.forgetLimit(id);
		this.pace.forget(id);
		this.#queues.delete(id);
		this.#peerUse.forget(id);
		this.memoryForecast.forget(id);
		if (use?.inFlight === 0) {
			use.connections.destroy();
			this.#uses.delete(id);
		}
	}
}

function isInSubset(id: string, subsetIds: Candidates['subsetIds']): boolean {
	return subsetIds?.has(id) ?? true;
}

/** Endpoints that may be selected. */
type Candidates = {
	readonly candidates: readonly Endpoint[];
	/** Ids of those in this host's subset; undefined: all are. */
	readonly subsetIds: ReadonlySet<string> | undefined;
};

type PlacementContext = Pick<Candidates, 'subsetIds'> & {
	readonly tokens: number;
	readonly capacityTokens: number;
	readonly preferredVersion: string | undefined;
	/** Absent where load is not managed. */
	readonly needs: PlacementNeeds | undefined;
};

/** Requirements of a send for its endpoint. */
export type PlacementRequest = {
	readonly stage: 'prefill' | 'decode' | undefined;
	/** The preferred hall. */
	readonly hall: string;
	/** Memory that the send needs, in tokens; absent where memory is no limit. */
	readonly tokens?: number;
	readonly weights: PlacementWeights;
	/** Memory capacity of one endpoint, in tokens, relative to which the load is measured; 0: load is measured in requests per slot. */
	readonly capacityTokens: number;
	/** The only software version that the endpoint may run; absent: any. */
	readonly softwareVersion?: string | undefined;
	/** Software version to prefer; absent: none. */
	readonly preferredVersion?: string | undefined;
	/** Targets of the request; used only where load is managed. */
	readonly needs?: PlacementNeeds;
};
