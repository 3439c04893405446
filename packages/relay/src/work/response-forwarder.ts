/**
 * Forwards the response of one run of a generation to its caller. Safety: all
 * events of a stream come from endpoints of one software version, and nothing
 * of a run is forwarded once another one has replaced it.
 */
import {type IncomingMessage} from 'node:http';
import {receiveChunks} from '@gatehead/host/utils/receive-chunks';
import {framingOf} from '@gatehead/host/utils/response-framing';
import {versionOf} from '@gatehead/schema/routing';
import {openShare, readBlocks} from '../upstream/exchange.js';
import {stallReason} from '../upstream/sender.js';
import {type IncomingShare} from '../utils/incoming-memory.js';
import {type Continuation} from './continuation.js';
import {abortJob, type Via} from './generation-failure.js';
import {type Job} from './job.js';
import {type WorkParts} from './parts.js';
import {type ActiveRun, type ForwardableResponse, type RoundResult} from './round.js';
import {StreamPace} from './stream-pace.js';
import {type StreamState} from './stream-state.js';

/** Maximum size of a body that is not a stream, such as an error. */
const maxBodyBytes = 1_048_576;
const okStatus = 200;
const minServerErrorStatus = 500;

export type ResponseForwarderParts = Pick<WorkParts, 'admission' | 'context' | 'endpoints' | 'streams'>;

/** Forwards the responses of one request's runs. */
export class ResponseForwarder {
	readonly #parts: ResponseForwarderParts;
	readonly #job: Job;
	readonly #state: StreamState;
	readonly #continuation: Continuation;
	#isStartRecorded = false;
	#share: IncomingShare | undefined;
	#response: IncomingMessage | undefined;

	constructor(parts: ResponseForwarderParts, job: Job, state: StreamState, continuation: Continuation) {
		this.#parts = parts;
		this.#job = job;
		this.#state = state;
		this.#continuation = continuation;
	}

	/** Forwards a response, or that of the run that replaces it while it is silent. */
	async forward(sent: ForwardableResponse, run: ActiveRun): Promise<RoundResult> {
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
		const {clock, incoming} = this.#parts.context;
		const share = openShare(incoming, 'response', sent.response, () => {
			job.reply.giveWay();
		});
		job.reply.keepUntilClosed(share);
		const body = await readBlocks(sent.response, clock, {maxBytes: maxBodyBytes, share});
		try {
			throwIfReplaced(takeover);
			await confirmEnd(sent, takeover);
		} catch (error) {
			share.release();
			throw error;
		}

		sent.end(status >= minServerErrorStatus ? 'error' : 'good');
		const reason = `status ${status}`;
		if (job.reply.headersSent) {
			share.release();
			return this.#continuation.continueOrFail(via, reason);
		}

		if (status >= minServerErrorStatus && await this.#continuation.findBlock() === undefined) {
			share.release();
			this.#continuation.continueAfter(via, reason);
			return {kind: 'retry'};
		}

		await this.#continuation.recordUnseenRuns();
		job.reply.forwardHead(sent.response, versionOf(via), body.length);
		job.reply.end(...body.list());
		return {kind: 'ended', end: {outcome: 'answered', endpoint: via.id, detail: reason}};
	}

