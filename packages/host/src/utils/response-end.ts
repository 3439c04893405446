/** Tells a response that has ended from one whose connection failed. Safety: a response is complete only if nothing failed up to its end. */
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {framingOf} from './response-framing.js';
import {findFieldFault} from './response-syntax.js';

/** Responses whose connection failed after the headers. Node reports a close-delimited response as complete even then. */
const truncatedResponses = new WeakSet<IncomingMessage>();

/** Requests by response, for responses that only the end of their connection ends. */
const probedRequests = new WeakMap<IncomingMessage, ClientRequest>();

/** Observes how a response ends; called as soon as its headers arrive. */
export function watchEnd(request: ClientRequest, response: IncomingMessage): void {
	request.once('error', () => {
		truncatedResponses.add(response);
	});
	if (framingOf(response, request.method) === 'connection') {
		probeForReset(request, response);
	}
}

/**
 * Distinguishes a reset connection from a closed one. Where a reset arrives
 * with the last bytes, libuv reports a normal end; a write then fails with the
 * error. The endpoint has closed the connection and ignores the written bytes.
 * Behind a request that is still being written the probe would wait and show
 * nothing; an endpoint that ends its response without reading on has failed.
 */
function probeForReset(request: ClientRequest, response: IncomingMessage): void {
	const {socket} = response;
	probedRequests.set(response, request);
	socket.prependOnceListener('end', () => {
		if (!request.writableFinished) {
			truncatedResponses.add(response);
		} else if (socket.writable) {
			socket.write('\r\n', error => {
				if (error) {
					truncatedResponses.add(response);
				}
			});
		}
	});
}

/**
 * Throws if a response that has ended is truncated, or its trailer malformed.
 * Waits until a reset that arrived with its last bytes is reported. Where a
 * close would mark the end of the body, a head alone is no sign that the body
 * is empty: a process that exits behind the head closes the connection, too,
 * and one that has nothing to send can say so with a length of zero (RFC 9112,
 * section 6.3).
 */
export async function checkEnd(response: IncomingMessage, receivedBytes: number): Promise<void> {
	const request = probedRequests.get(response);
	if (request !== undefined) {
		if (receivedBytes === 0) {
			throw new Error('the connection closed before the body');
		}

		await setImmediate();
		await setImmediate();
	}

	const isUnwritten = request?.writableFinished === false;
	if (!response.complete || isUnwritten || truncatedResponses.has(response)) {
		throw new Error('the response was truncated');
	}

	const fault = findFieldFault(response.rawTrailers);
	if (fault !== undefined) {
		throw new Error(`the endpoint sent a malformed trailer: ${fault}`);
	}
}
