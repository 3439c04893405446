/** A caller on a raw connection, so that a test decides when each byte is written and read. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@gatehead/schema/address';

/** A caller's connection and what came over it. */
export type RawCaller = {
	readonly socket: Socket;
	/** Everything received so far. */
	readonly text: () => string;
	/** Resolves once the host has closed its side, or the connection failed, and all that came is read. */
	readonly ended: Promise<void>;
};

/** Opens a connection; its caller reads unless `isPaused`, and goes on writing after the host has ended its side. */
export async function openCaller(address: string, isPaused = false): Promise<RawCaller> {
	const {ip, port} = splitAddress(address);
	const socket = connect({host: ip, port, allowHalfOpen: true});
	const chunks: Uint8Array[] = [];
	socket.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	if (isPaused) {
		socket.pause();
	}

	socket.on('error', () => {
		// A connection that fails closes
	});
	const ended = new Promise<void>(resolve => {
		for (const event of ['end', 'close']) {
			socket.once(event, resolve);
		}
	});
	await once(socket, 'connect');
	return {socket, text: () => Buffer.concat(chunks).toString('latin1'), ended};
}

/** Bytes of a request. `length`: the length that its head states, if other than that of the body. */
export function writeRequest(path: string, id: string, body: string, length = body.length): string {
	return `POST ${path} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: ${id}\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

/** Statuses of the responses in a text, in order. */
export function listStatuses(text: string): number[] {
	return [...text.matchAll(/HTTP\/1\.1 (?<status>\d{3})/gv)].map(({groups}) => Number(groups?.status));
}
