/**
 * A streamed generation: reserves decode memory, has the prompt prefilled,
 * then forwards the stream event by event. Safety: once a decode replica may
 * have started, the request goes to another one only if its route is
 * resumable, and then after the last complete event that the caller received.
 * A stream that cannot continue is broken off. All events of a stream come from
 * endpoints of one software version, which its first event decides.
 */
import {receiveChunks} from '@gatehead/host/utils/receive-chunks';
import {framingOf} from '@gatehead/host/utils/response-framing';
import {ignore} from '@gatehead/policy/utils/ignore';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {readSoftwareVersion} from '../core/forward-facts.js';
import {describeHold} from '../upstream/crash-guard.js';
import {readBody} from '../upstream/exchange.js';
import {waitFor} from '../utils/wait.js';
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
import {type AdmissionResult} from './service-queue.js';
import {Takeover, type TakeoverAttempt} from './takeover.js';

/** Tokens reserved for the answer, as a multiple of the caller's estimate. A lower factor makes replicas evict streams, whose prompts must then be prefilled again; a higher one leaves memory unused. */
const answerFactor = 0.9;
/** Block size of the engines' decode memory, in tokens; reservations are rounded up to it. */
const blockTokens = 16;
/** Maximum rounds of reservation and decode per request, whatever ended the previous one; bounds the replicas that one request can crash. */
const maxRounds = 4;
/** Maximum wait for the head of a resumable stream and then between its events, in milliseconds, before another replica is sought for it. Less than half of what callers tolerate, so that the second replica has as long. The head gets the expected prefill time on top where the decode replica prefills the prompt. */
const idleTimeoutMs = 1400;
/** Interval at which a stream whose run this host has ended seeks another one, in milliseconds. */
const owedRetryMs = 200;
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

/** One round, which begins at most one run. */
type Round = {
	/** Ends the round while no run has begun. */
	readonly signal: AbortSignal;
	/** Source of the silent run that this round replaces; undefined: no run is in progress. */
	readonly silent: Via | undefined;
	/** Ends the silent run; called right before another one is written. */
	readonly commit: () => void;
};

/** Outcome of one round. */
type RoundResult
	= | {readonly kind: 'ended'; readonly end: JobEnd}
		/** Another round follows. */
		| {readonly kind: 'retry'}
		/** No run has begun, or its endpoint rejected it; `refuse` ends the job for that. */
		| {readonly kind: 'notBegun'; readonly refuse: () => JobEnd};

/** A run whose request has been written. */
type ActiveRun = {
	readonly via: Via;
	/** Undefined: nothing can replace this run. */
	readonly takeover: Takeover<RoundResult> | undefined;
	/** Called when a part of the response arrives. */
	readonly onEvent: () => void;
};

/** Runs a generation until its reply has ended. */
export async function runGeneration(parts: WorkParts, job: Job): Promise<JobEnd> {
	return new Generation(parts, job).run();
}

