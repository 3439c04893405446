/** Answers on a socket whose bytes make no request. Safety: nothing was passed on, so nothing ran. */
import {type Socket} from 'node:net';
import {codes, type Code} from '@gatehead/schema/codes';
import {Failure} from '@gatehead/schema/failure';
import {errorBodyOf} from './reply.js';

/** Answers what is no HTTP request at all, or came too slowly. */
export function refuseRaw({code}: NodeJS.ErrnoException, socket: Socket): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const name: Code = code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'requestSlow' : 'headerInvalid';
	const body = JSON.stringify(errorBodyOf(new Failure(name)));
	socket.end(`HTTP/1.1 ${codes[name].status} Refused\r\ncontent-type: application/json\r\ncontent-length: ${new TextEncoder().encode(body).length}\r\nconnection: close\r\n\r\n${body}`);
}

