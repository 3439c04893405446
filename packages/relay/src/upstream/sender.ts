/**
 * Sends one request to one endpoint and classifies the outcome. Safety:
 * `notRun` is returned only if no byte was sent or the endpoint itself says
 * that the request did not run; a response that does not name this request,
 * or may be a duplicate of an earlier response to it, is never used.
 */
import {type IncomingMessage} from 'node:http';
import {framingOf} from '@gatehead/host/utils/response-framing';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type Outcome} from '@gatehead/policy/relay/endpoint-health';
import {type Permit} from '@gatehead/policy/relay/rate-permits';
import {type Endpoint} from '@gatehead/schema/routing';
import {type ResponseFacts, type SendFacts} from '../core/dialect.js';
import {type RelayContext} from '../core/context.js';
import {notRunStatuses} from '../front/reply.js';
import {unlessAborted} from '../utils/wait.js';
import {timeLeft, type Job} from '../work/job.js';
import {type RetryBudgets} from '../work/retry-budgets.js';
import {setIdleTimeout, preventReuse, traceConnection} from './connection-pool.js';
import {type Endpoints} from './endpoints.js';
import {exchangeWith} from './endpoint-exchange.js';
import {
	discardBody, ExchangeError, type ExchangeFault, type VerifiedResponse,
} from './exchange.js';
import {type CrashCheck, type Finding} from './crash-check.js';
import {crashWindowMs, type CrashGuard, type LostSend} from './crash-guard.js';
import {type RateLimiter} from './rate-limiter.js';

const minServerErrorStatus = 500;
const minSuccessStatus = 200;
const minRedirectStatus = 300;

/** Connections of a crashed endpoint end within this time of each other, in milliseconds. */
const coincidenceMs = 30;

/** Processing step that a send is for. */
export type SendStep = 'plain' | 'prefill' | 'decode';

/** Outcome of a send. */
export type SendResult
	/** The endpoint's response to this request. The caller calls `touch` when a part of the body arrives, `confirmEnd` when the body has ended, and must call `end` with the outcome. `confirmEnd` rejects with an `ExchangeError` if the response is truncated. */
	= | {readonly kind: 'answer'; readonly response: IncomingMessage; readonly facts: ResponseFacts; readonly touch: () => void; readonly confirmEnd: () => Promise<void>; readonly end: (outcome: Outcome, reason?: string) => void}
	/** The request did not run there. */
		| {readonly kind: 'notRun'; readonly reason: ExchangeFault | 'refused' | 'otherEndpoint' | 'held' | 'limited'; readonly status: number}
	/** The request may have run. */
		| {readonly kind: 'unknown'; readonly reason: ExchangeFault | 'unmarked'};

/** Outcome in a log line; `cut`: the response ended early. */
type FailedSend = Pick<Exclude<SendResult, {kind: 'answer'}>, 'kind'> & {readonly reason: Exclude<SendResult, {kind: 'answer'}>['reason'] | 'cut'};

export type Send = {
	readonly job: Job;
	readonly step: SendStep;
	readonly endpoint: Endpoint;
	readonly facts: Omit<SendFacts, 'endpoint' | 'remainingMs' | 'workspace'>;
	/** Memory that the request needs at the endpoint, in tokens. */
	readonly tokens: number;
	/** Timeout of the response headers, in milliseconds. */
	readonly headMs: number;
	readonly signal: AbortSignal;
	/** Called right before the first byte is written. */
	readonly onWrite?: () => void;
	/** A permit that the request already has for a rate-limited endpoint; returned to the limiter if nothing is sent. */
	readonly permit?: Permit | undefined;
	/** Longest wait for a permit, in milliseconds; absent: no wait. */
	readonly permitMs?: number;
};

/** Outcome of each fault in terms of the endpoint's health; an abort has none. */
const faultOutcomes: Readonly<Record<ExchangeFault, Outcome | undefined>> = {
	connect: 'silent', reset: 'broken', silent: 'silent', aborted: undefined, tooLarge: 'broken', foreign: 'broken',
};

/** Stands for the ids of requests without one: responses to two of them cannot be told apart on a connection. */
const noId = '';
/** Abort reason of a send whose request was answered by another endpoint. */
export const answeredElsewhere = 'answered';
/** Reason for ending a send, or a stream, that stalled on an open connection. */
export const stallReason = 'silent';

/** Progress of a send. */
type SendProgress = {
	readonly startedAt: number;
	/** When the request was written; undefined: it was not. */
	writtenAt: number | undefined;
	/** Takes back the run that the send may cause. */
	undoRun: () => void;
	/** Fields of the connection and of the response for the log. `responseId`: request that the response names; empty: none. */
	fields: Readonly<Record<string, string | number>>;
};

