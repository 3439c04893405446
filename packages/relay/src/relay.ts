/**
 * One relay process put together: its tasks, how they hear of each other,
 * started and stopped in order. Efficiency: a planned stop serves on until no
 * lookup can name this host. Safety rests on the tasks, not here.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelaySettings} from '@gatehead/schema/relay-settings';
import {type RelayStatus} from '@gatehead/schema/relay-status';
import {AccessControl} from './access/access-control.js';
import {makeRelayContext, type RelayContext, type RelayContextParts} from './core/context.js';
import {DirectoryWatch} from './core/directory-watch.js';
import {RoutingState} from './core/routing-state.js';
import {CallerFront} from './front/caller-front.js';
import {SideFront} from './front/side-front.js';
import {Fleet} from './peer/fleet.js';
import {CrashGuard} from './upstream/crash-guard.js';
import {CrashCheck} from './upstream/crash-check.js';
import {Endpoints} from './upstream/endpoints.js';
import {ControlCalls} from './upstream/control-calls.js';
import {Sender} from './upstream/sender.js';
import {RetryBudgets} from './work/retry-budgets.js';
import {runGeneration} from './work/generation.js';
import {type Job} from './work/job.js';
import {type JobEnd} from './work/job-end.js';
import {type WorkParts} from './work/parts.js';
import {runPlain} from './work/plain.js';
import {Admission} from './work/admission.js';
import {StageOrders} from './work/stage-orders.js';

/** Rest of the grace that is kept for ending, in milliseconds: closing takes some tens. */
const endMarginMs = 500;
/** Ticks until all hosts have heard that this one leaves: news is passed on at once, a tick is the longest that it waits. */
const newsTicks = 1;
/** Interval at which a stopping host looks whether anything is left in work, in milliseconds. */
const pollMs = 50;

/** A relay process. */
export class Relay {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	readonly fleet: Fleet;
	readonly guard: CrashGuard;
	readonly #watch: DirectoryWatch;
	readonly #front: CallerFront;
	readonly #side: SideFront;
	readonly #work: WorkParts;
	readonly #orders: StageOrders;
	#isStopping = false;

