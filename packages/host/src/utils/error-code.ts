/** Codes of system errors. */
import {Failure} from '@gatehead/schema/failure';

/** Code of a system error, such as `EADDRINUSE`, or of the one that caused a failure; empty: neither. */
export function errorCode(error: unknown): string {
	const cause = error instanceof Failure ? error.cause() : error;
	return cause instanceof Error && 'code' in cause && typeof cause.code === 'string' ? cause.code : '';
}
