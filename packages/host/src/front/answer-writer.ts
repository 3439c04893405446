/**
 * Writes one growing answer to one caller's connection, as events or as one
 * JSON body. A caller that closes, resets or stops reading counts as gone.
 * Safety: "no memory held for a caller who is gone" begins with noticing that it is gone.
 */
import {type ServerResponse} from 'node:http';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {type TokenStream, type StreamEnd, type StreamReader} from '../core/token-stream.js';
import {
	errorBodyOf, openEvents, sendFailure, sendJson, writeEvent,
} from './reply.js';

/** The convention that the caller speaks. */
export type Dialect = 'completion' | 'chat';

/** How to write an answer. */
export type Writing = {
	readonly request: string;
	readonly model: string;
	readonly dialect: Dialect;
	readonly isStream: boolean;
	/** What event ids carry besides engine, attempt and number: which run under the key this is. */
	readonly run: string;
	/** Number of the first token that the caller lacks. */
	readonly from: number;
};

const objects: Record<Dialect, {readonly whole: string; readonly chunk: string}> = {
	completion: {whole: 'text_completion', chunk: 'text_completion'},
	chat: {whole: 'chat.completion', chunk: 'chat.completion.chunk'},
};

const choices: Record<Dialect, (text: string, reason: string | undefined, isChunk: boolean) => unknown> = {
	completion: (text, reason) => ({index: 0, text, finish_reason: reason ?? null}),
	chat: (text, reason, isChunk) => ({index: 0, [isChunk ? 'delta' : 'message']: {role: 'assistant', content: text}, finish_reason: reason ?? null}),
};

/** Writes an answer as it grows. */
export class AnswerWriter implements StreamReader {
	readonly #response: ServerResponse;
	readonly #writing: Writing;
	readonly #answer: TokenStream;
	readonly #clock: Clock;
	readonly #stallMs: number;
	#stall: Timer | undefined;

	constructor(response: ServerResponse, writing: Writing, answer: TokenStream, clock: Clock, stallMs: number) {
		this.#response = response;
		this.#writing = writing;
		this.#answer = answer;
		this.#clock = clock;
		this.#stallMs = stallMs;
	}

	/** Starts to write; the reader leaves the answer when the connection closes. */
	start(): void {
		this.#response.once('close', () => {
			this.#stall?.stop();
			this.#answer.detach(this);
		});
		this.#response.on('drain', () => {
			this.#stall?.stop();
			this.#stall = undefined;
		});
		this.#answer.attach(this, this.#writing.from);
	}

	onToken(n: number, text: string, position: string): void {
		if (!this.#writing.isStream || this.#response.destroyed) {
			return;
		}

		if (!this.#response.headersSent) {
			openEvents(this.#response);
		}

		if (!writeEvent(this.#response, JSON.stringify(this.#body(text, undefined, true)), `${position}/${n}${this.#writing.run === '' ? '' : `/${this.#writing.run}`}`)) {
			this.#startStall();
		}
	}

	onEnd(end: StreamEnd): void {
		this.#stall?.stop();
		if (end.kind === 'failed') {
			this.#fail(end);
			return;
		}

		if (!this.#writing.isStream) {
			sendJson(this.#response, 200, this.#body(this.#answer.tokens.join(''), end.reason, false));
			return;
		}

		if (!this.#response.headersSent) {
			openEvents(this.#response);
		}

		writeEvent(this.#response, JSON.stringify(this.#body('', end.reason, true)));
		writeEvent(this.#response, '[DONE]');
		this.#response.end();
	}

	#body(text: string, reason: string | undefined, isChunk: boolean): unknown {
		const {request, model, dialect} = this.#writing;
		const object = objects[dialect][isChunk ? 'chunk' : 'whole'];
		const usage = isChunk ? {} : {usage: {completion_tokens: this.#answer.tokens.length}};
		return {
			id: request, object, model, choices: [choices[dialect](text, reason, isChunk)], ...usage,
		};
	}

	#fail({failure}: Extract<StreamEnd, {kind: 'failed'}>): void {
		if (!this.#response.headersSent) {
			sendFailure(this.#response, failure);
			return;
		}

		writeEvent(this.#response, JSON.stringify(errorBodyOf(failure)), undefined, 'error');
		this.#response.end();
	}

	#startStall(): void {
		this.#stall ??= this.#clock.after(this.#stallMs, () => {
			this.#response.destroy();
		});
	}
}
