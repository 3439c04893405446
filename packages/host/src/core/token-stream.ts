/**
 * Buffered token stream of one request: tokens in order, each once, followed
 * by one end. Several readers may attach to it. Safety: a token is appended
 * only if its number is the next one, so late, duplicate or out-of-order
 * tokens are ignored.
 */
import {type Failure} from '@gatehead/schema/failure';

/** How a stream ended. */
export type StreamEnd
	= | {readonly kind: 'complete'; readonly reason: 'stop' | 'length'}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** Receives the tokens and the end of a stream. */
export type StreamReader = {
	onToken(n: number, text: string, position: string): void;
	onEnd(end: StreamEnd): void;
};

/** Token stream of one request. */
export class TokenStream {
	readonly tokens: string[];
	/** Engine and attempt that produce the current tokens, as `engine/attempt`; part of the event ids. */
	position = '';
	readonly #readers = new Set<StreamReader>();
	readonly #onAbandoned: () => void;
	#end: StreamEnd | undefined;

	/** `onAbandoned` is called when the last reader detaches before the end. The first `knownTokens` tokens are empty strings, as the caller already has them. */
	constructor(onAbandoned: () => void, knownTokens = 0) {
		this.#onAbandoned = onAbandoned;
		this.tokens = Array.from<string>({length: knownTokens}).fill('');
	}

	get end(): StreamEnd | undefined {
		return this.#end;
	}

	/** Adds a reader and replays the tokens from number `from` on; a stream that has ended reports its end at once. */
	attach(reader: StreamReader, from = 0): void {
		for (const [n, text] of this.tokens.entries()) {
			if (n >= from) {
				reader.onToken(n, text, this.position);
			}
		}

		if (this.#end === undefined) {
			this.#readers.add(reader);
		} else {
			reader.onEnd(this.#end);
		}
	}

	/** Removes a reader. */
	detach(reader: StreamReader): void {
		if (this.#readers.delete(reader) && this.#readers.size === 0 && this.#end === undefined) {
			this.#onAbandoned();
		}
	}

	/** Appends token number `n` (zero-based) if it is the next one and the stream has not ended. Returns whether it was appended. */
	append(n: number, text: string): boolean {
		if (this.#end !== undefined || n !== this.tokens.length) {
			return false;
		}

		this.tokens.push(text);
		for (const reader of this.#readers) {
			reader.onToken(n, text, this.position);
		}

		return true;
	}

	/** Ends the stream; later calls have no effect. */
	finish(end: StreamEnd): void {
		if (this.#end !== undefined) {
			return;
		}

		this.#end = end;
		for (const reader of this.#readers) {
			reader.onEnd(end);
		}

		this.#readers.clear();
	}
}
