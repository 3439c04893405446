/**
 * Admission queue of one service at one host, with its release-rate and
 * start-latency estimates. Reports queue length and placements to peers.
 */
import {AdmissionQueue, type LoadEstimate, type Waiter} from '@gatehead/policy/relay/admission-queue';
import {ReleaseRate} from '@gatehead/policy/relay/release-rate';
import {type StopWindow} from '@gatehead/policy/relay/stop-window';
import {type ServiceCapacity} from '@gatehead/policy/relay/fleet-releases';
import {ServiceLoad, type LoadWaiter} from '@gatehead/policy/relay/service-load';
import {StartTime} from '@gatehead/policy/relay/start-time';
import {type ServiceState, type WaitingState} from '@gatehead/schema/relay-status';
import {type LoadReport, type LoadReportDraft} from '@gatehead/schema/relay-message';
import {type RelayContext} from '../core/context.js';
import {isOff} from '../core/experiment.js';
import {unlistedRetryAfterMs, type ListEvidence} from '../core/list-evidence.js';
import {type RoutingState} from '../core/routing-state.js';
import {type LoadGossip} from '../peer/load-gossip.js';
import {type Endpoints} from '../upstream/endpoints.js';
import {type RateLimiter} from '../upstream/rate-limiter.js';
import {type Reachability} from '../upstream/reachability.js';
import {type ControlCalls} from '../upstream/control-calls.js';
import {defaultRetryAfterMs, outlastingStream} from './generation-failure.js';
import {timeLeft} from './job.js';
import {countWaiting} from './service-views.js';
import {
	giveUpReservation, type Reservation, type ReplicaSearch, type ReservationRequest,
} from './replica-search.js';

/** Mean interval between polls of the replicas while requests wait, in milliseconds. A replica frees capacity for one request about three times a second, so capacity stays unused for half the interval on average. */
export const pollIntervalMs = 60;
/** Waiting requests that may fail to get memory per run; more than one, so that small requests use memory that is too small for a large one at the head. */
const maxFailedSearches = 4;
/** Expected time from a reservation to its use, while the prompt is prefilled, in milliseconds. */
const startDelayMs = 300;

/** Outcome of an admission. */
export type AdmissionResult
	= | {readonly kind: 'granted'; readonly reservation: Reservation}
		| {readonly kind: 'refused'; readonly code: 'overloaded' | 'endpointsDown' | 'endpointsUnavailable' | 'hostStopping' | 'streamVersionGone'; readonly retryAfterMs: number | undefined; readonly detail: string}
		| {readonly kind: 'aborted'};

/** Outcome for a stream that cannot continue at any endpoint; without `Retry-After`, since a retry would fail as well. */
const versionGone: AdmissionResult = {
	kind: 'refused', code: 'streamVersionGone', retryAfterMs: undefined, detail: 'no endpoint runs the version of the stream',
};

/** Outcome for such a stream while the directory has not confirmed this host's list of endpoints. */
const versionUnlisted: AdmissionResult = {
	kind: 'refused', code: 'streamVersionGone', retryAfterMs: unlistedRetryAfterMs, detail: 'this host knows no endpoint of the stream\'s version, and its list may be outdated',
};

type QueuedRequest = Waiter & LoadWaiter & {
	readonly request: ReservationRequest;
	readonly resolve: (answer: AdmissionResult) => void;
	/** Whether the directory is being asked for endpoints of its version. */
	isChecking: boolean;
};

/** Dependencies of admission. */
export type AdmissionParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly evidence: Pick<ListEvidence, 'isComplete' | 'refresh'>;
	readonly calls: ControlCalls;
	readonly news: LoadGossip;
	readonly limiter: RateLimiter;
	readonly reachability: Pick<Reachability, 'isUnreachable'>;
	readonly routing: Pick<RoutingState, 'isLoadManaged' | 'table'>;
	readonly stopWindow: Pick<StopWindow, 'mayBegin'>;
};

