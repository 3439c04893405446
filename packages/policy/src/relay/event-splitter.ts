/**
 * Splits a byte stream of server-sent events at event boundaries, so that a
 * stream that fails in the middle of an event can be resumed at another
 * endpoint. Safety: only complete events are forwarded. A stream that ends
 * inside an event is truncated, whatever marks its end. Source: the event
 * stream format of the HTML standard, section 9.2.
 */
import {Buffer} from 'node:buffer';
import {ByteBlocks} from '../utils/byte-blocks.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;
const noBytes = new Uint8Array();

/** Complete events, as sent, and their number. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly count: number;
};

/** The last `id:` field; undefined if there is none. */
function findLastId(bytes: Uint8Array): string | undefined {
	let found: string | undefined;
	for (const [, id] of Buffer.from(bytes).toString('latin1').matchAll(/^id: ?(?<id>[^\r\n]*)/gmv)) {
		found = id;
	}

	return found;
}

/** Splitter for one response stream. */
export class EventSplitter {
	/** Id of the last complete event, from which a stream is resumed. */
	lastId: string | undefined;
	/** What follows the last complete event. Joined only when an event is complete: endpoints may send one in many small parts. */
	#rest = new ByteBlocks();
	#isLineEmpty = true;
	#followsCarriageReturn = false;
	/** Whether any line, and whether a line other than a comment, has begun since the last event. */
	#hasLines = false;
	#hasFields = false;

	/** Number of bytes after the last complete event. */
	get restBytes(): number {
		return this.#rest.length;
	}

	/** Memory of these bytes. */
	get reservedBytes(): number {
		return this.#rest.reservedBytes;
	}

	/** Whether an event, or a line, has begun and is incomplete. Empty lines and whole comments may follow the last event. */
	get isInsideEvent(): boolean {
		return this.#hasFields || !this.#isLineEmpty;
	}

	/** Appends a chunk and returns the events that it completes. */
	push(chunk: Uint8Array): CompleteEvents {
		let end = 0;
		let count = 0;
		let index = 0;
		for (const byte of chunk) {
			if (byte === lineFeed && this.#followsCarriageReturn) {
				// The second half of a line end, which may be that of the last event
				this.#followsCarriageReturn = false;
				end += Number(end > 0 && end === index);
			} else if (this.#endsEvent(byte)) {
				end = index + 1;
				count += 1;
			}

			index += 1;
		}

		const whole = end === 0 ? noBytes : this.#joinRest(chunk.subarray(0, end));
		if (end > 0) {
			this.#rest = new ByteBlocks();
		}

		if (end < chunk.length) {
			this.#rest.append(chunk.subarray(end));
		}

		this.lastId = findLastId(whole) ?? this.lastId;
		return {bytes: whole, count};
	}

	/** Removes and returns the bytes after the last complete event. */
	takeRest(): Uint8Array {
		const rest = this.#rest.toBytes();
		this.reset();
		return rest;
	}

	/** Discards an incomplete event, before the stream is resumed elsewhere. */
	reset(): void {
		this.#rest = new ByteBlocks();
		this.#isLineEmpty = true;
		this.#followsCarriageReturn = false;
		this.#hasLines = false;
		this.#hasFields = false;
	}

	#joinRest(more: Uint8Array): Uint8Array {
		return this.#rest.length === 0 ? more : Buffer.concat([...this.#rest.list(), more]);
	}

	/** Scans the next byte; returns whether it ends an event. A line ends with LF, CR or CR LF, an event with an empty line. */
	#endsEvent(byte: number): boolean {
		this.#followsCarriageReturn = byte === carriageReturn;
		if (byte !== lineFeed && byte !== carriageReturn) {
			this.#hasLines = true;
			this.#hasFields ||= this.#isLineEmpty && byte !== colon;
			this.#isLineEmpty = false;
			return false;
		}

		if (!this.#isLineEmpty) {
			this.#isLineEmpty = true;
			return false;
		}

		const isEvent = this.#hasLines;
		this.#hasLines = false;
		this.#hasFields = false;
		return isEvent;
	}
}
