/**
 * The other hosts: membership over gRPC links, and what hosts tell each
 * other: the newest configuration, endpoints where the directory is away,
 * endpoints that fail. Efficiency: a host that stands alone serves as well.
 */
import {Membership, type Voice} from '@gatehead/host/peer/membership';
import {PeerLinks} from '@gatehead/host/peer/peer-links';
import {
	isDirectoryReader, isReaderSilent, listConfirmers, readerMatter, viewReading,
} from '@gatehead/policy/relay/directory-readers';
import {type Pause} from '@gatehead/policy/relay/endpoint-health';
import {rankFirst} from '@gatehead/policy/core/rendezvous';
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
import {DirectoryNews} from './directory-news.js';
import {type FleetParts, type HostLinks} from './fleet-parts.js';
import {Greetings} from './greetings.js';
import {KnownHosts} from './known-hosts.js';
import {LoadNews} from './load-news.js';
import {WatcherFailover} from './watcher-failover.js';

/** Pause before news of hosts is passed on, in milliseconds: news that come together go together. */
const passOnMs = 100;

/** Silence of a reader after which its neighbours read as well, in milliseconds: a heartbeat that was lost, and half a tick. A second before it is suspect, which leaves the bound on leaving endpoints room for the rest of the way. */
const standInMs = 1200;

type Hearer<Kind extends RelayMessage['kind']> = (from: Owner, message: RelayMessageOf<Kind>) => void;
type Hearers = {readonly [Kind in RelayMessage['kind']]: Hearer<Kind>};

/** The fleet as one host knows it. */
export class Fleet {
	readonly membership: Membership;
	/** What is said of each request among hosts that share endpoints. */
	readonly load: LoadNews;
	/** How fresh this host's list of keys is. */
	readonly freshness: Freshness;
	/** Whether this host watches the directory in place of watchers that cannot. */
	readonly watcherFailover: WatcherFailover;
	/** Quotas that all hosts share. */
	readonly quotas: WorkspaceQuotas;
	/** Rate limits of endpoints, kept over all hosts. */
	readonly limiter: RateLimiter;
	/** When a host came, went, or was suspected last. */
	changedAt: number;
	/** Whether another host was the first by rank in this process's life. */
	hasFollowed = false;
	readonly #parts: FleetParts;
	readonly #links: HostLinks;
	readonly #greetings: Greetings;
	#passTimer: Timer | undefined;
	#known = '';
	readonly #news: DirectoryNews;
	readonly #hosts: KnownHosts;
	/** What is done with each kind of message. */
	readonly #hearers: Hearers = {
		hello: (_from, {record}) => {
			this.membership.hello(record);
		},
		doubt: (from, {record}) => {
			this.membership.doubt(from, record);
		},
		heartbeat: (from, message) => {
			this.#parts.context.hybrid.receive(message.clock);
			this.membership.heartbeat(from, message);
			this.#parts.guard.hear(message.heldContents);
			this.#parts.endpoints.receiveDrains(message.draining, from.host);
			this.#news.compare(from.host, message);
		},
		directoryWanted: (from, message) => {
			this.#news.give(from.host, message);
		},
		directory: (from, message) => {
			this.#news.take(from.host, message);
		},
		crashes: (_from, {reports}) => {
			this.#parts.guard.hear(reports);
		},
		paused: (from, {pause}) => {
			this.#parts.endpoints.hearPause(pause, from.host);
		},
		draining: (from, {endpoints}) => {
			this.#parts.endpoints.receiveDrains(endpoints, from.host);
		},
		reading: (_from, message) => {
			this.load.hearReading(message);
		},
		placed: (_from, message) => {
			this.load.hearPlaced(message);
		},
		waiting: (from, message) => {
			this.load.hearWaiting(from.host, message);
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
	};

