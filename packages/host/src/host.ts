/** One host process put together: its tasks, how they hear of each other, started and stopped in order. Safety rests on the tasks, not here. */
import {type Agent} from 'node:http';
import {HostRings} from '@gatehead/policy/core/lookup';
import {Ledger} from '@gatehead/policy/core/ledger';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type Bundle} from '@gatehead/schema/bundle';
import {type Owner} from '@gatehead/schema/engine-protocol';
import {fail} from '@gatehead/schema/failure';
import {peerBatch, type MemberRecord, type PeerMessage} from '@gatehead/schema/peer-message';
import {AdminFront} from './admin/admin-front.js';
import {BundleStore} from './core/bundle-store.js';
import {BundleWatch} from './core/bundle-watch.js';
import {Canceller} from './core/canceller.js';
import {makeContext, type Context, type ContextParts} from './core/context.js';
import {EngineClient} from './core/engine-client.js';
import {makeAgent} from './core/http-call.js';
import {stopAsPlanned} from './core/planned-stop.js';
import {PlatformClient} from './core/platform-client.js';
import {StartCheck} from './core/start-check.js';
import {CallerFront} from './front/caller-front.js';
import {type FrontParts, type Job} from './front/parts.js';
import {Keeper} from './keeper/keeper.js';
import {LeaseClient} from './keeper/lease-client.js';
import {BundleSpread} from './peer/bundle-spread.js';
import {Membership, type Voice} from './peer/membership.js';
import {PeerLinks} from './peer/peer-links.js';
import {Roster} from './peer/roster.js';

const defaultTtlMs = 20_000;
const sweepMs = 5000;

