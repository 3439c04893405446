/**
 * Sends one request to one endpoint and says truthfully what came of it.
 * Safety: `notRun` is returned only where no byte left or the endpoint itself
 * says so; an answer that names another request is nobody's answer.
 */
import {type IncomingMessage} from 'node:http';
import {type Outcome} from '@gatehead/policy/relay/endpoint-health';
import {type Permit} from '@gatehead/policy/relay/rate-permits';
import {type Endpoint} from '@gatehead/schema/routing';
import {type ResponseFacts, type SendFacts} from '../core/dialect.js';
import {type RelayContext} from '../core/context.js';
import {promises} from '../front/reply.js';
import {timeLeft, type Job} from '../work/job.js';
import {noteRest, spoil} from './connections.js';
import {type Endpoints} from './endpoints.js';
import {exchange, ExchangeError, type ExchangeFault} from './exchange.js';
import {type CrashGuard, type LostRun} from './crash-guard.js';
import {type RateLimiter} from './rate-limiter.js';

/** Least status of an endpoint's own failure. */
const leastErrorStatus = 500;
const leastSuccess = 200;
const leastRedirect = 300;

/** What a send is for. */
export type Step = 'plain' | 'prefill' | 'decode';

/** What came of a send. */
export type Sent
	/** An answer of this endpoint to this request; `touch` is called when a part of its body has come, `end` must be called with what became of it. */
	= | {readonly kind: 'answer'; readonly response: IncomingMessage; readonly facts: ResponseFacts; readonly touch: () => void; readonly end: (outcome: Outcome, reason?: string) => void}
	/** It did not run there. */
		| {readonly kind: 'notRun'; readonly reason: ExchangeFault | 'refused' | 'otherEndpoint' | 'held' | 'limited'; readonly status: number}
	/** It may have run. */
		| {readonly kind: 'unknown'; readonly reason: ExchangeFault | 'foreignAnswer' | 'unmarked'};

/** One send. */
export type Send = {
	readonly job: Job;
	readonly step: Step;
	readonly endpoint: Endpoint;
	readonly facts: Omit<SendFacts, 'endpoint' | 'remainingMs' | 'workspace'>;
	/** Memory that it takes there, in tokens. */
	readonly tokens: number;
	/** Time until the answer's head must be there. */
	readonly headMs: number;
	readonly signal: AbortSignal;
	/** A permit for a rate-limited endpoint that the request already has. */
	readonly permit?: Permit | undefined;
	/** Time for which it may wait for a permit, in milliseconds; absent: not at all. */
	readonly permitMs?: number;
};

/** What an exchange's fault says about its endpoint; an abort says nothing. */
const faultOutcomes: Readonly<Record<ExchangeFault, Outcome | undefined>> = {
	connect: 'silent', reset: 'broken', silent: 'silent', aborted: undefined, tooLarge: 'broken',
};

/** Why a send is given up whose request has its answer from another endpoint. */
export const answeredElsewhere = 'answered';
/** Why a stream is broken off here although its connection stands. */
export const silentReason = 'silent';

/** What sends are made with. */
export type SenderParts = {
	readonly context: RelayContext;
	readonly endpoints: Endpoints;
	readonly guard: CrashGuard;
	readonly limiter: RateLimiter;
};

/** Sends requests. */
export class Sender {
	readonly #context: RelayContext;
	readonly #endpoints: Endpoints;
	readonly #guard: CrashGuard;
	readonly #limiter: RateLimiter;