class Generation {
	readonly #parts: WorkParts;
	readonly #job: Job;
	readonly #prefill: Prefill;
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
	/** Whether this host has ended a run that was silent. Such a stream seeks another run until its deadline. */
	#owesRest = false;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
		this.#softwareVersion = job.resumedVersion;
		this.#prefill = new Prefill(parts, job);
		this.#forecast = new StreamForecast(parts, job);
		this.#events = new EventForwarder(job.reply, parts.context.clock, parts.context.settings.limits.unreadBytes);
	}

	async run(): Promise<JobEnd> {
		const {signal} = this.#job;
		for (;;) {
			const result = await this.#playRound({signal, silent: undefined, commit: ignore});
			if (result.kind === 'ended') {
				return result.end;
			}

			if (result.kind === 'notBegun') {
				if (!this.#owesRest || signal.aborted) {
					return result.refuse();
				}

				await waitFor(this.#parts.context.clock, owedRetryMs, signal);
				this.#isForwardingSpent = false;
			}
		}
	}

	/** Begins a run here, or at another host if this one cannot reach the service, and forwards its response. */
	async #playRound(round: Round): Promise<RoundResult> {
		const forwarded = await this.#forwardIfUnreachable(round);
		if (forwarded !== undefined) {
			return forwarded;
		}

		this.#rounds += round.silent === undefined ? 1 : 0;
		const answer = await this.#reserve(round);
		if (answer.kind === 'refused') {
			return this.#mayForward() ? {kind: 'retry'} : {kind: 'notBegun', refuse: () => refuseJob(this.#job, answer)};
		}

		if (answer.kind === 'aborted') {
			return this.#abort();
		}

		const {reservation} = answer;
		try {
			return await this.#runAt(round, reservation);
		} finally {
			this.#forecast.release(reservation);
		}
	}

	async #reserve({signal, silent}: Round): Promise<AdmissionResult> {
		const {admission} = this.#parts;
		const request = {
			job: this.#job,
			tokens: this.#tokensToReserve(),
			ttlMs: this.#engine.reservationMs,
			capacityTokens: this.#engine.capacityTokens,
			doneTokens: this.#forecast.doneTokens,
			avoid: this.#triedReplicas,
			isContinuation: this.#job.reply.headersSent,
			softwareVersion: this.#softwareVersion,
		};
		if (silent === undefined) {
			return admission.reserve(request);
		}

		const reservation = await admission.reserveAhead({...request, excluded: silent.id, signal});
		return reservation === undefined
			? {
				kind: 'refused', code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail: 'no other replica has room',
			}
			: {kind: 'granted', reservation};
	}

	/** Ends a round whose job or takeover was aborted. */
	#abort(via?: Via): RoundResult {
		return {kind: 'notBegun', refuse: () => abortJob(this.#job, via)};
	}

	/** Seeks another run for one that is silent; undefined if none has begun. */
	async #takeOver(silent: Via, {signal, commit}: TakeoverAttempt): Promise<RoundResult | undefined> {
		const {budgets, context: {metrics}} = this.#parts;
		const blockedBy = this.#findFixedBlock();
		if (blockedBy !== undefined) {
			metrics.add('takeovers', {outcome: blockedBy});
			return undefined;
		}

		let hasBegun = false;
		try {
			return await this.#playRound({
				signal,
				silent,
				commit() {
					hasBegun = true;
					metrics.add('takeovers', {outcome: 'begun'});
					commit();
				},
			});
		} finally {
			if (!hasBegun) {
				metrics.add('takeovers', {outcome: signal.aborted ? 'proceeded' : 'unavailable'});
				// The silent run may last for long, and other requests need the permits
				budgets.release(this.#job);
			}
		}
	}

	/** Called right before the request of a run is written; `cancel` ends that run once another one replaces it. */
	#beginRun({silent, commit}: Round, {via, firstIdleMs, cancel}: {readonly via: Via; readonly firstIdleMs: number; readonly cancel: () => void}, reservation?: Reservation): Takeover<RoundResult> | undefined {
		const {context: {clock, log}} = this.#parts;
		commit();
		if (silent !== undefined) {
			this.#rounds += 1;
			this.#owesRest = true;
			this.#continueAfter(silent, stallReason);
		}

		if (reservation !== undefined) {
			this.#forecast.begin(reservation);
			this.#reservedAt = reservation.expiresAt - this.#engine.reservationMs;
		}

		if (!this.#job.route.isResumable) {
			return undefined;
		}

		return new Takeover<RoundResult>({
			clock,
			idleMs: idleTimeoutMs,
			signal: this.#job.signal,
			begin: async attempt => this.#takeOver(via, attempt),
			endSilent: cancel,
			onError(error) {
				log('internal', {detail: `seeking another run failed: ${String(error)}`});
			},
		}, firstIdleMs);
	}

	/** Whether a stream that has waited may not end before this host does. One that its caller has a part of goes on as long as it can. */
	#isTooLate(): boolean {
		const {route, deadlineAt, reply} = this.#job;
		const {stopWindow, context: {clock}} = this.#parts;
		return !reply.headersSent && !stopWindow.mayBegin(route.name, deadlineAt, clock.now());
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
	async #forwardIfUnreachable(round: Round): Promise<RoundResult | undefined> {
		if (!this.#mayForward()) {
			return undefined;
		}

		const job = this.#job;
		const {forwarder, context: {clock}} = this.#parts;
		this.#rounds += round.silent === undefined ? 1 : 0;
		const controller = new AbortController();
		let takeover: Takeover<RoundResult> | undefined;
		const result = await forwarder.send(job, {
			attempts: 1,
			lastEventId: this.#events.lastId,
			softwareVersion: this.#softwareVersion,
			headMs: timeLeft(job, clock.now()) + 1,
			signal: AbortSignal.any([round.signal, controller.signal]),
			onWrite: host => {
				takeover ??= this.#beginRun(round, {
					via: {id: host}, firstIdleMs: idleTimeoutMs, cancel() {
						controller.abort(stallReason);
					},
				});
			},
		});
		if (result.kind === 'answer') {
			const via: Via = {id: result.host, softwareVersion: readSoftwareVersion(result.response.headers)};
			return this.#forwardResponse(toForwardable(result), {via, takeover, onEvent: ignore});
		}

		const replaced = await takeover?.settle();
		return replaced ?? this.#handleUnforwarded(result);
	}

	/** Handles the outcome of a forward without a response to pass on; undefined if the request stays here. */
	async #handleUnforwarded(result: Exclude<ForwardResult, {kind: 'answer'}>): Promise<RoundResult | undefined> {
		const job = this.#job;
		if (result.kind === 'unavailable') {
			this.#isForwardingSpent = true;
			return job.runs.mayHaveRun ? undefined : {kind: 'notBegun', refuse: () => refuseJob(job, {code: 'endpointsDown', retryAfterMs: defaultRetryAfterMs, detail: 'no other host takes the request'})};
		}

		const via: Via = {id: result.host};
		if (job.signal.aborted) {
			return this.#abort(via);
		}

		if (result.kind === 'refused') {
			const {host, code, retryAfterMs = defaultRetryAfterMs} = result;
			return {kind: 'notBegun', refuse: () => refuseJob(job, {code, retryAfterMs, detail: `refused by ${host}`}, via)};
		}

		return this.#continueOrFail(via, result.detail);
	}

	async #runAt(round: Round, reservation: Reservation): Promise<RoundResult> {
		const release = (refuse: () => JobEnd, prefilled?: PrefillResult): RoundResult => {
			this.#prefill.release(prefilled);
			this.#parts.ownCalls.cancelReservation(reservation.endpoint, reservation.name);
			return {kind: 'notBegun', refuse};
		};

		if (this.#isTooLate()) {
			return release(() => refuseJob(this.#job, {code: 'hostStopping', retryAfterMs: stoppingRetryAfterMs, detail: 'the stream would outlast this host'}));
		}

		// Before the prompt is read in vain
		if (round.silent !== undefined && await this.#findBlock() !== undefined) {
			return release(() => this.#refuseUnpaid());
		}

		const result = await this.#prefill.run(reservation.endpoint, round.signal);
		// A restarted replica may use the same handle for another request's result
		const prefilled = result !== undefined && this.#parts.endpoints.book.isReplaced(result.endpoint) ? undefined : result;
		if (round.signal.aborted) {
			return release(() => abortJob(this.#job), prefilled);
		}

		// After a rejected prefill, the decode is a repeat
		if (!(await this.#parts.budgets.ensure(this.#job, 'prefill'))) {
			return release(() => this.#refuseUnpaid(), prefilled);
		}

		return this.#decode(round, reservation, prefilled);
	}

	/** Ends a job that may not be sent again because the retry budget is spent. */
	#refuseUnpaid(): JobEnd {
		const detail = 'no retry budget left';
		return this.#job.reply.headersSent
			? {...failJob(this.#job, this.#source ?? {id: ''}, detail), blockedBy: 'budget'}
			: refuseJob(this.#job, {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail});
	}

	async #decode(round: Round, reservation: Reservation, prefilled: PrefillResult | undefined): Promise<RoundResult> {
		const {context: {clock}, endpoints, news} = this.#parts;
		const decodePrefill = new DecodePrefill({clock, endpoints, news});
		const prefillMs = prefilled === undefined ? decodePrefill.begin(reservation.endpoint.id, this.#job.facts.promptTokens) : 0;
		try {
			return await this.#decodeAt(round, reservation, prefilled, {
				prefillMs, onEvent() {
					decodePrefill.finish();
				},
			});
		} finally {
			decodePrefill.abandon();
		}
	}

	/** `prefillMs`: expected time for the prompt at this replica if it prefills the prompt itself, else 0. */
	async #decodeAt(round: Round, reservation: Reservation, prefilled: PrefillResult | undefined, {prefillMs, onEvent}: {readonly prefillMs: number; readonly onEvent: () => void}): Promise<RoundResult> {
		const {sender, context: {clock}} = this.#parts;
		const {endpoint, name, expiresAt, tokens, permit} = reservation;
		const isReserved = expiresAt - clock.now() > expiryMarginMs;
		const controller = new AbortController();
		let takeover: Takeover<RoundResult> | undefined;
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
			headMs: timeLeft(this.#job, clock.now()) + 1,
			signal: AbortSignal.any([round.signal, controller.signal]),
			onWrite: () => {
				takeover = this.#beginRun(round, {
					via: endpoint, firstIdleMs: idleTimeoutMs + prefillMs, cancel() {
						controller.abort(stallReason);
					},
				}, reservation);
			},
			permit,
			permitMs: permitTimeoutMs,
		});
		this.#prefill.recordUse(prefilled, sent.kind === 'answer');
		if (sent.kind === 'answer') {
			return this.#forwardResponse(sent, {via: endpoint, takeover, onEvent});
		}

		this.#prefill.release(prefilled);
		const replaced = await takeover?.settle();
		if (replaced !== undefined) {
			return replaced;
		}

		if (takeover === undefined && round.silent !== undefined) {
			this.#parts.ownCalls.cancelReservation(endpoint, name);
			return this.#abort(endpoint);
		}

		return this.#handleUnanswered(sent, reservation);
	}

	async #handleUnanswered(sent: Exclude<SendResult, {kind: 'answer'}>, {endpoint, name}: Reservation): Promise<RoundResult> {
		const job = this.#job;
		if (job.signal.aborted) {
			return this.#abort(endpoint);
		}

		if (sent.kind === 'notRun' && sent.reason === 'held') {
			this.#parts.ownCalls.cancelReservation(endpoint, name);
			return {kind: 'ended', end: this.#refuseHeldContent(endpoint)};
		}

		this.#triedReplicas.add(endpoint.id);
		if (sent.kind === 'unknown') {
			return this.#continueOrFail(endpoint, 'broken');
		}

		const hasArrived = sent.reason === 'refused' || sent.reason === 'otherEndpoint';
		if (!hasArrived) {
			this.#parts.ownCalls.cancelReservation(endpoint, name);
		}

		if (sent.reason === 'connect') {
			await this.#parts.reachability.settle(job.service.name);
		}

		const mayRetry = this.#rounds < maxRounds && await this.#parts.budgets.ensure(job, 'refused');
		return mayRetry ? {kind: 'retry'} : {kind: 'notBegun', refuse: () => refuseJob(job, {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail: sent.reason}, endpoint)};
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
	async #continueOrFail(endpoint: Via, reason: string): Promise<RoundResult> {
		const blockedBy = await this.#findBlock();
		if (blockedBy !== undefined) {
			return {kind: 'ended', end: {...failJob(this.#job, endpoint, reason), blockedBy}};
		}

		this.#continueAfter(endpoint, reason);
		return {kind: 'retry'};
	}

	/** Prepares the stream for another run. */
	#continueAfter({id, softwareVersion}: Via, reason: string): void {
		this.#triedReplicas.add(id);
		this.#events.restart();
		this.#parts.context.log('continued', {
			request: this.#job.id, endpoint: id, softwareVersion, reason, lastEventId: this.#events.lastId ?? '', begun: this.#job.reply.headersSent,
		});
	}

	/** Finds what speaks against another run, or acquires its permit. */
	async #findBlock(): Promise<ContinuationBlock | undefined> {
		const {budgets, guard} = this.#parts;
		const fixed = this.#findFixedBlock();
		if (fixed !== undefined) {
			return fixed;
		}

		if (!(await guard.mayRetry(this.#job)) || this.#job.signal.aborted) {
			return 'content';
		}

		return await budgets.ensure(this.#job, 'continue') ? undefined : 'budget';
	}

	/** Finds what speaks against another run for as long as the current one lasts. */
	#findFixedBlock(): ContinuationBlock | undefined {
		const {route, runs} = this.#job;
		if (isOff(this.#parts.context, 'continuing') || !route.isResumable) {
			return 'route';
		}

		if (runs.count >= route.maxAttempts) {
			return 'attempts';
		}

		return this.#rounds >= maxRounds ? 'rounds' : undefined;
	}

	/** Forwards a response, or that of the run that replaces it while it is silent. */
	async #forwardResponse(sent: ForwardableResponse, run: ActiveRun): Promise<RoundResult> {
		run.takeover?.recordProgress();
		try {
			const status = sent.response.statusCode ?? 0;
			return await (status === okStatus ? this.#forwardStream(sent, run) : this.#forwardError(sent, run, status));
		} catch (error) {
			return await this.#handleBrokenResponse(sent, run, error);
		} finally {
			await run.takeover?.settle();
		}
	}

	async #forwardError(sent: ForwardableResponse, {via, takeover}: ActiveRun, status: number): Promise<RoundResult> {
		const job = this.#job;
		const body = await readBody(sent.response, this.#parts.context.clock, {maxBytes: maxBodyBytes});
		await sent.confirmEnd();
		throwIfReplaced(takeover);
		sent.end(status >= minServerErrorStatus ? 'error' : 'good');
		if (status >= minServerErrorStatus && await this.#findBlock() === undefined) {
			this.#continueAfter(via, `status ${status}`);
			return {kind: 'retry'};
		}

		if (job.reply.headersSent) {
			return {kind: 'ended', end: failJob(job, via, `status ${status}`)};
		}

		job.reply.forwardHead(sent.response, versionOf(via), body.length);
		job.reply.end(body);
		return {kind: 'ended', end: {outcome: 'answered', endpoint: via.id, detail: `status ${status}`}};
	}

	async #forwardStream(sent: ForwardableResponse, {via, takeover, onEvent}: ActiveRun): Promise<RoundResult> {
		const {admission, context: {clock, metrics}} = this.#parts;
		const {response} = sent;
		const framing = framingOf(response, this.#job.method);
		const countBefore = this.#events.count;
		const pace = new StreamPace({
			clock, endpoints: this.#parts.endpoints, endpoint: {id: via.id, service: this.#job.service.name}, capacityTokens: this.#engine.capacityTokens,
		});
		for await (const chunk of receiveChunks(response)) {
			throwIfReplaced(takeover);
			sent.touch();
			await this.#recordSource(via);
			throwIfReplaced(takeover);
			if (this.#events.forward(response, chunk, versionOf(via)) > 0) {
				// Bytes that complete no event are no progress to the caller
				takeover?.recordProgress();
			}

			this.#forecast.progress(this.#events.count);
			pace.note(this.#events.count - countBefore);
			onEvent();
			this.#recordStartLatency();
			if (this.#events.needsPause) {
				await this.#events.pause(response, this.#job.signal);
				pace.restart();
				takeover?.recordProgress();
			}
		}

		throwIfReplaced(takeover);
		// The end of the response is progress, too: no other run begins from here on
		takeover?.stop();
		pace.finish(this.#events.count - countBefore);
		this.#events.checkEnd(response, framing, countBefore);
		await sent.confirmEnd();
		const {restBytes} = this.#events;
		// Before the end of the send, which polls the replicas for waiting requests
		const heldTokens = this.#forecast.finish(this.#events.count);
		sent.end('good');
		admission.recordHold(this.#job.service.name, heldTokens ?? this.#tokensToReserve(), clock.now() - this.#reservedAt);
		this.#events.finish(response, versionOf(via));
		const {longestGapMs, count} = this.#events;
		metrics.time('gap', longestGapMs);
		metrics.add('responseEnds', {step: 'decode', framing});
		return {
			kind: 'ended', end: {
				outcome: 'answered', endpoint: via.id, softwareVersion: via.softwareVersion, longestGapMs: Math.round(longestGapMs), framing, events: count, restBytes,
			},
		};
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

	/** Continues a stream whose response failed or was replaced. */
	async #handleBrokenResponse(sent: ForwardableResponse, {via, takeover}: ActiveRun, error: unknown): Promise<RoundResult> {
		const isReplaced = takeover?.isCommitted === true;
		const reason = isReplaced ? stallReason : String(error);
		sent.response.destroy();
		sent.end(this.#job.signal.aborted ? 'cancelled' : 'broken', reason);
		const replaced = await takeover?.settle();
		if (replaced !== undefined) {
			return replaced;
		}

		this.#forecast.end();
		return this.#job.signal.aborted ? this.#abort(via) : this.#continueOrFail(via, reason);
	}
}

/** Throws once another run has replaced this one. */
function throwIfReplaced(takeover: Takeover<RoundResult> | undefined): void {
	if (takeover?.isCommitted === true) {
		throw new Error(stallReason);
	}
}

/** Hosts frame all their responses. */
function toForwardable({response, end}: Extract<ForwardResult, {kind: 'answer'}>): ForwardableResponse {
	return {
		response, touch: ignore, end, async confirmEnd() {
			// Nothing but the framing shows the end
		},
	};
}
