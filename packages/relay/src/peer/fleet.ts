/**
 * Communication with the other hosts: membership over gRPC links, and
 * dispatch of messages about the configuration, endpoints, load, quotas and
 * rate limits. A host without peers keeps serving requests.
 */
import {Membership, type MembershipTransport} from '@gatehead/host/peer/membership';
import {PeerLinks} from '@gatehead/host/peer/peer-links';
import {
	isDirectoryReader, isReaderSilent, listConfirmers, readerRankKey, summarizeReading,
} from '@gatehead/policy/relay/directory-readers';
import {type Pause} from '@gatehead/policy/relay/endpoint-health';
import {HashRing} from '@gatehead/policy/core/hash-ring';
import {rankFirst} from '@gatehead/policy/core/rendezvous';
import {type FleetCensus} from '@gatehead/policy/relay/fleet-census';
import {hasOrderQuorum} from '@gatehead/policy/relay/order-quorum';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {
	relayBatch, type CrashReport, type RelayMessage, type RelayMessageOf,
} from '@gatehead/schema/relay-message';
import {Freshness} from '../access/freshness.js';
import {WorkspaceQuotas} from '../access/workspace-quotas.js';
import {type RelayContext} from '../core/context.js';
import {RateLimiter} from '../upstream/rate-limiter.js';
import {CensusTask} from './census-task.js';
import {DirectorySync} from './directory-sync.js';
import {type FleetParts, type HostLinks} from './fleet-parts.js';
import {RetryExchange} from './retry-exchange.js';
import {SeedContact} from './seed-contact.js';
import {KnownHosts} from './known-hosts.js';
import {makeForecastReport} from './forecast-report.js';
import {LoadGossip} from './load-gossip.js';
import {StreamRegistry} from './stream-registry.js';
import {TraceRegistry} from './trace-registry.js';
import {WatcherFailover} from './watcher-failover.js';

/** Delay before membership changes are announced, in milliseconds, to batch them. */
const announceDelayMs = 100;

/** Silence of a directory reader after which its neighbours read as well, in milliseconds: one lost heartbeat plus half an interval, and well before the reader is suspected. */
const readerSilenceMs = 1200;

type MessageHandler<Kind extends RelayMessage['kind']> = (from: Owner, message: RelayMessageOf<Kind>) => void;
type MessageHandlers = {readonly [Kind in RelayMessage['kind']]: MessageHandler<Kind>};

