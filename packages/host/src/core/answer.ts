/**
 * One request's answer as it grows: tokens in order, each once, then an end.
 * Safety: a token is taken only under its own number, so late, doubled or
 * crossed lines change nothing. Several connections may read one answer.
 */
import {type Failure} from '@gatehead/schema/failure';

/** How an answer ended. */
export type AnswerEnd
	= | {readonly kind: 'whole'; readonly reason: 'stop' | 'length'}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** Someone who reads an answer. */
export type AnswerReader = {
	onToken(n: number, text: string, position: string): void;
	onEnd(end: AnswerEnd): void;
};

/** A growing answer. */
export class Answer {
	readonly tokens: string[] = [];
	/** Engine and attempt that now write, as `engine/attempt`, for event ids. */
	position = '';
	readonly #readers = new Set<AnswerReader>();
	readonly #onUnread: () => void;
	#end: AnswerEnd | undefined;

	/** `onUnread` is called when the last reader leaves before the end; the first `known` tokens are at the caller already. */
	constructor(onUnread: () => void, known = 0) {
		this.#onUnread = onUnread;
		this.tokens.push(...Array.from<string>({length: known}).fill(''));
	}

	get end(): AnswerEnd | undefined {
		return this.#end;
	}

	/** Adds the reader and gives it all tokens from number `from` on. */
	attach(reader: AnswerReader, from = 0): void {
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

	/** Takes a reader away. */
	detach(reader: AnswerReader): void {
		if (this.#readers.delete(reader) && this.#readers.size === 0 && this.#end === undefined) {
			this.#onUnread();
		}
	}

	/** Takes token number `n`; any but the next one is dropped. Returns whether it was taken. */
	take(n: number, text: string): boolean {
		if (this.#end !== undefined || n !== this.tokens.length) {
			return false;
		}

		this.tokens.push(text);
		for (const reader of this.#readers) {
			reader.onToken(n, text, this.position);
		}

		return true;
	}

	/** Ends the answer; only the first end counts. */
	finish(end: AnswerEnd): void {
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
