/**
 * Passes a generation's events on to its caller, from one run or from several
 * one after the other. Safety: only whole events go out, so that the id of the
 * last one says truly where the caller's stream goes on; a caller that does
 * not read is given up before its bytes fill the process.
 */
import {type IncomingMessage} from 'node:http';
import {EventSplitter} from '@gatehead/policy/relay/event-splitter';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Reply} from '../front/reply.js';

/** The events of one request. */
export class EventPassage {
	/** Longest pause between two events so far, in milliseconds. */
	longestGapMs = 0;
	readonly #reply: Reply;
	readonly #clock: Clock;
	readonly #mostUnreadBytes: number;
	readonly #splitter = new EventSplitter();
	#lastEventAt = 0;

	constructor(reply: Reply, clock: Clock, mostUnreadBytes: number) {
		this.#reply = reply;
		this.#clock = clock;
		this.#mostUnreadBytes = mostUnreadBytes;
	}

	/** Id of the last event that went out, to continue after. */
	get lastId(): string | undefined {
		return this.#splitter.lastId;
	}

	/** Passes on the events that are now whole. */
	pass(response: IncomingMessage, chunk: Uint8Array): void {
		const {bytes, count} = this.#splitter.push(chunk);
		if (count === 0) {
			return;
		}

		const now = this.#clock.now();
		if (this.#lastEventAt > 0) {
			this.longestGapMs = Math.max(this.longestGapMs, now - this.#lastEventAt);
		}

		this.#lastEventAt = now;
		this.#begin(response);
		this.#reply.write(bytes);
		if (this.#reply.unreadBytes > this.#mostUnreadBytes) {
			response.destroy(new Error('the caller does not read'));
		}
	}

	/** The stream is whole: what follows its last event, if anything, belongs to it. */
	finish(response: IncomingMessage): void {
		this.#begin(response);
		this.#reply.end(this.#splitter.takeRest());
	}

	/** Forgets the piece of an event that another run begins anew. */
	restart(): void {
		this.#splitter.reset();
	}

	#begin(response: IncomingMessage): void {
		if (!this.#reply.hasBegun) {
			this.#reply.beginStream(response);
		}
	}
}
