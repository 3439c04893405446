/** The error class of gatehead. */
import VError from 'verror';
import {codes, type Code, type Ran} from './codes.js';

/** Details of a failure. Must not contain tokens or prompts. */
export type FailureDetail = {
	/** Appended to the message. */
	readonly detail?: string;
	/** Delay after which the caller may retry, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Overrides `ran` of the code when more is known. */
	readonly ran?: Ran;
	readonly cause?: unknown;
};

/** An error with a result code. */
export class Failure extends VError {
	readonly code: Code;
	readonly retryAfterMs: number | undefined;
	readonly detail: string | undefined;
	readonly #ran: Ran;

	constructor(code: Code, {detail, retryAfterMs, ran, cause}: FailureDetail = {}) {
		const row = codes[code];
		const text = `${row.number} ${code}: ${row.advice}${detail === undefined ? '' : ` (${detail})`}`;
		super({name: 'Failure', cause: cause instanceof Error ? cause : undefined}, '%s', text);
		this.code = code;
		this.#ran = ran ?? row.ran;
		this.retryAfterMs = retryAfterMs;
		this.detail = detail;
	}

	/** Whether the request may have run, as reported to the caller. */
	get ran(): Ran {
		return this.#ran;
	}

	/** HTTP status; 500 for a code without one. */
	get status(): number {
		return codes[this.code].status || 500;
	}
}

/** Throws a `Failure`. */
export function fail(code: Code, detail?: FailureDetail): never {
	throw new Failure(code, detail);
}

/** Converts any thrown value to a `Failure`; `fallback` is the code of other errors. */
export function toFailure(error: unknown, fallback: Code = 'internal'): Failure {
	return error instanceof Failure ? error : new Failure(fallback, {cause: error, detail: error instanceof Error ? error.message : String(error)});
}
