/**
 * A streamed generation: reserves decode memory, has the prompt prefilled,
 * then forwards the stream event by event. Safety: once a decode replica may
 * have started, the request goes to another one only if its route is
 * resumable, and then after the last complete event that the caller received.
 * A stream that cannot continue is broken off. All events of a stream come from
 * endpoints of one software version, which its first event decides.
 */
import {ignore} from '@gatehead/policy/utils/ignore';
import {type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {readSoftwareVersion} from '../core/forward-facts.js';
import {describeHold} from '../upstream/crash-guard.js';
import {waitFor} from '../utils/wait.js';
import {type ForwardResult} from '../upstream/peer-forwarder.js';
import {stallReason, type SendResult} from '../upstream/sender.js';
import {DecodePrefill} from './decode-prefill.js';
import {
	defaultRetryAfterMs, outlastingStream, failJob, refuseJob, abortJob, type Via,
} from './generation-failure.js';
import {Continuation, findSpentBound} from './continuation.js';
import {timeLeft, type Job} from './job.js';
import {type JobEnd} from './job-end.js';
import {type WorkParts} from './parts.js';
import {Prefill, type PrefillResult} from './prefill.js';
import {type Reservation} from './replica-search.js';
import {ResponseForwarder} from './response-forwarder.js';
import {type ForwardableResponse, type Round, type RoundResult} from './round.js';
import {StreamState} from './stream-state.js';
import {type AdmissionResult} from './service-queue.js';
import {Takeover, type TakeoverAttempt} from './takeover.js';

/** Maximum wait for the head of a resumable stream and then between its events, in milliseconds, before another replica is sought for it. Less than half of what callers tolerate, so that the second replica has as long. The head gets the expected prefill time on top where the decode replica prefills the prompt. */
const idleTimeoutMs = 1400;
/** Interval between attempts to begin another run for a stream whose run this host has ended, in milliseconds. */
const continuationRetryMs = 200;
/** Attempts to begin a run for a request before it is refused. */
const maxRounds = 4;
/** Remaining lifetime below which a reservation is not used, in milliseconds; several times the network delay to a replica. */
const expiryMarginMs = 60;
/** Maximum wait for a permit at a rate-limited replica after the prefill, in milliseconds; prefill results live little longer. */
const permitTimeoutMs = 400;

/** Refusal of a run that would replace a silent one. */
const noRoom = {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail: 'no other replica has room'} as const;

/** The prompt of a run at its decode replica. */
type PromptProgress = {
	/** Expected time for the prompt if the replica prefills it itself, in milliseconds; else 0. */
	readonly prefillMs: number;
	/** Called when a part of the response arrives. */
	readonly onEvent: () => void;
	/** Called when another run replaces this one. */
	readonly onReplaced: () => void;
};

/** Runs a generation until its reply has ended. */
export async function runGeneration(parts: WorkParts, job: Job): Promise<JobEnd> {
	return new Generation(parts, job).run();
}

class Generation {
	readonly #parts: WorkParts;
	readonly #job: Job;
	readonly #prefill: Prefill;
	readonly #state: StreamState;
	readonly #continuation: Continuation;
	readonly #responses: ResponseForwarder;
	/** Whether other hosts were asked and none took the request. */
	#isForwardingSpent = false;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
		this.#prefill = new Prefill(parts, job);
		this.#state = new StreamState(parts, job);
		this.#continuation = new Continuation(parts, job, this.#state);
		this.#responses = new ResponseForwarder(parts, job, this.#state, this.#continuation);
	}

	async run(): Promise<JobEnd> {
		const end = await this.#playRounds();
		return end.outcome === 'brokenOff' ? {...end, ...this.#state.events.describeProgress()} : end;
	}

	async #playRounds(): Promise<JobEnd> {
		const {signal} = this.#job;
		for (;;) {
			const result = await this.#playRound({signal, silent: undefined, commit: ignore});
			if (result.kind === 'ended') {
				return result.end;
			}

			if (result.kind === 'notBegun') {
				const isRefusable = result.isDecided === true && !this.#job.reply.isPartlySent;
				if (!this.#state.mustContinue || signal.aborted || isRefusable) {
					await this.#continuation.recordUnseenRuns();
					return result.refuse();
				}

				await this.#waitForContinuation();
			}
		}
	}

	/** Waits until another run may be sought. */
	async #waitForContinuation(): Promise<void> {
		const {signal} = this.#job;
		do {
			await waitFor(this.#parts.context.clock, continuationRetryMs, signal);
		} while (!signal.aborted && await this.#continuation.findBlock() === 'budget');

		this.#isForwardingSpent = false;
	}

	/** Begins a run here, or at another host if this one cannot reach the service, and forwards its response. */
	async #playRound(round: Round): Promise<RoundResult> {
		if (this.#isTooLate()) {
			return this.#refuseTooLate();
		}

		const forwarded = await this.#forwardIfUnreachable(round);
		if (forwarded !== undefined) {
			return forwarded;
		}

		this.#state.rounds += round.silent === undefined ? 1 : 0;
		const answer = await this.#reserve(round);
		if (answer.kind === 'refused') {
			return this.#mayForward() ? {kind: 'retry'} : {kind: 'notBegun', refuse: () => refuseJob(this.#job, answer), isDecided: true};
		}

		if (answer.kind === 'aborted') {
			return this.#abort();
		}

		const {reservation} = answer;
		try {
			return await this.#runAt(round, reservation);
		} finally {
			this.#state.forecast.release(reservation);
		}
	}

	/** Reserves memory at the version of an earlier run if there was one, else at any. */
	async #reserve(round: Round): Promise<AdmissionResult> {
		const state = this.#state;
		const result = await this.#reserveAt(round, state.nextVersion);
		if (result.kind !== 'refused' || !state.mayChangeVersion) {
			return result;
		}

		const atAny = await this.#reserveAt(round, undefined);
		if (atAny.kind === 'granted') {
			state.changeVersion();
		}

		return atAny;
	}

	async #reserveAt({signal, silent}: Round, softwareVersion: string | undefined): Promise<AdmissionResult> {
		const {admission} = this.#parts;
		const request = {
			job: this.#job,
			tokens: this.#state.tokensToReserve(),
			ttlMs: this.#state.engine.reservationMs,
			capacityTokens: this.#state.engine.capacityTokens,
			doneTokens: this.#state.forecast.doneTokens,
			avoid: this.#state.triedReplicas,
			isContinuation: this.#job.reply.headersSent,
			softwareVersion,
		};
		if (silent === undefined) {
			return admission.reserve(request);
		}

		const reservation = await admission.reserveAhead({...request, excluded: silent.id, signal});
		return reservation === undefined
			? {kind: 'refused', ...noRoom}
			: {kind: 'granted', reservation};
	}

	/** Ends a round whose job or takeover was aborted. */
	#abort(via?: Via): RoundResult {
		return {kind: 'notBegun', refuse: () => abortJob(this.#job, via)};
	}

	/** Seeks another run for one that is silent; undefined if none has begun. */
	async #takeOver(silent: Via, {signal, commit}: TakeoverAttempt): Promise<RoundResult | undefined> {
		const {budgets, context: {metrics}} = this.#parts;
		const blockedBy = this.#continuation.findFixedBlock();
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
			this.#state.rounds += 1;
			this.#state.mustContinue = true;
			this.#continuation.continueAfter(silent, stallReason);
		}

		const isOther = this.#state.isOtherVersion(via.softwareVersion);
		if (isOther !== undefined) {
			this.#parts.context.metrics.add('repeatedRuns', {softwareVersion: isOther ? 'other' : 'same'});
		}

		if (reservation !== undefined) {
			reservation.announce?.();
			this.#state.forecast.begin(reservation);
			this.#state.reservedAt = reservation.expiresAt - this.#state.engine.reservationMs;
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

	#refuseTooLate(): Extract<RoundResult, {kind: 'notBegun'}> {
		return {kind: 'notBegun', refuse: () => refuseJob(this.#job, outlastingStream), isDecided: true};
	}

	/** Whether another host has to serve the request because this one cannot reach its service. */
	#mayForward(): boolean {
		const job = this.#job;
		return !this.#isForwardingSpent && !job.signal.aborted && this.#parts.forwarder.isNeeded(job) && findSpentBound(job) === undefined;
	}

	/** Has another host serve the request, or the rest of its stream; undefined if it stays here. Each round forwards one attempt, so that a stream that breaks off can continue. */
	async #forwardIfUnreachable(round: Round): Promise<RoundResult | undefined> {
		if (!this.#mayForward()) {
			return undefined;
		}

		const job = this.#job;
		const {forwarder, context: {clock}} = this.#parts;
		// Without a permit, each host that is tried would count as one that does not take requests
		if (round.silent !== undefined && await this.#continuation.findBlock() !== undefined) {
			return {kind: 'notBegun', refuse: () => this.#refuseUnpaid()};
		}

		this.#state.rounds += round.silent === undefined ? 1 : 0;
		const controller = new AbortController();
		let takeover: Takeover<RoundResult> | undefined;
		const result = await forwarder.send(job, {
			attempts: 1,
			lastEventId: this.#state.events.lastId,
			softwareVersion: this.#state.nextVersion,
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
			return this.#responses.forward(toForwardable(result), {via, takeover, onEvent: ignore});
		}

		const replaced = await takeover?.settle();
		return replaced ?? this.#handleUnforwarded(round, result);
	}

	/** Handles the outcome of a forward without a response to pass on; undefined if the request stays here. */
	async #handleUnforwarded({silent}: Round, result: Exclude<ForwardResult, {kind: 'answer'}>): Promise<RoundResult | undefined> {
		const job = this.#job;
		if (result.kind === 'unavailable') {
			// Where a run goes on meanwhile, it may need other hosts later
			this.#isForwardingSpent ||= silent === undefined;
			return job.runs.mayHaveRun ? undefined : {kind: 'notBegun', refuse: () => refuseJob(job, {code: 'endpointsDown', retryAfterMs: defaultRetryAfterMs, detail: 'no other host takes the request'})};
		}

		const via: Via = {id: result.host};
		if (job.signal.aborted) {
			return this.#abort(via);
		}

		if (result.kind === 'refused' && this.#state.mayChangeVersion) {
			this.#state.changeVersion();
			return {kind: 'retry'};
		}

		if (result.kind === 'refused') {
			const {host, code, retryAfterMs = defaultRetryAfterMs} = result;
			return {kind: 'notBegun', refuse: () => refuseJob(job, {code, retryAfterMs, detail: `refused by ${host}`}, via)};
		}

		return this.#continuation.continueOrFail(via, result.detail);
	}

	async #runAt(round: Round, reservation: Reservation): Promise<RoundResult> {
		const release = (refuse: () => JobEnd, prefilled?: PrefillResult): Extract<RoundResult, {kind: 'notBegun'}> => {
			this.#prefill.release(prefilled);
			this.#parts.admission.giveUp(reservation);
			return {kind: 'notBegun', refuse};
		};

		if (this.#isTooLate()) {
			const {refuse} = this.#refuseTooLate();
			return {...release(refuse), isDecided: true};
		}

		// Before the prompt is read in vain
		if (round.silent !== undefined && await this.#continuation.findBlock() !== undefined) {
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

		if (round.silent === undefined || this.#isReserved(reservation)) {
			return this.#decode(round, reservation, prefilled);
		}

		const renewed = await this.#renew(reservation, round.signal);
		return renewed === undefined ? release(() => refuseJob(this.#job, noRoom), prefilled) : this.#decode(round, renewed, prefilled);
	}

	/** Whether a reservation lasts until a request can reach its replica. */
	#isReserved({expiresAt}: Reservation): boolean {
		return expiresAt - this.#parts.context.clock.now() > expiryMarginMs;
	}

	/** Reserves memory again at the same replica; undefined if it has no room any more. */
	async #renew(reservation: Reservation, signal: AbortSignal): Promise<Reservation | undefined> {
		const {ownCalls, context} = this.#parts;
		if (isOff(context, 'reservations')) {
			return reservation;
		}

		const {endpoint, tokens} = reservation;
		const ttlMs = this.#state.engine.reservationMs;
		const answer = await ownCalls.reserve(endpoint, tokens, ttlMs, signal);
		return answer.kind === 'granted' ? {...reservation, name: answer.reservation, expiresAt: context.clock.now() + ttlMs} : undefined;
	}

	/** Ends a job that may not be sent again because the retry budget is spent. */
	#refuseUnpaid(): JobEnd {
		const detail = 'no retry budget left';
		return this.#job.reply.isPartlySent
			? {...failJob(this.#job, this.#state.source ?? {id: ''}, detail), blockedBy: 'budget'}
			: refuseJob(this.#job, {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail});
	}

	async #decode(round: Round, reservation: Reservation, prefilled: PrefillResult | undefined): Promise<RoundResult> {
		const {context: {clock}, endpoints, news} = this.#parts;
		const decodePrefill = new DecodePrefill({clock, endpoints, news});
		const prefillMs = prefilled === undefined ? decodePrefill.begin(reservation.endpoint.id, this.#job.facts.promptTokens) : 0;
		try {
			return await this.#decodeAt(round, reservation, prefilled, {
				prefillMs,
				onEvent() {
					decodePrefill.finish();
				},
				onReplaced() {
					decodePrefill.abandon();
				},
			});
		} finally {
			decodePrefill.abandon();
		}
	}

	async #decodeAt(round: Round, reservation: Reservation, prefilled: PrefillResult | undefined, {prefillMs, onEvent, onReplaced}: PromptProgress): Promise<RoundResult> {
		const {sender, context: {clock}} = this.#parts;
		const {endpoint, name, tokens, permit} = reservation;
		const controller = new AbortController();
		let takeover: Takeover<RoundResult> | undefined;
		let undoRun = ignore;
		const sent = await sender.send({
			job: this.#job,
			step: 'decode',
			endpoint,
			facts: {
				...(prefilled === undefined ? {} : {source: {address: prefilled.endpoint.address, result: prefilled.result}}),
				...(this.#isReserved(reservation) ? {reservation: name} : {}),
				lastEventId: this.#state.events.lastId ?? this.#job.facts.lastEventId,
			},
			tokens,
			headMs: timeLeft(this.#job, clock.now()) + 1,
			signal: AbortSignal.any([round.signal, controller.signal]),
			onWrite: () => {
				takeover = this.#beginRun(round, {
					via: endpoint, firstIdleMs: idleTimeoutMs + prefillMs, cancel() {
						onReplaced();
						controller.abort(stallReason);
					},
				}, reservation);
				undoRun = this.#state.noteRun(endpoint);
			},
			permit,
			permitMs: permitTimeoutMs,
		});
		this.#prefill.recordUse(prefilled, sent.kind === 'answer');
		if (sent.kind === 'answer') {
			return this.#responses.forward(sent, {via: endpoint, takeover, onEvent});
		}

		this.#prefill.release(prefilled);
		if (sent.kind === 'notRun') {
			undoRun();
		}

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

		this.#state.triedReplicas.add(endpoint.id);
		if (sent.kind === 'unknown') {
			return this.#continuation.continueOrFail(endpoint, 'broken');
		}

		const hasArrived = sent.reason === 'refused' || sent.reason === 'otherEndpoint';
		if (!hasArrived) {
			this.#parts.ownCalls.cancelReservation(endpoint, name);
		}

		if (sent.reason === 'connect') {
			this.#state.forgetRun(endpoint.id);
			await this.#parts.reachability.settle(job.service.name);
		}

		const mayRetry = this.#state.rounds < maxRounds && await this.#parts.budgets.ensure(job, 'refused');
		return mayRetry ? {kind: 'retry'} : {kind: 'notBegun', refuse: () => refuseJob(job, {code: 'overloaded', retryAfterMs: defaultRetryAfterMs, detail: sent.reason}, endpoint)};
	}

	/** Refuses a request whose content is held because it crashes endpoints. */
	#refuseHeldContent(endpoint: Endpoint): JobEnd {
		const job = this.#job;
		const hold = this.#parts.guard.findHold(job);
		return job.reply.isPartlySent
			? failJob(job, endpoint, 'content held')
			: refuseJob(job, {code: 'contentHeld', retryAfterMs: hold?.leftMs ?? defaultRetryAfterMs, detail: hold === undefined ? 'held until just now' : describeHold(hold)}, endpoint);
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
