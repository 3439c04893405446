/**
 * Answers towards callers: JSON, errors with numbered code and `ran`, server-sent events.
 * Safety: `ran` is passed on as the failure says it.
 */
import {type ServerResponse} from 'node:http';
import {codes} from '@gatehead/schema/codes';
import {type ErrorBody} from '@gatehead/schema/caller-protocol';
import {type Failure} from '@gatehead/schema/failure';

const millisecondsPerSecond = 1000;

/** The error body of a failure. */
export function errorBodyOf({code, ran, detail, retryAfterMs}: Failure): ErrorBody {
	const {number, advice} = codes[code];
	return {
		error: {
			message: detail === undefined ? advice : `${advice} (${detail})`, type: code, code: number, ran, retryAfterMs,
		},
	};
}

/** Sends a JSON answer unless the caller is gone. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

/** Sends a failure with its status, code and the time to come back. */
export function sendFailure(response: ServerResponse, failure: Failure): void {
	if (failure.retryAfterMs !== undefined && !response.headersSent) {
		response.setHeader('retry-after', String(Math.ceil(failure.retryAfterMs / millisecondsPerSecond)));
	}

	sendJson(response, failure.status, errorBodyOf(failure));
}

/** Opens a stream of server-sent events. */
export function openEvents(response: ServerResponse): void {
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
}

/** Writes one event; returns false when the reader is behind. */
export function writeEvent(response: ServerResponse, data: string, id?: string, name?: string): boolean {
	const idLine = id === undefined ? '' : `id: ${id}\n`;
	const nameLine = name === undefined ? '' : `event: ${name}\n`;
	return response.write(`${nameLine}${idLine}data: ${data}\n\n`);
}