export type SenderOptions = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly guard: CrashGuard;
	readonly limiter: RateLimiter;
	readonly budgets: RetryBudgets;
	/** Checks endpoints that just closed a connection. */
	readonly crashCheck: Pick<CrashCheck, 'check'>;
};

/** Sends requests to endpoints. */
export class Sender {
	readonly #context: RelayContext;
	readonly #endpoints: Endpoints;
	readonly #crashGuard: CrashGuard;
	readonly #limiter: RateLimiter;
	readonly #budgets: RetryBudgets;
	readonly #crashCheck: SenderOptions['crashCheck'];

	constructor({context, endpoints, guard, limiter, budgets, crashCheck}: SenderOptions) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#crashGuard = guard;
		this.#limiter = limiter;
		this.#budgets = budgets;
		this.#crashCheck = crashCheck;
	}

	/** Sends a request to an endpoint. */
	async send(send: Send): Promise<SendResult> {
		const {job, step, endpoint, signal, headMs, tokens} = send;
		const {clock, settings, metrics} = this.#context;
		if (!this.#crashGuard.maySend(job)) {
			this.#returnPermit(endpoint, send.permit);
			return {kind: 'notRun', reason: 'held', status: 0};
		}

		const permit = await this.#getPermit(send);
		if (permit === undefined || signal.aborted) {
			this.#returnPermit(endpoint, permit);
			metrics.add('sends', {step, outcome: 'limited'});
			return {kind: 'notRun', reason: 'limited', status: 0};
		}

		const startedAt = clock.now();
		const finish = this.#endpoints.begin(endpoint, tokens);
		this.#endpoints.health.begin(endpoint.id);
		if (step !== 'prefill') {
			job.sends += 1;
		}

		const progress: SendProgress = {
			startedAt, writtenAt: undefined, undoRun: ignore, fields: {},
		};
		try {
			const {response, facts} = await exchangeWith(this.#endpoints, endpoint, {
				method: job.method, target: job.target, headers: this.#buildHeaders(send), body: job.body,
			}, {
				clock,
				connectMs: settings.timing.connectMs,
				headMs,
				signal,
				requestId: job.facts.id ?? noId,
				verify: response => {
					const facts = this.#context.dialect.readResponse(response.statusCode ?? 0, response.headers);
					progress.fields = {...progress.fields, status: response.statusCode ?? 0, responseId: facts.id ?? ''};
					metrics.add('responses', {step, identity: identityOf(facts, job)});
					return facts.id === job.facts.id ? facts : undefined;
				},
				maySend: socket => {
					if (clock.now() > permit.sendBy || !this.#maySend(send)) {
						return false;
					}

					if (step !== 'prefill') {
						progress.undoRun = job.runs.enter();
					}

					progress.writtenAt = clock.now();
					progress.fields = traceConnection(socket);
					send.onWrite?.();
					return true;
				},
			});
			const sent = this.#classifyResponse(send, {response, facts}, finish, progress);
			metrics.add('sends', {step, outcome: sent.kind === 'answer' ? `status${Math.floor((response.statusCode ?? 0) / 100)}` : sent.reason});
			return sent;
		} catch (error) {
			const sent = this.#classifyFailure(send, error, progress);
			if (progress.writtenAt === undefined) {
				this.#returnPermit(endpoint, permit);
			}

			finish();
			metrics.add('sends', {step, outcome: sent.reason});
			return sent;
		}
	}

	/** Gets a permit for a rate-limited endpoint; undefined: none is available in time. */
	async #getPermit({endpoint, permit, permitMs}: Send): Promise<Permit | undefined> {
		if (permit !== undefined && this.#context.clock.now() < permit.sendBy) {
			return permit;
		}

		const answer = await this.#limiter.acquire(endpoint.id, permitMs);
		return answer.kind === 'granted' ? answer.permit : undefined;
	}

	/** Returns a permit that was not used. */
	#returnPermit({id}: Endpoint, permit: Permit | undefined): void {
		if (permit !== undefined) {
			this.#limiter.returnPermit(id, permit);
		}
	}

	/** Called once the connection is established; after it returns true the request may run. */
	#maySend({job, step, endpoint}: Send): boolean {
		const {metrics} = this.#context;
		const {book, signals} = this.#endpoints;
		const isOpen = book.isReady(endpoint.id) && !signals.isBackingOff(endpoint.id, this.#context.clock.now());
		// The content may have become held since the first check
		if (!isOpen || !this.#crashGuard.maySend(job)) {
			return false;
		}

		if (!this.#budgets.admit(job)) {
			return false;
		}

		metrics.add('arrivals', {step, order: job.arrivals === 1 ? 'first' : 'repeat'});
		return true;
	}

	#buildHeaders({job, endpoint, facts}: Send): string[] {
		const {clock, dialect} = this.#context;
		const length = job.body === undefined ? [] : ['Content-Length', String(job.body.length)];
		return [...job.headers, ...length, ...dialect.sendHeaders({
			...facts, endpoint, workspace: job.workspace?.name, remainingMs: Math.floor(timeLeft(job, clock.now())),
		})];
	}

	#classifyResponse(send: Send, {response, facts}: VerifiedResponse<ResponseFacts>, finish: () => void, progress: SendProgress): SendResult {
		const {startedAt: sentAt} = progress;
		const {job, step, endpoint} = send;
		const status = response.statusCode ?? 0;
		const {socket} = response;
		setIdleTimeout(socket, facts.keepAliveMs);
		const end = (outcome: Outcome) => {
			finish();
			this.#endpoints.judge(endpoint, outcome);
		};

		if (!facts.isAddressReassigned) {
			// A garbled response may lack any header, so only one that names the request shows that a limit has ended
			this.#endpoints.noteSignals(endpoint, {signals: facts.signals, sentAt, isComplete: facts.id !== undefined});
		}

		if (facts.isNotRun || facts.isAddressReassigned) {
			progress.undoRun();
			discardBody(response, this.#context.clock);
			end('refused');
			if (!facts.isAddressReassigned) {
				this.#crashGuard.recordData(endpoint, sentAt);
			}

			return this.#handleRefusal(send, facts, status, progress);
		}

		// These statuses tell the caller that the request did not run, which the endpoint did not say
		const isUnbackedPromise = notRunStatuses.has(status);
		const isUnmarked = isUnbackedPromise || isUnmarkedSuccess(step, status, facts);
		if (isUnmarked || response.headers['content-encoding'] !== undefined) {
			preventReuse(socket);
			response.destroy();
			end('broken');
			return this.#logFailure(send, {kind: 'unknown', reason: 'unmarked'}, progress);
		}

		this.#crashGuard.recordData(endpoint, sentAt);
		let answeredAt: number | undefined;
		let hasSurvived = step === 'prefill';
		return {
			kind: 'answer',
			response,
			facts,
			touch: () => {
				const now = this.#context.clock.now();
				answeredAt ??= now;
				this.#endpoints.contacts.recordContact(endpoint.id, now);
				this.#crashGuard.recordData(endpoint, sentAt);
				if (!hasSurvived && now - answeredAt >= crashWindowMs) {
					hasSurvived = true;
					this.#crashGuard.recordSurvival(job);
				}
			},
			confirmEnd: async () => this.#confirmEnd(send, response, sentAt),
			end: (outcome, reason = '') => {
				if (outcome === 'broken' || outcome === 'cancelled') {
					this.#recordLoss(send, {
						sentAt, answeredAt, isConnectionLost: outcome === 'broken' && reason !== stallReason, reason: reason || outcome,
					});
					this.#logFailure(send, {kind: 'unknown', reason: 'cut'}, progress, reason || outcome);
				} else if (outcome === 'good' && step !== 'prefill' && status < minRedirectStatus) {
					this.#crashGuard.recordSuccess(job);
				}

				end(outcome === 'good' && status >= minServerErrorStatus ? 'error' : outcome);
			},
		};
	}

	/** Throws if only a closed connection ended the response and the endpoint has crashed: a process that crashes closes its connections too. One that is leaving may exit behind its last response. While the endpoint is silent, nothing shows whether the response is complete; waits until it is known or the send's signal aborts. */
	async #confirmEnd({job, endpoint, signal}: Send, response: IncomingMessage, sentAt: number): Promise<void> {
		const {book} = this.#endpoints;
		if (framingOf(response, job.method) !== 'connection' || !book.isReady(endpoint.id)) {
			return;
		}

		const endedAt = this.#context.clock.now();
		const first = await this.#crashCheck.check(endpoint);
		// A proxy in front of a crashed endpoint may accept connections
		const areOthersLost = this.#endpoints.hasLostConnections(endpoint, Math.max(sentAt, endedAt - coincidenceMs));
		const finding = first === 'silent'
			? await unlessAborted(signal, this.#awaitFinding(endpoint, signal), () => new ExchangeError('aborted', true, new Error('the endpoint was silent as its response ended')))
			: first;
		// The entry of a crashed endpoint is removed while it is silent
		const isGone = first === 'silent' && !book.isKnown(endpoint.id);
		const isLeaving = !book.isReady(endpoint.id) && !isGone;
		if ((finding === 'refused' || areOthersLost || isGone) && !isLeaving) {
			throw new ExchangeError('reset', true, new Error('the endpoint crashed as its response ended'));
		}
	}

	/** Checks an endpoint until it accepts or refuses connections, is gone or replaced, or the signal aborts. */
	async #awaitFinding(endpoint: Endpoint, signal: AbortSignal): Promise<Finding> {
		let finding: Finding = 'silent';
		while (finding === 'silent' && !signal.aborted && this.#endpoints.book.isKnown(endpoint.id)) {
			finding = await this.#crashCheck.check(endpoint);
		}

		return finding;
	}

	#handleRefusal(send: Send, {isAddressReassigned}: ResponseFacts, status: number, progress: SendProgress): SendResult {
		const {endpoint} = send;
		if (isAddressReassigned) {
			this.#endpoints.note(this.#endpoints.book.drop(endpoint.id, this.#context.clock.now()), 'endpoint');
		}

		return this.#logFailure(send, {kind: 'notRun', reason: isAddressReassigned ? 'otherEndpoint' : 'refused', status}, progress);
	}

	#recordLoss({job, step, endpoint}: Send, loss: Pick<LostSend, 'sentAt' | 'answeredAt' | 'isConnectionLost' | 'reason'>): void {
		if (loss.isConnectionLost) {
			this.#endpoints.noteLostConnection(endpoint.id);
		}

		this.#crashGuard.recordLoss({
			job, step, endpoint, inFlight: this.#endpoints.countOpen(endpoint.id), ...loss,
		});
	}

	#classifyFailure(send: Send, error: unknown, progress: SendProgress): Exclude<SendResult, {kind: 'answer'}> {
		const {job} = send;
		const {startedAt: sentAt} = progress;
		const fault = error instanceof ExchangeError ? error : new ExchangeError('reset', true, error);
		// An endpoint that exceeded the target time before the abort may be unresponsive, or the request long
		const isOverdue = fault.mayHaveBeenSent && this.#context.clock.now() - sentAt > job.route.targetMs;
		// This host's connections were all in use, which tells nothing of the endpoint
		const hasWaited = fault.fault === 'connect' && !fault.isLinkFailure;
		const abortOutcome = send.signal.reason === stallReason ? 'silent' : undefined;
		const outcome = hasWaited ? undefined : faultOutcomes[fault.fault] ?? abortOutcome ?? (isOverdue ? 'overdue' : undefined);
		if (outcome === undefined) {
			this.#endpoints.health.abandon(send.endpoint.id);
		} else {
			this.#endpoints.judge(send.endpoint, outcome);
		}

		// A response that cannot be attributed tells nothing of the run
		if (fault.mayHaveBeenSent && fault.fault !== 'foreign' && send.signal.reason !== answeredElsewhere) {
			this.#recordLoss(send, {
				sentAt, answeredAt: undefined, isConnectionLost: fault.fault === 'reset', reason: fault.fault,
			});
		}

		if (job.isContentHeld && !fault.mayHaveBeenSent) {
			return this.#logFailure(send, {kind: 'notRun', reason: 'held', status: 0}, progress);
		}

		return fault.mayHaveBeenSent
			? this.#logFailure(send, {kind: 'unknown', reason: fault.fault}, progress, fault.message)
			: this.#logFailure(send, {kind: 'notRun', reason: fault.fault, status: 0}, progress, fault.message);
	}

	#logFailure<Result extends FailedSend>({job, step, endpoint}: Send, sent: Result, {writtenAt, fields}: SendProgress, detail?: string): Result {
		const now = this.#context.clock.now();
		const sentMs = writtenAt === undefined ? undefined : Math.round(now - writtenAt);
		this.#context.log('sendFailed', {
			request: job.id, step, endpoint: endpoint.id, outcome: sent.kind, reason: sent.reason, detail, ...fields, sentMs, ageMs: Math.round(now - job.arrivedAt),
		});
		return sent;
	}
}

/** Whether a successful response lacks the endpoint's mark or the request's id. */
function isUnmarkedSuccess(step: SendStep, status: number, {isMarked, id}: ResponseFacts): boolean {
	return step !== 'prefill' && status >= minSuccessStatus && status < minRedirectStatus && (!isMarked || id === undefined);
}

/** Whether a response names the request, another one, or none. */
function identityOf({id}: ResponseFacts, job: Job): 'own' | 'other' | 'none' {
	if (id === undefined) {
		return 'none';
	}

	return id === job.id ? 'own' : 'other';
}
