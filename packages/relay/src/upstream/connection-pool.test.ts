/** Connections that become free while requests wait for one, over real connections. */
import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {
	ConnectionPool, preventReuse, setIdleTimeout, traceConnection,
} from './connection-pool.js';
import {exchange, readBody} from './exchange.js';

/** Larger than what the kernel buffers for a connection on the same machine. */
const bodyBytes = 16_777_216;
/** Time after which an endpoint reads the rest of a body, in milliseconds. */
const readDelayMs = 50;

function writeOk(body: string): string {
	return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

type Case = {
	readonly name: string;
	readonly body?: Uint8Array;
	/** How the endpoint responds to the first part of the first request. */
	readonly answer: (socket: Socket) => void;
	readonly idleMs: number;
	readonly isUnusable?: boolean;
	readonly requestId?: string;
	/** Connections that two requests and one that waits for them use. */
	readonly connections: number;
};

const cases: readonly Case[] = [
	{
		name: 'is used again', answer(socket) {
			socket.write(writeOk('first'));
		}, idleMs: 5000, connections: 1,
	},
	{
		name: 'is not used again if it is marked unusable', answer(socket) {
			socket.write(writeOk('first'));
		}, idleMs: 5000, isUnusable: true, connections: 2,
	},
	{
		// A caller would decide how much memory a connection takes
		name: 'is not used again if the ids that it has to remember are too long', answer(socket) {
			socket.write(writeOk('first'));
		}, idleMs: 5000, requestId: 'x'.repeat(10_000), connections: 2,
	},
	{
		name: 'is not used again if the endpoint keeps no idle connection', answer(socket) {
			socket.write(writeOk('first'));
		}, idleMs: 0, connections: 2,
	},
	{
		name: 'is not used again if the response came before the whole body was written', body: new Uint8Array(bodyBytes), answer(socket) {
			socket.pause();
			socket.write(writeOk('first'));
			setTimeout(() => {
				socket.resume();
			}, readDelayMs);
		}, idleMs: 5000, connections: 2,
	},
	{
		name: 'is not used again if another response follows at once', answer(socket) {
			socket.write(writeOk('first') + writeOk('surplus'));
		}, idleMs: 5000, connections: 2,
	},
];

/** An endpoint that answers the first request as given and all later ones soundly. */
async function listen(answer: Case['answer']): Promise<{readonly server: Server; readonly address: string; readonly connected: Socket[]}> {
	const connected: Socket[] = [];
	let isFirst = true;
	const server = createServer(socket => {
		connected.push(socket);
		const isFirstConnection = isFirst;
		socket.on('error', ignore);
		socket.on('data', (chunk: Uint8Array) => {
			if (isFirst) {
				isFirst = false;
				answer(socket);
			} else if (!isFirstConnection || Buffer.from(chunk).toString('latin1').includes('/later')) {
				socket.write(writeOk('later'));
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
	return {server, address: `127.0.0.1:${port}`, connected};
}

describe('a connection that becomes free while a request waits', () => {
	for (const {name, body, answer, idleMs, isUnusable = false, requestId = '', connections} of cases) {
		it(name, async () => {
			const {server, address, connected} = await listen(answer);
			const pool = new ConnectionPool(1, ignore);
			const earlier: number[] = [];
			const fetchBody = async (target: string, sent?: Uint8Array) => {
				const {response} = await exchange({
					address, method: 'POST', target, headers: ['Host', address, 'Content-Length', String(sent?.length ?? 0)], body: sent,
				}, pool, {
					clock: systemClock, connectMs: 2000, headMs: 2000, signal: new AbortController().signal, requestId: `${requestId}${target}`, verify: () => ({}), maySend(socket) {
						earlier.push(traceConnection(socket).earlierRequests);
						return true;
					},
				});
				setIdleTimeout(response.socket, idleMs);
				if (isUnusable && target === '/first') {
					preventReuse(response.socket);
				}

				return Buffer.from(await readBody(response, systemClock, {maxBytes: 1000})).toString('utf8');
			};

			try {
				const bodies = await Promise.all([fetchBody('/first', body), fetchBody('/later')]);
				expect(bodies).toEqual(['first', 'later']);
				expect(connected.length).toEqual(connections);
				expect(earlier).toEqual([0, connections === 1 ? 1 : 0]);
			} finally {
				pool.destroy();
				server.close();
				for (const socket of connected) {
					socket.destroy();
				}
			}
		});
	}
});

/** How an endpoint ends a kept connection right before the next request; the host has not read that. */
const closes: ReadonlyArray<{readonly name: string; readonly close: (socket: Socket) => void}> = [
	{
		name: 'closed', close(socket) {
			socket.destroy();
		},
	},
	{
		name: 'reset', close(socket) {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'closed behind surplus bytes', close(socket) {
			socket.write(writeOk('surplus'));
			socket.destroy();
		},
	},
];

// Guards against requests whose outcome is unknown although their connection was closed before they were written
describe('a request for which a kept connection is chosen that the endpoint has closed', () => {
	for (const {name, close} of closes) {
		it(`is answered on another one where it was ${name}`, async () => {
			const {server, address, connected} = await listen(socket => {
				socket.write(writeOk('first'));
			});
			const pool = new ConnectionPool(4, ignore);
			const fetchBody = async (target: string) => {
				const {response} = await exchange({
					address, method: 'POST', target, headers: ['Host', address, 'Content-Length', '0'], body: undefined,
				}, pool, {
					clock: systemClock, connectMs: 2000, headMs: 2000, signal: new AbortController().signal, verify: () => ({}),
				});
				setIdleTimeout(response.socket, 5000);
				return Buffer.from(await readBody(response, systemClock, {maxBytes: 1000})).toString('utf8');
			};

			try {
				const first = await fetchBody('/first');
				// The connection returns to the pool behind the end of its response
				while (!pool.hasIdle) {
					await nextTurn();
				}

				close(connected[0]!);
				const later = await fetchBody('/later');
				expect({first, later, connections: connected.length}).toEqual({first: 'first', later: 'later', connections: 2});
			} finally {
				pool.destroy();
				server.close();
				for (const socket of connected) {
					socket.destroy();
				}
			}
		});
	}
});
