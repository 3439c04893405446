/**
 * A streamed generation: reserves decode memory, has the prompt prefilled,
 * then forwards the stream event by event. Safety: once a decode replica may
 * have started, the request goes to another one only if its route is
 * resumable, and then after the last complete event that the caller received.
 * A stream that cannot continue is broken off. All events of a stream come from
 * endpoints of one software version, which its first event decides.
 */
import {framingOf} from '@gatehead/host/utils/response-framing';
import {ignore} from '@gatehead/policy/utils/ignore';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {readSoftwareVersion} from '../core/forward-facts.js';
import {describeHold} from '../upstream/crash-guard.js';
import {readBody} from '../upstream/exchange.js';
import {receiveChunks} from '../upstream/receive-chunks.js';
import {type ForwardResult} from '../upstream/peer-forwarder.js';
import {stallReason, type SendResult} from '../upstream/sender.js';
import {DecodePrefill} from './decode-prefill.js';
import {
	defaultRetryAfterMs, stoppingRetryAfterMs, failJob, refuseJob, abortJob, type Via,
} from './generation-failure.js';
import {EventForwarder} from './event-forwarder.js';
import {timeLeft, type Job} from './job.js';
import {type ContinuationBlock, type JobEnd} from './job-end.js';
import {type WorkParts} from './parts.js';
import {Prefill, type PrefillResult} from './prefill.js';
import {type Reservation} from './replica-search.js';
import {StreamForecast} from './stream-forecast.js';
import {StreamPace} from './stream-pace.js';
import {IdleTimeout} from './idle-timeout.js';

/** Tokens reserved for the answer, as a multiple of the caller's estimate. A lower factor makes replicas evict streams, whose prompts must then be prefilled again; a higher one leaves memory unused. */
const answerFactor = 0.9;
/** Block size of the engines' decode memory, in tokens; reservations are rounded up to it. */
const blockTokens = 16;
/** Maximum rounds of reservation and decode per request, whatever ended the previous one; bounds the replicas that one request can crash. */
const maxRounds = 4;
/** Maximum wait for the head of a resumable stream and then between its chunks, in milliseconds, before it continues at another replica. Less than half of what callers tolerate, so that the second replica has as long. The head gets the expected prefill time on top where the decode replica prefills the prompt. */
const idleTimeoutMs = 1400;
/** Maximum size of a body that is not a stream, such as an error. */
const maxBodyBytes = 1_048_576;
/** Remaining lifetime below which a reservation is not used, in milliseconds; several times the network delay to a replica. */
const expiryMarginMs = 60;
/** Maximum wait for a permit at a rate-limited replica after the prefill, in milliseconds; prefill results live little longer. */
const permitTimeoutMs = 400;
const okStatus = 200;
const minServerErrorStatus = 500;

/** A response to forward, from an endpoint or from another host. */
type ForwardableResponse = Pick<Extract<SendResult, {kind: 'answer'}>, 'response' | 'touch' | 'confirmEnd' | 'end'>;

/** Outcome of one round. */
type DecodeResult
	= | {readonly kind: 'ended'; readonly end: JobEnd}
		| {readonly kind: 'retry'};

/** Runs a generation until its reply has ended. */
export async function runGeneration(parts: WorkParts, job: Job): Promise<JobEnd> {
	return new Generation(parts, job).run();
}

