/** Error responses to malformed requests. Safety: nothing has been sent to an endpoint yet, so nothing ran. */
import {type Socket} from 'node:net';
import {codes, type Code} from '@gatehead/schema/codes';
import {Failure} from '@gatehead/schema/failure';
import {toErrorBody} from './reply.js';

/** Responds to a malformed HTTP request or one that timed out, and closes the socket. */
export function rejectMalformedRequest({code}: NodeJS.ErrnoException, socket: Socket): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const name: Code = code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'requestSlow' : 'headerInvalid';
	const body = JSON.stringify(toErrorBody(new Failure(name)));
	socket.end(`HTTP/1.1 ${codes[name].status} Refused\r\ncontent-type: application/json\r\ncontent-length: ${new TextEncoder().encode(body).length}\r\nconnection: close\r\n\r\n${body}`);
}

