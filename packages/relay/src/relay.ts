/**
 * Composition root of a relay process: creates its components, connects them,
 * and starts and stops them in order. Safety rests on the components.
 */
import process from 'node:process';
import {readUnreadRequests} from '@gatehead/host/utils/unread-requests';
import {type Pause} from '@gatehead/policy/relay/endpoint-health';
import {type StopDelay} from '@gatehead/host/utils/process-signals';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelaySettings} from '@gatehead/schema/relay-settings';
import {toFailure} from '@gatehead/schema/failure';
import {type Endpoint} from '@gatehead/schema/routing';
import {type PaceState, type RelayStatus} from '@gatehead/schema/relay-status';
import {readPast} from '@gatehead/policy/relay/past-endpoints';
import {planStop} from '@gatehead/policy/relay/stop-schedule';
import {StopWindow} from '@gatehead/policy/relay/stop-window';
import {AccessControl} from './access/access-control.js';
import {isOff} from './core/experiment.js';
import {makeRelayContext, type RelayContext, type RelayContextParts} from './core/context.js';
import {DirectoryWatch} from './core/directory-watch.js';
import {ListEvidence} from './core/list-evidence.js';
import {RoutingState} from './core/routing-state.js';
import {CallerServer} from './front/caller-server.js';
import {UnreadLimiter} from './front/unread-limiter.js';
import {ForwardServer} from './front/forward-server.js';
import {AuxiliaryServers} from './front/auxiliary-servers.js';
import {Fleet} from './peer/fleet.js';
import {CrashGuard} from './upstream/crash-guard.js';
import {CrashCheck} from './upstream/crash-check.js';
import {Endpoints} from './upstream/endpoints.js';
import {Reachability} from './upstream/reachability.js';
import {ControlCalls} from './upstream/control-calls.js';
import {RunSurvey} from './upstream/run-survey.js';
import {PeerForwarder} from './upstream/peer-forwarder.js';
import {Sender} from './upstream/sender.js';
import {RetryBudgets} from './work/retry-budgets.js';
import {runGeneration} from './work/generation.js';
import {type Job} from './work/job.js';
import {type JobEnd} from './work/job-end.js';
import {type WorkParts} from './work/parts.js';
import {runPlain} from './work/plain.js';
import {Admission} from './work/admission.js';
import {CallAdmission} from './work/call-admission.js';
import {RefusalCounts} from './work/refusal-counts.js';
import {describeService, type ServiceView} from './work/service-views.js';
import {StageOrders} from './work/stage-orders.js';
import {StreamVersions} from './work/stream-versions.js';

/** Time for the rejection of requests that are still in progress at the end of a stop, or that arrive on accepted connections, in milliseconds. */
const rejectionMs = 100;
/** Time for which a host that stood still near the end of a stop passes on what has arrived from endpoints meanwhile, in milliseconds. */
const catchUpMs = 150;
/** Longest time for reading what has arrived at once, in milliseconds. */
const maxReadMs = 150;
/** Time for which such a host reads what has arrived, where its connections should be closed by then, in milliseconds. */
const lateReadMs = 50;
/** Of a stop that no signal has requested. */
const noDelay: StopDelay = {sinceSeenMs: 0, sinceSentMs: 0};
/** Hosts that ask each engine after their start what it holds of earlier runs. */
const surveyorsPerEngine = 3;
/** Heartbeat intervals until all hosts know that this one is leaving; membership changes are sent at once, or at the next heartbeat at the latest. */
const gossipTicks = 1;
/** Interval at which a stopping host checks for active requests and open connections, in milliseconds. */
const drainPollMs = 50;

