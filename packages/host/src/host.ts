/** Composition root of a host process: creates its components, connects them, and starts and stops them in order. */
import {type Agent} from 'node:http';
import {HostRings} from '@gatehead/policy/core/lookup';
import {Ledger} from '@gatehead/policy/core/ledger';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type Bundle} from '@gatehead/schema/bundle';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {fail} from '@gatehead/schema/failure';
import {peerBatch, type MemberRecord, type PeerMessage} from '@gatehead/schema/peer-message';
import {AdminServer} from './admin/admin-server.js';
import {BundleStore} from './core/bundle-store.js';
import {BundleWatcher} from './core/bundle-watcher.js';
import {Canceller} from './core/canceller.js';
import {makeContext, type Context, type ContextOptions} from './core/context.js';
import {EngineClient} from './core/engine-client.js';
import {makeKeepAliveAgent} from './core/http-call.js';
import {shutDownGracefully} from './core/graceful-shutdown.js';
import {PlatformClient} from './core/platform-client.js';
import {ReadinessCheck} from './core/readiness-check.js';
import {CallerServer} from './front/caller-server.js';
import {type FrontParts, type Job} from './front/parts.js';
import {Keeper} from './keeper/keeper.js';
import {LeaseClient} from './keeper/lease-client.js';
import {BundleSync} from './peer/bundle-sync.js';
import {Membership, type MembershipTransport} from './peer/membership.js';
import {PeerLinks} from './peer/peer-links.js';
import {Roster} from './peer/roster.js';
import {runCloseSteps} from './utils/close-steps.js';

const defaultLookupTtlMs = 20_000;
const ledgerSweepMs = 5000;

/** Addresses on which a process listens. */
export type BoundAddresses = {
	readonly caller: string;
	readonly peer: string;
	readonly admin: string;
};

/** A host process. */
export class Host {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly links: PeerLinks<PeerMessage>;
	readonly membership: Membership;
	readonly keeper: Keeper;
	readonly #agent: Agent = makeKeepAliveAgent();
	readonly #engineClient = new EngineClient();
	readonly #canceller: Canceller;
	readonly #platformClient: PlatformClient;
	readonly #bundleWatcher: BundleWatcher;
	readonly #bundleSpread: BundleSync;
	readonly #leaseClient: LeaseClient;
	readonly #readiness: ReadinessCheck;
	readonly #callerFront: CallerServer;
	readonly #adminServer: AdminServer;
	readonly #frontParts: FrontParts;
	#rings: {readonly sequence: number; readonly rings: HostRings} | undefined;
	#sweepTimer: Timer | undefined;
	#isClosed = false;

