/**
 * The HTTP server towards callers: reads a request whole, finds its route,
 * has it worked on, and writes one line about how it ended. Safety: a request
 * without a route, or before any configuration is known, is put on no socket.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {CallerConnections} from '@gatehead/host/front/caller-connections';
import {listenAt} from '@gatehead/host/utils/listen';
import {retryAfter} from '@gatehead/policy/relay/retry-after';
import {isDecidedByConfiguration} from '@gatehead/policy/relay/final-refusals';
import {RetryDetector} from '@gatehead/policy/relay/retry-detector';
import {type Timer} from '@gatehead/policy/utils/clock';
import {fail, Failure, toFailure} from '@gatehead/schema/failure';
import {type CallerLimits} from '@gatehead/schema/routing';
import {RequestResolver, type IncomingRequest} from '../access/request-resolver.js';
import {type Freshness} from '../access/freshness.js';
import {type AccessControl} from '../access/access-control.js';
import {type RelayContext} from '../core/context.js';
import {type RequestFacts} from '../core/dialect.js';
import {type RoutingState} from '../core/routing-state.js';
import {type CrashGuard} from '../upstream/crash-guard.js';
import {type RetryBudgets} from '../work/retry-budgets.js';
import {type Job} from '../work/job.js';
import {RequestContent} from '../work/request-content.js';
import {readBytes} from '../utils/read-bytes.js';
import {type JobEnd} from '../work/job-end.js';
import {passHeaders} from './headers.js';
import {Reply} from './reply.js';

/** Rest that callers' connections are allowed beyond what the configuration says, in milliseconds: a request that crosses the close would be lost. */
const restMarginMs = 1500;
/** Least rest that callers' connections are allowed, in milliseconds: what Node allows by itself. */
const leastRestMs = 5000;
/** Time for one request to arrive whole, in milliseconds: twice as long as callers at hand wait for an answer. */
const requestMs = 30_000;
/** When a caller that was refused for the host's sake may come back, in milliseconds: at once, elsewhere. */
const elsewhereMs = 50;
/** The same where all hosts of the lookup may have too much to do, in milliseconds: about as long as half of the requests in work last. */
const crowdedMs = 500;
/** The same where no configuration is known yet, in milliseconds: a starting host has one within 0.1 s, or else the directory is away, for seconds. Who comes back within them is refused for good. */
const notReadyMs = 3000;

/** What the front works with. */
export type CallerFrontParts = {
	readonly context: RelayContext;
	readonly routing: RoutingState;
	readonly budgets: RetryBudgets;
	readonly accessControl: AccessControl;
	readonly freshness: Freshness;
	readonly guard: CrashGuard;
	readonly work: (job: Job) => Promise<JobEnd>;
};

/** A request as it came, and what it turned out to be. */
type Intake = {
	readonly request: IncomingMessage;
	readonly reply: Reply;
	readonly controller: AbortController;
	readonly arrivedAt: number;
	/** Ends the work when the caller's patience does. */
	patience: Timer | undefined;
};

/** Serves callers. */
export class CallerFront {
	readonly #parts: CallerFrontParts;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #secondTries = new RetryDetector();
	readonly #resolver: RequestResolver;
	#open = 0;
	#made = 0;
	#isLast = false;
	#isRefusing = false;