	constructor(parts: RelayContextParts) {
		const context = makeRelayContext(parts);
		this.context = context;
		this.endpoints = new Endpoints(context, {
			onPause: pause => {
				this.fleet.announcePause(pause);
			},
			onGone: endpoint => {
				this.guard.handleGone(endpoint);
				this.fleet.limiter.forget(endpoint.id);
			},
			onLimit: endpoint => {
				this.fleet.limiter.noteStated(endpoint);
			},
			onDrain: endpoint => {
				this.fleet.announceDrain(endpoint);
			},
			onCapacityFreed: service => {
				this.#work.admission.handleCapacityFreed(service);
			},
			subset: () => this.fleet.load.subset,
		});
		this.routing = new RoutingState(context, routing => {
			this.#front.limit(routing.callerLimits);
		});
		const endCheck = new CrashCheck(context, this.endpoints);
		this.guard = new CrashGuard({
			context,
			hasCrashed: async endpoint => endCheck.hasCrashed(endpoint),
			broadcast: reports => {
				this.fleet.announceCrashes(reports);
			},
			isTrialHost: content => this.fleet.isCoordinator(content),
		});
		this.fleet = new Fleet({
			context, guard: this.guard, endpoints: this.endpoints, routing: this.routing, watch: () => this.#watch, measureLoad: () => Math.min(1, this.#front.open / context.settings.limits.requests),
		});
		this.#watch = new DirectoryWatch({
			context,
			endpoints: this.endpoints,
			routing: this.routing,
			isReader: () => this.fleet.isReader(),
			isShortWatcher: () => this.fleet.isPrimaryReader(),
			onRead: outcome => {
				this.fleet.watcherFailover.handleRead(outcome);
			},
			onChange: () => {
				this.fleet.announce();
			},
		});
		const ownCalls = new ControlCalls(context, this.endpoints);
		const budgets = new RetryBudgets(context, () => this.fleet.countHosts());
		this.#orders = new StageOrders({
			context, endpoints: this.endpoints, routing: this.routing, fleet: this.fleet, watch: this.#watch, ownCalls, releaseRateOf: service => this.#work.admission.releaseRateOf(service), lastWaitedAt: service => this.#work.admission.lastWaitedAt(service),
		});
		const news = this.fleet.load;
		this.#work = {
			context,
			endpoints: this.endpoints,
			sender: new Sender({
				context, endpoints: this.endpoints, guard: this.guard, limiter: this.fleet.limiter,
			}),
			guard: this.guard,
			budgets,
			admission: new Admission({
				context, endpoints: this.endpoints, calls: ownCalls, news, limiter: this.fleet.limiter,
			}),
			ownCalls,
			orders: this.#orders,
			news,
		};
		this.#front = new CallerFront({
			context, routing: this.routing, budgets, guard: this.guard, freshness: this.fleet.freshness, accessControl: new AccessControl({routing: this.routing, freshness: this.fleet.freshness, quotas: this.fleet.quotas}), work: async job => this.#workOn(job),
		});
		this.#side = new SideFront({
			context,
			isReady: () => this.isReady,
			listMembers: () => this.#listForCallers(),
			refresh: () => {
				this.#refresh();
			},
			describe: () => this.describe(),
		});
	}

	/** Whether callers should come here. */
	get isReady(): boolean {
		return !this.#isStopping && this.routing.table !== undefined;
	}

	/** What operators see of this process. */
	describe(): RelayStatus {
		const {self, settings} = this.context;
		return {
			...self,
			hall: settings.hall,
			isReady: this.isReady,
			routingVersion: this.routing.version,
			directoryRevision: this.#watch.revision,
			directoryEpoch: this.#watch.position?.epoch,
			isDirectoryDown: this.#watch.isUnavailable,
			open: this.#front.open,
			waiting: this.#work.admission.waiting,
			retryLeft: Math.floor(this.#work.budgets.lowestLeft()),
			subset: this.fleet.load.subset,
			members: this.fleet.membership.members.list().map(({host, state}) => ({host, state})),
			services: this.#describeServices(),
			signals: this.endpoints.signals.list(this.context.clock.now()),
		};
	}

	/** Starts all tasks. */
	async start(): Promise<void> {
		const {log, settings: {listen, seeds}} = this.context;
		await this.#front.listen();
		await this.#side.listen();
		await this.fleet.start();
		this.endpoints.start();
		this.guard.start();
		this.#watch.start();
		this.#orders.start();
		log('started', {...listen, seeds: seeds.join(' '), incarnation: this.context.self.incarnation});
	}

	/** Takes over settings that were read again; what needs another process is left as it is. */
	reload({seeds}: RelaySettings): void {
		this.fleet.reload(seeds);
		this.context.log('settingsReloaded', {seeds: seeds.join(' ')});
	}

	/** A planned stop: out of lookups, on with what comes until no lookup can name this host, then only to the end of what is in work. */
	async stop(): Promise<void> {
		const {clock, log, settings: {timing}} = this.context;
		const startedAt = clock.now();
		this.#isStopping = true;
		this.#orders.stop();
		log('stopping', {open: this.#front.open});
		this.fleet.leave();
		this.#front.closeBehindAnswers();
		const acceptMs = (timing.lookupTtlMs * timing.lookupStretch) + (newsTicks * timing.tickMs);
		await this.#pause(Math.min(acceptMs, timing.graceMs / 2));
		this.#front.refuseNew();
		while (this.#front.open > 0 && clock.now() - startedAt < timing.graceMs - endMarginMs) {
			await this.#pause(pollMs);
		}

		log('stopped', {open: this.#front.open, tookMs: Math.round(clock.now() - startedAt)});
		await this.close();
	}

	/** Ends at once. */
	async close(): Promise<void> {
		this.#watch.stop();
		this.#orders.stop();
		this.guard.close();
		this.fleet.close();
		this.#work.admission.close();
		this.#side.close();
		await this.#front.close();
		this.endpoints.close();
		this.context.directory.close();
		this.context.metrics.close();
	}

	/** A host that must refuse requests with keys names the others alone, while it knows some. */
	#listForCallers(): readonly MemberRecord[] {
		const members = this.fleet.membership.members.list();
		const others = members.filter(({host}) => host !== this.context.self.host);
		const hasOthers = others.some(({state}) => state === 'alive');
		return this.fleet.freshness.isUnconfirmed && hasOthers ? others : members;
	}

	async #workOn(job: Job): Promise<JobEnd> {
		return job.service.engine === undefined ? runPlain(this.#work, job) : runGeneration(this.#work, job);
	}

	async #pause(milliseconds: number): Promise<void> {
		return new Promise<void>(resolve => {
			this.context.clock.after(milliseconds, resolve);
		});
	}

	#describeServices(): RelayStatus['services'] {
		const {endpoints} = this;
		const services = this.routing.table?.routing.services ?? [];
		return services.map(({name}) => {
			const ready = endpoints.book.listReady(name);
			return {service: name, ready: ready.length, paused: ready.filter(({id}) => !endpoints.isUsable(id)).length};
		});
	}

	#refresh(): void {
		const {metrics} = this.context;
		metrics.set('waiting', this.#work.admission.waiting);
		metrics.set('hosts', this.fleet.countHosts());
		metrics.set('retryLeft', this.#work.budgets.lowestLeft());
		const {signals} = this.endpoints;
		const now = this.context.clock.now();
		metrics.set('limitedEndpoints', signals.list(now).filter(({signal}) => signal === 'limit').length);
		metrics.set('drainingEndpoints', this.endpoints.listDraining().length);
		metrics.set('backingOffEndpoints', signals.list(now).filter(({signal}) => signal === 'backoff').length);
		metrics.set('evidenceAge', this.routing.ageMs());
		const {table} = this.routing;
		let ready = 0;
		for (const {name} of table?.routing.services ?? []) {
			ready += this.endpoints.book.listReady(name).length;
		}

		metrics.set('endpoints', ready);
	}
}