/** One host's view of the fleet. */
export class Fleet {
	readonly membership: Membership;
	/** Gossip about load among hosts that share endpoints. */
	readonly load: LoadGossip;
	/** Evidence that this host's configuration, with its list of keys, is up to date. */
	readonly freshness: Freshness;
	/** Failover of the directory watcher role. */
	readonly watcherFailover: WatcherFailover;
	/** Quotas shared by all hosts. */
	readonly quotas: WorkspaceQuotas;
	/** Rate limits of endpoints, shared by all hosts. */
	readonly limiter: RateLimiter;
	/** Exchange of unused parts of the retry allowance. */
	readonly retries: RetryExchange;
	/** Software versions at which streams began. */
	readonly streams: StreamRegistry;
	/** What engines held of runs when hosts started. */
	readonly traces: TraceRegistry;
	/** Time of the last membership change. */
	changedAt: number;
	/** Whether another host was the coordinator at any time since this process started. */
	hasSeenOtherCoordinator = false;
	readonly #parts: FleetParts;
	readonly #links: HostLinks;
	readonly #seedContact: SeedContact;
	#announceTimer: Timer | undefined;
	#knownStates = '';
	/** Hosts alive; computed on first use after a membership change. */
	#ring: HashRing | undefined;
	/** Whether this host performs a task, by the task; computed on first use after a membership change. */
	readonly #tasks = new Map<string, boolean>();
	readonly #directorySync: DirectorySync;
	readonly #knownHosts: KnownHosts;
	readonly #censusTask: CensusTask;
	readonly #handlers: MessageHandlers = {
		hello: (_from, {record}) => {
			this.membership.handleHello(record);
		},
		doubt: (from, {record}) => {
			this.membership.handleDoubt(from, record);
		},
		heartbeat: (from, message) => {
			this.#parts.context.hybrid.receive(message.clock);
			this.membership.handleHeartbeat(from, message);
			this.#mergeCrashReports(from.host, message.heldContents);
			this.#parts.endpoints.receiveDrains(message.draining, from.host);
			this.#directorySync.receiveHeartbeat(from.host, message);
		},
		directoryWanted: (from, message) => {
			this.#directorySync.sendUpdate(from.host, message);
		},
		directory: (from, message) => {
			this.#directorySync.applyUpdate(from.host, message);
		},
		crashes: (from, {reports}) => {
			this.#mergeCrashReports(from.host, reports);
		},
		paused: (from, {pause}) => {
			this.#mergePause(from.host, pause);
		},
		draining: (from, {endpoints}) => {
			this.#parts.endpoints.receiveDrains(endpoints, from.host);
		},
		reading: (_from, message) => {
			this.load.receivePrompt(message);
		},
		placed: (from, message) => {
			this.load.receiveReservation(from.host, message);
		},
		waiting: (from, message) => {
			this.load.receiveWaiting(from.host, message);
		},
		freshnessWanted: (from, message) => {
			this.freshness.handleRequest(from.host, message);
		},
		freshness: (from, message) => {
			this.freshness.handleReply(from.host, message);
		},
		quotaWanted: (from, message) => {
			this.quotas.handleRequest(from.host, message);
		},
		quotaGranted: (_from, message) => {
			this.quotas.handleGrant(message);
		},
		rateRound: (from, message) => {
			this.limiter.receiveRound(from, message);
		},
		rateLoan: (from, message) => {
			this.limiter.receiveLoan(from.host, message);
		},
		rateStated: (from, message) => {
			this.limiter.receiveStated(from.host, message);
		},
		rateWanted: (from, message) => {
			this.limiter.receiveWanted(from.host, message);
		},
		rateGranted: (_from, message) => {
			this.limiter.receiveGranted(message);
		},
		retriesWanted: (from, message) => {
			this.retries.receiveWanted(from.host, message);
		},
		retriesReturned: (from, message) => {
			this.retries.receiveReturned(from.host, message);
		},
		retriesGranted: (_from, message) => {
			this.retries.receiveGranted(message);
		},
		streamRecords: (from, message) => {
			this.streams.receiveRecords(from.host, message);
		},
		streamRecordsHeld: (_from, message) => {
			this.streams.receiveHeld(message);
		},
		streamWanted: (from, message) => {
			this.streams.receiveQuestion(from.host, message);
		},
		streamFound: (_from, message) => {
			this.streams.receiveFound(message);
		},
		runTraces: (_from, message) => {
			this.traces.receiveTraces(message);
		},
		tracesWanted: (from, message) => {
			void this.traces.receiveQuestion(from.host, message);
		},
		tracesFound: (_from, message) => {
			this.traces.receiveFound(message);
		},
	};

	constructor(parts: FleetParts) {
		const {context} = parts;
		this.#parts = parts;
		this.#censusTask = new CensusTask({
			context,
			listMembers: () => this.membership.members.list(),
			announce: census => {
				this.membership.members.updateSelf({census});
				this.announce();
			},
		});
		this.#knownHosts = new KnownHosts({
			clock: context.clock, listSeeds: () => this.census.seeds, listMembers: () => this.membership.members.list(),
		});
		this.changedAt = context.clock.now();
		const makeLinks = parts.makeLinks ?? (listener => new PeerLinks<RelayMessage>(context, relayBatch, listener));
		this.#links = makeLinks({
			onMessage: (from, message) => {
				this.#dispatch(from, message);
			},
			onLost: (host, isRefused) => {
				this.membership.handleLinkLoss(host, isRefused);
			},
			localRecord: () => this.membership.members.self,
			addressOf: host => this.membership.members.recordOf(host)?.peerAddress,
		});
		this.#seedContact = new SeedContact({
			clock: context.clock,
			seeds: context.settings.seeds,
			listReachable: () => this.membership.members.listReachable().map(({peerAddress}) => peerAddress),
			greet: address => {
				this.#links.contact(address);
			},
		});
		const send = (host: string, message: RelayMessage) => {
			this.#links.send(host, message);
		};

		this.load = new LoadGossip({
			context, endpoints: parts.endpoints, listManagedServices: () => parts.routing.managedServices, send,
		});
		this.load.register(makeForecastReport(parts.endpoints.memoryForecast));
		this.streams = new StreamRegistry({context, versions: parts.endpoints.versions, send});
		this.traces = new TraceRegistry({context, send, survey: parts.survey});
		const renew = (host: string) => {
			this.#links.resetLink(host);
		};

		const access = {
			context, routing: parts.routing, send, renew,
		};
		this.freshness = new Freshness({
			...access, watch: parts.watch, listConfirmers: () => listConfirmers(this.membership.members.self, this.#listAlive()),
		});
		this.watcherFailover = new WatcherFailover({
			context,
			listAlive: () => this.#listAlive(),
			self: () => this.membership.members.self,
			announce: directory => {
				this.membership.members.updateSelf({directory});
				this.announce();
			},
			watch: parts.watch,
		});
		this.quotas = new WorkspaceQuotas({
			...access,
			listHeard: () => this.membership.members.listReachable().map(({host}) => host),
			countKnown: () => this.#knownHosts.count(),
			isFleetKnown: () => this.#knownHosts.isFleetKnown,
		});
		this.limiter = new RateLimiter({
			context,
			send,
			reconnect: renew,
			signals: parts.endpoints.signals,
			receiveLimits(limits, from) {
				parts.endpoints.receiveLimits(limits, from);
			},
			listReachable: () => this.membership.members.listReachable(),
			countKnown: () => this.#knownHosts.count(),
			isFleetKnown: () => this.#knownHosts.isFleetKnown,
		});
		this.retries = new RetryExchange({
			context,
			budgetOf: parts.retryBudgetOf,
			averageShare: () => context.settings.retry.allowance / this.census.count,
			listReachable: () => this.membership.members.listReachable(),
			send,
		});
		this.#directorySync = new DirectorySync({
			...parts,
			isReader: () => this.isReader(),
			send,
			announce: () => {
				this.announce();
			},
		});
		this.membership = new Membership({
			context,
			transport: this.#makeVoice(),
			measureLoad: parts.measureLoad,
			onChange: () => {
				context.metrics.set('hosts', this.countHosts());
				this.#handleMembershipChange();
				this.#censusTask.handleMembershipChange();
				this.watcherFailover.handleMembershipChange();
				this.#scheduleAnnounce();
			},
			onPause: () => {
				this.changedAt = context.clock.now();
				parts.endpoints.versions.restart(context.clock.now());
				this.#seedContact.greet();
				// After a long pause the watch's connection may be dead and endpoint state outdated
				parts.watch().recheck();
			},
		}, makeOwnRecord(context));
	}

	/** Fraction of fleet-wide bounds that this host may use. */
	get census(): FleetCensus {
		return this.#censusTask.census;
	}

	/** Number of hosts, including this one, that are not considered dead. */
	countHosts(): number {
		return this.membership.members.list().filter(({state}) => state !== 'dead').length;
	}

	/** Whether this host reads the directory itself. */
	isReader(): boolean {
		const alive = this.#listAlive();
		return this.#directorySync.hasIncomparablePeer
			|| isDirectoryReader(this.membership.members.self, alive)
			|| isReaderSilent(new Set(this.membership.listSilent(readerSilenceMs)), alive)
			|| this.membership.isPartitioned(readerSilenceMs)
			|| this.watcherFailover.isTakingOver;
	}

	/** Whether this host is the first of the readers that reach the directory; it uses short watches to detect dead connections. */
	isPrimaryReader(): boolean {
		const alive = this.#listAlive();
		const {answering} = summarizeReading(alive);
		const first = answering[0] ?? rankFirst(readerRankKey, alive.map(({host}) => host));
		return first === this.#parts.context.self.host;
	}

	/** Whether this host ranks first among those alive, and so performs the task identified by `key` for the fleet. There is no consensus: hosts with different views may disagree. */
	isCoordinator(key = 'orders'): boolean {
		const alive = this.#listAlive().map(({host}) => host);
		return rankFirst(key, alive) === this.#parts.context.self.host;
	}

	/** Time since which the members are as they are now; infinite while this host has not found any other that it knows of. */
	get membersChangedAt(): number {
		const {seeds, listen} = this.#parts.context.settings;
		const isAlone = this.countHosts() === 1 && seeds.some(seed => seed !== (listen.advertisedPeer ?? listen.peer));
		return isAlone ? Number.POSITIVE_INFINITY : this.changedAt;
	}

	/** Whether this host is one of the `count` hosts alive that perform the task identified by `key`. */
	isAmong(count: number, key: string): boolean {
		const task = `${count} ${key}`;
		const known = this.#tasks.get(task);
		if (known !== undefined) {
			return known;
		}

		this.#ring ??= new HashRing(this.#listAlive().map(({host}) => host));
		const isOwn = this.#ring.list(key, count).includes(this.#parts.context.self.host);
		this.#tasks.set(task, isOwn);
		return isOwn;
	}

	/** Whether this host has heard of the fleet since its start, or may assume that there is none. */
	get isFleetKnown(): boolean {
		return this.#knownHosts.isFleetKnown;
	}

	/** Whether no host is left that this one may not have met since its start. */
	get hasMetOthers(): boolean {
		return this.#knownHosts.hasMetOthers;
	}

	/** Whether this host sees enough of the fleet to give orders. */
	hasOrderQuorum(): boolean {
		return hasOrderQuorum(this.membership.members.list(), this.census.seeds);
	}

	/** Starts; resolves once the listening address is bound. */
	async start(): Promise<void> {
		const boundAddress = await this.#links.listen();
		this.membership.members.updateSelf({peerAddress: this.#parts.context.settings.listen.advertisedPeer ?? boundAddress});
		this.membership.start();
		this.streams.start();
		this.traces.start();
		this.load.start();
		this.#censusTask.start();
		this.#seedContact.start();
	}

	/** Announces that this host is leaving. */
	leave(): void {
		this.membership.leave();
	}

	/** Replaces the seeds. */
	reload(seeds: readonly string[]): void {
		this.#seedContact.setSeeds(seeds);
		this.census.setSeeds(seeds);
	}

	/** Sends a heartbeat to all neighbours at once. */
	announce(): void {
		this.membership.announceNow();
	}

	/** Tells all hosts to which services this host has lost its links. */
	announceUnreachable(services: readonly string[]): void {
		this.membership.members.updateSelf({unreachable: services.length === 0 ? undefined : [...services]});
		this.announce();
	}

	/** Tells all hosts whether this one still asks engines after its start. */
	announceSurvey(isSurveying: boolean): void {
		this.membership.members.updateSelf({isSurveying});
		this.announce();
	}

	/** Sends the pause of a failing endpoint to all reachable hosts. */
	announcePause(pause: Pause): void {
		this.#broadcast({kind: 'paused', pause});
	}

	/** Sends a drain notice to all reachable hosts. */
	announceDrain(endpoint: string): void {
		this.#broadcast({kind: 'draining', endpoints: [endpoint]});
	}

	/** Sends reports of request contents that crash endpoints to all reachable hosts. */
	announceCrashes(reports: readonly CrashReport[]): void {
		this.#broadcast({kind: 'crashes', reports: [...reports]});
	}

	/** Closes all links. */
	close(): void {
		this.#seedContact.stop();
		this.#directorySync.close();
		this.#censusTask.stop();
		this.watcherFailover.stop();
		this.load.close();
		this.streams.close();
		this.traces.close();
		this.limiter.close();
		this.#announceTimer?.stop();
		this.membership.stop();
		this.#links.close();
	}

	#handleMembershipChange(): void {
		const states = this.membership.members.list().map(({host, state, incarnation}) => `${host} ${state} ${incarnation}`).join(';');
		if (states !== this.#knownStates) {
			this.#knownStates = states;
			this.#ring = undefined;
			this.#tasks.clear();
			this.changedAt = this.#parts.context.clock.now();
			this.hasSeenOtherCoordinator ||= !this.isCoordinator();
			this.load.setMembers(this.membership.members.list());
			this.streams.setMembers(this.membership.members.list());
			this.traces.setMembers(this.membership.members.list());
			this.#knownHosts.update(this.membership.members.list());
			this.quotas.handleMembershipChange();
			this.limiter.noteFleetChange();
		}
	}

	/** Merges crash reports. Evidence to the contrary goes to their sender alone, since many hosts may have some at once. */
	#mergeCrashReports(host: string, reports: readonly CrashReport[]): void {
		const contradictions = this.#parts.guard.mergeReports(reports);
		if (contradictions.length > 0) {
			this.#links.send(host, {kind: 'crashes', reports: contradictions});
		}
	}

	/** Announces membership changes in a batch, before the next heartbeat. */
	#scheduleAnnounce(): void {
		this.#announceTimer ??= this.#parts.context.clock.after(announceDelayMs, () => {
			this.#announceTimer = undefined;
			this.announce();
		});
	}

	#listAlive(): MemberRecord[] {
		return this.membership.members.list().filter(({state}) => state === 'alive');
	}

	/** Merges a pause from a host, unless that host has lost its own links to the service. */
	#mergePause(host: string, pause: Pause): void {
		const {endpoints} = this.#parts;
		const service = endpoints.book.serviceOf(pause.endpoint);
		const {unreachable} = this.membership.members.recordOf(host) ?? {};
		if (service === undefined || !unreachable?.includes(service)) {
			endpoints.mergePause(pause, host);
		}
	}

	/** Pauses for heartbeats, without those of endpoints to which this host has lost its links. */
	#listPauses(): Pause[] {
		const {context: {clock}, endpoints, reachability} = this.#parts;
		const pauses = endpoints.health.listPauses(clock.now());
		return pauses.filter(({endpoint}) => !reachability.isUnreachable(endpoints.book.serviceOf(endpoint) ?? ''));
	}

	#broadcast(message: RelayMessage): void {
		for (const {host} of this.membership.members.listReachable()) {
			if (host !== this.#parts.context.self.host) {
				this.#links.send(host, message);
			}
		}
	}

	#makeVoice(): MembershipTransport {
		const {context, endpoints, guard, routing, watch} = this.#parts;
		return {
			heartbeat: (host, {isAnswer, news}) => {
				this.#links.send(host, {
					kind: 'heartbeat',
					isAnswer,
					news: [...news],
					clock: context.hybrid.stamp(),
					routingVersion: routing.version,
					directoryRevision: watch().revision,
					directoryEpoch: watch().position?.epoch,
					departures: endpoints.book.listDepartures(context.clock.now()),
					pauses: this.#listPauses(),
					heldContents: guard.listHeld(),
					draining: endpoints.listDraining(),
				});
			},
			doubt: (host, record) => {
				this.#links.send(host, {kind: 'doubt', record});
			},
			hello: host => {
				this.#links.send(host, {kind: 'hello', from: context.self, record: this.membership.members.self});
			},
			resetLink: host => {
				this.#links.resetLink(host);
			},
		};
	}

	#dispatch<Kind extends RelayMessage['kind']>(from: Owner, message: RelayMessageOf<Kind> & {readonly kind: Kind}): void {
		const handle: MessageHandler<Kind> = this.#handlers[message.kind];
		handle(from, message);
	}
}

function makeOwnRecord({settings, self}: RelayContext): MemberRecord {
	const {listen} = settings;
	return {
		host: self.host,
		hall: settings.hall,
		region: settings.region,
		incarnation: self.incarnation,
		counter: 0,
		state: 'alive',
		callerAddress: listen.caller,
		peerAddress: listen.advertisedPeer ?? listen.peer,
		adminAddress: listen.metrics ?? '',
		load: 0,
		isSurveying: true,
		...(listen.forward === undefined ? {} : {forwardAddress: listen.forward}),
	};
}
