/**
 * Forwards a generation's events to the caller, from one run or from several
 * consecutive runs. Safety: only complete events are forwarded, so the last id
 * is the position from which the caller's stream can continue. A caller that
 * does not read is disconnected before its buffered bytes exhaust memory.
 */
import {type IncomingMessage} from 'node:http';
import {type Framing} from '@gatehead/host/utils/response-framing';
import {EventSplitter} from '@gatehead/policy/relay/event-splitter';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Reply} from '../front/reply.js';
import {ExchangeError, makeMemoryError} from '../upstream/exchange.js';
import {type JobEnd} from './job-end.js';

/** Buffered bytes below which reading goes on, since the end of a response may arrive meanwhile. */
const minPauseBytes = 65_536;

/** Bytes kept of an event that is incomplete; an event holds a few tokens. */
const maxEventBytes = 262_144;

const eventStreamType = 'text/event-stream';
/** Longest pause, in milliseconds; an endpoint closes a response that stays unread for some seconds. */
const maxPauseMs = 1000;

/** Forwards the events of one request. */
export class EventForwarder {
	/** Longest interval between two forwarded events so far, in milliseconds. */
	longestGapMs = 0;
	/** Number of forwarded events. */
	count = 0;
	readonly #reply: Reply;
	readonly #clock: Clock;
	readonly #maxUnreadBytes: number;
	readonly #splitter = new EventSplitter();
	#lastEventAt = 0;
	/** Bytes that the caller had read when a pause lasted the full time; no other pause begins until it reads again. */
	#readBeforePause = Number.NEGATIVE_INFINITY;

	constructor(reply: Reply, clock: Clock, maxUnreadBytes: number) {
		this.#reply = reply;
		this.#clock = clock;
		this.#maxUnreadBytes = maxUnreadBytes;
	}

	/** Id of the last forwarded event; a continuation starts after it. */
	get lastId(): string | undefined {
		return this.#splitter.lastId;
	}

	/** Number of bytes received after the last complete event. */
	get restBytes(): number {
		return this.#splitter.restBytes;
	}

	/** Memory of what was received and has not left for the caller yet, in bytes. */
	get heldBytes(): number {
		return this.#splitter.reservedBytes + this.#reply.bufferedBytes;
	}

	/** Gives the stream up, since others need its memory: closes the connection that holds more of it. */
	giveWay(response: IncomingMessage): void {
		if (this.#reply.bufferedBytes > this.#splitter.restBytes) {
			this.#reply.destroy();
		} else {
			response.destroy(makeMemoryError());
		}
	}

	/** Forwards the events that the chunk completes, from an endpoint of the given software version, and returns their number. Throws an `ExchangeError` if an event is too long. */
	forward(response: IncomingMessage, chunk: Uint8Array, softwareVersion: string): number {
		const {bytes, count} = this.#splitter.push(chunk);
		if (this.#splitter.restBytes > maxEventBytes) {
			throw new ExchangeError('tooLarge', true, new Error('an event exceeds the size limit'));
		}

		if (count === 0) {
			return count;
		}

		const now = this.#clock.now();
		if (this.#lastEventAt > 0) {
			this.longestGapMs = Math.max(this.longestGapMs, now - this.#lastEventAt);
		}

		this.#lastEventAt = now;
		this.count += count;
		this.#begin(response, softwareVersion);
		this.#reply.write(bytes);
		if (this.#reply.bufferedBytes <= this.#maxUnreadBytes) {
			return count;
		}

		if (this.#reply.isWatched) {
			this.#reply.closeUnread();
		} else {
			response.destroy(new Error('the caller does not read the stream'));
		}

		return count;
	}

	/** What the caller has of a stream that breaks off, and for how long nothing has come. */
	describeProgress(): Pick<JobEnd, 'events' | 'longestGapMs' | 'silentMs'> {
		return {events: this.count, longestGapMs: Math.round(this.longestGapMs), silentMs: Math.round(this.#clock.now() - this.#lastEventAt)};
	}

	/** Whether reading from the endpoint has to wait for the caller. */
	get needsPause(): boolean {
		return this.#reply.isWatched && this.#reply.needsDrain && this.#reply.bufferedBytes > minPauseBytes && this.#reply.sampleUnread().takenBytes > this.#readBeforePause;
	}

	/** Stops reading from the endpoint until the caller has read what was forwarded, for a limited time. */
	async pause(response: IncomingMessage, signal: AbortSignal): Promise<void> {
		response.pause();
		const isRead = await this.#reply.waitUntilRead(this.#clock, maxPauseMs, signal);
		this.#readBeforePause = isRead ? Number.NEGATIVE_INFINITY : this.#reply.sampleUnread().takenBytes;
	}

	/** Throws an `ExchangeError` if a response that has ended is truncated. `countBefore`: events that were forwarded before this response. */
	checkEnd(response: IncomingMessage, framing: Framing, countBefore: number): void {
		if (!isEventStream(response)) {
			return;
		}

		if (this.#splitter.isInsideEvent) {
			throw new ExchangeError('reset', true, new Error('the stream ended inside an event'));
		}

		// Without any event, a closed connection is no sign that the stream was complete
		if (framing === 'connection' && this.count === countBefore) {
			throw new ExchangeError('reset', true, new Error('the connection closed before any event'));
		}
	}

	/** Ends the reply after a complete stream, with any bytes that follow its last event. */
	finish(response: IncomingMessage, softwareVersion: string): void {
		this.#begin(response, softwareVersion);
		this.#reply.end(this.#splitter.takeRest());
	}

	/** Discards a partial event before the stream continues from another run. */
	restart(): void {
		this.#splitter.reset();
	}

	#begin(response: IncomingMessage, softwareVersion: string): void {
		if (!this.#reply.headersSent) {
			this.#reply.forwardStreamHead(response, softwareVersion);
		}
	}
}

/** Whether a generation's response consists of events; an error or a plain result states another type. */
function isEventStream({headers: {'content-type': type = eventStreamType}}: IncomingMessage): boolean {
	return type.toLowerCase().startsWith(eventStreamType);
}
