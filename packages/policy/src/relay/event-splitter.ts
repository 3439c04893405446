/**
 * Splits a byte stream of server-sent events at event boundaries, so that a
 * stream that fails in the middle of an event can be resumed at another
 * endpoint. Safety: only complete events are forwarded.
 */
import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const noBytes = new Uint8Array();

/** Complete events, as sent, and their number. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly count: number;
};

/** The last `id:` field; undefined if there is noBytes. */
function findLastId(bytes: Uint8Array): string | undefined {
	let found: string | undefined;
	for (const [, id] of Buffer.from(bytes).toString('latin1').matchAll(/^id: ?(?<id>[^\r\n]*)/gmv)) {
		found = id;
	}

	return found;
}

/** Index after the empty line that ends the event at `from`; -1 if the event is incomplete. */
function findEnd(bytes: Uint8Array, from: number): number {
	for (let index = bytes.indexOf(lineFeed, from); index !== -1; index = bytes.indexOf(lineFeed, index + 1)) {
		if (bytes[index + 1] === lineFeed) {
			return index + 2;
		}

		if (bytes[index + 1] === carriageReturn && bytes[index + 2] === lineFeed) {
			return index + 3;
		}
	}

	return -1;
}

/** Splitter for one response stream. */
export class EventSplitter {
	/** Id of the last complete event, from which a stream is resumed. */
	lastId: string | undefined;
	#rest: Uint8Array = noBytes;

	/** Appends a chunk and returns the events that it completes. */
	push(chunk: Uint8Array): CompleteEvents {
		const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		let end = 0;
		let count = 0;
		for (let next = findEnd(bytes, 0); next !== -1; next = findEnd(bytes, end)) {
			end = next;
			count += 1;
		}

		const whole = bytes.subarray(0, end);
		this.#rest = bytes.subarray(end);
		this.lastId = findLastId(whole) ?? this.lastId;
		return {bytes: whole, count};
	}

	/** Number of bytes after the last complete event. */
	get restBytes(): number {
		return this.#rest.length;
	}

	/** Removes and returns the bytes after the last complete event. */
	takeRest(): Uint8Array {
		const rest = this.#rest;
		this.#rest = noBytes;
		return rest;
	}

	/** Discards an incomplete event, before the stream is resumed elsewhere. */
	reset(): void {
		this.#rest = noBytes;
	}
}
