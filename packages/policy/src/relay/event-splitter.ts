/**
 * Cuts a stream of server-sent events into whole events, so that a stream
 * which breaks off in the middle of an event can continue elsewhere without
 * a broken piece before the next. Safety: only whole events are passed on.
 */
import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const none = new Uint8Array();

/** Whole events and the id of the last one that had any. */
export type WholeEvents = {
	readonly bytes: Uint8Array;
	readonly count: number;
};

/** The last `id:` field of whole events. */
function findLastId(bytes: Uint8Array): string | undefined {
	let found: string | undefined;
	for (const [, id] of Buffer.from(bytes).toString('latin1').matchAll(/^id: ?(?<id>[^\r\n]*)/gmv)) {
		found = id;
	}

	return found;
}

/** Where the event that holds `from` ends: behind an empty line; -1 where it is not whole. */
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

/** Splits one run's bytes. */
export class EventSplitter {
	/** Id of the last whole event, to continue after. */
	lastId: string | undefined;
	#rest: Uint8Array = none;

	/** Takes bytes as they come and returns the events that are now whole. */
	push(chunk: Uint8Array): WholeEvents {
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

	/** What follows the last whole event, as at the end of a whole stream. */
	takeRest(): Uint8Array {
		const rest = this.#rest;
		this.#rest = none;
		return rest;
	}

	/** Forgets the piece that another run begins anew. */
	reset(): void {
		this.#rest = none;
	}
}
