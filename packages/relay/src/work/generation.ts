/**
 * One streamed generation: room at a decode replica first, then the prompt
 * at a prefill replica, then the stream, event by event. Safety: after a
 * decode replica may have begun, the request goes to another one only where
 * its route allows a stream to continue, and then after the last whole event
 * that the caller has; a stream that cannot continue is broken off.
 */
import {type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {
	ExchangeError, isCut, readBody, settleEnd,
} from '../upstream/exchange.js';
import {silentReason, type Sent} from '../upstream/sender.js';
import {DecodeReading} from './decode-reading.js';
import {
	comeBackMs, loseJob, refuseJob, stopJob,
} from './generation-end.js';
import {EventPassage} from './event-passage.js';
import {timeLeft, type Job} from './job.js';
import {type JobEnd} from './job-end.js';
import {type WorkParts} from './parts.js';
import {Prefill, type Source} from './prefill.js';
import {type Reservation} from './room-search.js';
import {SilenceWatch} from './silence-watch.js';

/** Tokens reserved for the answer, as a multiple of the caller's guess, which is right in the median. Less puts streams back to be read again, more leaves room empty. */
const answerFactor = 0.9;
/** Memory goes by blocks of so many tokens: by the engines' description. */
const blockTokens = 16;
/** Times that a request is started anew, whatever the cause: one that brings its replica down takes four at most. */
const mostRounds = 4;
/** Time until the head of a stream, and until its next event, after which a stream that may continue elsewhere does, in milliseconds: less than half of what callers bear, so that the second replica has as long. A replica that reads the prompt itself gets the time for that besides. */
const silentMs = 1400;
/** Longest answer that is no stream: failures are short. */
const mostBytes = 1_048_576;
/** Rest of a reservation's life from which on it is not relied on, in milliseconds: several times the way to the replica. */
const lapseMarginMs = 60;
/** Time for which a request with its prompt read waits for a permit at a rate-limited replica, in milliseconds: a result lives little longer. */
const permitWaitMs = 400;
const okStatus = 200;
const leastErrorStatus = 500;

/** What came of one decode: the end, or what to do next. */
type Decoded
	= | {readonly kind: 'ended'; readonly end: JobEnd}
		| {readonly kind: 'again'};

/** Works on a generation until it has its final answer. */
export async function workGeneration(parts: WorkParts, job: Job): Promise<JobEnd> {
	return new Generation(parts, job).work();
}

class Generation {
	readonly #parts: WorkParts;
	readonly #job: Job;
	readonly #prefill: Prefill;
	readonly #reading: DecodeReading;
	readonly #events: EventPassage;
	/** Decode replicas that had it. */
	readonly #avoid = new Set<string>();
	#grantedAt = 0;
	#rounds = 0;
	#isStartNoted = false;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
		this.#prefill = new Prefill(parts, job);
		this.#reading = new DecodeReading({clock: parts.context.clock, endpoints: parts.endpoints, news: parts.news});
		this.#events = new EventPassage(job.reply, parts.context.clock, parts.context.settings.limits.unreadBytes);
	}

	async work(): Promise<JobEnd> {
		for (;;) {
			this.#rounds += 1;
			const {admission, context: {clock}} = this.#parts;
			const answer = await admission.reserve({
				job: this.#job, tokens: this.#countTokens(), lifeMs: this.#engine.reservationMs, bearable: this.#engine.capacityTokens, avoid: this.#avoid, isStarted: this.#job.reply.hasBegun,
			});
			if (answer.kind === 'refused') {
				return refuseJob(this.#job, answer);
			}

			if (answer.kind === 'gone') {
				return stopJob(this.#job);
			}

			this.#grantedAt = clock.now();
			const decoded = await this.#runAt(answer.reservation);
			if (decoded.kind === 'ended') {
				return decoded.end;
			}
		}
	}

	get #engine() {
		return this.#job.service.engine ?? {capacityTokens: 0, reservationMs: 0};
	}

	#countTokens(): number {
		const {promptTokens, answerTokens} = this.#job.facts;
		const tokens = promptTokens + (answerFactor * answerTokens);
		return Math.max(blockTokens, Math.ceil(tokens / blockTokens) * blockTokens);
	}

	async #runAt(reservation: Reservation): Promise<Decoded> {
		const read = await this.#prefill.read(reservation.endpoint);
		// The next start of its replica may know the same name as another request's
		const source = read !== undefined && this.#parts.endpoints.book.isReplaced(read.endpoint) ? undefined : read;
		if (this.#job.signal.aborted) {
			this.#prefill.free(source);
			this.#parts.ownCalls.cancelReservation(reservation.endpoint, reservation.name);
			return {kind: 'ended', end: stopJob(this.#job)};
		}

		return this.#decode(reservation, source);
	}

	async #decode(reservation: Reservation, source: Source | undefined): Promise<Decoded> {
		const readingMs = source === undefined ? this.#reading.begin(reservation.endpoint.id, this.#job.facts.promptTokens) : 0;
		try {
			return await this.#decodeAt(reservation, source, readingMs);
		} finally {
			this.#reading.abandon();
		}
	}

	/** `readingMs`: time that the replica is expected to take for the prompt itself. */
	async #decodeAt({endpoint, name, lapsesAt, permit}: Reservation, source: Source | undefined, readingMs: number): Promise<Decoded> {
		const {sender, context: {clock}} = this.#parts;
		const isHeld = lapsesAt - clock.now() > lapseMarginMs;
		const sent = await sender.send({
			job: this.#job,
			step: 'decode',
			endpoint,
			facts: {
				...(source === undefined ? {} : {source: {address: source.endpoint.address, result: source.result}}),
				...(isHeld ? {reservation: name} : {}),
				lastEventId: this.#events.lastId ?? this.#job.facts.lastEventId,
			},
			tokens: this.#countTokens(),
			headMs: this.#job.route.isResumable ? silentMs + readingMs : timeLeft(this.#job, clock.now()) + 1,
			signal: this.#job.signal,
			permit,
			permitMs: permitWaitMs,
		});
		this.#prefill.count(source, sent.kind === 'answer');
		if (sent.kind !== 'answer') {
			return this.#notAnswered(sent, endpoint, source, name);
		}

		const status = sent.response.statusCode ?? 0;
		return status === okStatus ? this.#stream(sent, endpoint) : this.#passFailure(sent, endpoint, status);
	}

	async #notAnswered(sent: Exclude<Sent, {kind: 'answer'}>, endpoint: Endpoint, source: Source | undefined, reservation: string): Promise<Decoded> {
		this.#prefill.free(source);
		if (this.#job.signal.aborted) {
			return {kind: 'ended', end: stopJob(this.#job, endpoint)};
		}

		if (sent.kind === 'notRun' && sent.reason === 'held') {
			this.#parts.ownCalls.cancelReservation(endpoint, reservation);
			return {kind: 'ended', end: this.#refuseHeld(endpoint)};
		}

		this.#avoid.add(endpoint.id);
		if (sent.kind === 'unknown') {
			return this.#continue(endpoint, 'broken');
		}

		const hasArrived = sent.reason === 'refused' || sent.reason === 'otherEndpoint';
		if (!hasArrived) {
			this.#parts.ownCalls.cancelReservation(endpoint, reservation);
		}

		const mayRepeat = this.#rounds < mostRounds && (!hasArrived || this.#parts.budgets.take(this.#job, 'refused'));
		return mayRepeat ? {kind: 'again'} : {kind: 'ended', end: refuseJob(this.#job, {code: 'overloaded', retryAfterMs: comeBackMs, detail: sent.reason}, endpoint)};
	}

	/** Its content ends endpoints: what has begun is broken off, the rest comes back later. */
	#refuseHeld(endpoint: Endpoint): JobEnd {
		const job = this.#job;
		return job.reply.hasBegun
			? loseJob(job, endpoint, 'content held')
			: refuseJob(job, {code: 'contentHeld', retryAfterMs: this.#parts.guard.holdMs(job.content) ?? comeBackMs, detail: job.content.digest}, endpoint);
	}

	/** Goes on at another replica where the route allows it; otherwise this is the end. */
	async #continue(endpoint: Endpoint, reason: string): Promise<Decoded> {
		return await this.#goOn(endpoint, reason) ? {kind: 'again'} : {kind: 'ended', end: loseJob(this.#job, endpoint, reason)};
	}

	/** Makes ready to go on at another replica, where route, attempts and budget allow it. */
	async #goOn(endpoint: Endpoint, reason: string): Promise<boolean> {
		const job = this.#job;
		const {budgets, guard, context: {log}} = this.#parts;
		const mayContinue = !isOff(this.#parts.context, 'continuing') && job.route.isResumable && job.runs < job.route.maxAttempts && this.#rounds < mostRounds;
		if (!mayContinue || !(await guard.mayRunAgain(job)) || job.signal.aborted || !budgets.take(job, 'continue')) {
			return false;
		}

		this.#avoid.add(endpoint.id);
		this.#events.restart();
		log('continued', {
			request: job.id, endpoint: endpoint.id, reason, lastEventId: this.#events.lastId ?? '', begun: job.reply.hasBegun,
		});
		return true;
	}

	async #passFailure(sent: Extract<Sent, {kind: 'answer'}>, endpoint: Endpoint, status: number): Promise<Decoded> {
		try {
			const body = await readBody(sent.response, mostBytes);
			sent.end(status >= leastErrorStatus ? 'error' : 'good');
			const job = this.#job;
			if (status >= leastErrorStatus && await this.#goOn(endpoint, `status ${status}`)) {
				return {kind: 'again'};
			}

			if (job.reply.hasBegun) {
				return {kind: 'ended', end: loseJob(this.#job, endpoint, `status ${status}`)};
			}

			job.reply.begin(sent.response, body.length);
			job.reply.end(body);
			return {kind: 'ended', end: {outcome: 'answered', endpoint: endpoint.id, detail: `status ${status}`}};
		} catch (error) {
			sent.end('broken', String(error));
			return this.#continue(endpoint, String(error));
		}
	}

	/** Passes events on as they come. */
	async #stream(sent: Extract<Sent, {kind: 'answer'}>, endpoint: Endpoint): Promise<Decoded> {
		const {admission, context: {clock, metrics}} = this.#parts;
		const {response} = sent;
		// A silent stream that may not continue elsewhere is its replica's business
		const watch = new SilenceWatch(response, clock, this.#job.route.isResumable ? silentMs : undefined);
		try {
			for await (const chunk of response as AsyncIterable<Uint8Array>) {
				watch.touch();
				sent.touch();
				this.#events.pass(response, chunk);
				this.#reading.finish();
				this.#noteStart();
			}

			await settleEnd(response);
			if (isCut(response)) {
				throw new ExchangeError('reset', true, new Error('the stream was cut'));
			}

			sent.end('good');
			admission.noteHold(this.#job.service.name, this.#countTokens(), clock.now() - this.#grantedAt);
			this.#events.finish(response);
			const {longestGapMs} = this.#events;
			metrics.time('gap', longestGapMs);
			return {kind: 'ended', end: {outcome: 'answered', endpoint: endpoint.id, longestGapMs: Math.round(longestGapMs)}};
		} catch (error) {
			return await this.#breakOff(sent, endpoint, watch.isSilent ? silentReason : String(error));
		} finally {
			watch.stop();
		}
	}

	/** Notes the time to the first event, once, of a request that did not begin elsewhere. */
	#noteStart(): void {
		if (this.#isStartNoted || !this.#job.reply.hasBegun) {
			return;
		}

		this.#isStartNoted = true;
		if (this.#rounds === 1) {
			this.#parts.admission.noteStart(this.#job.service.name, this.#parts.context.clock.now() - this.#grantedAt);
		}
	}

	async #breakOff(sent: Extract<Sent, {kind: 'answer'}>, endpoint: Endpoint, reason: string): Promise<Decoded> {
		sent.response.destroy();
		if (this.#job.signal.aborted) {
			sent.end('cancelled');
			return {kind: 'ended', end: stopJob(this.#job, endpoint)};
		}

		sent.end('broken', reason);
		return this.#continue(endpoint, reason);
	}
}