export class ServiceQueue {
	readonly rate = new ReleaseRate();
	readonly #service: string;
	readonly #parts: AdmissionParts;
	readonly #search: Pick<ReplicaSearch, 'find'>;
	readonly #start = new StartTime();
	readonly #queue = new AdmissionQueue<QueuedRequest>();
	readonly #load: ServiceLoad;
	/** Number of waiting requests that can meet their target, as last reported to peers. */
	#publishedWaiting = 0;
	#waitedAt = Number.NEGATIVE_INFINITY;

	constructor(service: string, parts: AdmissionParts, search: Pick<ReplicaSearch, 'find'>) {
		this.#service = service;
		this.#parts = parts;
		this.#search = search;
		this.#load = new ServiceLoad({
			random: parts.context.random,
			pollIntervalMs,
			workspaceOf: name => this.#workspaces.find(each => each.name === name),
			hasWorkspaces: () => this.#workspaces.length > 0,
			capacity: () => this.#capacity(),
		});
	}

	/** Number of waiting requests. */
	get size(): number {
		return this.#queue.size;
	}

	/** Waiting requests by urgency and workspace. */
	countWaiting(): WaitingState[] {
		return countWaiting(this.#queue.list().map(({request: {job}}) => ({urgency: job.route.priority, workspace: job.workspace?.name})));
	}

	/** Use and share of each workspace as fractions of the capacity, and the returns that this host has promised; where load is managed. */
	describeLoad(): Pick<ServiceState, 'shares' | 'promisedReturns'> {
		const now = this.#parts.context.clock.now();
		return {
			shares: this.#load.describeShares(this.#queue.list(), now),
			promisedReturns: this.#load.returns.list(now).reduce((sum, {count}) => sum + count, 0),
		};
	}

	/** Time at which a request last waited, here or at a peer that reported it. */
	lastWaitedAt(): number {
		const {context: {clock}, news} = this.#parts;
		if (this.size > 0 || news.countWaitingAtPeers(this.#service) > 0) {
			this.#waitedAt = clock.now();
		}

		return this.#waitedAt;
	}

	/** Collects this queue's fields of a load report. */
	collectReport(): Partial<LoadReportDraft> {
		return this.#load.collect(this.#queue.list(), this.#parts.context.clock.now());
	}

	receiveReport(host: string, report: LoadReport): void {
		this.#load.receive(host, report, this.#parts.context.clock.now());
	}

	/** Handles a peer's notice that it has reserved memory. */
	receivePlacement(host: string, tokens: number): void {
		this.#load.receivePlacement(host, tokens, this.#parts.context.clock.now());
	}

	/** Records how long a completed request held its memory, in milliseconds. */
	recordHold(tokens: number, heldMs: number): void {
		this.rate.note(tokens, heldMs);
		if (this.#parts.routing.isLoadManaged) {
			this.#load.releases.note(tokens, heldMs, this.#parts.context.clock.now());
		}
	}

	/** Reserves at once if no request with a higher priority waits; undefined if the request has to wait. */
	async tryReserve(request: ReservationRequest): Promise<Reservation | undefined> {
		const isBehind = this.#parts.routing.isLoadManaged ? !this.#hasTurn(request) : this.#isBehindOthers(request);
		const reservation = isBehind ? undefined : await this.#search.find(request);
		if (reservation !== undefined) {
			this.#recordGrant(request, reservation, 0);
		}

		return reservation;
	}

	/** Reserves at once, ahead of the requests that wait, for one that is still running at a replica; undefined if no other one has room. Peers are told once a run begins, as they cannot be told that a reservation was given up. */
	async reserveAhead(request: ReservationRequest): Promise<Reservation | undefined> {
		const reservation = await this.#search.find(request);
		if (reservation === undefined) {
			return undefined;
		}

		this.#recordReservation(request, reservation, 0);
		return {
			...reservation, announce: () => {
				this.#announceGrant(request, reservation);
			},
		};
	}

	/** Queues the request until memory is reserved, the request is refused or its signal aborts. */
	async wait(request: ReservationRequest): Promise<AdmissionResult> {
		const {job} = request;
		const {clock, metrics} = this.#parts.context;
		return new Promise<AdmissionResult>(resolve => {
			const waiter: QueuedRequest = {
				request,
				since: clock.now(),
				priorities: [job.workspace?.priority ?? 0, job.route.priority],
				stage: this.#stageOf(request),
				...this.#describeRequest(request),
				isChecking: false,
				resolve: answer => {
					job.signal.removeEventListener('abort', leave);
					this.#queue.remove(waiter);
					metrics.time('reserve', clock.now() - waiter.since);
					resolve(answer);
				},
			};
			const leave = () => {
				waiter.resolve({kind: 'aborted'});
			};

			job.signal.addEventListener('abort', leave, {once: true});
			this.#queue.add(waiter);
			this.#waitedAt = clock.now();
		});
	}

	/** Refuses a request whose software version no endpoint runs; undefined if one does. The refusal is final only if the directory, read after the call, shows it: a host that was stopped or cut off knows no endpoint that joined meanwhile. */
	async checkVersion(request: ReservationRequest): Promise<AdmissionResult | undefined> {
		if (!this.#isVersionUnlisted(request)) {
			return undefined;
		}

		const {context: {clock}, evidence} = this.#parts;
		const {job} = request;
		const askedAt = clock.now();
		await evidence.refresh(askedAt, timeLeft(job, askedAt));
		if (job.signal.aborted) {
			return {kind: 'aborted'};
		}

		if (!this.#isVersionUnlisted(request)) {
			return undefined;
		}

		return evidence.isComplete(askedAt) ? versionGone : versionUnlisted;
	}

	/** Refuses all waiting requests, because this host has lost its links to the replicas. */
	refuseAll(): void {
		for (const waiter of this.#queue.list()) {
			waiter.resolve({
				kind: 'refused', code: 'endpointsDown', retryAfterMs: defaultRetryAfterMs, detail: 'this host has lost its links to the replicas',
			});
		}
	}

	/** Records the time from a request's reservation to its first event, in milliseconds. */
	recordStartLatency(startMs: number): void {
		this.#start.note(startMs, !this.#parts.routing.isLoadManaged);
	}

	/** Reports to peers how many waiting requests can meet their target, if that changed. */
	publishWaiting(): void {
		const timely = this.#queue.countTimely(this.#parts.context.clock.now(), this.#start.valueMs);
		if (timely !== this.#publishedWaiting) {
			this.#publishedWaiting = timely;
			this.#parts.news.announceWaiting(this.#service, timely);
		}
	}

	/** Refuses requests that cannot be served in time, then tries to reserve memory for the first of the others. */
	async serve(): Promise<void> {
		this.#refuseTooLate();
		await (this.#parts.routing.isLoadManaged ? this.#serveTurns() : this.#serveInOrder());
	}

	async #serveInOrder(): Promise<void> {
		const outlook = this.#outlook();
		this.#refuseUnservable(outlook);
		let failed = 0;
		for (const waiter of this.#queue.order(this.#parts.context.clock.now(), this.#start.valueMs)) {
			if (failed >= maxFailedSearches) {
				return;
			}

			if (this.#mayTry(waiter) && !this.#queue.shouldYield(waiter, this.#parts.context.clock.now(), outlook)) {
				failed += await this.#reserveFor(waiter) ? 0 : 1;
			}
		}
	}

	/** As `serve`, in the common order of the hosts of the subset. */
	async #serveTurns(): Promise<void> {
		const {clock, metrics} = this.#parts.context;
		this.#refuseGoneVersions();
		const {turns, rejections} = this.#load.plan(this.#queue.list(), clock.now());
		for (const {waiter, cause, detail} of rejections) {
			const retryAfterMs = this.#load.promiseReturn(waiter, this.#queue.list(), clock.now());
			metrics.add('loadRejections', {cause});
			waiter.resolve({
				kind: 'refused', code: this.#refusalCode, retryAfterMs, detail,
			});
		}

		let failed = 0;
		for (const waiter of turns) {
			if (failed >= maxFailedSearches) {
				return;
			}

			if (this.#mayTry(waiter)) {
				failed += await this.#reserveFor(waiter) ? 0 : 1;
			}
		}
	}

	/** Tries to reserve memory for a waiting request; false if no replica has enough. */
	async #reserveFor(waiter: QueuedRequest): Promise<boolean> {
		const reservation = await this.#search.find(waiter.request);
		if (reservation === undefined) {
			return false;
		}

		if (this.#queue.has(waiter)) {
			this.#recordGrant(waiter.request, reservation, this.#parts.context.clock.now() - waiter.since);
			waiter.resolve({kind: 'granted', reservation});
		} else {
			giveUpReservation(this.#parts, reservation);
		}

		return true;
	}

	/** Refuses requests that could not end before this host does even if they got memory now. A stream that its caller has a part of waits on. */
	#refuseTooLate(): void {
		const {context: {clock}, stopWindow} = this.#parts;
		for (const waiter of this.#queue.list()) {
			const {job: {route, deadlineAt}, isContinuation} = waiter.request;
			if (!isContinuation && !stopWindow.mayBegin(route.name, deadlineAt, clock.now())) {
				waiter.resolve({kind: 'refused', ...outlastingStream});
			}
		}
	}

	#refuseUnservable(outlook: LoadEstimate): void {
		const {context} = this.#parts;
		this.#refuseGoneVersions();
		const code = this.#refusalCode;
		for (const {waiter, detail} of this.#queue.findRejections(context.clock.now(), outlook)) {
			const retryAfterMs = isOff(context, 'comeBackTimes') ? defaultRetryAfterMs : this.#queue.retryDelayMs(waiter, context.clock.now(), outlook, context.random);
			waiter.resolve({
				kind: 'refused', code, retryAfterMs, detail,
			});
		}
	}

	/** Whether a request has to be served at a software version of which this host knows no endpoint. Another host may still reach one that this host has lost its links to, so that comes first. */
	#isVersionUnlisted({softwareVersion}: ReservationRequest): boolean {
		const {endpoints, reachability} = this.#parts;
		return softwareVersion !== undefined && !reachability.isUnreachable(this.#service) && !endpoints.hasVersion(this.#service, 'decode', softwareVersion);
	}

	/** Whether a request still waits for memory, and not for the directory. */
	#mayTry(waiter: QueuedRequest): boolean {
		return this.#queue.has(waiter) && !waiter.isChecking;
	}

	#refuseGoneVersions(): void {
		for (const waiter of this.#queue.list()) {
			if (!waiter.isChecking && this.#isVersionUnlisted(waiter.request)) {
				void this.#refuseIfGone(waiter);
			}
		}
	}

	async #refuseIfGone(waiter: QueuedRequest): Promise<void> {
		waiter.isChecking = true;
		const result = await this.checkVersion(waiter.request);
		waiter.isChecking = false;
		if (result !== undefined && this.#queue.has(waiter)) {
			waiter.resolve(result);
		}
	}

	get #refusalCode() {
		return this.#parts.endpoints.countDecode(this.#service) > 0 ? 'overloaded' : 'endpointsDown';
	}

	/** Number of replicas whose memory requests wait for. All that are listed if this host has paused all of them: a replica that is silent still has its memory, and goes on or leaves the directory. */
	get #replicas(): number {
		const {endpoints} = this.#parts;
		return endpoints.countDecode(this.#service) || endpoints.countListedDecode(this.#service);
	}

	get #workspaces() {
		return this.#parts.routing.table?.routing.workspaces ?? [];
	}

	#capacity(): ServiceCapacity {
		const {endpoints, news, routing} = this.#parts;
		const engine = routing.table?.routing.services.find(({name}) => name === this.#service)?.engine;
		return {
			replicas: this.#replicas,
			subsetFraction: endpoints.hasOwnDecode(this.#service) ? 1 : news.subsetSize / Math.max(news.subsetSize, news.fleetSize),
			capacityTokens: engine?.capacityTokens ?? 0,
			slots: engine?.slots,
		};
	}

	/** Whether a request may go ahead of those that wait here and, as reported, at the peers. */
	#hasTurn(request: ReservationRequest): boolean {
		this.#load.releases.setPriorTokens(request.tokens);
		return this.#load.mayAskAtOnce(this.#describeRequest(request), this.#queue.list(), this.#parts.context.clock.now());
	}

	#isBehindOthers(request: ReservationRequest): boolean {
		return this.size > 0 || (this.#stageOf(request) === 'returned' && this.#parts.news.countWaitingAtPeers(this.#service) > 0);
	}

	#describeRequest(request: ReservationRequest): LoadWaiter {
		const {job, tokens, isContinuation} = request;
		const {clock} = this.#parts.context;
		const now = clock.now();
		// A continuation starts a new wait
		const arrivedAt = isContinuation ? now : job.arrivedAt;
		const {route: {targetMs, priority: urgency}, workspace: owner, deadlineAt} = job;
		const workspace = owner?.name;
		const stage = this.#stageOf(request);
		return {
			isStarted: isContinuation || job.facts.lastEventId !== undefined,
			urgency,
			workspace,
			arrivedAt,
			dueAt: arrivedAt + targetMs - this.#start.valueMs,
			isReturn: stage === 'returned' && this.#load.returns.isScheduled({workspace, urgency}, now),
			tokens,
			targetMs,
			deadlineAt,
			// A repeat within this host was accepted before
			isRejectable: stage === 'first' && job.sends === 0,
		};
	}

	#outlook(): LoadEstimate {
		const {news} = this.#parts;
		const replicas = this.#replicas;
		return {remoteWaiting: news.countWaitingAtPeers(this.#service), releasesPerS: this.rate.perSecond(replicas), startMs: this.#start.valueMs};
	}

	#stageOf({isContinuation, job}: ReservationRequest): Waiter['stage'] {
		const {context} = this.#parts;
		if (isContinuation) {
			return 'started';
		}

		if (job.facts.lastEventId !== undefined) {
			return isOff(context, 'resumedTurns') ? 'returned' : 'resumed';
		}

		if (isOff(context, 'earlyRefusal')) {
			return 'resumed';
		}

		return job.isCallerRetry && !isOff(context, 'secondTries') ? 'returned' : 'first';
	}

	#recordGrant(request: ReservationRequest, reservation: Reservation, waitedMs: number): void {
		this.#recordReservation(request, reservation, waitedMs);
		this.#announceGrant(request, reservation);
	}

	/** Counts a request as served and announces to the peers the memory that it takes. */
	#announceGrant(request: ReservationRequest, {endpoint, tokens}: Reservation): void {
		const {endpoints, news, routing, context: {clock}} = this.#parts;
		if (routing.isLoadManaged) {
			this.#load.recordServed(this.#describeRequest(request), clock.now());
		}

		news.announceReservation(endpoint.id, tokens, startDelayMs + (this.rate.holdMs * endpoints.managed.holdFactorOf(endpoint.id)));
	}

	#recordReservation({job, capacityTokens}: ReservationRequest, {endpoint, tokens}: Reservation, waitedMs: number): void {
		const {endpoints, context: {log}} = this.#parts;
		this.rate.setCapacity(capacityTokens);
		endpoints.recordMemoryInUse(endpoint.id, tokens, startDelayMs);
		log('reserved', {
			request: job.id, endpoint: endpoint.id, softwareVersion: endpoint.softwareVersion, tokens, waitedMs: Math.round(waitedMs), waiting: this.size,
		});
	}
}
