/** Guards against a part of a response without framing that passes for the whole one, as its connection ends while the request is still being written. */
import {EventEmitter, once} from 'node:events';
import {request as httpRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {receiveChunks} from './receive-chunks.js';
import {checkEnd, watchEnd} from './response-end.js';
import {receiveHead} from './response-head.js';

const shortBody = 'question';
/** More than the buffers of a connection take. */
const longBody = 'x'.repeat(16_000_000);
const text = 'part';

type Case = {
	readonly name: string;
	readonly body: string;
	/** Head of the response behind its status line. */
	readonly head: string;
	/** Whether the server reads the body of the request. */
	readonly isRead: boolean;
	/** Undefined: the response is truncated. */
	readonly received: string | undefined;
};

const framed = `Content-Length: ${text.length}\r\n`;

const cases: readonly Case[] = [
	{
		name: 'no framing, unread body', body: longBody, head: '', isRead: false, received: undefined,
	},
	{
		name: 'no framing, body that was read', body: longBody, head: '', isRead: true, received: text,
	},
	{
		name: 'no framing, short body', body: shortBody, head: '', isRead: true, received: text,
	},
	{
		name: 'a length, unread body', body: longBody, head: framed, isRead: false, received: text,
	},
	{
		name: 'a length, body that was read', body: longBody, head: framed, isRead: true, received: text,
	},
];

/** Reads the request if asked to, and sends a response that ends with its connection's sending side. */
function answer(socket: Socket, {body, head, isRead}: Case): void {
	const end = () => {
		socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${text}`);
	};

	let received = 0;
	socket.on('error', ignore);
	socket.on('data', (chunk: Uint8Array) => {
		received += chunk.length;
		if (!isRead) {
			socket.pause();
			end();
		} else if (received >= body.length) {
			socket.removeAllListeners('data');
			end();
		}
	});
}

describe('responses whose connection ends', () => {
	for (const each of cases) {
		for (const allowHalfOpen of [false, true]) {
			it(`${each.name}, ${allowHalfOpen ? 'sending side left open' : 'sending side closed with it'}`, async () => {
				const server = createServer({allowHalfOpen: true}, socket => {
					answer(socket, each);
				});
				server.listen(0, '127.0.0.1');
				await once(server, 'listening');
				const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
				const connection = connect({host: '127.0.0.1', port, allowHalfOpen});
				const request = httpRequest({method: 'POST', headers: {'Content-Length': each.body.length}, createConnection: () => connection});
				request.on('error', ignore);
				request.end(each.body);
				try {
					let received = '';
					const read = async () => {
						for await (const chunk of receiveChunks(await receiveHead(request))) {
							received += new TextDecoder().decode(chunk);
						}

						return received;
					};

					if (each.received === undefined) {
						await expect(read()).toBeRejected();
					} else {
						expect(await read()).toEqual(each.received);
					}
				} finally {
					request.destroy();
					connection.destroy();
					server.close();
				}
			});
		}
	}
});

type Write = (bytes: string, onWritten: (error?: Error) => void) => void;

/** What becomes of bytes that are written behind the end of a response. */
const writes: Readonly<Record<string, Write>> = {
	// Behind a body that the server does not read
	queued: ignore,
	sent(_bytes, onWritten) {
		onWritten();
	},
	failed(_bytes, onWritten) {
		onWritten(new Error('reset'));
	},
};

type EndCase = {
	readonly name: string;
	readonly isWritten: boolean;
	readonly write: keyof typeof writes;
	readonly isWritable?: boolean;
	readonly isComplete: boolean;
};

const endCases: readonly EndCase[] = [
	{
		name: 'a request that is not written', isWritten: false, write: 'queued', isComplete: false,
	},
	{
		name: 'a request that is not written, and a connection that is not writable', isWritten: false, write: 'queued', isWritable: false, isComplete: false,
	},
	{
		name: 'a request that is written', isWritten: true, write: 'sent', isComplete: true,
	},
	{
		name: 'a request that is written, and a connection that is not writable', isWritten: true, write: 'queued', isWritable: false, isComplete: true,
	},
	{
		name: 'a request that is written, and a reset', isWritten: true, write: 'failed', isComplete: false,
	},
];

describe('end of a response without framing', () => {
	for (const {name, isWritten, write, isWritable = true, isComplete} of endCases) {
		it(name, async () => {
			const socket = Object.assign(new EventEmitter(), {writable: isWritable, write: writes[write]}); // eslint-disable-line unicorn/prefer-event-target -- Node's own are emitters
			const request = Object.assign(new EventEmitter(), {method: 'POST', writableFinished: isWritten}) as unknown as ClientRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion, unicorn/prefer-event-target -- nothing else of it is read
			const response = { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- nothing else of it is read
				headers: {}, rawTrailers: [], statusCode: 200, complete: true, socket,
			} as unknown as IncomingMessage;
			watchEnd(request, response);
			socket.emit('end');
			const end = checkEnd(response, text.length);
			await (isComplete ? end : expect(end).toBeRejected());
		});
	}
});
