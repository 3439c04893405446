/** The one error class of gatehead and the one function that raises it. Neither safety nor efficiency rests here. */
import VError from 'verror';
import {codes, type Code, type Ran} from './codes.js';

/** Facts that go with a failure. Never holds a token or a prompt. */
export type FailureDetail = {
	/** What exactly was wrong, for the reader of the message. */
	readonly detail?: string;
	/** When the caller may come back, in milliseconds. */
	readonly retryAfterMs?: number;
	/** What is known about the run, where it is better known than the table's row says. */
	readonly ran?: Ran;
	/** The error beneath. */
	readonly cause?: unknown;
};

/** A numbered error. */
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

	/** What the caller is told about the run. */
	get ran(): Ran {
		return this.#ran;
	}

	/** HTTP status for this failure. */
	get status(): number {
		return codes[this.code].status || 500;
	}
}

/** Raises a numbered error. */
export function fail(code: Code, detail?: FailureDetail): never {
	throw new Failure(code, detail);
}

/** Turns anything thrown into a numbered error. */
export function toFailure(error: unknown, fallback: Code = 'internal'): Failure {
	return error instanceof Failure ? error : new Failure(fallback, {cause: error, detail: error instanceof Error ? error.message : String(error)});
}
