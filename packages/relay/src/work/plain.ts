/**
 * Requests to plain services. Safety: a request that is not repeatable is sent
 * again only if it provably did not run. A repeatable request is hedged: a
 * second endpoint is tried, within the retry budget, when the first one fails
 * or is slow.
 */
import {type IncomingMessage} from 'node:http';
import {framingOf, isBodiless} from '@gatehead/host/utils/response-framing';
import {retryAfterWait} from '@gatehead/policy/relay/retry-after';
import {type IncomingPlace} from '@gatehead/policy/relay/incoming-budget';
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {type Mechanism} from '@gatehead/schema/relay-settings';
import {type ByteBlocks} from '@gatehead/policy/utils/byte-blocks';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {unlistedRetryAfterMs} from '../core/list-evidence.js';
import {readSoftwareVersion} from '../core/forward-facts.js';
import {describeHold} from '../upstream/crash-guard.js';
import {openShare, readBlocks} from '../upstream/exchange.js';
import {type IncomingShare} from '../utils/incoming-memory.js';
import {type ForwardResult} from '../upstream/peer-forwarder.js';
import {answeredElsewhere, type SendResult} from '../upstream/sender.js';
import {stopEndedDetail, stoppingRetryAfterMs, type Via} from './generation-failure.js';
import {type AttemptKind} from './call-admission.js';
import {type RetryCause} from './retry-budgets.js';
import {timeLeft, type Job} from './job.js';
import {type JobEnd} from './job-end.js';
import {type WorkParts} from './parts.js';
import {placementNeeds} from './placement-needs.js';

/** Maximum response size. Responses are buffered whole, so that a truncated one is never forwarded. */
const maxBodyBytes = 8_388_608;
/** Share of the target after which a request is hedged; leaves a second response enough time to meet the target. */
const hedgeShare = 0.45;
/** Minimum time before a request is hedged, in milliseconds; about the usual response time. */
const minHedgeDelayMs = 60;
/** Default `Retry-After` if no endpoint was available, in milliseconds; short enough for a retry within a short target. */
const defaultRetryAfterMs = 400;
/** Maximum endpoints tried per request. */
const maxEndpoints = 4;
const okStatus = 200;
const minServerErrorStatus = 500;

/** Placement weights for plain services: the endpoint in the own hall is preferred until it has work in progress, so that its connections are reused. */
const weights: PlacementWeights = {
	otherHall: 0.12, newConnection: 0.1, failureRate: 2, otherSubset: 0, noise: 0.05,
};

/** A response with its complete body. */
type BufferedResponse = {
	/** Endpoint, or other host, that it came from. */
	readonly endpoint: Via;
	readonly response: IncomingMessage;
	readonly body: ByteBlocks;
	/** Memory of this host that the body takes. */
	readonly share: IncomingShare;
};

/** Outcome of one attempt. */
type AttemptResult
	= | {readonly kind: 'response'; readonly answer: BufferedResponse}
		| Exclude<SendResult, {kind: 'answer'}>;

/** Outcome of one of several concurrent attempts, with the controller that identifies it. */
type HedgeResult = {
	readonly controller: AbortController;
	readonly result: AttemptResult;
};

/** An attempt that can run beside another; `controller` cancels it. */
type Hedge = {
	readonly controller: AbortController;
	readonly result: Promise<HedgeResult>;
};

/** Runs a request to a plain service until its reply has ended. */
export async function runPlain(parts: WorkParts, job: Job): Promise<JobEnd> {
	const plain = new PlainWork(parts, job);
	try {
		return await (job.route.kind === 'repeatable' ? plain.sendHedged() : plain.sendOnce());
	} finally {
		plain.release();
	}
}