	constructor({context, endpoints, guard, limiter}: SenderParts) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#guard = guard;
		this.#limiter = limiter;
	}

	/** Sends a request to an endpoint. */
	async send(send: Send): Promise<Sent> {
		const {job, step, endpoint, signal, headMs, tokens} = send;
		const {clock, settings, metrics} = this.#context;
		if (!this.#guard.mayRun(job)) {
			return {kind: 'notRun', reason: 'held', status: 0};
		}

		const permit = await this.#getPermit(send);
		if (permit === undefined || signal.aborted) {
			metrics.add('sends', {step, outcome: 'limited'});
			return {kind: 'notRun', reason: 'limited', status: 0};
		}

		const startedAt = clock.now();
		const finish = this.#endpoints.begin(endpoint, tokens);
		this.#endpoints.health.begin(endpoint.id);
		if (step !== 'prefill') {
			job.sends += 1;
		}

		try {
			const response = await exchange({
				address: endpoint.address, method: job.method, target: job.target, headers: this.#headersOf(send), body: job.body,
			}, this.#endpoints.connectionsOf(endpoint), {
				clock,
				connectMs: settings.timing.connectMs,
				headMs,
				signal,
				mayLeave: () => clock.now() <= permit.sendBy && this.#mayLeave(send),
			});
			const sent = this.#judge(send, response, finish, startedAt);
			metrics.add('sends', {step, outcome: sent.kind === 'answer' ? `status${Math.floor((response.statusCode ?? 0) / 100)}` : sent.reason});
			return sent;
		} catch (error) {
			const sent = this.#fail(send, error, startedAt);
			finish();
			metrics.add('sends', {step, outcome: sent.reason});
			return sent;
		}
	}

	/** Leave to send where the endpoint is rate-limited; undefined: none can be had in time. */
	async #getPermit({endpoint, permit, permitMs}: Send): Promise<Permit | undefined> {
		if (permit !== undefined && this.#context.clock.now() < permit.sendBy) {
			return permit;
		}

		const answer = await this.#limiter.acquire(endpoint.id, permitMs);
		return answer.kind === 'granted' ? answer.permit : undefined;
	}

	/** Asked with the connection ready: from here on the request may run. */
	#mayLeave({job, step, endpoint}: Send): boolean {
		const {book, signals} = this.#endpoints;
		const isOpen = book.isReady(endpoint.id) && !signals.isBackingOff(endpoint.id, this.#context.clock.now());
		// The content may have become known as one that ends endpoints since it was let in
		if (!isOpen || !this.#guard.mayRun(job)) {
			return false;
		}

		if (step !== 'prefill') {
			job.mayHaveRun = true;
			job.runs += 1;
		}

		return true;
	}

	#headersOf({job, endpoint, facts}: Send): string[] {
		const {clock, dialect} = this.#context;
		const length = job.body === undefined ? [] : ['Content-Length', String(job.body.length)];
		return [...job.headers, ...length, ...dialect.sendHeaders({
			...facts, endpoint, workspace: job.workspace?.name, remainingMs: Math.floor(timeLeft(job, clock.now())),
		})];
	}

	#judge(send: Send, response: IncomingMessage, finish: () => void, sentAt: number): Sent {
		const {job, step, endpoint} = send;
		const status = response.statusCode ?? 0;
		const facts = this.#context.dialect.readResponse(status, response.headers);
		const {socket} = response;
		noteRest(socket, facts.keepAliveMs);
		const end = (outcome: Outcome) => {
			finish();
			this.#endpoints.judge(endpoint, outcome);
		};

		const isForeign = facts.id !== undefined && facts.id !== job.id;
		if (!facts.isAddressReassigned && !isForeign) {
			// A garbled response may lack any header, so only one that names the request shows that a limit has ended
			this.#endpoints.noteSignals(endpoint, {signals: facts.signals, sentAt, isComplete: facts.id === job.id});
		}

		if (facts.isNotRun || facts.isAddressReassigned) {
			this.#takeBack(send);
			response.resume();
			response.on('error', () => {
				// The refusal's head has said all; its body may break off
			});
			end('refused');
			if (!facts.isAddressReassigned) {
				this.#guard.noteLife(endpoint, sentAt);
			}

			return this.#refused(send, facts, status);
		}

		// A promise that the endpoint does not vouch for must not be passed on as one
		const isEmptyPromise = promises.has(status);
		const isUnmarked = isEmptyPromise || isUnmarkedSuccess(step, status, facts);
		if (isForeign || isUnmarked || response.headers['content-encoding'] !== undefined) {
			spoil(socket);
			response.destroy();
			response.on('error', () => {
				// Destroyed on purpose
			});
			end('broken');
			return this.#note(send, {kind: 'unknown', reason: isForeign ? 'foreignAnswer' : 'unmarked'}, {status});
		}

		this.#guard.noteLife(endpoint, sentAt);
		let answeredAt: number | undefined;
		return {
			kind: 'answer',
			response,
			facts,
			touch: () => {
				answeredAt ??= this.#context.clock.now();
				this.#guard.noteLife(endpoint, sentAt);
			},
			end: (outcome, reason = '') => {
				if (outcome === 'broken' || outcome === 'cancelled') {
					this.#noteLoss(send, {
						sentAt, answeredAt, isCut: outcome === 'broken' && reason !== silentReason, reason: reason || outcome,
					});
				} else if (outcome === 'good' && step !== 'prefill' && status < leastRedirect) {
					this.#guard.noteGood(job);
				}

				end(outcome === 'good' && status >= leastErrorStatus ? 'error' : outcome);
			},
		};
	}

	#refused(send: Send, {isAddressReassigned}: ResponseFacts, status: number): Sent {
		const {endpoint} = send;
		if (isAddressReassigned) {
			this.#endpoints.note(this.#endpoints.book.drop(endpoint.id, this.#context.clock.now()), 'endpoint');
		}

		return this.#note(send, {kind: 'notRun', reason: isAddressReassigned ? 'otherEndpoint' : 'refused', status}, {status});
	}

	/** The endpoint's own word that it did not run. */
	#takeBack({job, step}: Send): void {
		if (step !== 'prefill') {
			job.runs -= 1;
			job.mayHaveRun = job.runs > 0;
		}
	}

	#noteLoss({job, step, endpoint}: Send, loss: Pick<LostRun, 'sentAt' | 'answeredAt' | 'isCut' | 'reason'>): void {
		this.#guard.noteLoss({
			job, step, endpoint, inWork: this.#endpoints.countOpen(endpoint.id), ...loss,
		});
	}

	#fail(send: Send, error: unknown, sentAt: number): Exclude<Sent, {kind: 'answer'}> {
		const {job} = send;
		const fault = error instanceof ExchangeError ? error : new ExchangeError('reset', true, error);
		// Who is given up on after its answer was due may have been silent, or the request long
		const isOverdue = fault.left && this.#context.clock.now() - sentAt > job.route.targetMs;
		const outcome = faultOutcomes[fault.fault] ?? (isOverdue ? 'overdue' : undefined);
		if (outcome === undefined) {
			this.#endpoints.health.abandon(send.endpoint.id);
		} else {
			this.#endpoints.judge(send.endpoint, outcome);
		}

		if (fault.left && send.signal.reason !== answeredElsewhere) {
			this.#noteLoss(send, {
				sentAt, answeredAt: undefined, isCut: fault.fault === 'reset', reason: fault.fault,
			});
		}

		if (job.isContentHeld && !fault.left) {
			return this.#note(send, {kind: 'notRun', reason: 'held', status: 0}, {});
		}

		const facts = {detail: fault.message};
		return fault.left
			? this.#note(send, {kind: 'unknown', reason: fault.fault}, facts)
			: this.#note(send, {kind: 'notRun', reason: fault.fault, status: 0}, facts);
	}

	#note<Result extends Exclude<Sent, {kind: 'answer'}>>({job, step, endpoint}: Send, sent: Result, facts: Readonly<Record<string, string | number>>): Result {
		this.#context.log('sendFailed', {
			request: job.id, step, endpoint: endpoint.id, outcome: sent.kind, reason: sent.reason, ...facts, ageMs: Math.round(this.#context.clock.now() - job.arrivedAt),
		});
		return sent;
	}
}

/** Only a success that carries the endpoint's own mark and the request's name counts. */
function isUnmarkedSuccess(step: Step, status: number, {isMarked, id}: ResponseFacts): boolean {
	return step !== 'prefill' && status >= leastSuccess && status < leastRedirect && (!isMarked || id === undefined);
}