	async #forwardStream(sent: ForwardableResponse, {via, takeover, onEvent}: ActiveRun): Promise<RoundResult> {
		const {admission, context: {clock, metrics}} = this.#parts;
		const {response} = sent;
		const share = this.#shareFor(response);
		const framing = framingOf(response, this.#job.method);
		const countBefore = this.#state.events.count;
		const pace = new StreamPace({
			clock, endpoints: this.#parts.endpoints, endpoint: {id: via.id, service: this.#job.service.name}, capacityTokens: this.#state.engine.capacityTokens,
		});
		for await (const chunk of receiveChunks(response)) {
			throwIfReplaced(takeover);
			sent.touch();
			await this.#recordSource(via);
			throwIfReplaced(takeover);
			if (this.#state.events.forward(response, chunk, versionOf(via)) > 0) {
				// Bytes that complete no event are no progress to the caller
				takeover?.recordProgress();
			}

			share.receive(chunk.length, this.#state.events.heldBytes);
			this.#state.forecast.progress(this.#state.events.count);
			pace.note(this.#state.events.count - countBefore);
			onEvent();
			this.#recordStartLatency();
			if (share.needsRoom) {
				await share.waitForRoom(response);
				pace.restart();
				takeover?.recordProgress();
			}

			if (this.#state.events.needsPause) {
				await this.#state.events.pause(response, this.#job.signal);
				pace.restart();
				takeover?.recordProgress();
			}
		}

		throwIfReplaced(takeover);
		pace.finish(this.#state.events.count - countBefore);
		this.#state.events.checkEnd(response, framing, countBefore);
		await confirmEnd(sent, takeover);
		const {restBytes} = this.#state.events;
		// Before the end of the send, which polls the replicas for waiting requests
		const heldTokens = this.#state.forecast.finish(this.#state.events.count);
		sent.end('good');
		admission.recordHold(this.#job.service.name, heldTokens ?? this.#state.tokensToReserve(), clock.now() - this.#state.reservedAt);
		this.#state.events.finish(response, versionOf(via));
		const {longestGapMs, count} = this.#state.events;
		metrics.time('gap', longestGapMs);
		metrics.add('responseEnds', {step: 'decode', framing});
		return {
			kind: 'ended', end: {
				outcome: 'answered', endpoint: via.id, softwareVersion: via.softwareVersion, longestGapMs: Math.round(longestGapMs), framing, events: count, restBytes,
			},
		};
	}

	/** Memory that the stream takes until its reply is closed, over all its runs. `response`: that of the run that goes on. */
	#shareFor(response: IncomingMessage): IncomingShare {
		this.#response = response;
		if (this.#share === undefined || this.#share.isReleased) {
			const {events} = this.#state;
			this.#share = this.#parts.context.incoming.open('stream', {
				giveWay: () => {
					events.giveWay(this.#response ?? response);
				},
				measure: () => events.heldBytes,
			});
			this.#job.reply.keepUntilClosed(this.#share);
		}

		return this.#share;
	}

	/** Records the endpoint that sends events from now on. The version is replicated before the first event is forwarded, as the caller may resume the stream at another host after this one has failed. */
	async #recordSource(endpoint: Via): Promise<void> {
		if (this.#state.source?.id === endpoint.id) {
			return;
		}

		const {endpoints, streams, context: {metrics}} = this.#parts;
		const softwareVersion = versionOf(endpoint);
		const isOther = this.#state.softwareVersion !== undefined && this.#state.softwareVersion !== softwareVersion;
		if (isOther || !endpoints.isSameVersion(endpoint)) {
			throw new Error('the endpoint runs another software version');
		}

		if (this.#state.source !== undefined || this.#job.resumedVersion !== undefined) {
			metrics.add('continuations', {by: this.#state.source === undefined ? 'caller' : 'host'});
		}

		this.#state.source = endpoint;
		this.#state.softwareVersion = softwareVersion;
		await streams.record(this.#job, endpoint);
	}

	/** Records the time to the first event, only for a request that started in its first round. */
	#recordStartLatency(): void {
		if (this.#isStartRecorded || !this.#job.reply.headersSent) {
			return;
		}

		this.#isStartRecorded = true;
		if (this.#state.rounds === 1) {
			this.#parts.admission.recordStartLatency(this.#job.service.name, this.#parts.context.clock.now() - this.#state.reservedAt);
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

		this.#state.forecast.end();
		return this.#job.signal.aborted ? {kind: 'notBegun', refuse: () => abortJob(this.#job, via)} : this.#continuation.continueOrFail(via, reason);
	}
}

/** Waits until a response that has ended is known to be complete. Another run may replace it until then; none begins later. */
async function confirmEnd(sent: ForwardableResponse, takeover: ActiveRun['takeover']): Promise<void> {
	// The end of a response is progress, too
	takeover?.recordProgress();
	await sent.confirmEnd();
	throwIfReplaced(takeover);
	takeover?.stop();
}

/** Throws once another run has replaced this one. */
function throwIfReplaced(takeover: ActiveRun['takeover']): void {
	if (takeover?.isCommitted === true) {
		throw new Error(stallReason);
	}
}