class PlainWork {
	readonly #parts: WorkParts;
	readonly #job: Job;
	readonly #triedEndpoints = new Set<string>();
	/** Memory that responses take which are not forwarded. */
	readonly #shares = new Set<IncomingShare>();
	#isOver = false;
	/** Whether other hosts were asked and none took the request. */
	#isForwardingSpent = false;
	/** Attempts so far, not counting endpoints that had no permit for the request. */
	#attempts = 0;
	/** Retry time, in milliseconds, if no endpoint had a place for the call. */
	#noPlaceRetryMs: number | undefined;
	/** Time at which the last attempt is overdue where load is managed. */
	#overdueAt = 0;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
	}

	/** Tries one endpoint after another while none may have run the request. */
	async sendOnce(): Promise<JobEnd> {
		let cause: RetryCause | undefined;
		await this.#refreshVersion();
		while (this.#attempts < maxEndpoints) {
			const forwarded = await this.#forwardIfUnreachable(cause);
			if (forwarded !== undefined) {
				return forwarded;
			}

			const endpoint = await this.#admit(cause);
			if (endpoint === undefined || !(await this.#mayRetry(cause))) {
				break;
			}

			const result = await this.#attempt(endpoint, this.#job.signal);
			if (result.kind === 'response') {
				return this.#forward(result.answer);
			}

			if (result.kind === 'unknown' || this.#job.signal.aborted || this.#job.isContentHeld) {
				return this.#refuse(endpoint);
			}

			cause = causeByReason[result.reason] ?? 'refused';
			await this.#settleLinks(cause);
		}

		return this.#refuse();
	}

	/** Tries a second endpoint when the first fails or is slow; forwards the first good response. */
	async sendHedged(): Promise<JobEnd> {
		const inFlight = new Map<AbortController, Promise<HedgeResult>>();
		let failed: BufferedResponse | undefined;
		let cause: RetryCause | undefined;
		let isExhausted = false;
		await this.#refreshVersion();
		try {
			for (;;) {
				if (!isExhausted && inFlight.size < 2 && (inFlight.size === 0 || cause === 'slow')) {
					const forwarded = await this.#forwardIfUnreachable(cause);
					if (forwarded !== undefined) {
						return forwarded;
					}

					const hedge = await this.#startAttempt(cause);
					isExhausted = hedge === undefined;
					if (hedge !== undefined) {
						inFlight.set(hedge.controller, hedge.result);
					}
				}

				if (inFlight.size === 0) {
					return failed === undefined ? this.#refuse() : await this.#forward(failed);
				}

				const first = await this.#nextResult([...inFlight.values()], inFlight.size === 1 && !isExhausted);
				if (first === undefined) {
					cause = 'slow';
					continue;
				}

				inFlight.delete(first.controller);
				const {result} = first;
				// A response that is complete is delivered, also where its check has outlasted the deadline
				if (result.kind === 'response' && this.#job.signal.reason !== 'callerLeft' && (result.answer.response.statusCode ?? minServerErrorStatus) < minServerErrorStatus) {
					return await this.#forward(result.answer);
				}

				if (this.#job.signal.aborted) {
					return this.#refuse();
				}

				failed = result.kind === 'response' ? result.answer : failed;
				cause = retryCauseOf(result);
				await this.#settleLinks(cause);
				if (cause === 'broken') {
					await this.#parts.guard.mayRetry(this.#job);
				}
			}
		} finally {
			for (const controller of inFlight.keys()) {
				controller.abort(answeredElsewhere);
			}
		}
	}

	/** Releases the memory of responses that are not forwarded, also of those that are still being read. */
	release(): void {
		this.#isOver = true;
		for (const share of this.#shares) {
			share.release();
		}
	}

	/** Reads the directory if this host knows no endpoint of the version that the call has to be served at. */
	async #refreshVersion(): Promise<void> {
		const {evidence, context: {clock}, reachability} = this.#parts;
		if (this.#isVersionUnlisted && !reachability.isUnreachable(this.#job.service.name)) {
			await evidence.refresh(this.#job.arrivedAt, timeLeft(this.#job, clock.now()));
		}
	}

	get #isVersionUnlisted(): boolean {
		const {service, resumedVersion} = this.#job;
		return resumedVersion !== undefined && !this.#parts.endpoints.hasVersion(service.name, undefined, resumedVersion);
	}

	/** Waits until it is known whether a connection failed for its endpoint's fault or this host's. */
	async #settleLinks(cause: RetryCause): Promise<void> {
		if (cause === 'connect') {
			await this.#parts.reachability.settle(this.#job.service.name);
		}
	}

	/** Has another host serve the request if this one cannot reach its service, and the request may run there; undefined if it stays here. */
	async #forwardIfUnreachable(cause?: RetryCause): Promise<JobEnd | undefined> {
		const {forwarder, context: {clock}} = this.#parts;
		const job = this.#job;
		const attempts = job.route.maxAttempts - job.runs.count;
		if (this.#isForwardingSpent || !forwarder.isNeeded(job) || attempts < 1 || !(await this.#mayRetry(cause))) {
			return undefined;
		}

		const result = await forwarder.send(job, {attempts, softwareVersion: job.resumedVersion, headMs: timeLeft(job, clock.now()) + 1});
		if (result.kind === 'unavailable') {
			this.#isForwardingSpent = true;
			return job.runs.mayHaveRun ? undefined : this.#refuse();
		}

		return result.kind === 'answer' ? this.#forwardHostResponse(result) : this.#passOnError(result);
	}

	async #forwardHostResponse({host, response, end}: Extract<ForwardResult, {kind: 'answer'}>): Promise<JobEnd> {
		try {
			const received = await this.#readBody(response, 'forward');
			return await this.#forward({endpoint: {id: host, softwareVersion: readSoftwareVersion(response.headers)}, response, ...received});
		} catch (error) {
			this.#parts.context.log('sendFailed', {
				request: this.#job.id, step: 'plain', endpoint: host, outcome: 'unknown', reason: 'cut', detail: String(error),
			});
			return this.#passOnError({
				kind: 'unknown', host, code: 'answerLost', detail: String(error),
			});
		} finally {
			end('');
		}
	}

	#passOnError({host, code: wanted, ...result}: Extract<ForwardResult, {kind: 'refused' | 'unknown'}>): JobEnd {
		const {reply, route, runs: {mayHaveRun}, signal} = this.#job;
		if (signal.aborted && signal.reason !== 'timeUp') {
			return this.#refuse({id: host});
		}

		const retryAfterMs = result.kind === 'refused' ? result.retryAfterMs : undefined;
		const code = reply.sendError(wanted, {retryAfterMs: retryAfterMs ?? defaultRetryAfterMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
		return {outcome: 'refused', code, endpoint: host};
	}

	/** Starts another attempt; undefined if no endpoint, attempt or budget is left. */
	async #startAttempt(cause: RetryCause | undefined): Promise<Hedge | undefined> {
		const endpoint = await this.#admit(cause);
		if (endpoint === undefined || this.#attempts >= maxEndpoints || this.#job.isContentHeld || this.#job.runs.count >= this.#job.route.maxAttempts || !(await this.#mayRetry(cause))) {
			return undefined;
		}

		const controller = new AbortController();
		const signal = AbortSignal.any([this.#job.signal, controller.signal]);
		const send = async () => ({controller, result: await this.#attempt(endpoint, signal)});
		return {controller, result: send()};
	}

	/** Resolves with the first result, or with undefined once the request is slow enough to hedge. */
	async #nextResult<Result>(results: ReadonlyArray<Promise<Result>>, mayHedge: boolean): Promise<Result | undefined> {
		const {clock} = this.#parts.context;
		if (!mayHedge) {
			return Promise.race(results);
		}

		const hedgeAt = Math.max(this.#overdueAt, this.#job.arrivedAt + Math.max(minHedgeDelayMs, hedgeShare * this.#job.route.targetMs));
		return new Promise<Result | undefined>((resolve, reject) => {
			const timer = clock.after(hedgeAt - clock.now(), () => {
				resolve(undefined);
			});
			for (const result of results) {
				result.then(value => {
					timer.stop();
					resolve(value);
				}, reject);
			}
		});
	}

	/** Chooses the endpoint of the next attempt. Where load is managed, waits until one has a place for the call; undefined if none has in time. */
	async #admit(cause: RetryCause | undefined): Promise<Endpoint | undefined> {
		const {calls} = this.#parts;
		const untried = this.#listUntried();
		if (!calls.isManaged) {
			return untried[0];
		}

		const result = await calls.admit(this.#job, attemptKindOf(cause), untried);
		if (result?.kind !== 'granted') {
			this.#noPlaceRetryMs = result?.kind === 'refused' ? result.retryAfterMs : undefined;
			return undefined;
		}

		this.#overdueAt = this.#parts.context.clock.now() + calls.overdueMs(this.#job, result.endpoint);
		return result.endpoint;
	}

	/** Endpoints that the call was not sent to yet, best first. */
	#listUntried(): Endpoint[] {
		const {endpoints, context: {clock, settings: {hall}}} = this.#parts;
		const ordered = endpoints.order(this.#job.service.name, {
			stage: undefined, hall, weights, capacityTokens: 0, softwareVersion: this.#job.resumedVersion, needs: placementNeeds(this.#job, clock.now()),
		});
		return ordered.filter(({id}) => !this.#triedEndpoints.has(id));
	}

	/** Whether another attempt is allowed and has a permit. A hedge always needs one, as the first attempt may reach an endpoint later. */
	async #mayRetry(cause: RetryCause | undefined): Promise<boolean> {
		if (cause === undefined) {
			return true;
		}

		const mechanism = causeMechanisms[cause];
		if (mechanism !== undefined && isOff(this.#parts.context, mechanism)) {
			return false;
		}

		const {budgets} = this.#parts;
		return cause === 'slow' ? budgets.acquire(this.#job, cause) : budgets.ensure(this.#job, cause);
	}

	async #attempt(endpoint: Endpoint, signal: AbortSignal): Promise<AttemptResult> {
		const {calls} = this.#parts;
		if (!calls.isManaged) {
			return this.#sendTo(endpoint, signal);
		}

		const end = calls.begin(this.#job.service.name, endpoint);
		let isMeasured = false;
		try {
			const result = await this.#sendTo(endpoint, signal);
			// The time until a faster endpoint answered is the least that the call takes here
			isMeasured = result.kind === 'response' || signal.reason === answeredElsewhere;
			if (result.kind === 'notRun' && result.reason === 'refused') {
				calls.recordRejection(this.#job, endpoint);
			}

			return result;
		} finally {
			end(isMeasured);
		}
	}

	async #sendTo(endpoint: Endpoint, signal: AbortSignal): Promise<AttemptResult> {
		const {sender, context: {clock}} = this.#parts;
		this.#triedEndpoints.add(endpoint.id);
		this.#attempts += 1;
		const sent = await sender.send({
			job: this.#job, step: 'plain', endpoint, facts: {lastEventId: this.#job.facts.lastEventId}, tokens: 0, headMs: timeLeft(this.#job, clock.now()) + 1, signal,
		});
		if (sent.kind !== 'answer') {
			if (sent.reason === 'refused') {
				this.#parts.endpoints.noteFull(endpoint.id, 0);
			} else if (sent.reason === 'limited') {
				this.#attempts -= 1;
			}

			return sent;
		}

		try {
			const received = await this.#readBody(sent.response, 'response');
			await sent.confirmEnd();
			this.#parts.context.metrics.add('responseEnds', {step: 'plain', framing: framingOf(sent.response, this.#job.method)});
			sent.end('good');
			return {kind: 'response', answer: {endpoint, response: sent.response, ...received}};
		} catch (error) {
			sent.end(signal.aborted ? 'cancelled' : 'broken', String(error));
			return {kind: 'unknown', reason: 'reset'};
		}
	}

	/** Reads a response's body; it takes memory of this host until the request is over, or once it is forwarded, until its reply is closed. */
	async #readBody(response: IncomingMessage, place: IncomingPlace): Promise<Pick<BufferedResponse, 'body' | 'share'>> {
		const {clock, incoming} = this.#parts.context;
		const {reply} = this.#job;
		const share = openShare(incoming, place, response, () => {
			reply.giveWay();
		});
		this.#shares.add(share);
		const body = await readBlocks(response, clock, {maxBytes: maxBodyBytes, share});
		if (this.#isOver) {
			share.release();
		}

		return {body, share};
	}

	async #forward({response, body, share, endpoint}: BufferedResponse): Promise<JobEnd> {
		const {reply, method} = this.#job;
		this.#shares.delete(share);
		reply.keepUntilClosed(share);
		if (response.statusCode === okStatus) {
			await this.#parts.streams.record(this.#job, endpoint);
		}

		if (isBodiless(method, response.statusCode)) {
			reply.forwardHead(response, versionOf(endpoint));
			reply.end();
		} else {
			reply.forwardHead(response, versionOf(endpoint), body.length);
			reply.end(...body.list());
		}

		return {outcome: 'answered', endpoint: endpoint.id, framing: framingOf(response, method)};
	}

	/** `Retry-After` in milliseconds if all endpoints are paused; undefined if none is. */
	#retryAfterMs(): number | undefined {
		const {endpoints, context: {clock, random}} = this.#parts;
		const waitMs = endpoints.shortestWaitMs(this.#job.service.name, undefined, this.#job.resumedVersion);
		return waitMs === undefined ? undefined : retryAfterWait(waitMs, timeLeft(this.#job, clock.now()), random);
	}

	/** Rejects a call that no endpoint has run and for which none had a place in time. */
	#refuseWithoutPlace(retryAfterMs: number): JobEnd {
		const {reply, route, runs: {mayHaveRun}} = this.#job;
		const code = reply.sendError('overloaded', {retryAfterMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
		return {outcome: 'refused', code, detail: noPlaceDetail};
	}

	#refuse(endpoint?: Pick<Endpoint, 'id'>): JobEnd {
		const {reply, route, signal, runs: {mayHaveRun}, sends, isContentHeld} = this.#job;
		if (signal.aborted && signal.reason === 'callerLeft') {
			return {outcome: 'callerLeft', endpoint: endpoint?.id};
		}

		if (signal.aborted && signal.reason === 'hostStopping') {
			const code = reply.sendError('hostStopping', {retryAfterMs: stoppingRetryAfterMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
			return {
				outcome: 'refused', code, endpoint: endpoint?.id, detail: stopEndedDetail,
			};
		}

		if (isContentHeld && !signal.aborted) {
			const hold = this.#parts.guard.findHold(this.#job);
			const code = reply.sendError('contentHeld', {retryAfterMs: hold?.leftMs ?? defaultRetryAfterMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
			return {
				outcome: 'refused', code, endpoint: endpoint?.id, detail: hold === undefined ? undefined : describeHold(hold),
			};
		}

		if (!signal.aborted && !mayHaveRun && this.#isVersionUnlisted) {
			const retryAfterMs = this.#parts.evidence.isComplete(this.#job.arrivedAt) ? undefined : unlistedRetryAfterMs;
			const code = reply.sendError('streamVersionGone', {retryAfterMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
			return {outcome: 'refused', code, endpoint: endpoint?.id};
		}

		if (this.#noPlaceRetryMs !== undefined && !signal.aborted && !mayHaveRun) {
			return this.#refuseWithoutPlace(this.#noPlaceRetryMs);
		}

		const waitMs = this.#retryAfterMs();
		const timeoutCode = mayHaveRun || sends > 0 ? 'timeoutSpent' : 'overloaded';
		const unsentCode = waitMs === undefined ? 'endpointsDown' : 'endpointsUnavailable';
		const failureCode = mayHaveRun ? 'answerLost' : unsentCode;
		const code = reply.sendError(signal.aborted ? timeoutCode : failureCode, {retryAfterMs: waitMs ?? defaultRetryAfterMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
		return {outcome: 'refused', code, endpoint: endpoint?.id};
	}
}

/** Detail of a rejection because no endpoint had a place in time. */
const noPlaceDetail = 'callQueue';

function attemptKindOf(cause: RetryCause | undefined): AttemptKind {
	if (cause === undefined) {
		return 'first';
	}

	return cause === 'slow' ? 'hedge' : 'repeat';
}

/** Retry causes that experiments can disable. */
const causeMechanisms: Readonly<Partial<Record<RetryCause, Mechanism>>> = {error: 'errorRetries', slow: 'slowCopies'};

const causeByReason: Readonly<Record<string, RetryCause>> = {
	connect: 'connect', refused: 'refused', otherEndpoint: 'refused', limited: 'connect',
};

function retryCauseOf(result: AttemptResult): RetryCause {
	if (result.kind === 'response') {
		return 'error';
	}

	return result.kind === 'notRun' ? causeByReason[result.reason] ?? 'connect' : 'broken';
}