	constructor(parts: CallerFrontParts) {
		this.#parts = parts;
		this.#resolver = new RequestResolver({...parts, notReadyMs: ask => this.#notReadyMs(ask)});
		const {settings: {limits}} = parts.context;
		this.#server = createServer({
			maxHeaderSize: limits.headerBytes, requestTimeout: requestMs, headersTimeout: requestMs, noDelay: true,
		}, (request, response) => {
			void this.#answer(request, response);
		});
		this.#server.maxConnections = limits.connections;
		this.#connections = new CallerConnections(this.#server);
	}

	/** Requests in work. */
	get open(): number {
		return this.#open;
	}

	/** Starts to listen. */
	async listen(): Promise<string> {
		return listenAt(this.#server, this.#parts.context.settings.listen.caller);
	}

	/** Takes over what a configuration allows callers; never less than before, since callers may hold on to that. */
	limit({headerMs, idleMs}: CallerLimits): void {
		this.#server.keepAliveTimeout = Math.max(this.#server.keepAliveTimeout, leastRestMs, idleMs + restMarginMs);
		this.#server.headersTimeout = Math.max(requestMs, headerMs + restMarginMs);
	}

	/** From now on each answer is the last on its connection. */
	closeBehindAnswers(): void {
		this.#isLast = true;
	}

	/** From now on new requests are sent elsewhere. */
	refuseNew(): void {
		this.#isRefusing = true;
		this.#server.closeIdleConnections();
	}

	/** Stops listening and cuts what is still connected. */
	async close(): Promise<void> {
		await this.#connections.close();
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {context: {clock, metrics}} = this.#parts;
		const arrivedAt = clock.now();
		const reply = new Reply(response, () => clock.now(), () => this.#isLast);
		const controller = new AbortController();
		this.#open += 1;
		metrics.set('open', this.#open);
		response.once('close', () => {
			this.#open -= 1;
			metrics.set('open', this.#open);
			if (!response.writableFinished) {
				controller.abort('callerLeft');
			}
		});
		response.on('error', () => {
			// The caller is gone; `close` follows and ends the work
		});
		const intake: Intake = {
			request, reply, controller, arrivedAt, patience: undefined,
		};
		try {
			const job = await this.#takeIn(intake);
			const end = await this.#parts.work(job);
			if (!job.mayHaveRun) {
				this.#parts.accessControl.refund(job.workspace, job.cost);
			}

			this.#note(job, end);
		} catch (error) {
			this.#refuse(intake, error);
		} finally {
			intake.patience?.stop();
		}
	}

	#checkRoom(): void {
		if (this.#isRefusing) {
			fail('hostStopping', {retryAfterMs: elsewhereMs});
		}

		if (this.#open > this.#parts.context.settings.limits.requests) {
			fail('tooManyRequests', {retryAfterMs: crowdedMs});
		}
	}

	/** Reads the request and finds its route. */
	async #takeIn(intake: Intake): Promise<Job> {
		const {request, reply, controller, arrivedAt} = intake;
		const {context: {clock, dialect, settings: {limits}}, budgets, accessControl, guard} = this.#parts;
		this.#checkRoom();
		const body = await readRequest(request, limits.bodyBytes);
		const facts = dialect.readRequest(request.headers);
		const target = request.url ?? '/';
		const authority = request.headers.host ?? '';
		const {table, route, service, workspace} = await this.#resolver.resolve({
			authority, target, keyDigest: dialect.readKeyDigest(request.rawHeaders), arrivedAt, patienceMs: facts.timeoutMs,
		});
		const content = new RequestContent({
			authority, method: request.method ?? 'GET', target, workspace: workspace?.name, body,
		});
		const holdMs = guard.holdMs(content);
		if (holdMs !== undefined) {
			fail('contentHeld', {retryAfterMs: holdMs, detail: content.digest});
		}

		const patienceMs = Math.min(facts.timeoutMs ?? route.timeoutMs, route.timeoutMs);
		const cost = await accessControl.charge(workspace, facts);
		budgets.recordRequest(service.name);
		intake.patience = clock.after(arrivedAt + patienceMs - clock.now(), () => {
			controller.abort('timeUp');
		});
		return {
			id: facts.id ?? this.#makeId(),
			facts,
			route,
			service,
			method: request.method ?? 'GET',
			target,
			headers: this.#passedHeaders(request, table.hasWorkspaces),
			workspace,
			cost,
			body,
			content,
			arrivedAt,
			deadlineAt: arrivedAt + patienceMs,
			isCallerRetry: this.#isSecondTry(route.name, facts),
			signal: controller.signal,
			reply,
			mayHaveRun: false,
			runs: 0,
			sends: 0,
			isContentHeld: false,
			isProbe: false,
		};
	}

	/** When a caller may come back to a host without a configuration: its route, and so the route's own time, is not known. */
	#notReadyMs({patienceMs}: IncomingRequest): number {
		return retryAfter(notReadyMs, patienceMs ?? notReadyMs, this.#parts.context.random);
	}

	/** A caller that wants the rest of a stream has been here before, whatever its patience says. */
	#isSecondTry(route: string, {timeoutMs, lastEventId}: RequestFacts): boolean {
		const isLessPatient = timeoutMs !== undefined && this.#secondTries.note(route, timeoutMs);
		return isLessPatient || lastEventId !== undefined;
	}

	/** Where workspaces have keys, who the caller is goes no further. */
	#passedHeaders(request: IncomingMessage, hasWorkspaces: boolean): string[] {
		const {dialect} = this.#parts.context;
		return passHeaders(request, name => name !== 'content-length' && name !== 'expect' && dialect.isForwarded(name) && !(hasWorkspaces && dialect.identifiesCaller(name)));
	}

	/** Names a request that came without a name, for the log. */
	#makeId(): string {
		this.#made += 1;
		return `${this.#parts.context.self.host}-${this.#made}`;
	}

	#refuse({request, reply, controller: {signal}, arrivedAt}: Intake, error: unknown): void {
		const {context: {clock, log, metrics, dialect}, routing} = this.#parts;
		const {code, message, retryAfterMs} = toFailure(error);
		reply.refuse(code, {retryAfterMs, mayHaveRun: false, isRepeatable: false});
		const outcome = signal.aborted && code === 'callerGone' ? 'callerLeft' : 'refused';
		metrics.add('requests', {kind: 'none', outcome});
		log(code === 'internal' ? 'internal' : 'requestEnded', {
			request: dialect.readRequest(request.headers).id, outcome, reason: code, detail: message, version: routing.version, evidenceAgeMs: isDecidedByConfiguration(code) ? Math.round(routing.ageMs()) : undefined, tookMs: Math.round(clock.now() - arrivedAt),
		});
		// A body that was not read to its end would block the connection
		if (!request.complete) {
			request.destroy();
		}
	}

	#note(job: Job, {outcome, code, endpoint, detail, longestGapMs}: JobEnd): void {
		const {context: {clock, log, metrics}, routing} = this.#parts;
		const {id, route, service, workspace, reply, arrivedAt, sends, runs, isCallerRetry} = job;
		const now = clock.now();
		metrics.add('requests', {kind: route.kind, outcome: code ?? outcome});
		if (reply.firstByteAt !== undefined && outcome === 'answered') {
			metrics.time('firstByte', reply.firstByteAt - arrivedAt, {kind: route.kind});
			metrics.time('whole', now - arrivedAt, {kind: route.kind});
		}

		log(outcome === 'answered' || code === undefined ? 'requestEnded' : code, {
			request: id,
			route: route.name,
			service: service.name,
			workspace: workspace?.name,
			outcome,
			status: reply.status,
			endpoint,
			detail,
			sends,
			runs,
			secondTry: isCallerRetry,
			patienceMs: job.facts.timeoutMs,
			targetMs: route.targetMs,
			gapTargetMs: route.gapTargetMs,
			longestGapMs,
			firstByteMs: reply.firstByteAt === undefined ? undefined : Math.round(reply.firstByteAt - arrivedAt),
			tookMs: Math.round(now - arrivedAt),
			version: routing.version,
		});
	}
}

/** Reads a request's body whole; undefined where it has none. */
async function readRequest(request: IncomingMessage, most: number): Promise<Uint8Array | undefined> {
	const {'content-length': length, 'transfer-encoding': coding} = request.headers;
	if (length === undefined && coding === undefined) {
		request.resume();
		return undefined;
	}

	return readBytes(request, most, () => new Failure('bodyTooLarge')).catch((error: unknown) => {
		throw error instanceof Failure ? error : new Failure('callerGone', {cause: error});
	});
}