	constructor(contextOptions: ContextOptions) {
		const context = makeContext(contextOptions);
		const send = (host: string, message: PeerMessage) => {
			this.links.send(host, message);
		};

		const candidates = () => this.#listKeeperCandidates();
		const isLeaving = (endpoint: string) => this.membership.leavingEndpoints.has(endpoint);
		this.context = context;
		this.bundles = new BundleStore(context);
		this.#platformClient = new PlatformClient(context);
		this.#canceller = new Canceller(context, this.#engineClient, engine => this.bundles.inForce?.bundle.engines.some(each => each.name === engine) ?? true);
		this.#readiness = new ReadinessCheck(context, this.bundles, this.#engineClient);
		this.links = new PeerLinks(context, peerBatch, {
			onMessage: (from, message) => {
				this.#handleMessage(from, message);
			},
			onLost: (host, isRefused) => {
				this.membership.handleLinkLoss(host, isRefused);
			},
			localRecord: () => this.membership.members.self,
			addressOf: host => this.membership.members.recordOf(host)?.peerAddress,
		});
		this.keeper = new Keeper({
			context,
			client: this.#engineClient,
			canceller: this.#canceller,
			bundles: this.bundles,
			candidates,
			send,
			isLeaving,
			onHigherFence: fence => {
				this.#requestNewerBundle(fence);
			},
		});
		this.membership = new Membership({
			context,
			transport: this.#makeVoice(send),
			createRoster: onRead => new Roster(context, this.#platformClient, onRead),
			measureLoad: () => this.#measureLoad(),
			onChange: () => {
				this.#onMembersChanged();
			},
			onPause: () => {
				this.keeper.resetTimeouts();
				this.#leaseClient.renew();
			},
		}, makeOwnRecord(context));
		this.#bundleSpread = new BundleSync({
			context, bundles: this.bundles, send, candidates,
		});
		this.#bundleWatcher = new BundleWatcher({
			context, bundles: this.bundles, platform: this.#platformClient, isWatcher: () => this.#bundleSpread.isWatcher(),
		});
		this.#leaseClient = new LeaseClient({
			context, links: () => this.links, cells: () => this.keeper.cells, candidates,
		});
		this.#frontParts = {
			context,
			bundles: this.bundles,
			fleet: {list: () => this.membership.members.list(), rings: () => this.#getRings(), keepersOf: model => this.keeper.keepersOf(model, this.membership.members.sequence)},
			ledger: new Ledger<Job>(context.settings.limits.ledgerEntries),
			isReady: () => this.#readiness.isReady,
			isStopping: () => this.#callerFront.isStopping,
			attempts: {
				context, client: this.#engineClient, canceller: this.#canceller, leases: this.#leaseClient, findEngine: name => this.#getBundle().engines.find(each => each.name === name),
			},
		};
		this.#callerFront = new CallerServer(this.#frontParts, {context, agent: this.#agent, acceptsWork: (_service, replica) => !this.#isClosed && !isLeaving(replica)});
		this.#adminServer = new AdminServer({
			context, bundles: this.bundles, membership: this.membership, keeper: this.keeper,
			isReady: () => this.#readiness.isReady, countInFlight: () => this.#countInFlight(), isConfigurationUnavailable: () => this.#bundleWatcher.isUnavailable,
		});
		this.bundles.onAdopted(() => {
			this.#leaseClient.handleKeeperChange();
			this.membership.announceNow();
		});
	}

	/** Whether the host may serve requests; see `ReadinessCheck`. */
	get isReady(): boolean {
		return this.#readiness.isReady;
	}

	/** Whether a graceful shutdown has reached the point where new requests are refused. */
	get isStopping(): boolean {
		return this.#callerFront.isStopping;
	}

	/** Starts all components; resolves once all addresses are bound. */
	async start(): Promise<BoundAddresses> {
		const {settings, log, timeline} = this.context;
		const peer = await this.links.listen();
		const caller = await this.#callerFront.listen();
		const admin = await this.#adminServer.listen();
		this.membership.members.updateSelf({callerAddress: caller, peerAddress: peer, adminAddress: admin});
		this.membership.start();
		for (const seed of settings.seeds) {
			this.links.contact(seed);
		}

		this.#bundleWatcher.start();
		this.#leaseClient.start();
		this.#sweepLedger();
		log('started', {caller, peer, admin});
		timeline.record({kind: 'started'});
		return {caller, peer, admin};
	}

	/** Shuts down gracefully. */
	async stop(): Promise<void> {
		await shutDownGracefully({
			context: this.context,
			lookupTtlMs: () => this.bundles.inForce?.bundle.rules.lookupTtlMs ?? defaultLookupTtlMs,
			announceLeaving: () => {
				this.membership.leave();
				this.#onMembersChanged();
			},
			refuseNewRequests: () => {
				this.#callerFront.rejectNewRequests();
			},
			countArrivals: () => this.#callerFront.arrivals,
			countInFlight: () => this.#countInFlight(),
			rejectOpen: () => {
				this.#callerFront.rejectOpen();
			},
		});
		this.context.log('stopped', {open: this.#callerFront.openRequests});
		await this.close();
	}

	/** Stops immediately: requests in flight are interrupted, and peers are not notified. */
	async close(): Promise<void> {
		this.#isClosed = true;
		this.#sweepTimer?.stop();
		const {log, counters} = this.context;
		await runCloseSteps(log, [
			() => {
				this.links.close();
			},
			() => {
				this.#engineClient.close();
			},
			() => {
				this.#bundleWatcher.stop();
			},
			() => {
				this.membership.stop();
			},
			() => {
				this.#leaseClient.stop();
			},
			() => {
				this.keeper.stop();
			},
			async () => this.#callerFront.close(),
			async () => this.#adminServer.close(),
		]);
		await runCloseSteps(log, [
			() => {
				this.#canceller.close();
			},
			() => {
				this.#platformClient.close();
			},
			() => {
				this.#agent.destroy();
			},
			() => {
				counters.close();
			},
		]);
	}

	#getBundle(): Bundle {
		return this.bundles.inForce?.bundle ?? fail('notReady');
	}

	/** Periodically removes ended and expired entries from the ledger. */
	#sweepLedger(): void {
		const {clock} = this.context;
		this.#frontParts.ledger.sweep(clock.now());
		this.#sweepTimer = clock.after(ledgerSweepMs, () => {
			this.#sweepLedger();
		});
	}

	#makeVoice(send: (host: string, message: PeerMessage) => void): MembershipTransport {
		const {self, hybrid} = this.context;
		return {
			heartbeat: (host, {isAnswer, news}) => {
				const {version, inForce} = this.bundles;
				send(host, {
					kind: 'heartbeat', isAnswer, news: [...news], bundleVersion: version, manifestDigest: inForce?.manifestDigest ?? '', clock: hybrid.stamp(),
				});
			},
			doubt(host, record) {
				send(host, {kind: 'doubt', record});
			},
			hello: host => {
				send(host, {kind: 'hello', from: self, record: this.membership.members.self});
			},
			resetLink: host => {
				this.links.resetLink(host);
			},
		};
	}

	/** Rebuilds the rings only if a member record has changed. */
	#getRings(): HostRings {
		const {members} = this.membership;
		if (this.#rings?.sequence !== members.sequence) {
			this.#rings = {sequence: members.sequence, rings: new HostRings(members.list())};
		}

		return this.#rings.rings;
	}

	#countInFlight(): number {
		return this.#callerFront.openRequests + this.#canceller.countAwaited();
	}

	#measureLoad(): number {
		return Math.min(1, this.#callerFront.openRequests / this.context.settings.limits.requests);
	}

	/** Hosts that may keep cells: live hosts with a known incarnation, or all reachable hosts if there are none. */
	#listKeeperCandidates(): MemberRecord[] {
		const reachable = this.membership.members.listReachable();
		const alive = reachable.filter(({state, incarnation}) => state === 'alive' && incarnation > 0);
		return alive.length > 0 ? alive : reachable;
	}

	#onMembersChanged(): void {
		this.keeper.updateAssignments();
		this.#leaseClient.handleKeeperChange();
	}

	/** Asks neighbours for the bundle when an engine has accepted a fence above the highest one known. */
	#requestNewerBundle(fence: number): void {
		if (!this.#readiness.recordFence(fence)) {
			return;
		}

		for (const host of this.membership.members.neighbours()) {
			this.#bundleSpread.requestBundle(host);
		}
	}

	#handleMessage(from: Owner, message: PeerMessage): void {
		switch (message.kind) {
			case 'hello': {
				this.membership.handleHello(message.record);
				return;
			}

			case 'doubt': {
				this.membership.handleDoubt(from, message.record);
				return;
			}

			case 'heartbeat': {
				this.context.hybrid.receive(message.clock);
				this.membership.handleHeartbeat(from, message);
				this.#bundleSpread.handleHeartbeat(from.host, message);
				return;
			}

			case 'bundleWanted': {
				this.#bundleSpread.sendBundle(from.host, message);
				return;
			}

			case 'bundle': {
				this.#bundleSpread.handleBundle(message);
				return;
			}

			case 'prefillGrant':
			case 'decodeGrant':
			case 'refusal':
			case 'notKeeper': {
				this.#leaseClient.handleMessage(message);
				return;
			}

			case 'ask':
			case 'withdraw':
			case 'prefilled':
			case 'started':
			case 'bounced':
			case 'release':
			case 'claims': {
				this.keeper.handleMessage(from.host, message);
			}
		}
	}
}

function makeOwnRecord({settings, self}: Context): MemberRecord {
	const {listen} = settings;
	return {
		host: self.host, hall: settings.hall, region: settings.region, incarnation: self.incarnation, counter: 0, state: 'alive', callerAddress: listen.caller, peerAddress: listen.peer, adminAddress: listen.admin, load: 0,
	};
}