export class Relay {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	readonly fleet: Fleet;
	readonly guard: CrashGuard;
	readonly reachability: Reachability;
	readonly #watch: DirectoryWatch;
	readonly #callerServer: CallerServer;
	readonly #forwardServer: ForwardServer;
	readonly #forwarder: PeerForwarder;
	readonly #auxiliaryServers: AuxiliaryServers;
	readonly #handlerParts: WorkParts;
	readonly #stageOrders: StageOrders;
	readonly #survey: RunSurvey;
	readonly #unread: UnreadLimiter;
	readonly #refusals = new RefusalCounts();
	/** What each part shows operators of a service. */
	readonly #serviceViews: readonly ServiceView[] = [
		service => ({waiting: this.#handlerParts.admission.countWaiting(service), refusals: this.#refusals.list(service)}),
		service => (this.routing.isLoadManaged ? this.#handlerParts.admission.describeLoad(service) : {}),
		(service, now) => (this.routing.isLoadManaged ? {paces: this.#listPaces(service, now)} : {}),
		service => (this.routing.isLoadManaged ? {unreadBytes: this.#unread.bytesByService.get(service) ?? 0} : {}),
	];

	readonly #stopWindow = new StopWindow();
	#isStopping = false;
	/** When a stop closes connections at the latest. */
	#closesAt = Number.POSITIVE_INFINITY;
	/** When this host last woke from a standstill during its stop. */
	#wokeLateAt = Number.NEGATIVE_INFINITY;

	constructor(parts: RelayContextParts) {
		const context = makeRelayContext(parts);
		this.context = context;
		this.endpoints = new Endpoints(context, {
			onPause: pause => {
				void this.#announcePause(pause);
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
			onLinkFailure: ({service}) => {
				this.reachability.check(service);
			},
			onCapacityFreed: service => {
				this.#handlerParts.admission.handleCapacityFreed(service);
			},
			subset: () => this.fleet.load.subset,
			isLoadManaged: () => this.routing.isLoadManaged,
		});
		this.routing = new RoutingState(context, routing => {
			this.#callerServer.applyLimits(routing.callerLimits);
		});
		this.reachability = new Reachability({
			context,
			endpoints: this.endpoints,
			routing: this.routing,
			onChange: unreachable => {
				this.#handleLinkChange(unreachable);
			},
		});
		const crashCheck = new CrashCheck(context, this.endpoints);
		this.guard = new CrashGuard({
			context,
			hasCrashed: async endpoint => await crashCheck.hasCrashed(endpoint) && !(await this.#isPartitionedFrom(endpoint)),
			broadcast: reports => {
				this.fleet.announceCrashes(reports);
			},
			isTrialHost: content => this.fleet.isCoordinator(content),
		});
		this.fleet = new Fleet({
			context, guard: this.guard, endpoints: this.endpoints, routing: this.routing, retryBudgetOf: service => this.#handlerParts.budgets.budgetOf(service), watch: () => this.#watch, reachability: this.reachability, survey: () => this.#survey, measureLoad: () => Math.min(1, this.#callerServer.activeRequests / context.settings.limits.requests),
		});
		this.fleet.load.register({
			collect: service => this.endpoints.managed.collect(service),
			receive: (host, service, report, now) => {
				this.endpoints.managed.receive(host, service, report, now);
			},
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
			onPast: entries => {
				this.#recallEndpoints(entries);
			},
		});
		const ownCalls = new ControlCalls(context, this.endpoints);
		this.#survey = new RunSurvey({
			context,
			endpoints: this.endpoints,
			calls: ownCalls,
			host: context.self.host,
			membersChangedAt: () => this.fleet.membersChangedAt,
			isAsker: endpoint => this.fleet.isAmong(surveyorsPerEngine, endpoint),
			onTraces: traces => {
				this.fleet.traces.record(traces);
			},
			onProgress: isSurveying => {
				this.fleet.announceSurvey(isSurveying);
			},
		});
		const budgets = new RetryBudgets({context, census: this.fleet.census, exchange: this.fleet.retries});
		this.#stageOrders = new StageOrders({
			context, endpoints: this.endpoints, routing: this.routing, fleet: this.fleet, watch: this.#watch, ownCalls, reachability: this.reachability, releaseRateOf: service => this.#handlerParts.admission.releaseRateOf(service), lastWaitedAt: service => this.#handlerParts.admission.lastWaitedAt(service),
		});
		const evidence = new ListEvidence({clock: context.clock, watch: () => this.#watch});
		const streams = new StreamVersions({
			context, registry: this.fleet.streams, traces: this.fleet.traces, versions: this.endpoints.versions, hasMetOthers: () => this.fleet.hasMetOthers, watch: () => this.#watch,
		});
		const news = this.fleet.load;
		const calls = new CallAdmission({
			context,
			endpoints: this.endpoints,
			news,
			isManaged: () => this.routing.isLoadManaged,
			isLimiting: context.settings.load.callLimits,
			paceOf: (endpoint, now) => this.endpoints.pace.paceOf(endpoint, 'call', now),
			onDuration: (endpoint, tookMs) => {
				this.endpoints.managed.record(endpoint, 'call', 1, tookMs);
			},
		});
		news.register(calls.reports);
		this.#forwarder = new PeerForwarder({
			context, reachability: this.reachability, budgets, routingVersion: () => this.routing.version, listMembers: () => this.fleet.membership.members.list(),
		});
		this.#handlerParts = {
			context,
			endpoints: this.endpoints,
			evidence,
			sender: new Sender({
				context, endpoints: this.endpoints, guard: this.guard, limiter: this.fleet.limiter, budgets, crashCheck,
			}),
			forwarder: this.#forwarder,
			reachability: this.reachability,
			guard: this.guard,
			budgets,
			admission: new Admission({
				context, endpoints: this.endpoints, evidence, calls: ownCalls, news, limiter: this.fleet.limiter, reachability: this.reachability, routing: this.routing, stopWindow: this.#stopWindow,
			}),
			calls,
			ownCalls,
			orders: this.#stageOrders,
			news,
			streams,
			stopWindow: this.#stopWindow,
		};
		this.#unread = new UnreadLimiter({context, isLoadManaged: () => this.routing.isLoadManaged});
		this.#callerServer = new CallerServer({
			context, routing: this.routing, budgets, guard: this.guard, streams, unread: this.#unread, refusals: this.#refusals, stopWindow: this.#stopWindow, freshness: this.fleet.freshness, accessControl: new AccessControl({routing: this.routing, freshness: this.fleet.freshness, quotas: this.fleet.quotas}), processJob: async job => this.#processJob(job),
		});
		this.#forwardServer = new ForwardServer(context, async (request, response) => this.#callerServer.handleForwarded(request, response));
		this.#auxiliaryServers = new AuxiliaryServers({
			context,
			isReady: () => this.isReady,
			listMembers: () => this.#listLookupMembers(),
			refreshGauges: () => {
				this.#refreshGauges();
			},
			describe: () => this.describe(),
		});
	}

	/** Whether this host accepts requests: a configuration is loaded and no stop has begun. */
	get isReady(): boolean {
		return !this.#isStopping && this.routing.table !== undefined;
	}

	/** State of this process for operators. */
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
			open: this.#callerServer.activeRequests,
			waiting: this.#handlerParts.admission.waiting,
			retryLeft: Math.floor(this.#handlerParts.budgets.lowestLeft()),
			retries: this.#handlerParts.budgets.describe(),
			countedHosts: this.fleet.census.count,
			subset: this.fleet.load.subset,
			members: this.fleet.membership.members.list().map(({host, state}) => ({host, state})),
			services: this.#describeServices(),
			isLoadManaged: this.routing.isLoadManaged,
			unreachable: this.reachability.unreachable,
			signals: this.endpoints.signals.list(this.context.clock.now()),
		};
	}

	/** Starts the servers, then the background tasks. */
	async start(): Promise<void> {
		const {log, settings: {listen, seeds}} = this.context;
		await this.#callerServer.listen();
		if (listen.forward !== undefined) {
			await this.#forwardServer.listen(listen.forward);
		}

		await this.#auxiliaryServers.listen();
		await this.fleet.start();
		this.endpoints.start();
		this.reachability.start();
		this.guard.start();
		this.#watch.start();
		this.#survey.start();
		this.#stageOrders.start();
		log('started', {...listen, seeds: seeds.join(' '), incarnation: this.context.self.incarnation});
	}

	/** Applies reloaded settings. Only `seeds` takes effect; all others need a restart. */
	reload({seeds}: RelaySettings): void {
		this.fleet.reload(seeds);
		this.context.log('settingsReloaded', {seeds: seeds.join(' ')});
	}

	/** Stops gracefully: leaves the lookups, accepts requests that can end in time until cached lookups have expired, drains active requests within the grace period, then rejects the others. `elapsed`: what has passed before of the grace period; absent: nothing. */
	async stop({sinceSeenMs, sinceSentMs}: StopDelay = noDelay): Promise<void> {
		const {clock, log, settings: {timing}} = this.context;
		const now = clock.now();
		const startedAt = now - sinceSeenMs;
		this.#isStopping = true;
		const {breaksOffAt, closesAt} = planStop({seenAt: startedAt, sentAt: now - sinceSentMs}, timing.graceMs);
		this.#closesAt = closesAt;
		this.#stopWindow.begin(breaksOffAt);
		log('stopping', {open: this.#callerServer.activeRequests});
		this.#callerServer.closeConnectionsAfterResponses();
		this.#leaveFleet();
		const acceptMs = (timing.lookupTtlMs * timing.lookupStretch) + (gossipTicks * timing.tickMs);
		await this.#sleep(Math.min(acceptMs, Math.max(0, startedAt + (timing.graceMs / 2) - clock.now())));
		this.#callerServer.rejectNewRequests();
		const hasOpenRequests = () => this.#callerServer.activeRequests > 0;
		await this.#waitWhile(hasOpenRequests, breaksOffAt);
		const wokeAt = clock.now() > breaksOffAt + drainPollMs ? clock.now() : this.#wokeLateAt;
		await this.#waitWhile(hasOpenRequests, Math.min(wokeAt + catchUpMs, closesAt));
		const drainedAt = clock.now();
		log('stopped', {open: this.#callerServer.activeRequests, tookMs: Math.round(drainedAt - startedAt)});
		this.#callerServer.stopListening();
		this.#forwardServer.stopListening();
		this.#callerServer.rejectActive();
		await this.#waitWhile(() => this.#callerServer.openConnections > 0 || hasOpenRequests(), Math.min(drainedAt + rejectionMs, closesAt));
		await this.#waitWhile(() => this.#callerServer.undeliveredResponses > 0, closesAt);
		this.#callerServer.rejectUnanswered();
		await this.#readArrived();
		const rejectedAt = clock.now();
		await this.close();
		log('stopClosed', {
			drainMs: Math.round(drainedAt - startedAt), rejectionMs: Math.round(rejectedAt - drainedAt), closeMs: Math.round(clock.now() - rejectedAt),
		});
	}

	/** Stops immediately; active requests are aborted. */
	async close(): Promise<void> {
		this.#watch.stop();
		this.#survey.stop();
		this.#stageOrders.stop();
		this.reachability.close();
		this.guard.close();
		this.fleet.close();
		this.#handlerParts.admission.close();
		this.#handlerParts.calls.close();
		this.#auxiliaryServers.close();
		await this.#callerServer.close();
		await this.#forwardServer.close();
		this.#forwarder.close();
		this.endpoints.close();
		this.context.directory.close();
		this.context.incoming.close();
		this.context.metrics.close();
	}

	/** Announces the stop. A fault must not end it, with the requests in progress. */
	#leaveFleet(): void {
		try {
			this.#stageOrders.stop();
			this.fleet.leave();
		} catch (error) {
			this.context.log('internal', {detail: toFailure(error).message});
		}
	}

	/** Uses what the directory's history says of endpoints before this host's first list. */
	#recallEndpoints(entries: readonly Endpoint[]): void {
		const past = readPast(entries, this.endpoints.book.list().map(({endpoint}) => endpoint));
		for (const endpoint of past.departed) {
			this.endpoints.versions.recall(endpoint, this.context.clock.now());
		}

		this.#survey.addPast(past);
	}

	/** Members for lookups: hosts with links to all services, and without this one while it must reject requests with keys. All members if no host alive would remain. */
	#listLookupMembers(): readonly MemberRecord[] {
		const members = this.fleet.membership.members.list();
		const isOwnExcluded = this.fleet.freshness.isUnconfirmed;
		const isSteering = !isOff(this.context, 'steering');
		const preferred = members.filter(({host, unreachable}) => !(isOwnExcluded && host === this.context.self.host) && !(isSteering && (unreachable?.length ?? 0) > 0));
		return preferred.some(({state}) => state === 'alive') ? preferred : members;
	}

	/** Tells other hosts of a pause, unless its failures were those of this host's links. */
	async #announcePause(pause: Pause): Promise<void> {
		const service = this.endpoints.book.serviceOf(pause.endpoint);
		if (service !== undefined) {
			await this.reachability.settle(service);
		}

		if (service === undefined || !this.reachability.isUnreachable(service)) {
			this.fleet.announcePause(pause);
		}
	}

	/** Whether a lost connection to an endpoint may be due to this host's links: it reaches no endpoint of any service. */
	async #isPartitionedFrom({service}: Endpoint): Promise<boolean> {
		this.reachability.check(service);
		await this.reachability.settle(service);
		return this.reachability.isPartitioned;
	}

	#handleLinkChange(unreachable: readonly string[]): void {
		this.fleet.announceUnreachable(unreachable);
		for (const {name} of this.routing.table?.routing.services ?? []) {
			if (unreachable.includes(name)) {
				this.#handlerParts.admission.refuseAll(name);
			}
		}
	}

	async #processJob(job: Job): Promise<JobEnd> {
		return job.service.engine === undefined ? runPlain(this.#handlerParts, job) : runGeneration(this.#handlerParts, job);
	}

	/** Waits while something is so, until `endsAt` at the latest, and reads what has arrived until then. */
	async #waitWhile(isSo: () => boolean, endsAt: number): Promise<void> {
		const {clock} = this.context;
		do {
			while (isSo() && clock.now() < endsAt) {
				await this.#sleep(Math.min(drainPollMs, endsAt - clock.now()));
			}

			await this.#readArrived();
		} while (isSo() && clock.now() < endsAt);
	}

	/** Reads what callers and other hosts have sent before, which a host that stood still has not read yet. Callers that go on sending must not hold up the stop. */
	async #readArrived(): Promise<void> {
		const {clock} = this.context;
		const endsAt = Math.max(Math.min(clock.now() + maxReadMs, this.#closesAt), this.#wokeLateAt + lateReadMs);
		await readUnreadRequests(() => this.#callerServer.arrivals + this.#forwardServer.arrivals, () => clock.now() < endsAt);
	}

	async #sleep(milliseconds: number): Promise<void> {
		const {clock} = this.context;
		const dueAt = clock.now() + milliseconds;
		await new Promise<void>(resolve => {
			clock.after(milliseconds, resolve);
		});
		if (clock.now() > dueAt + drainPollMs) {
			this.#wokeLateAt = clock.now();
		}
	}

	#describeServices(): RelayStatus['services'] {
		const {endpoints} = this;
		const services = this.routing.table?.routing.services ?? [];
		return services.map(({name}) => {
			const ready = endpoints.book.listReady(name);
			return {
				...describeService(this.#serviceViews, name, this.context.clock.now()), service: name, ready: ready.length, paused: ready.filter(({id}) => !endpoints.isUsable(id)).length,
			};
		});
	}

	#refreshMemoryGauges(): void {
		const {metrics, incoming} = this.context;
		const {rss, heapUsed, arrayBuffers} = process.memoryUsage();
		metrics.set('incomingBytes', incoming.budget.totalBytes);
		metrics.set('incomingPeakBytes', incoming.budget.peakBytes);
		metrics.set('incomingLimitBytes', incoming.budget.limitBytes);
		metrics.set('incomingWaiting', incoming.waiting);
		metrics.set('residentBytes', rss);
		metrics.set('heapBytes', heapUsed);
		metrics.set('bufferBytes', arrayBuffers);
	}

	#listPaces(service: string, now: number): PaceState[] {
		const paces = this.endpoints.pace.list(now).filter(each => each.service === service);
		return paces.map(({endpoint, activity, pace}) => ({endpoint, activity, pace}));
	}

	#refreshGauges(): void {
		const {metrics} = this.context;
		metrics.set('waiting', this.#handlerParts.admission.waiting);
		metrics.set('unreadBytes', this.#unread.totalBytes);
		this.#refreshMemoryGauges();
		metrics.set('hosts', this.fleet.countHosts());
		metrics.set('retryLeft', this.#handlerParts.budgets.lowestLeft());
		const {signals} = this.endpoints;
		const now = this.context.clock.now();
		metrics.set('limitedEndpoints', signals.list(now).filter(({signal}) => signal === 'limit').length);
		metrics.set('drainingEndpoints', this.endpoints.listDraining().length);
		metrics.set('backingOffEndpoints', signals.list(now).filter(({signal}) => signal === 'backoff').length);
		const paces = this.endpoints.pace.list(now).map(({pace}) => pace);
		metrics.set('slowestPace', Math.max(1, ...paces));
		metrics.set('fastestPace', Math.min(1, ...paces));
		metrics.set('streamRecordsHeld', this.fleet.streams.size);
		metrics.set('runTracesHeld', this.fleet.traces.size);
		metrics.set('evidenceAge', this.routing.ageMs());
		const {table} = this.routing;
		let ready = 0;
		for (const {name} of table?.routing.services ?? []) {
			ready += this.endpoints.book.listReady(name).length;
		}

		metrics.set('endpoints', ready);
	}
}