/** Addresses at which a process listens. */
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
	readonly #agent: Agent = makeAgent();
	readonly #client = new EngineClient();
	readonly #canceller: Canceller;
	readonly #platform: PlatformClient;
	readonly #watch: BundleWatch;
	readonly #spread: BundleSpread;
	readonly #leases: LeaseClient;
	readonly #check: StartCheck;
	readonly #front: CallerFront;
	readonly #admin: AdminFront;
	readonly #parts: FrontParts;
	#rings: {readonly sequence: number; readonly rings: HostRings} | undefined;
	#sweepTimer: Timer | undefined;
	#isClosed = false;

	constructor(contextParts: ContextParts) {
		const context = makeContext(contextParts);
		const send = (host: string, message: PeerMessage) => {
			this.links.send(host, message);
		};

		const candidates = () => this.#listKeeperCandidates();
		const isLeaving = (endpoint: string) => this.membership.leavingEndpoints.has(endpoint);
		this.context = context;
		this.bundles = new BundleStore(context);
		this.#platform = new PlatformClient(context);
		this.#canceller = new Canceller(context, this.#client, engine => this.bundles.inForce?.bundle.engines.some(each => each.name === engine) ?? true);
		this.#check = new StartCheck(context, this.bundles, this.#client);
		this.links = new PeerLinks(context, peerBatch, {
			onMessage: (from, message) => {
				this.#hear(from, message);
			},
			onLost: (host, isRefused) => {
				this.membership.lost(host, isRefused);
			},
			ownRecord: () => this.membership.members.self,
			addressOf: host => this.membership.members.recordOf(host)?.peerAddress,
		});
		this.keeper = new Keeper({
			context,
			client: this.#client,
			canceller: this.#canceller,
			bundles: this.bundles,
			candidates,
			send,
			isLeaving,
			onHigherFence: fence => {
				this.#fetchNewer(fence);
			},
		});
		this.membership = new Membership({
			context,
			voice: this.#makeVoice(send),
			makeRoster: onRead => new Roster(context, this.#platform, onRead),
			measureLoad: () => this.#measureLoad(),
			onChange: () => {
				this.#membersChanged();
			},
			onLateWake: () => {
				this.keeper.wakeLate();
				this.#leases.renew();
			},
		}, makeOwnRecord(context));
		this.#spread = new BundleSpread({
			context, bundles: this.bundles, send, candidates,
		});
		this.#watch = new BundleWatch({
			context, bundles: this.bundles, platform: this.#platform, isWatcher: () => this.#spread.isWatcher(),
		});
		this.#leases = new LeaseClient({
			context, links: () => this.links, cells: () => this.keeper.cells, candidates,
		});
		this.#parts = {
			context,
			bundles: this.bundles,
			fleet: {list: () => this.membership.members.list(), rings: () => this.#findRings(), keepersOf: model => this.keeper.keepersOf(model, this.membership.members.sequence)},
			ledger: new Ledger<Job>(context.settings.limits.ledgerEntries),
			isReady: () => this.#check.isReady,
			isStopping: () => this.#front.isStopping,
			attempts: {
				context, client: this.#client, canceller: this.#canceller, desk: this.#leases, findEngine: name => this.#bundle().engines.find(each => each.name === name),
			},
		};
		this.#front = new CallerFront(this.#parts, {context, agent: this.#agent, takesWork: (_service, replica) => !this.#isClosed && !isLeaving(replica)});
		this.#admin = new AdminFront({
			context, bundles: this.bundles, membership: this.membership, keeper: this.keeper, isReady: () => this.#check.isReady, countOpen: () => this.#countOpen(), isConfigurationDown: () => this.#watch.isDown,
		});
		this.bundles.onAdopted(() => {
			this.#leases.keepersChanged();
			this.membership.announceNow();
		});
	}

	/** Whether this process knows enough to serve. */
	get isReady(): boolean {
		return this.#check.isReady;
	}

	/** Whether a planned stop has come so far that new requests are refused. */
	get isStopping(): boolean {
		return this.#front.isStopping;
	}

	/** Starts all tasks; resolves once all addresses are bound. */
	async start(): Promise<BoundAddresses> {
		const {settings, log, timeline} = this.context;
		const peer = await this.links.listen();
		const caller = await this.#front.listen();
		const admin = await this.#admin.listen();
		this.membership.members.updateSelf({callerAddress: caller, peerAddress: peer, adminAddress: admin});
		this.membership.start();
		for (const seed of settings.seeds) {
			this.links.greet(seed);
		}

		this.#watch.start();
		this.#leases.start();
		this.#sweepLedger();
		log('started', {caller, peer, admin});
		timeline.note({kind: 'started'});
		return {caller, peer, admin};
	}

	/** Carries out a planned stop. */
	async stop(): Promise<void> {
		await stopAsPlanned({
			context: this.context,
			lookupTtlMs: () => this.bundles.inForce?.bundle.rules.lookupTtlMs ?? defaultTtlMs,
			leave: () => {
				this.membership.leave();
				this.#membersChanged();
			},
			refuseNew: () => {
				this.#front.refuseNew();
			},
			countOpen: () => this.#countOpen(),
		});
		this.context.log('stopped');
		await this.close();
	}

	/** Ends at once; what is in work is cut, and nobody is told. */
	async close(): Promise<void> {
		this.#isClosed = true;
		this.#sweepTimer?.stop();
		this.links.close();
		this.#client.close();
		this.#watch.stop();
		this.membership.stop();
		this.#leases.stop();
		this.keeper.stop();
		await this.#front.close();
		await this.#admin.close();
		this.#canceller.close();
		this.#platform.close();
		this.#agent.destroy();
		this.context.counters.close();
	}

	#bundle(): Bundle {
		return this.bundles.inForce?.bundle ?? fail('notReady');
	}

	/** Forgets now and then what has ended and lapsed. */
	#sweepLedger(): void {
		const {clock} = this.context;
		this.#parts.ledger.sweep(clock.now());
		this.#sweepTimer = clock.after(sweepMs, () => {
			this.#sweepLedger();
		});
	}

	#makeVoice(send: (host: string, message: PeerMessage) => void): Voice {
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
			renew: host => {
				this.links.renew(host);
			},
		};
	}

	/** Lays the hosts out anew only when something about them changed. */
	#findRings(): HostRings {
		const {members} = this.membership;
		if (this.#rings?.sequence !== members.sequence) {
			this.#rings = {sequence: members.sequence, rings: new HostRings(members.list())};
		}

		return this.#rings.rings;
	}

	#countOpen(): number {
		return this.#front.open + this.#canceller.countFresh();
	}

	#measureLoad(): number {
		return Math.min(1, this.#front.open / this.context.settings.limits.requests);
	}

	/** Hosts that may keep cells: those alive; where only leaving ones are left, these. */
	#listKeeperCandidates(): MemberRecord[] {
		const reachable = this.membership.members.listReachable();
		const alive = reachable.filter(({state, incarnation}) => state === 'alive' && incarnation > 0);
		return alive.length > 0 ? alive : reachable;
	}

	#membersChanged(): void {
		this.keeper.review();
		this.#leases.keepersChanged();
	}

	/** An endpoint has obeyed a newer bundle: somebody must have it. */
	#fetchNewer(fence: number): void {
		if (!this.#check.noteFence(fence)) {
			return;
		}

		for (const host of this.membership.members.neighbours()) {
			this.#spread.ask(host);
		}
	}

	#hear(from: Owner, message: PeerMessage): void {
		switch (message.kind) {
			case 'hello': {
				this.membership.hello(message.record);
				return;
			}

			case 'doubt': {
				this.membership.doubt(from, message.record);
				return;
			}

			case 'heartbeat': {
				this.context.hybrid.receive(message.clock);
				this.membership.heartbeat(from, message);
				this.#spread.heartbeat(from.host, message);
				return;
			}

			case 'bundleWanted': {
				this.#spread.give(from.host, message);
				return;
			}

			case 'bundle': {
				this.#spread.take(message);
				return;
			}

			case 'prefillGrant':
			case 'decodeGrant':
			case 'refusal':
			case 'notKeeper': {
				this.#leases.hear(message);
				return;
			}

			case 'ask':
			case 'withdraw':
			case 'prefilled':
			case 'started':
			case 'bounced':
			case 'release':
			case 'claims': {
				this.keeper.hear(from.host, message);
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
