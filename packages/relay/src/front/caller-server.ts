/**
 * HTTP server for callers: buffers the request, resolves its route, processes
 * it and logs its outcome. Safety: a request that matches no route, or that
 * arrives before a configuration is loaded, is never sent to an endpoint.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {CallerConnections} from '@gatehead/host/front/caller-connections';
import {waitForTurn} from '@gatehead/host/front/response-turn';
import {listenAt} from '@gatehead/host/utils/listen';
import {retryAfter} from '@gatehead/policy/relay/retry-after';
import {isDecidedByConfiguration} from '@gatehead/policy/relay/final-refusals';
import {callerTimeoutSpread, RetryDetector} from '@gatehead/policy/relay/retry-detector';
import {type StopWindow} from '@gatehead/policy/relay/stop-window';
import {type Timer} from '@gatehead/policy/utils/clock';
import {fail, Failure, toFailure} from '@gatehead/schema/failure';
import {maxRequestTokens} from '@gatehead/schema/relay-message';
import {type CallerLimits} from '@gatehead/schema/routing';
import {RequestResolver, type IncomingRequest, type ResolvedRequest} from '../access/request-resolver.js';
import {type Freshness} from '../access/freshness.js';
import {type AccessControl} from '../access/access-control.js';
import {type RelayContext} from '../core/context.js';
import {type RequestFacts} from '../core/dialect.js';
import {isReservedHeader, readForwardFacts, readForwardResolution} from '../core/forward-facts.js';
import {type RoutingState} from '../core/routing-state.js';
import {describeHold, type CrashGuard} from '../upstream/crash-guard.js';
import {stallReason} from '../upstream/sender.js';
import {type RefusalCounts} from '../work/refusal-counts.js';
import {type RetryBudgets} from '../work/retry-budgets.js';
import {type Job} from '../work/job.js';
import {isResumption, toStreamKey, type StreamVersions} from '../work/stream-versions.js';
import {RequestContent} from '../work/request-content.js';
import {RunLedger} from '../work/run-ledger.js';
import {type JobEnd} from '../work/job-end.js';
import {defaultRetryAfterMs, stoppingRetryAfterMs} from '../work/generation-failure.js';
import {unlessAborted} from '../utils/wait.js';
import {forwardHeaders} from './headers.js';
import {Reply} from './reply.js';
import {readRequestBody} from './request-body.js';
import {type UnreadLimiter} from './unread-limiter.js';

/** Added to the configured idle and header timeouts, in milliseconds: a request sent while the server closes the connection would be lost. */
const keepAliveMarginMs = 1500;
/** Minimum keep-alive timeout, in milliseconds: Node's default. */
const minKeepAliveMs = 5000;
/** Timeout for receiving a whole request, in milliseconds: twice as long as callers wait for a response. */
const requestTimeoutMs = 30_000;
/** Retry-After of a host at its request limit, in milliseconds: about as long as half of the active requests last, as the other hosts may be overloaded too. */
const overloadRetryAfterMs = 500;
/** Retry-After before a configuration is loaded, in milliseconds: loading that does not finish at once waits for an unavailable directory, which takes seconds, and an early retry would be rejected again. */
const notReadyRetryAfterMs = 3000;
/** Maximum length of a caller's header value in a log line, in characters. */
const maxLoggedLength = 80;

/** Dependencies of the server. */
export type CallerServerParts = {
	readonly context: RelayContext;
	readonly routing: RoutingState;
	readonly budgets: RetryBudgets;
	readonly accessControl: AccessControl;
	readonly freshness: Freshness;
	readonly guard: CrashGuard;
	readonly streams: Pick<StreamVersions, 'resolve' | 'findUnseen'>;
	readonly unread: Pick<UnreadLimiter, 'watch'>;
	readonly refusals: Pick<RefusalCounts, 'note'>;
	readonly stopWindow: Pick<StopWindow, 'mayBegin' | 'recordDuration'>;
	readonly processJob: (job: Job) => Promise<JobEnd>;
};

