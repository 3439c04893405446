/**
 * Writes an answer to one caller's connection, as server-sent events or as one
 * JSON body. A caller that closes, resets or stops reading is treated as disconnected.
 * Safety: releasing the memory of disconnected callers depends on this detection.
 */
import {type ServerResponse} from 'node:http';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {type TokenStream, type StreamEnd, type StreamReader} from '../core/token-stream.js';
import {
	toErrorBody, startEventStream, sendFailure, sendJson, writeEvent,
} from './reply.js';

/** API format of a request. */
export type Dialect = 'completion' | 'chat';

/** Options of `AnswerWriter`. */
export type AnswerWriterOptions = {
	readonly request: string;
	readonly model: string;
	readonly dialect: Dialect;
	readonly isStream: boolean;
	/** Run of the keyed request, appended to event ids; empty without a key. */
	readonly runId: string;
	/** Number of the first token to write. */
	readonly firstToken: number;
};

const objectTypes: Record<Dialect, {readonly whole: string; readonly chunk: string}> = {
	completion: {whole: 'text_completion', chunk: 'text_completion'},
	chat: {whole: 'chat.completion', chunk: 'chat.completion.chunk'},
};

const choiceFormatters: Record<Dialect, (text: string, reason: string | undefined, isChunk: boolean) => unknown> = {
	completion: (text, reason) => ({index: 0, text, finish_reason: reason ?? null}),
	chat: (text, reason, isChunk) => ({index: 0, [isChunk ? 'delta' : 'message']: {role: 'assistant', content: text}, finish_reason: reason ?? null}),
};

/** Streams an answer to an HTTP response; `stallMs` is the longest time in milliseconds for which the socket may stay full. */
export class AnswerWriter implements StreamReader {
	readonly #response: ServerResponse;
	readonly #options: AnswerWriterOptions;
	readonly #answer: TokenStream;
	readonly #clock: Clock;
	readonly #stallMs: number;
	#stallTimer: Timer | undefined;

	constructor(response: ServerResponse, options: AnswerWriterOptions, answer: TokenStream, clock: Clock, stallMs: number) {
		this.#response = response;
		this.#options = options;
		this.#answer = answer;
		this.#clock = clock;
		this.#stallMs = stallMs;
	}

	/** Attaches to the answer until the connection closes. */
	start(): void {
		this.#response.once('close', () => {
			this.#stallTimer?.stop();
			this.#answer.detach(this);
		});
		this.#response.on('drain', () => {
			this.#stallTimer?.stop();
			this.#stallTimer = undefined;
		});
		this.#answer.attach(this, this.#options.firstToken);
	}

	onToken(n: number, text: string, position: string): void {
		if (!this.#options.isStream || this.#response.destroyed || this.#response.writableEnded) {
			return;
		}

		if (!this.#response.headersSent) {
			startEventStream(this.#response);
		}

		if (!writeEvent(this.#response, JSON.stringify(this.#body(text, undefined, true)), `${position}/${n}${this.#options.runId === '' ? '' : `/${this.#options.runId}`}`)) {
			this.#startStallTimer();
		}
	}

	onEnd(end: StreamEnd): void {
		this.#stallTimer?.stop();
		// The end of a planned stop has rejected the request
		if (this.#response.writableEnded) {
			return;
		}

		if (end.kind === 'failed') {
			this.#fail(end);
			return;
		}

		if (!this.#options.isStream) {
			sendJson(this.#response, 200, this.#body(this.#answer.tokens.join(''), end.reason, false));
			return;
		}

		if (!this.#response.headersSent) {
			startEventStream(this.#response);
		}

		writeEvent(this.#response, JSON.stringify(this.#body('', end.reason, true)));
		writeEvent(this.#response, '[DONE]');
		this.#response.end();
	}

	#body(text: string, reason: string | undefined, isChunk: boolean): unknown {
		const {request, model, dialect} = this.#options;
		const object = objectTypes[dialect][isChunk ? 'chunk' : 'whole'];
		const usage = isChunk ? {} : {usage: {completion_tokens: this.#answer.tokens.length}};
		return {
			id: request, object, model, choices: [choiceFormatters[dialect](text, reason, isChunk)], ...usage,
		};
	}

	#fail({failure}: Extract<StreamEnd, {kind: 'failed'}>): void {
		if (!this.#response.headersSent) {
			sendFailure(this.#response, failure);
			return;
		}

		writeEvent(this.#response, JSON.stringify(toErrorBody(failure)), undefined, 'error');
		this.#response.end();
	}

	#startStallTimer(): void {
		this.#stallTimer ??= this.#clock.after(this.#stallMs, () => {
			this.#response.destroy();
		});
	}
}
