/** Guards against connections that a host closes while a caller may still use them. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {
	connect, type AddressInfo, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn, setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {CallerConnections} from './caller-connections.js';

const address = '127.0.0.1';
const request = 'GET / HTTP/1.1\r\nHost: calls.example\r\n\r\n';
/** Parts of its head. */
const firstBytes = request.slice(0, 20);
const lastBytes = request.slice(firstBytes.length);
const idleMs = 300;
/** Node closes an idle connection up to this much after the timeout, in milliseconds. */
const marginMs = 1000;
const closedMs = idleMs + marginMs;
/** Longer than timers are late, in milliseconds. */
const lateMs = 700;
/** Time in which a part of a request is read, in milliseconds. */
const partMs = 20;
/** A test that waits for a closed connection ends, in milliseconds. */
const hangMs = 10_000;

/** Blocks the event loop, as a busy host does. */
function block(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

type Case = {
	readonly name: string;
	/** Runs while the connection is idle, after its first response. */
	readonly rest: (server: Server, caller: Socket, connections: CallerConnections) => Promise<void>;
	/** Bytes that follow; absent: a whole request. */
	readonly last?: string;
	readonly isAnswered: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'within the idle timeout', rest: async () => pause(idleMs / 2), isAnswered: true,
	},
	{
		name: 'after the idle timeout', rest: async () => pause(closedMs + lateMs), isAnswered: false,
	},
	{
		name: 'after the earlier idle timeout, within a longer one that was set meanwhile',
		async rest(server) {
			server.keepAliveTimeout = 10 * closedMs;
			await pause(closedMs + lateMs);
		},
		isAnswered: true,
	},
	{
		name: 'after a longer idle timeout that was set meanwhile',
		async rest(server) {
			server.keepAliveTimeout = idleMs + 1;
			await pause(2 * (closedMs + lateMs));
		},
		isAnswered: false,
	},
	{
		name: 'that arrives within the idle timeout, at a host that is blocked until after it',
		async rest(_server, caller) {
			await pause(closedMs / 4);
			// Timers that fall due run before the next read only if the loop is blocked after its last one
			await nextTurn();
			caller.write(request);
			block(closedMs);
		},
		isAnswered: true,
	},
	{
		name: 'whose last bytes arrive within the idle timeout, at a host that is blocked until after it',
		async rest(_server, caller) {
			caller.write(firstBytes);
			await pause(closedMs / 4);
			await nextTurn();
			caller.write(lastBytes);
			block(closedMs);
		},
		isAnswered: true,
	},
	{
		name: 'after idle connections are closed',
		async rest(_server, _caller, connections) {
			connections.closeIdle();
			await nextTurn();
			await nextTurn();
		},
		isAnswered: false,
	},
	{
		name: 'that arrives before idle connections are closed, at a host that is blocked until after it',
		async rest(_server, caller, connections) {
			setTimeout(() => {
				connections.closeIdle();
			}, 1);
			await nextTurn();
			caller.write(request);
			block(lateMs);
		},
		isAnswered: true,
	},
	{
		name: 'of which a part has arrived when idle connections are closed',
		async rest(_server, caller, connections) {
			caller.write(firstBytes);
			await pause(partMs);
			connections.closeIdle();
			await pause(partMs);
		},
		last: lastBytes,
		isAnswered: true,
	},
];

describe('idle connections of callers', () => {
	for (const {name, rest, last = request, isAnswered} of cases) {
		it(`a request ${name} is ${isAnswered ? '' : 'not '}answered`, {timeout: hangMs}, async () => {
			const server = createServer({keepAliveTimeout: idleMs}, (_request, response) => {
				response.end('answer');
			});
			const connections = new CallerConnections(server);
			server.listen(0, address);
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			const caller = connect(port, address);
			caller.on('error', () => {
				// A request on a closed connection fails
			});
			try {
				caller.write(request);
				await once(caller, 'data');
				const isServed = new Promise<boolean>(resolve => {
					caller.once('data', () => {
						resolve(true);
					});
					caller.once('close', () => {
						resolve(false);
					});
				});
				await rest(server, caller, connections);
				if (!caller.destroyed) {
					caller.write(last);
				}

				expect(await isServed).toEqual(isAnswered);
			} finally {
				caller.destroy();
				await connections.close();
			}
		});
	}
});

describe('responses to callers that disconnect', () => {
	it('all are closed, also those behind one that is not complete', {timeout: hangMs}, async () => {
		let pending = 0;
		const server = createServer((_request, response) => {
			pending += 1;
			response.once('close', () => {
				pending -= 1;
			});
		});
		const connections = new CallerConnections(server);
		server.listen(0, address);
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
		const caller = connect(port, address);
		try {
			const [connection] = await once(server, 'connection') as [Socket]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the event's parameter
			const closed = once(connection, 'close');
			const received = once(server, 'request');
			caller.write(request.repeat(3));
			await received;
			expect(pending).toEqual(3);
			caller.destroy();
			await closed;
			await nextTurn();
			expect(pending).toEqual(0);
		} finally {
			caller.destroy();
			await connections.close();
		}
	});
});
