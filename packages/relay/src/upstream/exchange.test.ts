/** Complete, truncated and duplicate responses, from raw sockets. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, Socket, type Server} from 'node:net';
import process from 'node:process';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {ConnectionPool, setIdleTimeout} from './connection-pool.js';
import {
	exchange, ExchangeError, readBody, type ExchangeFault,
} from './exchange.js';

type Case = {
	readonly name: string;
	/** How the endpoint responds to data. */
	readonly answer: (socket: Socket) => void;
	readonly body?: string;
	readonly error?: {readonly mayHaveBeenSent: boolean; readonly fault: ExchangeFault};
};

const head = 'HTTP/1.1 200 OK\r\n';

const cases: readonly Case[] = [
	{
		name: 'a response with a content length is complete', body: 'hello', answer(socket) {
			socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
		},
	},
	{
		name: 'a close-delimited response is complete', body: 'hello', answer(socket) {
			socket.end(`${head}\r\nhello`);
		},
	},
	{
		name: 'a close-delimited response that is reset is truncated', error: {mayHaveBeenSent: true, fault: 'reset'}, answer(socket) {
			socket.write(`${head}\r\nhel`);
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		},
	},
	{
		name: 'a close-delimited response whose reset arrives with the last bytes is truncated', error: {mayHaveBeenSent: true, fault: 'reset'}, answer(socket) {
			socket.write(`${head}\r\nhel`);
			socket.resetAndDestroy();
		},
	},
	{
		name: 'a response shorter than its content length is truncated', error: {mayHaveBeenSent: true, fault: 'reset'}, answer(socket) {
			socket.end(`${head}Content-Length: 9\r\n\r\nhello`);
		},
	},
	{
		name: 'a request may have run if the connection closes without a response', error: {mayHaveBeenSent: true, fault: 'reset'}, answer(socket) {
			socket.destroy();
		},
	},
	{
		name: 'a request may have run if the response is not HTTP', error: {mayHaveBeenSent: true, fault: 'reset'}, answer(socket) {
			socket.write('nonsense\r\n\r\n');
		},
	},
];

type ClosedCase = {
	readonly name: string;
	/** Closes the idle connection. */
	readonly close: (connections: ConnectionPool, socket: Socket) => Promise<void> | void;
};

const closedCases: readonly ClosedCase[] = [
	{
		name: 'an idle connection that the pool has closed', async close(connections, socket) {
			const closed = once(socket, 'close');
			connections.closeIdle(each => each === socket);
			await closed;
		},
	},
	{
		name: 'an idle connection that the pool is closing', close(connections, socket) {
			connections.closeIdle(each => each === socket);
		},
	},
	{
		name: 'an idle connection that delivered unsolicited bytes', async close(_connections, socket) {
			const closed = once(socket, 'close');
			// As they arrive
			socket.push('HTTP/1.1 200 OK\r\n\r\n');
			await closed;
		},
	},
	{
		name: 'an idle connection that the endpoint has just ended', async close(_connections, socket) {
			const ended = once(socket, 'end');
			// As the end of the bytes arrives
			socket.push(null);
			await ended;
		},
	},
	{
		name: 'an idle connection whose timeout has just expired', close(_connections, socket) {
			socket.emit('timeout');
		},
	},
];

const waitingCases = [
	{
		name: 'times out', connectMs: 50, abortMs: 10_000, fault: 'connect',
	},
	{
		name: 'is aborted', connectMs: 10_000, abortMs: 50, fault: 'aborted',
	},
] as const;

/** A pool whose connections are closed when a request is assigned to them. */
class ClosedPool extends ConnectionPool {
	override createConnection(): Socket {
		const socket = new Socket();
		socket.destroy();
		return socket;
	}
}

