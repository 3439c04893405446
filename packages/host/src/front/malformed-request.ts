/** Error responses to malformed and late requests. */
import {type Socket} from 'node:net';
import {codes, type Code} from '@gatehead/schema/codes';
import {Failure} from '@gatehead/schema/failure';
import {toErrorBody} from './reply.js';

/** Writes the error response to a malformed request or one that timed out, and ends the connection. Returns the error's code. */
export function rejectMalformedRequest({code}: NodeJS.ErrnoException, socket: Socket): Code {
	const name: Code = code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'requestSlow' : 'headerInvalid';
	const body = JSON.stringify(toErrorBody(new Failure(name)));
	socket.end(`HTTP/1.1 ${codes[name].status} Refused\r\ncontent-type: application/json\r\ncontent-length: ${new TextEncoder().encode(body).length}\r\nconnection: close\r\n\r\n${body}`);
	return name;
}