/** A received request that is being handled. */
type PendingRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly reply: Reply;
	readonly controller: AbortController;
	readonly arrivedAt: number;
	/** Whether another host forwarded the request. */
	readonly isForwarded: boolean;
	/** Aborts the request at its deadline. */
	deadlineTimer: Timer | undefined;
	/** The request once it can be sent; undefined: it has not run. */
	job: Job | undefined;
	isRejected: boolean;
	/** Whether the request is rejected and its body is still being read. */
	isDraining: boolean;
};

export class CallerServer {
	readonly #parts: CallerServerParts;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #retryDetector = new RetryDetector();
	readonly #resolver: RequestResolver;
	/** Requests whose response is not closed yet. */
	readonly #pending = new Set<PendingRequest>();
	/** Active requests that are rejected, but whose body is still being read. */
	#drainingRequests = 0;
	#generatedIds = 0;
	#closesConnections = false;
	#isRejectingNew = false;

	constructor(parts: CallerServerParts) {
		this.#parts = parts;
		this.#resolver = new RequestResolver({...parts, notReadyRetryAfterMs: request => this.#notReadyRetryAfterMs(request)});
		const {settings: {limits}} = parts.context;
		this.#server = createServer({
			maxHeaderSize: limits.headerBytes, requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs, noDelay: true,
		}, (request, response) => {
			void this.#handleRequest(request, response);
		});
		// By default Node silently drops fields behind the first thousand; the size of a head is bounded anyway
		this.#server.maxHeadersCount = 0;
		this.#server.maxConnections = limits.connections;
		this.#connections = new CallerConnections(this.#server, {
			answersHalfClosed: true,
			onRejected(code) {
				parts.context.metrics.add('requests', {kind: 'none', outcome: 'refused'});
				parts.context.log('requestEnded', {outcome: 'refused', reason: code, detail: 'malformed or not complete in time'});
			},
			onClosed(cause, pending) {
				parts.context.metrics.add('callerConnectionsClosed', {cause, pending: pending > 0 ? 'some' : 'none'});
				if (pending > 0) {
					parts.context.log('callerConnectionClosed', {
						cause, requests: pending, version: parts.routing.version, versionAgeMs: roundMs(parts.routing.activeMs()),
					});
				}
			},
		});
	}

	/** Requests whose response is not closed yet. */
	get activeRequests(): number {
		return this.#pending.size;
	}

	/** Complete responses that their callers have not taken yet. */
	get undeliveredResponses(): number {
		return [...this.#pending].filter(({reply, response}) => reply.isComplete && !response.destroyed).length;
	}

	/** Open connections of callers. */
	get openConnections(): number {
		return this.#connections.count;
	}

	/** Connections and requests that have arrived so far. */
	get arrivals(): number {
		return this.#connections.arrivals;
	}

	/** Starts listening; resolves to the bound address. */
	async listen(): Promise<string> {
		return listenAt(this.#server, this.#parts.context.settings.listen.caller, this.#parts.context);
	}

	/** Applies the timeouts of a configuration. The keep-alive timeout never shrinks, as callers may rely on the earlier value. */
	applyLimits({headerMs, idleMs}: CallerLimits): void {
		this.#server.keepAliveTimeout = Math.max(this.#server.keepAliveTimeout, minKeepAliveMs, idleMs + keepAliveMarginMs);
		this.#server.headersTimeout = Math.max(requestTimeoutMs, headerMs + keepAliveMarginMs);
	}

	/** Closes each connection after the response to the last request on it. */
	closeConnectionsAfterResponses(): void {
		this.#closesConnections = true;
	}

	/** Rejects new requests with `hostStopping` and closes idle connections. */
	rejectNewRequests(): void {
		this.#isRejectingNew = true;
		this.#connections.closeIdle();
	}

	/** Rejects the requests that are in progress. A response that has begun is broken off. */
	rejectActive(): void {
		for (const pending of this.#pending) {
			pending.controller.abort('hostStopping');
			if (pending.job === undefined) {
				this.#reject(pending, new Failure('hostStopping', {retryAfterMs: stoppingRetryAfterMs}));
			}
		}
	}

	/** Rejects the requests of which nothing has been answered although they are aborted: a step of theirs has not ended yet. */
	rejectUnanswered(): void {
		for (const pending of this.#pending) {
			if (pending.reply.isOpen && !pending.reply.isPartlySent) {
				this.#reject(pending, new Failure('hostStopping', {retryAfterMs: stoppingRetryAfterMs}));
			}
		}
	}

	/** Refuses new connections; requests on accepted ones are still read. */
	stopListening(): void {
		this.#connections.stopListening();
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		await this.#connections.close();
	}

	/** Handles a request that another host has forwarded. */
	async handleForwarded(request: IncomingMessage, response: ServerResponse): Promise<void> {
		return this.#handleRequest(request, response, true);
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse, isForwarded = false): Promise<void> {
		const {context: {clock, metrics}} = this.#parts;
		const arrivedAt = clock.now();
		const reply = new Reply(response, () => clock.now(), () => this.#closesConnections && this.#connections.isLast(response), isForwarded);
		const controller = new AbortController();
		const pending: PendingRequest = {
			request, response, reply, controller, arrivedAt, isForwarded, deadlineTimer: undefined, job: undefined, isRejected: false, isDraining: false,
		};
		this.#pending.add(pending);
		metrics.set('open', this.#pending.size);
		response.once('close', () => {
			this.#pending.delete(pending);
			this.#drainingRequests -= pending.isDraining ? 1 : 0;
			metrics.set('open', this.#pending.size);
			if (!response.writableFinished) {
				controller.abort('callerLeft');
			}
		});
		response.on('error', () => {
			// The caller disconnected; the `close` event that follows aborts the request
		});
		try {
			const job = await this.#prepareJob(pending);
			// The end of a planned stop rejects requests that are still prepared
			if (pending.isRejected) {
				this.#parts.accessControl.refund(job.workspace, job.cost);
				return;
			}

			pending.job = job;
			this.#parts.unread.watch(job);
			const end = await this.#parts.processJob(job).finally(() => {
				this.#parts.budgets.release(job);
			});
			void this.#parts.guard.endTrials(job);
			if (!job.runs.mayHaveRun) {
				this.#parts.accessControl.refund(job.workspace, job.cost);
			}

			if (!pending.isRejected) {
				this.#recordEnd(job, end);
			}
		} catch (error) {
			await this.#waitForRejection(pending);
			this.#reject(pending, error);
		} finally {
			pending.deadlineTimer?.stop();
		}
	}

	/** Waits until a rejection may be written. One that closes the connection is written at its turn, since requests that arrive until then would be lost behind it. */
	async #waitForRejection({response}: PendingRequest): Promise<void> {
		if (!this.#closesConnections) {
			return;
		}

		try {
			if (await waitForTurn(response)) {
				await nextTurn();
			}
		} catch {
			// The connection closed; the rejection is only logged
		}
	}

	/** Rejects a request whose body has given way to others. */
	async #rejectForMemory(pending: PendingRequest): Promise<void> {
		await this.#waitForRejection(pending);
		this.#reject(pending, new Failure('memoryFull', {retryAfterMs: overloadRetryAfterMs}));
	}

	#checkCapacity(): void {
		if (this.#isRejectingNew) {
			fail('hostStopping', {retryAfterMs: stoppingRetryAfterMs});
		}

		if (this.#pending.size - this.#drainingRequests > this.#parts.context.settings.limits.requests) {
			fail('tooManyRequests', {retryAfterMs: overloadRetryAfterMs});
		}
	}

	/** Reads the request, waits for the responses before it on its connection, resolves its route, and charges its quota. */
	async #prepareJob(pending: PendingRequest): Promise<Job> {
		const {request, response, reply, controller, arrivedAt: receivedAt, isForwarded} = pending;
		const {context: {clock, dialect, incoming: memory, settings: {limits}}, guard} = this.#parts;
		if (this.#closesConnections) {
			// The response may be written at once, and it closes the connection unless a request has arrived behind this one
			await nextTurn();
		}

		this.#checkCapacity();
		const share = memory.open('request', {
			giveWay: () => {
				void this.#rejectForMemory(pending);
			},
		});
		reply.keepUntilClosed(share);
		const body = await readRequestBody(request, limits.bodyBytes, share);
		// The time behind other responses is no delay of this request, but counts towards its timeout
		const hasWaited = await waitForTurn(response);
		const arrivedAt = hasWaited ? clock.now() : receivedAt;
		const facts = boundTokens(dialect.readRequest(request.headers));
		const target = request.url ?? '/';
		const authority = request.headers.host ?? '';
		const incoming: IncomingRequest = {
			authority, target, keyDigest: dialect.readKeyDigest(request.rawHeaders), arrivedAt, timeoutMs: facts.timeoutMs,
		};
		const forwarded = isForwarded ? readForwardFacts(request.headers) : undefined;
		const {table, route, service: chosenService, workspace} = forwarded === undefined ? await this.#resolver.resolve(incoming) : this.#resolver.resolveForwarded(incoming, forwarded, readForwardResolution(request.headers));
		const content = new RequestContent({
			authority, method: request.method ?? 'GET', target, workspace: workspace?.name, body, sharedParts: facts.sharedParts,
		});
		const hold = guard.findHold({content, service: chosenService});
		if (hold !== undefined) {
			fail('contentHeld', {retryAfterMs: hold.leftMs, detail: describeHold(hold)});
		}

		const deadlineAt = receivedAt + Math.min(facts.timeoutMs ?? route.timeoutMs, route.timeoutMs);
		if (hasWaited && deadlineAt <= clock.now()) {
			fail('overloaded', {detail: 'its time passed behind other requests on the connection'});
		}

		pending.deadlineTimer = clock.after(deadlineAt - clock.now(), () => {
			controller.abort('timeUp');
		});
		const stream = forwarded === undefined
			? await unlessAborted(controller.signal, this.#resolveStream({
				table, route, service: chosenService, workspace,
			}, facts), toAbortFailure)
			: {service: chosenService, resumedVersion: forwarded.softwareVersion, streamKey: undefined};
		const {service, resumedVersion, streamKey} = stream;
		const earlierVersion = resumedVersion === undefined
			? await unlessAborted(controller.signal, this.#parts.streams.findUnseen({
				facts, workspace: workspace?.name, route, service: service.name,
			}), toAbortFailure)
			: undefined;
		if (!this.#parts.stopWindow.mayBegin(route.name, deadlineAt, clock.now())) {
			fail('hostStopping', {retryAfterMs: stoppingRetryAfterMs});
		}

		const cost = await this.#admit({service, workspace}, facts, isForwarded);
		return {
			id: facts.id ?? this.#makeId(),
			facts,
			route: forwarded === undefined ? route : {...route, maxAttempts: Math.min(route.maxAttempts, forwarded.attempts)},
			service,
			method: request.method ?? 'GET',
			target,
			headers: this.#forwardedHeaders(request, table.hasWorkspaces),
			workspace,
			cost,
			body,
			content,
			arrivedAt,
			deadlineAt,
			resumedVersion,
			earlierVersion,
			streamKey,
			entryHost: forwarded?.entryHost,
			isCallerRetry: forwarded === undefined ? this.#isCallerRetry(route.name, facts) : forwarded.isCallerRetry === '1',
			signal: controller.signal,
			reply,
			runs: new RunLedger(),
			sends: 0,
			arrivals: 0,
			retryPermits: [],
			usedPermit: undefined,
			isContentHeld: false,
			trials: new Set(),
		};
	}

	/** Finds where a stream that the caller resumes has to go on, and under which key its version is recorded. */
	async #resolveStream({table, route, service, workspace}: ResolvedRequest, facts: RequestFacts): Promise<Pick<Job, 'service' | 'resumedVersion' | 'streamKey'>> {
		const ownKey = route.isResumable && facts.id !== undefined ? toStreamKey(workspace?.name, facts.id) : undefined;
		const point = isResumption(facts, route)
			? await this.#parts.streams.resolve({
				facts, workspace: workspace?.name, route, service: service.name,
			})
			: undefined;
		if (point === undefined) {
			return {service, resumedVersion: undefined, streamKey: ownKey};
		}

		const isStillRouted = route.shares.some(share => share.service === point.service);
		return {
			service: (isStillRouted ? table.service(point.service) : undefined) ?? service,
			resumedVersion: point.softwareVersion,
			streamKey: facts.resumedId === undefined ? ownKey : toStreamKey(workspace?.name, facts.resumedId),
		};
	}

	/** Charges the request's quota and adds it to the retry budget; both were done where a forwarded request entered. Returns the cost. */
	async #admit({service, workspace}: Pick<ResolvedRequest, 'service' | 'workspace'>, facts: RequestFacts, isForwarded: boolean): Promise<number> {
		if (isForwarded) {
			return 0;
		}

		const cost = await this.#parts.accessControl.charge(workspace, facts);
		this.#parts.budgets.recordRequest(service.name);
		return cost;
	}

	/** Retry-After while no configuration is loaded. Uses the request's own timeout, as the route and its timeout are unknown. */
	#notReadyRetryAfterMs({timeoutMs}: IncomingRequest): number {
		return retryAfter(notReadyRetryAfterMs, timeoutMs ?? notReadyRetryAfterMs, this.#parts.context.random);
	}

	/** Whether a request is a retry: it resumes a stream, or its timeout is shorter, as callers that retry send the time left. */
	#isCallerRetry(route: string, {timeoutMs, lastEventId}: RequestFacts): boolean {
		const hasShorterTimeout = timeoutMs !== undefined && this.#retryDetector.note(route, timeoutMs, this.#parts.routing.isLoadManaged ? callerTimeoutSpread : 0);
		return hasShorterTimeout || lastEventId !== undefined;
	}

	/** Headers for the endpoint. Where workspaces have keys, those that identify the caller are removed. */
	#forwardedHeaders(request: IncomingMessage, hasWorkspaces: boolean): string[] {
		const {dialect} = this.#parts.context;
		return forwardHeaders(request, name => name !== 'content-length' && name !== 'expect' && !isReservedHeader(name) && dialect.isForwarded(name) && !(hasWorkspaces && dialect.identifiesCaller(name)));
	}

	/** Generates an id for a request without one, for the log. */
	#makeId(): string {
		this.#generatedIds += 1;
		return `${this.#parts.context.self.host}-${this.#generatedIds}`;
	}

	/** Responds to a request whose processing threw an error, before or after it was sent. */
	#reject(pending: PendingRequest, error: unknown): void {
		const {request, reply, controller: {signal}, arrivedAt, job} = pending;
		if (pending.isRejected) {
			return;
		}

		pending.isRejected = true;
		const {context: {clock, log, metrics, dialect}, routing} = this.#parts;
		const failure = toFailure(error);
		const {message, retryAfterMs} = failure;
		const code = reply.sendError(failure.code, {retryAfterMs, mayHaveRun: job?.runs.mayHaveRun ?? false, isRepeatable: job?.route.kind === 'repeatable'});
		if (reply.isOpen) {
			pending.isDraining = true;
			this.#drainingRequests += 1;
		}

		const outcome = signal.aborted && code === 'callerGone' ? 'callerLeft' : 'refused';
		metrics.add('requests', {kind: 'none', outcome});
		log(failure.code === 'internal' ? 'internal' : 'requestEnded', {
			request: dialect.readRequest(request.headers).id, outcome, reason: code, detail: message, version: routing.version, evidenceAgeMs: isDecidedByConfiguration(code) ? Math.round(routing.ageMs()) : undefined, tookMs: Math.round(clock.now() - arrivedAt),
		});
	}

	#recordEnd(job: Job, {outcome, code, endpoint, softwareVersion, detail, blockedBy, longestGapMs, silentMs, framing, events, restBytes}: JobEnd): void {
		const {context: {clock, log, metrics}, routing} = this.#parts;
		const {id, route, service, workspace, reply, arrivedAt, sends, runs, arrivals, isCallerRetry, entryHost} = job;
		const now = clock.now();
		metrics.add('requests', {kind: route.kind, outcome: code ?? outcome});
		if (outcome === 'brokenOff') {
			metrics.add('streamsBroken', {cause: breakCauseOf(job, detail), blockedBy: blockedBy ?? 'none'});
		}

		if (outcome === 'refused' && code !== undefined) {
			this.#parts.refusals.note(service.name, code, detail);
		}

		if (reply.firstByteAt !== undefined && outcome === 'answered') {
			metrics.time('firstByte', reply.firstByteAt - arrivedAt, {kind: route.kind});
			metrics.time('whole', now - arrivedAt, {kind: route.kind});
			this.#parts.stopWindow.recordDuration(route.name, now - arrivedAt);
		}

		log(outcome === 'answered' || code === undefined ? 'requestEnded' : code, {
			request: id,
			route: route.name,
			service: service.name,
			workspace: workspace?.name,
			outcome,
			status: reply.status,
			endpoint,
			softwareVersion,
			entryHost,
			detail,
			blockedBy,
			sends,
			runs: runs.count,
			arrivals,
			secondTry: isCallerRetry,
			resumedId: abbreviate(job.facts.resumedId),
			lastEventId: abbreviate(job.facts.lastEventId),
			patienceMs: job.facts.timeoutMs,
			targetMs: route.targetMs,
			gapTargetMs: route.gapTargetMs,
			longestGapMs,
			silentMs,
			framing,
			events,
			restBytes,
			firstByteMs: reply.firstByteAt === undefined ? undefined : Math.round(reply.firstByteAt - arrivedAt),
			tookMs: Math.round(now - arrivedAt),
			leftMs: outcome === 'brokenOff' ? Math.round(job.deadlineAt - now) : undefined,
			version: routing.version,
			versionAgeMs: outcome === 'answered' ? undefined : roundMs(routing.activeMs()),
		});
	}
}