async function listen(answer: Case['answer']): Promise<{readonly server: Server; readonly address: string}> {
	const server = createServer(socket => {
		socket.on('error', () => {
			// The client may close the connection first
		});
		socket.on('data', () => {
			answer(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const bound = server.address();
	return {server, address: `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`};
}

/** Blocks the event loop, in milliseconds. */
function block(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Busy
	}
}

function createRequest(address: string) {
	return {
		address, method: 'GET', target: '/', headers: ['Host', address], body: undefined,
	};
}

function createOptions(signal = new AbortController().signal) {
	return {
		clock: systemClock, connectMs: 5000, headMs: 5000, signal, verify: () => ({}),
	};
}

async function fetchBody(address: string, connections: ConnectionPool): Promise<string> {
	const {response} = await exchange(createRequest(address), connections, createOptions());
	return Buffer.from(await readBody(response, systemClock, {maxBytes: 1000})).toString('utf8');
}

/** An endpoint that answers the first part of a request and reads no more of it. */
function answerUnread(socket: Socket): void {
	socket.pause();
	socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
}

type BodyCase = {
	readonly name: string;
	readonly releasesBody: boolean;
	/** Connections that are open after the response. */
	readonly open: number;
};

const bodyCases: readonly BodyCase[] = [
	{name: 'a body that the endpoint does not read stays with its connection', releasesBody: false, open: 1},
	{name: 'a body that the endpoint does not read is released with its connection after the response, if asked for', releasesBody: true, open: 0},
];

describe('request bodies', () => {
	/** Larger than what the kernel buffers for a connection on the same machine. */
	const bodyBytes = 16_777_216;

	for (const {name, releasesBody, open} of bodyCases) {
		it(name, async () => {
			const {server, address} = await listen(answerUnread);
			const connections = new ConnectionPool(2, ignore);
			try {
				const outgoing = {
					...createRequest(address), method: 'POST', headers: ['Host', address, 'Content-Length', String(bodyBytes)], body: new Uint8Array(bodyBytes),
				};
				const {response} = await exchange(outgoing, connections, {...createOptions(), releasesBody});
				expect(Buffer.from(await readBody(response, systemClock, {maxBytes: 1000})).toString('utf8')).toEqual('hello');
				await new Promise(resolve => {
					setTimeout(resolve, 50);
				});
				expect(connections.isConnected ? 1 : 0).toEqual(open);
			} finally {
				connections.destroy();
				server.close();
			}
		});
	}

	it('are not copied for attempts whose endpoints do not read them', async () => {
		const {server, address} = await listen(socket => {
			socket.pause();
		});
		const connections = new ConnectionPool(4, ignore);
		const controller = new AbortController();
		try {
			const outgoing = {
				...createRequest(address), method: 'POST', headers: ['Host', address, 'Content-Length', String(bodyBytes)], body: new Uint8Array(bodyBytes),
			};
			const {arrayBuffers} = process.memoryUsage();
			const attempts = Array.from({length: 4}, async () => exchange(outgoing, connections, createOptions(controller.signal)).catch(ignore));
			await new Promise(resolve => {
				setTimeout(resolve, 200);
			});
			// Less than one copy; what the endpoints' side has read is in this process, too
			expect(process.memoryUsage().arrayBuffers - arrayBuffers < bodyBytes / 4).toEqual(true);
			controller.abort();
			await Promise.all(attempts);
		} finally {
			connections.destroy();
			server.close();
		}
	});
});

describe('exchange', () => {
	for (const {name, answer, body, error} of cases) {
		it(name, async () => {
			const {server, address} = await listen(answer);
			const connections = new ConnectionPool(2, ignore);
			try {
				const result = await fetchBody(address, connections).catch((error_: unknown) => error_);
				if (error === undefined) {
					expect(result).toEqual(body);
				} else {
					expect(result instanceof ExchangeError && {mayHaveBeenSent: result.mayHaveBeenSent, fault: result.fault}).toEqual(error);
				}
			} finally {
				connections.destroy();
				server.close();
			}
		});
	}

	it('a response that arrives in time counts although this process is late', async () => {
		const {server, address} = await listen(socket => {
			socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
			// The timeout is over before the response is read
			block(150);
		});
		const connections = new ConnectionPool(1, ignore);
		try {
			const {response} = await exchange(createRequest(address), connections, {...createOptions(), headMs: 100});
			expect(Buffer.from(await readBody(response, systemClock, {maxBytes: 1000})).toString('utf8')).toEqual('hello');
		} finally {
			connections.destroy();
			server.close();
		}
	});

	it('a refused connection proves that nothing was sent', async () => {
		const {server, address} = await listen(() => {
			// Never called
		});
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		const result = await fetchBody(address, new ConnectionPool(2, ignore)).catch((error: unknown) => error);
		expect(result instanceof ExchangeError && result.mayHaveBeenSent).toEqual(false);
	});

	it('a connection whose idle timeout has passed is not reused, although this process is late', async () => {
		const sockets: Socket[] = [];
		const {server, address} = await listen(socket => {
			sockets.push(socket);
			socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
		});
		const connections = new ConnectionPool(1, ignore);
		try {
			await fetchBody(address, connections);
			await pause(20);
			expect(connections.hasIdle).toEqual(true);
			block(500);
			// The endpoint closes the connection, and neither that nor the timeout is processed before the next request
			sockets[0]?.destroy();
			expect(await fetchBody(address, connections)).toEqual('hello');
			expect(new Set(sockets).size).toEqual(2);
		} finally {
			connections.destroy();
			server.close();
		}
	});

	it('a connection with a duplicate response is not reused', async () => {
		let connected = 0;
		const {server, address} = await listen(socket => {
			connected += 1;
			socket.write(`${head}Content-Length: 5\r\n\r\nhello${head}Content-Length: 5\r\n\r\nwrong`);
		});
		const connections = new ConnectionPool(2, ignore);
		try {
			for (let time = 0; time < 2; time += 1) {
				const {response} = await exchange(createRequest(address), connections, createOptions());
				setIdleTimeout(response.socket, 5000);
				expect(Buffer.from(await readBody(response, systemClock, {maxBytes: 1000})).toString('utf8')).toEqual('hello');
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			expect(connected).toEqual(2);
		} finally {
			connections.destroy();
			server.close();
		}
	});

	for (const {name, close} of closedCases) {
		it(`${name} is not used for the next request`, {timeout: 5000}, async () => {
			const {server, address} = await listen(socket => {
				socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
			});
			const connections = new ConnectionPool(2, ignore);
			try {
				const responses = await Promise.all([1, 2].map(async () => exchange(createRequest(address), connections, createOptions())));
				for (const {response: {socket}} of responses) {
					setIdleTimeout(socket, 5000);
				}

				for (const {response} of responses) {
					await readBody(response, systemClock, {maxBytes: 1000});
				}

				await new Promise(resolve => {
					setImmediate(resolve);
				});
				const [first, last = new Socket()] = Object.values(connections.freeSockets).flat();
				await close(connections, last);
				expect(await fetchBody(address, connections)).toEqual('hello');
				expect([first?.destroyed, last.destroyed]).toEqual([false, true]);
			} finally {
				connections.destroy();
				server.close();
			}
		});
	}

	it('settles where the connection had closed before the request was assigned to it', {timeout: 5000}, async () => {
		const {server, address} = await listen(ignore);
		const connections = new ClosedPool(1, ignore);
		try {
			const result = await fetchBody(address, connections).catch((error: unknown) => error);
			expect(result instanceof ExchangeError && result.mayHaveBeenSent).toEqual(false);
		} finally {
			server.close();
		}
	});

	for (const {name, connectMs, abortMs, fault} of waitingCases) {
		it(`${name} while all connections are in use`, {timeout: 5000}, async () => {
			const {server, address} = await listen(ignore);
			const connections = new ConnectionPool(1, ignore);
			const controller = new AbortController();
			const first = exchange(createRequest(address), connections, createOptions()).catch(ignore);
			try {
				const waiting = exchange(createRequest(address), connections, {...createOptions(controller.signal), connectMs}).catch((error: unknown) => error);
				const timer = setTimeout(() => {
					controller.abort();
				}, abortMs);
				const result = await waiting;
				clearTimeout(timer);
				const error = result instanceof ExchangeError ? result : undefined;
				expect([error?.mayHaveBeenSent, error?.fault, error?.isLinkFailure]).toEqual([false, fault, false]);
			} finally {
				connections.destroy();
				await first;
				server.close();
			}
		});
	}

	it('a reused connection does not accumulate listeners', async () => {
		const {server, address} = await listen(socket => {
			socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
		});
		const connections = new ConnectionPool(1, ignore);
		const counts: number[] = [];
		try {
			for (let time = 0; time < 4; time += 1) {
				const {response} = await exchange(createRequest(address), connections, createOptions());
				const {socket} = response;
				setIdleTimeout(socket, 5000);
				await readBody(response, systemClock, {maxBytes: 1000});
				await new Promise(resolve => {
					setImmediate(resolve);
				});
				counts.push(socket.listenerCount('error'));
			}

			expect(new Set(counts).size).toEqual(1);
		} finally {
			connections.destroy();
			server.close();
		}
	});
});
