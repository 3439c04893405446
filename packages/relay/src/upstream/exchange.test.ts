/** Complete, truncated and duplicate responses, from raw sockets. */
import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
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
