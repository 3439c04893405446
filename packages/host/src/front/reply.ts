/**
 * Responses to callers: JSON, errors and server-sent events.
 * Safety: an error's `ran` is copied from the failure unchanged.
 */
import {type ServerResponse} from 'node:http';
import {codes} from '@gatehead/schema/codes';
import {type ErrorBody} from '@gatehead/schema/caller-protocol';
import {type Failure} from '@gatehead/schema/failure';
import {isRejected} from './rejected-requests.js';

const millisecondsPerSecond = 1000;

/** Converts a failure to the body of an error response. */
export function toErrorBody({code, ran, detail, retryAfterMs}: Failure): ErrorBody {
	const {number, advice} = codes[code];
	return {
		error: {
			message: detail === undefined ? advice : `${advice} (${detail})`, type: code, code: number, ran, retryAfterMs,
		},
	};
}

/** Sends a JSON response, unless headers were already sent, the connection is closed, or the request was rejected as malformed. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	if (response.headersSent || response.destroyed || isRejected(response.req)) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

/** Sends an error response, with a `retry-after` header in seconds if the failure has a delay. */
export function sendFailure(response: ServerResponse, failure: Failure): void {
	if (failure.retryAfterMs !== undefined && !response.headersSent) {
		response.setHeader('retry-after', String(Math.ceil(failure.retryAfterMs / millisecondsPerSecond)));
	}

	sendJson(response, failure.status, toErrorBody(failure));
}

/** Sends the headers of an event stream. */
export function startEventStream(response: ServerResponse): void {
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
}

/** Writes one event; returns false if the socket's write buffer is full. */
export function writeEvent(response: ServerResponse, data: string, id?: string, name?: string): boolean {
	const idLine = id === undefined ? '' : `id: ${id}\n`;
	const nameLine = name === undefined ? '' : `event: ${name}\n`;
	return response.write(`${nameLine}${idLine}data: ${data}\n\n`);
}
