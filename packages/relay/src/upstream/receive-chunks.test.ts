/** Guards against losing what arrived before a reset while the reader was busy. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {receiveChunks} from '@gatehead/host/utils/receive-chunks';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {ConnectionPool} from './connection-pool.js';
import {exchange} from './exchange.js';

const pauseMs = 20;
const head = 'HTTP/1.1 200 OK\r\n';
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;

type Case = {
	readonly name: string;
	/** Written with a pause behind each; then the connection ends. */
	readonly writes: readonly string[];
	readonly end: (socket: Socket) => void;
	readonly body: string;
	readonly fails: boolean;
};

const reset = (socket: Socket) => {
	socket.resetAndDestroy();
};

const close = (socket: Socket) => {
	socket.end();
};

const cases: readonly Case[] = [
	{
		name: 'chunks that arrive before a reset', writes: [`${chunked}1\r\na\r\n`, '1\r\nb\r\n'], end: reset, body: 'ab', fails: true,
	},
	{
		name: 'bytes without framing that arrive before a reset', writes: [`${head}\r\na`, 'b'], end: reset, body: 'ab', fails: true,
	},
	{
		name: 'chunks without the last one', writes: [`${chunked}1\r\na\r\n`, '1\r\nb\r\n'], end: close, body: 'ab', fails: true,
	},
	{
		name: 'a head without framing', writes: [`${head}\r\n`], end: close, body: '', fails: true,
	},
	{
		name: 'a head with a length of zero', writes: [`${head}Content-Length: 0\r\n\r\n`], end: close, body: '', fails: false,
	},
	{
		name: 'a head of a status without a body', writes: ['HTTP/1.1 204 None\r\n\r\n'], end: close, body: '', fails: false,
	},
	{
		name: 'bytes without framing that arrive before a close', writes: [`${head}\r\na`, 'b'], end: close, body: 'ab', fails: false,
	},
	{
		name: 'a complete response', writes: [`${chunked}1\r\na\r\n`, '1\r\nb\r\n0\r\n\r\n'], end: close, body: 'ab', fails: false,
	},
];

async function receiveSlowly(response: IncomingMessage): Promise<{readonly body: string; readonly fails: boolean}> {
	let body = '';
	try {
		for await (const chunk of receiveChunks(response)) {
			body += Buffer.from(chunk).toString('utf8');
			await pause(5 * pauseMs);
		}

		return {body, fails: false};
	} catch {
		return {body, fails: true};
	}
}

describe('received chunks', () => {
	for (const {name, writes, end, body, fails} of cases) {
		it(`${name} all reach a slow reader`, async () => {
			const server = createServer(socket => {
				socket.on('error', () => {
					// The test closes its side first
				});
				socket.once('data', () => {
					void (async () => {
						for (const text of writes) {
							socket.write(text);
							await pause(pauseMs);
						}

						end(socket);
					})();
				});
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			const address = `127.0.0.1:${port}`;
			const connections = new ConnectionPool(1, ignore);
			try {
				const {response} = await exchange({
					address, method: 'GET', target: '/', headers: ['Host', address], body: undefined,
				}, connections, {
					clock: systemClock, connectMs: 5000, headMs: 5000, signal: new AbortController().signal, verify: () => ({}),
				});
				expect(await receiveSlowly(response)).toEqual({body, fails});
			} finally {
				connections.destroy();
				server.close();
			}
		});
	}
});
