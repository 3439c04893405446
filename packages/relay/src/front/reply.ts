/**
 * The answer to one caller: an endpoint's, passed on unchanged, or the
 * relay's own. Safety: a status that promises "not run" is never written
 * where the request may have run, and an answer that is cut never looks whole.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {codes, type Code} from '@gatehead/schema/codes';
import {Failure} from '@gatehead/schema/failure';
import {passHeaders} from './headers.js';

const millisecondsPerSecond = 1000;
const badGateway = 502;
const unauthorizedStatus = 401;
/** Statuses that promise that a request has not run. */
export const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What the relay says itself. */
export type OwnAnswer = {
	readonly retryAfterMs?: number;
	readonly mayHaveRun: boolean;
	readonly isRepeatable: boolean;
	readonly detail?: string;
};

/** An endpoint's headers, but for those of its connection. */
function passedHeaders(answer: IncomingMessage, isFramedAnew: boolean): string[] {
	return passHeaders(answer, name => !(isFramedAnew && name === 'content-length'));
}

/** One caller's answer. */
export class Reply {
	/** First byte of the answer: when it went out, by the clock handed in. */
	firstByteAt: number | undefined;
	/** The status that went out. */
	status = 0;
	readonly #response: ServerResponse;
	readonly #now: () => number;
	readonly #isLast: () => boolean;

	/** `isLast` says whether the connection closes behind this answer, as at a planned stop. */
	constructor(response: ServerResponse, now: () => number, isLast: () => boolean) {
		this.#response = response;
		this.#now = now;
		this.#isLast = isLast;
	}

	/** Whether anything has gone out. */
	get hasBegun(): boolean {
		return this.#response.headersSent;
	}

	/** Whether the caller is still there. */
	get isOpen(): boolean {
		return !this.#response.destroyed && !this.#response.writableEnded;
	}

	/** Bytes that the caller has not read. */
	get unreadBytes(): number {
		return this.#response.writableLength;
	}

	/** Passes an endpoint's head on; `length` where the whole body is at hand. */
	begin(answer: IncomingMessage, length?: number): void {
		if (length === undefined) {
			this.#writeHead(answer.statusCode ?? badGateway, passedHeaders(answer, false));
			return;
		}

		this.#writeHead(answer.statusCode ?? badGateway, [...passedHeaders(answer, true), 'Content-Length', String(length)]);
	}

	/** Passes the head of a stream on, whose length may turn out another one where it continues elsewhere. */
	beginStream(answer: IncomingMessage): void {
		this.#writeHead(answer.statusCode ?? badGateway, passedHeaders(answer, true));
	}

	/** Passes bytes on. */
	write(bytes: Uint8Array): void {
		if (bytes.length > 0 && this.isOpen) {
			this.#response.write(bytes);
		}
	}

	/** The answer is whole. */
	end(bytes?: Uint8Array): void {
		if (!this.isOpen) {
			return;
		}

		if (bytes === undefined) {
			this.#response.end();
		} else {
			this.#response.end(bytes);
		}
	}

	/** Closes the connection in the middle of the answer, so that it does not look whole. */
	breakOff(): void {
		this.#response.destroy();
	}

	/** Says the relay's own word; returns the code that went out, which is another one where the wanted one would not be true. */
	refuse(wanted: Code, {retryAfterMs, mayHaveRun, isRepeatable, detail}: OwnAnswer): Code {
		const isUntrue = promises.has(codes[wanted].status) && mayHaveRun && !isRepeatable;
		const code = isUntrue ? 'answerLost' : wanted;
		if (this.hasBegun) {
			this.breakOff();
			return code;
		}

		if (!this.isOpen) {
			return code;
		}

		const {status} = codes[code];
		const {message} = new Failure(code, {detail});
		const body = JSON.stringify({
			error: {
				code: codes[code].number, type: code, message, ran: mayHaveRun ? 'unknown' : codes[code].ran,
			},
		});
		const headers = ['Content-Type', 'application/json', 'Content-Length', String(new TextEncoder().encode(body).length)];
		if (retryAfterMs !== undefined && promises.has(status)) {
			headers.push('Retry-After', (retryAfterMs / millisecondsPerSecond).toFixed(2));
		}

		if (status === unauthorizedStatus) {
			headers.push('WWW-Authenticate', 'Bearer');
		}

		this.#writeHead(status, headers);
		this.#response.end(body);
		return code;
	}

	#writeHead(status: number, headers: string[]): void {
		this.firstByteAt = this.#now();
		this.status = status;
		if (this.#isLast()) {
			headers.push('Connection', 'close');
		}

		this.#response.writeHead(status, headers);
	}
}
