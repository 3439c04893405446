/** Guards against bodies of endpoints that are taken for complete although their connection failed. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	CallError, makeKeepAliveAgent, readText, sendCall, sendOnce,
} from './http-call.js';

const maxLength = 1000;
const head = 'HTTP/1.1 200 OK\r\n';

type Case = {
	readonly name: string;
	readonly text: string;
	readonly end: (socket: Socket) => void;
	/** Undefined: the body is truncated. */
	readonly body?: string;
};

const close = (socket: Socket) => {
	socket.end();
};

const reset = (socket: Socket) => {
	socket.resetAndDestroy();
};

const resetLater = (socket: Socket) => {
	setTimeout(() => {
		socket.resetAndDestroy();
	}, 10);
};

const cases: readonly Case[] = [
	{
		name: 'without framing, closed', text: `${head}\r\nhello`, end: close, body: 'hello',
	},
	{name: 'without framing, closed before its body', text: `${head}\r\n`, end: close},
	{
		name: 'with a length of zero', text: `${head}Content-Length: 0\r\n\r\n`, end: close, body: '',
	},
	{name: 'without framing, reset with the last bytes', text: `${head}\r\nhel`, end: reset},
	{name: 'without framing, reset later', text: `${head}\r\nhel`, end: resetLater},
	{name: 'shorter than its length', text: `${head}Content-Length: 9\r\n\r\nhello`, end: close},
	{name: 'without its last chunk', text: `${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`, end: close},
	{
		name: 'with its whole length', text: `${head}Content-Length: 5\r\n\r\nhello`, end: close, body: 'hello',
	},
];

const senders = {
	'over a pooled connection': sendCall,
	'over a new connection': async (call: Parameters<typeof sendOnce>[0]) => sendOnce(call, () => true),
} as const;

describe('http calls', () => {
	for (const [how, send] of Object.entries(senders)) {
		for (const {name, text, end, body} of cases) {
			it(`a response ${name}, ${how}, is ${body === undefined ? 'truncated' : 'complete'}`, async () => {
				let connections = 0;
				const server = createServer(socket => {
					connections += 1;
					socket.on('error', () => {
						// The caller may close the connection first
					});
					socket.once('data', () => {
						socket.write(text);
						end(socket);
					});
				});
				await new Promise<void>(resolve => {
					server.listen(0, '127.0.0.1', resolve);
				});
				const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
				const agent = makeKeepAliveAgent();
				try {
					const call = {address: `127.0.0.1:${port}`, method: 'GET', path: '/'};
					const result = await send(call, agent).then(async response => readText(response, maxLength)).catch((error: unknown) => error);
					expect(body === undefined ? result instanceof Error && (!(result instanceof CallError) || result.mayHaveBeenSent) : result === body).toEqual(true);
					// A call that is checked on one connection must not go out on another
					expect(connections).toEqual(1);
				} finally {
					agent.destroy();
					server.close();
				}
			});
		}
	}
});