	constructor(parts: FleetParts) {
		const {context} = parts;
		this.#parts = parts;
		this.#hosts = new KnownHosts(context.clock);
		this.changedAt = context.clock.now();
		const makeLinks = parts.makeLinks ?? (listener => new PeerLinks<RelayMessage>(context, relayBatch, listener));
		this.#links = makeLinks({
			onMessage: (from, message) => {
				this.#hear(from, message);
			},
			onLost: (host, isRefused) => {
				this.membership.lost(host, isRefused);
			},
			ownRecord: () => this.membership.members.self,
			addressOf: host => this.membership.members.recordOf(host)?.peerAddress,
		});
		this.#greetings = new Greetings({
			clock: context.clock,
			seeds: context.settings.seeds,
			listKnown: () => this.membership.members.listReachable().map(({peerAddress}) => peerAddress),
			greet: address => {
				this.#links.greet(address);
			},
		});
		const send = (host: string, message: RelayMessage) => {
			this.#links.send(host, message);
		};

		this.load = new LoadNews({context, endpoints: parts.endpoints, send});
		const renew = (host: string) => {
			this.#links.renew(host);
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
			countKnown: () => this.#hosts.count(),
		});
		this.limiter = new RateLimiter({
			context,
			send,
			renew,
			signals: parts.endpoints.signals,
			receiveLimits(limits, from) {
				parts.endpoints.receiveLimits(limits, from);
			},
			listReachable: () => this.membership.members.listReachable(),
			countKnown: () => this.#hosts.count(),
		});
		this.#news = new DirectoryNews({
			...parts,
			isReader: () => this.isReader(),
			send,
			announce: () => {
				this.announce();
			},
		});
		this.membership = new Membership({
			context,
			voice: this.#makeVoice(),
			measureLoad: parts.measureLoad,
			onChange: () => {
				context.metrics.set('hosts', this.countHosts());
				this.#noteChange();
				this.watcherFailover.noteFleet();
				this.#passOn();
			},
			onLateWake: () => {
				this.changedAt = context.clock.now();
				this.#greetings.greet();
				// Its connection may have died unseen, and what it knows of leaving endpoints is old
				parts.watch().doubt();
			},
		}, makeOwnRecord(context));
	}

	/** Hosts that may take part in what all share, this one among them: all but those held to be gone. */
	countHosts(): number {
		return this.membership.members.list().filter(({state}) => state !== 'dead').length;
	}

	/** Whether this host reads the directory itself. */
	isReader(): boolean {
		const alive = this.#listAlive();
		return this.#news.hearsUnplaced
			|| isDirectoryReader(this.membership.members.self, alive)
			|| isReaderSilent(new Set(this.membership.listSilent(standInMs)), alive)
			|| this.membership.hearsNobody(standInMs)
			|| this.watcherFailover.isTakingOver;
	}

	/** Whether this host is the first of those that read and are answered: the one whose reads are short, so that silence is noticed. */
	isFirstReader(): boolean {
		const alive = this.#listAlive();
		const {answering} = viewReading(alive);
		const first = answering[0] ?? rankFirst(readerMatter, alive.map(({host}) => host));
		return first === this.#parts.context.self.host;
	}

	/** Whether this host is the first by rank of those alive: the one that acts for all in a matter. */
	isFirst(matter = 'orders'): boolean {
		const alive = this.#listAlive().map(({host}) => host);
		return rankFirst(matter, alive) === this.#parts.context.self.host;
	}

	/** Whether more than half of all hosts known, those held to be gone among them, are alive. */
	hasMajority(): boolean {
		return 2 * this.#listAlive().length > this.membership.members.list().length;
	}

	/** Starts; resolves once the own address is bound. */
	async start(): Promise<void> {
		const boundAddress = await this.#links.listen();
		this.membership.members.updateSelf({peerAddress: this.#parts.context.settings.listen.advertisedPeer ?? boundAddress});
		this.membership.start();
		this.#greetings.start();
	}

	/** Says that this host is leaving. */
	leave(): void {
		this.membership.leave();
	}

	/** Takes over other seeds. */
	reload(seeds: readonly string[]): void {
		this.#greetings.setSeeds(seeds);
	}

	/** Tells the neighbours at once what is new. */
	announce(): void {
		this.membership.announceNow();
	}

	/** Tells all hosts that can be reached of an endpoint that fails. */
	tellPause(pause: Pause): void {
		this.#tellAll({kind: 'paused', pause});
	}

	/** Sends a drain notice to all hosts that can be reached. */
	announceDrain(endpoint: string): void {
		this.#tellAll({kind: 'draining', endpoints: [endpoint]});
	}

	/** Tells all hosts that can be reached of contents under which endpoints end. */
	tellCrashes(reports: readonly CrashReport[]): void {
		this.#tellAll({kind: 'crashes', reports: [...reports]});
	}

	/** Closes all links. */
	close(): void {
		this.#greetings.stop();
		this.#news.close();
		this.watcherFailover.stop();
		this.load.close();
		this.limiter.close();
		this.#passTimer?.stop();
		this.membership.stop();
		this.#links.close();
	}

	#noteChange(): void {
		const known = this.membership.members.list().map(({host, state, incarnation}) => `${host} ${state} ${incarnation}`).join(';');
		if (known !== this.#known) {
			this.#known = known;
			this.changedAt = this.#parts.context.clock.now();
			this.hasFollowed ||= !this.isFirst();
			this.load.setMembers(this.membership.members.list());
			this.#hosts.note(this.membership.members.list());
			this.quotas.handleMembershipChange();
			this.limiter.noteFleetChange();
		}
	}

	/** Passes news of hosts on before the next tick, a few together. */
	#passOn(): void {
		this.#passTimer ??= this.#parts.context.clock.after(passOnMs, () => {
			this.#passTimer = undefined;
			this.announce();
		});
	}

	#listAlive(): MemberRecord[] {
		return this.membership.members.list().filter(({state}) => state === 'alive');
	}

	#tellAll(message: RelayMessage): void {
		for (const {host} of this.membership.members.listReachable()) {
			if (host !== this.#parts.context.self.host) {
				this.#links.send(host, message);
			}
		}
	}

	#makeVoice(): Voice {
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
					pauses: endpoints.health.listPauses(context.clock.now()),
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
			renew: host => {
				this.#links.renew(host);
			},
		};
	}

	#hear<Kind extends RelayMessage['kind']>(from: Owner, message: RelayMessageOf<Kind> & {readonly kind: Kind}): void {
		const hear: Hearer<Kind> = this.#hearers[message.kind];
		hear(from, message);
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
	};
}
