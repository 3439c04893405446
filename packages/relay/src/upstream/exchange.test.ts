/** What an exchange says of answers that are whole, cut or doubled, against raw sockets. */
import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {Connections, noteRest} from './connections.js';
import {
	exchange, ExchangeError, readBody, type ExchangeFault,
} from './exchange.js';

type Case = {
	readonly name: string;
	/** What the endpoint does once a request has come. */
	readonly answer: (socket: Socket) => void;
	readonly body?: string;
	readonly error?: {readonly left: boolean; readonly fault: ExchangeFault};
};

const head = 'HTTP/1.1 200 OK\r\n';

const cases: readonly Case[] = [
	{
		name: 'an answer with its length is whole', body: 'hello', answer(socket) {
			socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
		},
	},
	{
		name: 'an answer without a length that ends with its connection is whole', body: 'hello', answer(socket) {
			socket.end(`${head}\r\nhello`);
		},
	},
	{
		name: 'an answer without a length that is reset is cut', error: {left: true, fault: 'reset'}, answer(socket) {
			socket.write(`${head}\r\nhel`);
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		},
	},
	{
		name: 'an answer without a length whose reset comes with its last bytes is cut', error: {left: true, fault: 'reset'}, answer(socket) {
			socket.write(`${head}\r\nhel`);
			socket.resetAndDestroy();
		},
	},
	{
		name: 'an answer shorter than its length is cut', error: {left: true, fault: 'reset'}, answer(socket) {
			socket.end(`${head}Content-Length: 9\r\n\r\nhello`);
		},
	},
	{
		name: 'a connection that closes without an answer may have run the request', error: {left: true, fault: 'reset'}, answer(socket) {
			socket.destroy();
		},
	},
	{
		name: 'bytes that are no answer may have run the request', error: {left: true, fault: 'reset'}, answer(socket) {
			socket.write('nonsense\r\n\r\n');
		},
	},
];

async function listen(answer: Case['answer']): Promise<{readonly server: Server; readonly address: string}> {
	const server = createServer(socket => {
		socket.on('error', () => {
			// The other side may have gone first
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

function order(address: string) {
	return {
		address, method: 'GET', target: '/', headers: ['Host', address], body: undefined,
	};
}

function limits(signal = new AbortController().signal) {
	return {
		clock: systemClock, connectMs: 5000, headMs: 5000, signal,
	};
}

async function play(address: string, connections: Connections): Promise<string> {
	const response = await exchange(order(address), connections, limits());
	return Buffer.from(await readBody(response, 1000)).toString('utf8');
}

describe('exchange', () => {
	for (const {name, answer, body, error} of cases) {
		it(name, async () => {
			const {server, address} = await listen(answer);
			const connections = new Connections(2, ignore);
			try {
				const result = await play(address, connections).catch((error_: unknown) => error_);
				if (error === undefined) {
					expect(result).toEqual(body);
				} else {
					expect(result instanceof ExchangeError && {left: result.left, fault: result.fault}).toEqual(error);
				}
			} finally {
				connections.destroy();
				server.close();
			}
		});
	}

	it('a connection that cannot be had proves that nothing left', async () => {
		const {server, address} = await listen(() => {
			// Never asked
		});
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		const result = await play(address, new Connections(2, ignore)).catch((error: unknown) => error);
		expect(result instanceof ExchangeError && result.left).toEqual(false);
	});

	it('a connection on which a second answer comes is not used again', async () => {
		let connected = 0;
		const {server, address} = await listen(socket => {
			connected += 1;
			socket.write(`${head}Content-Length: 5\r\n\r\nhello${head}Content-Length: 5\r\n\r\nwrong`);
		});
		const connections = new Connections(2, ignore);
		try {
			for (let time = 0; time < 2; time += 1) {
				const response = await exchange(order(address), connections, limits());
				noteRest(response.socket, 5000);
				expect(Buffer.from(await readBody(response, 1000)).toString('utf8')).toEqual('hello');
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

	it('a connection that is used often gathers no listeners', async () => {
		const {server, address} = await listen(socket => {
			socket.write(`${head}Content-Length: 5\r\n\r\nhello`);
		});
		const connections = new Connections(1, ignore);
		const counts: number[] = [];
		try {
			for (let time = 0; time < 4; time += 1) {
				const response = await exchange(order(address), connections, limits());
				const {socket} = response;
				noteRest(socket, 5000);
				await readBody(response, 1000);
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
