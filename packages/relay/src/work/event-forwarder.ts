/**
 * Forwards a generation's events to the caller, from one run or from several
 * consecutive runs. Safety: only complete events are forwarded, so the last id
 * is the position from which the caller's stream can continue. A caller that
 * does not read is disconnected before its buffered bytes exhaust memory.
 */
import {type IncomingMessage} from 'node:http';
import {EventSplitter} from '@gatehead/policy/relay/event-splitter';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Reply} from '../front/reply.js';

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

	/** Forwards the events that the chunk completes, from an endpoint of the given software version. */
	forward(response: IncomingMessage, chunk: Uint8Array, softwareVersion: string): void {
		const {bytes, count} = this.#splitter.push(chunk);
		if (count === 0) {
			return;
		}

		const now = this.#clock.now();
		if (this.#lastEventAt > 0) {
			this.longestGapMs = Math.max(this.longestGapMs, now - this.#lastEventAt);
		}

		this.#lastEventAt = now;
		this.count += count;
		this.#begin(response, softwareVersion);
		this.#reply.write(bytes);
		if (this.#reply.bufferedBytes > this.#maxUnreadBytes) {
			response.destroy(new Error('the caller does not read the stream'));
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