/** Limits the tokens that a caller states: sums of larger ones, and messages between hosts, cannot hold them. */
function boundTokens(facts: RequestFacts): RequestFacts {
	const {promptTokens, answerTokens, countedTokens, ownPart} = facts;
	return {
		...facts,
		promptTokens: Math.min(promptTokens, maxRequestTokens),
		answerTokens: Math.min(answerTokens, maxRequestTokens),
		countedTokens: countedTokens === undefined ? undefined : Math.min(countedTokens, Number.MAX_SAFE_INTEGER),
		ownPart: ownPart === undefined ? undefined : {...ownPart, tokens: Math.min(ownPart.tokens, maxRequestTokens)},
	};
}

/** Causes of a broken-off stream whose request was aborted. */
const abortCauses: ReadonlyMap<unknown, string> = new Map([['timeUp', 'deadline'], ['hostStopping', 'stop']]);

/** Why a stream broke off, for the metrics. */
function breakCauseOf({signal}: Job, detail: string | undefined): string {
	return abortCauses.get(signal.reason) ?? (detail === stallReason ? 'silent' : 'failed');
}

/** Failure of a request that is aborted before it can be sent. */
function toAbortFailure(reason: unknown): Failure {
	if (reason === 'callerLeft') {
		return new Failure('callerGone');
	}

	return reason === 'hostStopping'
		? new Failure('hostStopping', {retryAfterMs: stoppingRetryAfterMs})
		: new Failure('overloaded', {retryAfterMs: defaultRetryAfterMs, detail: 'time is up'});
}

function roundMs(milliseconds: number | undefined): number | undefined {
	return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** Shortens text of a caller for the log. */
function abbreviate(text: string | undefined): string | undefined {
	return text === undefined || text.length <= maxLoggedLength ? text : `${text.slice(0, maxLoggedLength)}…`;
}