class Generation {
	readonly #parts: WorkParts;
	readonly #job: Job;
	readonly #prefill: Prefill;
	readonly #decodePrefill: DecodePrefill;
	readonly #events: EventForwarder;
	readonly #forecast: StreamForecast;
	/** Decode replicas tried for this request. */
	readonly #triedReplicas = new Set<string>();
	#reservedAt = 0;
	#rounds = 0;
	#isStartRecorded = false;
	/** Endpoint that sent the latest events. */
	#source: Via | undefined;
	/** Software version that the stream has to go on at; undefined until an event of it is forwarded. */
	#softwareVersion: string | undefined;
	/** Whether other hosts were asked and none took the request. */
	#isForwardingSpent = false;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
		this.#softwareVersion = job.resumedVersion;
		this.#prefill = new Prefill(parts, job);
		this.#decodePrefill = new DecodePrefill({clock: parts.context.clock, endpoints: parts.endpoints, news: parts.news});
		this.#forecast = new StreamForecast(parts, job);
		this.#events = new EventForwarder(job.reply, parts.context.clock, parts.context.settings.limits.unreadBytes);
	}

	async run(): Promise<JobEnd> {
		for (;;) {
			const forwarded = await this.#forwardIfUnreachable();
			if (forwarded?.kind === 'ended') {
				return forwarded.end;
			}

			if (forwarded?.kind === 'retry') {
				continue;
			}

			this.#rounds += 1;
			const {admission, context: {clock}} = this.#parts;
			const answer = await admission.reserve({
				job: this.#job,
				tokens: this.#tokensToReserve(),
				ttlMs: this.#engine.reservationMs,
				capacityTokens: this.#engine.capacityTokens,
				doneTokens: this.#forecast.doneTokens,
				avoid: this.#triedReplicas,
				isContinuation: this.#job.reply.headersSent,
				softwareVersion: this.#softwareVersion,
			});
			if (answer.kind === 'refused') {
				if (this.#mayForward()) {
					continue;
				}

				return refuseJob(this.#job, answer);
			}

			if (answer.kind === 'aborted') {
				return abortJob(this.#job);
			}

			if (this.#isTooLate()) {
				const {reservation: {endpoint, name, stream}} = answer;
				stream?.end();
				this.#parts.ownCalls.cancelReservation(endpoint, name);
				return refuseJob(this.#job, {code: 'hostStopping', retryAfterMs: stoppingRetryAfterMs, detail: 'the stream would outlast this host'});
			}

			this.#reservedAt = clock.now();
			const outcome = await this.#runForecast(answer.reservation);
			if (outcome.kind === 'ended') {
				return outcome.end;
			}
		}
	}

	/** Whether a stream that has waited may not end before this host does. One that its caller has a part of goes on as long as it can. */
	#isTooLate(): boolean {
		const {route, deadlineAt, reply} = this.#job;
		const {stopWindow, context: {clock}} = this.#parts;
		return !reply.headersSent && !stopWindow.mayBegin(route.name, deadlineAt, clock.now());
	}

	/** Runs a round, during which its memory counts in the forecast of the replica. */
	async #runForecast(reservation: Reservation): Promise<DecodeResult> {
		this.#forecast.begin(reservation);
		try {
			return await this.#runAt(reservation);
		} finally {
			this.#forecast.end();
		}
	}

	get #engine() {
		return this.#job.service.engine ?? {capacityTokens: 0, reservationMs: 0};
	}

	#tokensToReserve(): number {
		const {facts: {promptTokens, answerTokens}, service} = this.#job;
		const {endpoints} = this.#parts;
		if (endpoints.isLoadManaged) {
			return endpoints.memoryForecast.reservationFor(service.name, {promptTokens, estimateTokens: answerTokens, doneTokens: this.#forecast.doneTokens});
		}

		const tokens = promptTokens + (answerFactor * answerTokens);
		return Math.max(blockTokens, Math.ceil(tokens / blockTokens) * blockTokens);
	}

	/** Whether another host has to serve the request because this one cannot reach its service. */
	#mayForward(): boolean {
		const job = this.#job;
		return !this.#isForwardingSpent && !job.signal.aborted && this.#parts.forwarder.isNeeded(job) && job.runs.count < job.route.maxAttempts && this.#rounds < maxRounds;
	}

	/** Has another host serve the request, or the rest of its stream; undefined if it stays here. Each round forwards one attempt, so that a stream that breaks off can continue. */
	async #forwardIfUnreachable(): Promise<DecodeResult | undefined> {
		if (!this.#mayForward()) {
			return undefined;
		}

		const job = this.#job;
		const {forwarder, context: {clock}} = this.#parts;
		this.#rounds += 1;
		const result = await forwarder.send(job, {
			attempts: 1, lastEventId: this.#events.lastId, softwareVersion: this.#softwareVersion, headMs: timeLeft(job, clock.now()) + 1,
		});
		if (result.kind === 'unavailable') {
			this.#isForwardingSpent = true;
			return job.runs.mayHaveRun ? undefined : {kind: 'ended', end: refuseJob(job, {code: 'endpointsDown', retryAfterMs: defaultRetryAfterMs, detail: 'no other host takes the request'})};
		}

		const via: Via = {id: result.host};
		if (job.signal.aborted) {
			return {kind: 'ended', end: abortJob(job, via)};
		}

		if (result.kind === 'answer') {
			return this.#forwardHostResponse(result, {...via, softwareVersion: readSoftwareVersion(result.response.headers)});
		}

		if (result.kind === 'refused') {
			return {kind: 'ended', end: refuseJob(job, {code: result.code, retryAfterMs: result.retryAfterMs ?? defaultRetryAfterMs, detail: `refused by ${result.host}`}, via)};
		}

		return this.#continueOrFail(via, result.detail);
	}

	async #forwardHostResponse({response, end}: Extract<ForwardResult, {kind: 'answer'}>, via: Via): Promise<DecodeResult> {
		const sent = {
			response, touch: ignore, end, async confirmEnd() {
				// Hosts frame all their responses
			},
		};
		const status = response.statusCode ?? 0;
		return status === okStatus ? this.#forwardStream(sent, via) : this.#forwardError(sent, via, status);
	}

	async #runAt(reservation: Reservation): Promise<DecodeResult> {
		const result = await this.#prefill.run(reservation.endpoint);
		// A restarted replica may use the same handle for another request's result
		const prefilled = result !== undefined && this.#parts.endpoints.book.isReplaced(result.endpoint) ? undefined : result;
		if (this.#job.signal.aborted) {
			this.#prefill.release(prefilled);
			this.#parts.ownCalls.cancelReservation(reservation.endpoint, reservation.name);
			return {kind: 'ended', end: abortJob(this.#job)};
		}

		// After a rejected prefill, the decode is a repeat
		if (!(await this.#parts.budgets.ensure(this.#job, 'prefill'))) {
			this.#prefill.release(prefilled);
			this.#parts.ownCalls.cancelReservation(reservation.endpoint, reservation.name);
			return {kind: 'ended', end: this.#refuseUnpaid()};
		}

		return this.#decode(reservation, prefilled);
	}

	/** Ends a job that may not be sent again because the retry budget is spent. */
	#refuseUnpaid(): JobEnd {
		const detail = 'no retry budget left';
		return this.#job.reply.headersSent
			? {...failJob(this.#job, this.#source ?? {id: ''}, detail), blockedBy: 'budget'}
			: refuseJob(this.#job, {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail});
	}

	async #decode(reservation: Reservation, prefilled: PrefillResult | undefined): Promise<DecodeResult> {
		const prefillMs = prefilled === undefined ? this.#decodePrefill.begin(reservation.endpoint.id, this.#job.facts.promptTokens) : 0;
		try {
			return await this.#decodeAt(reservation, prefilled, prefillMs);
		} finally {
			this.#decodePrefill.abandon();
		}
	}

	/** `prefillMs`: expected time for the prompt at this replica if it prefills the prompt itself, else 0. */
	async #decodeAt({endpoint, name, expiresAt, tokens, permit}: Reservation, prefilled: PrefillResult | undefined, prefillMs: number): Promise<DecodeResult> {
		const {sender, context: {clock}} = this.#parts;
		const isReserved = expiresAt - clock.now() > expiryMarginMs;
		const sent = await sender.send({
			job: this.#job,
			step: 'decode',
			endpoint,
			facts: {
				...(prefilled === undefined ? {} : {source: {address: prefilled.endpoint.address, result: prefilled.result}}),
				...(isReserved ? {reservation: name} : {}),
				lastEventId: this.#events.lastId ?? this.#job.facts.lastEventId,
			},
			tokens,
			headMs: this.#job.route.isResumable ? idleTimeoutMs + prefillMs : timeLeft(this.#job, clock.now()) + 1,
			signal: this.#job.signal,
			permit,
			permitMs: permitTimeoutMs,
		});
		this.#prefill.recordUse(prefilled, sent.kind === 'answer');
		if (sent.kind !== 'answer') {
			return this.#handleUnanswered(sent, endpoint, prefilled, name);
		}

		const status = sent.response.statusCode ?? 0;
		return status === okStatus ? this.#forwardStream(sent, endpoint) : this.#forwardError(sent, endpoint, status);
	}

	async #handleUnanswered(sent: Exclude<SendResult, {kind: 'answer'}>, endpoint: Endpoint, prefilled: PrefillResult | undefined, reservation: string): Promise<DecodeResult> {
		this.#prefill.release(prefilled);
		this.#forecast.end();
		if (this.#job.signal.aborted) {
			return {kind: 'ended', end: abortJob(this.#job, endpoint)};
		}

		if (sent.kind === 'notRun' && sent.reason === 'held') {
			this.#parts.ownCalls.cancelReservation(endpoint, reservation);
			return {kind: 'ended', end: this.#refuseHeldContent(endpoint)};
		}

		this.#triedReplicas.add(endpoint.id);
		if (sent.kind === 'unknown') {
			return this.#continueOrFail(endpoint, 'broken');
		}

		const hasArrived = sent.reason === 'refused' || sent.reason === 'otherEndpoint';
		if (!hasArrived) {
			this.#parts.ownCalls.cancelReservation(endpoint, reservation);
		}

		if (sent.reason === 'connect') {
			await this.#parts.reachability.settle(this.#job.service.name);
		}

		const mayRetry = this.#rounds < maxRounds && await this.#parts.budgets.ensure(this.#job, 'refused');
		return mayRetry ? {kind: 'retry'} : {kind: 'ended', end: refuseJob(this.#job, {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail: sent.reason}, endpoint)};
	}

	/** Refuses a request whose content is held because it crashes endpoints. */
	#refuseHeldContent(endpoint: Endpoint): JobEnd {
		const job = this.#job;
		const hold = this.#parts.guard.findHold(job);
		return job.reply.headersSent
			? failJob(job, endpoint, 'content held')
			: refuseJob(job, {code: 'contentHeld', retryAfterMs: hold?.leftMs ?? defaultRetryAfterMs, detail: hold === undefined ? 'held until just now' : describeHold(hold)}, endpoint);
	}

	/** Continues at another replica if possible; otherwise ends the job. */
	async #continueOrFail(endpoint: Via, reason: string): Promise<DecodeResult> {
		const blockedBy = await this.#prepareContinuation(endpoint, reason);
		return blockedBy === undefined ? {kind: 'retry'} : {kind: 'ended', end: {...failJob(this.#job, endpoint, reason), blockedBy}};
	}

	/** Prepares a continuation at another replica; returns what it lacks. */
	async #prepareContinuation(endpoint: Via, reason: string): Promise<ContinuationBlock | undefined> {
		const job = this.#job;
		const blockedBy = await this.#findBlock();
		if (blockedBy !== undefined) {
			return blockedBy;
		}

		this.#triedReplicas.add(endpoint.id);
		this.#events.restart();
		this.#parts.context.log('continued', {
			request: job.id, endpoint: endpoint.id, softwareVersion: endpoint.softwareVersion, reason, lastEventId: this.#events.lastId ?? '', begun: job.reply.headersSent,
		});
		return undefined;
	}

	/** Finds what speaks against a continuation, or acquires its permit. */
	async #findBlock(): Promise<ContinuationBlock | undefined> {
		const {budgets, guard, context} = this.#parts;
		const job = this.#job;
		if (isOff(context, 'continuing') || !job.route.isResumable) {
			return 'route';
		}

		if (job.runs.count >= job.route.maxAttempts) {
			return 'attempts';
		}

		if (this.#rounds >= maxRounds) {
			return 'rounds';
		}

		if (!(await guard.mayRetry(job)) || job.signal.aborted) {
			return 'content';
		}

		return await budgets.ensure(job, 'continue') ? undefined : 'budget';
	}

	async #forwardError(sent: ForwardableResponse, endpoint: Via, status: number): Promise<DecodeResult> {
		try {
			const job = this.#job;
			// As for streams, a body that cannot come from elsewhere has no timeout but the deadline
			const timeoutMs = job.route.isResumable ? idleTimeoutMs : undefined;
			const body = await readBody(sent.response, this.#parts.context.clock, {maxBytes: maxBodyBytes, timeoutMs});
			await sent.confirmEnd();
			sent.end(status >= minServerErrorStatus ? 'error' : 'good');
			if (status >= minServerErrorStatus && await this.#prepareContinuation(endpoint, `status ${status}`) === undefined) {
				return {kind: 'retry'};
			}

			if (job.reply.headersSent) {
				return {kind: 'ended', end: failJob(this.#job, endpoint, `status ${status}`)};
			}

			job.reply.forwardHead(sent.response, versionOf(endpoint), body.length);
			job.reply.end(body);
			return {kind: 'ended', end: {outcome: 'answered', endpoint: endpoint.id, detail: `status ${status}`}};
		} catch (error) {
			sent.end('broken', String(error));
			return this.#continueOrFail(endpoint, String(error));
		}
	}

	async #forwardStream(sent: ForwardableResponse, endpoint: Via): Promise<DecodeResult> {
		const {admission, context: {clock, metrics}} = this.#parts;
		const {response} = sent;
		const framing = framingOf(response, this.#job.method);
		const countBefore = this.#events.count;
		const pace = new StreamPace({
			clock, endpoints: this.#parts.endpoints, endpoint: {id: endpoint.id, service: this.#job.service.name}, capacityTokens: this.#engine.capacityTokens,
		});
		// A stream that cannot continue elsewhere has no idle timeout
		const idleTimeout = new IdleTimeout(response, clock, this.#job.route.isResumable ? idleTimeoutMs : undefined);
		try {
			for await (const chunk of receiveChunks(response)) {
				sent.touch();
				await this.#recordSource(endpoint);
				if (this.#events.forward(response, chunk, versionOf(endpoint)) > 0) {
					// Bytes that complete no event are no progress to the caller
					idleTimeout.reset();
				}

				this.#forecast.progress(this.#events.count);
				pace.note(this.#events.count - countBefore);
				this.#decodePrefill.finish();
				this.#recordStartLatency();
				if (this.#events.needsPause) {
					await this.#events.pause(response, this.#job.signal);
					pace.restart();
					idleTimeout.reset();
				}
			}

			pace.finish(this.#events.count - countBefore);
			this.#events.checkEnd(response, framing, countBefore);
			await sent.confirmEnd();
			const {restBytes} = this.#events;
			// Before the end of the send, which polls the replicas for waiting requests
			const heldTokens = this.#forecast.finish(this.#events.count);
			sent.end('good');
			admission.recordHold(this.#job.service.name, heldTokens ?? this.#tokensToReserve(), clock.now() - this.#reservedAt);
			this.#events.finish(response, versionOf(endpoint));
			const {longestGapMs, count} = this.#events;
			metrics.time('gap', longestGapMs);
			metrics.add('responseEnds', {step: 'decode', framing});
			return {
				kind: 'ended', end: {
					outcome: 'answered', endpoint: endpoint.id, softwareVersion: endpoint.softwareVersion, longestGapMs: Math.round(longestGapMs), framing, events: count, restBytes,
				},
			};
		} catch (error) {
			return await this.#handleStreamError(sent, endpoint, idleTimeout.hasExpired ? stallReason : String(error));
		} finally {
			idleTimeout.stop();
		}
	}

	/** Records the endpoint that sends events from now on. The version is replicated before the first event is forwarded, as the caller may resume the stream at another host after this one has failed. */
	async #recordSource(endpoint: Via): Promise<void> {
		if (this.#source?.id === endpoint.id) {
			return;
		}

		const {endpoints, streams, context: {metrics}} = this.#parts;
		const softwareVersion = versionOf(endpoint);
		const isOther = this.#softwareVersion !== undefined && this.#softwareVersion !== softwareVersion;
		if (isOther || !endpoints.isSameVersion(endpoint)) {
			throw new Error('the endpoint runs another software version');
		}

		if (this.#source !== undefined || this.#job.resumedVersion !== undefined) {
			metrics.add('continuations', {by: this.#source === undefined ? 'caller' : 'host'});
		}

		this.#source = endpoint;
		this.#softwareVersion = softwareVersion;
		await streams.record(this.#job, endpoint);
	}

	/** Records the time to the first event, only for a request that started in its first round. */
	#recordStartLatency(): void {
		if (this.#isStartRecorded || !this.#job.reply.headersSent) {
			return;
		}

		this.#isStartRecorded = true;
		if (this.#rounds === 1) {
			this.#parts.admission.recordStartLatency(this.#job.service.name, this.#parts.context.clock.now() - this.#reservedAt);
		}
	}

	async #handleStreamError(sent: ForwardableResponse, endpoint: Via, reason: string): Promise<DecodeResult> {
		sent.response.destroy();
		this.#forecast.end();
		if (this.#job.signal.aborted) {
			sent.end('cancelled');
			return {kind: 'ended', end: abortJob(this.#job, endpoint)};
		}

		sent.end('broken', reason);
		return this.#continueOrFail(endpoint, reason);
	}
}
