/** A caller that does not read must hold back its endpoint, but neither lose its stream to a pause nor fill the memory. */
import {once} from 'node:events';
import {
	createServer, get, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {receiveChunks} from '@gatehead/host/utils/receive-chunks';
import {type LogFields} from '@gatehead/host/utils/log';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {Reply} from '../front/reply.js';
import {UnreadLimiter} from '../front/unread-limiter.js';
import {EventForwarder} from './event-forwarder.js';

const eventBytes = 65_536;
/** Larger than what the kernel buffers on both connections. */
const eventCount = 256;
const mebibyte = 1_048_576;
/** Longest pause, in milliseconds. */
const pauseMs = 1000;
/** Interval at which a stream is observed, in milliseconds, and observations without a change after which it stands still. */
const observationMs = 10;
const unchangedObservations = 20;
/** Time after which a case that stands still fails, in milliseconds. */
const timeout = 60_000;
const event = `data: ${'x'.repeat(eventBytes - 8)}\n\n`;

const servers: Server[] = [];
const sockets: Socket[] = [];

async function listen(handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<number> {
	const server = createServer((request, response) => {
		response.on('error', ignore);
		handle(request, response);
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server
	return bound.port;
}

/** An endpoint that streams events as fast as they are read. */
class Endpoint {
	/** Longest time for which a write waited, in milliseconds. */
	longestWaitMs = 0;
	isCut = false;
	/** Resolves when the response has been read or is cut. */
	readonly ended: Promise<void>;
	readonly #clock: ManualClock;
	#onEnd: () => void = ignore;

	constructor(clock: ManualClock) {
		this.#clock = clock;
		this.ended = new Promise(resolve => {
			this.#onEnd = resolve;
		});
	}

	async stream(response: ServerResponse): Promise<void> {
		response.once('close', () => {
			this.isCut = !response.writableFinished;
			this.#onEnd();
		});
		response.writeHead(200, {'Content-Type': 'text/event-stream'});
		for (let index = 0; index < eventCount && !response.destroyed; index += 1) {
			if (!response.write(event)) {
				const startedAt = this.#clock.now();
				await Promise.race([new Promise<void>(resolve => {
					response.once('drain', resolve);
				}), this.ended]);
				this.longestWaitMs = Math.max(this.longestWaitMs, this.#clock.now() - startedAt);
			}
		}

		response.end();
	}
}

/** A relay that forwards one endpoint's stream, as a generation does. */
class Forwarding {
	readonly clock = new ManualClock();
	readonly endpoint = new Endpoint(this.clock);
	readonly closed: LogFields[] = [];
	readonly pauses: string[] = [];
	mostBytes = 0;
	port = 0;
	#receivedBytes = 0;
	#reply: Reply | undefined;

	async start(isLoadManaged: boolean, maxUnreadBytes: number): Promise<void> {
		const endpointPort = await listen((_request, response) => {
			void this.endpoint.stream(response);
		});
		const limiter = new UnreadLimiter({
			context: {
				clock: this.clock,
				log: (_code, fields = {}) => {
					this.closed.push(fields);
				},
				metrics: {
					add: (name, labels) => {
						if (name === 'unreadPauses') {
							this.pauses.push(labels?.outcome ?? '');
						}
					},
				},
				settings: {limits: {unreadTotalBytes: 64 * mebibyte}},
			},
			isLoadManaged: () => isLoadManaged,
		});
		this.port = await listen((_request, response) => {
			const controller = new AbortController();
			response.once('close', () => {
				controller.abort();
			});
			const reply = new Reply(response, () => this.clock.now(), () => true);
			this.#reply = reply;
			limiter.watch({
				id: 'r', reply, service: {name: 'm'}, workspace: undefined,
			});
			get({
				host: '127.0.0.1', port: endpointPort, agent: false, signal: controller.signal,
			}, source => {
				void this.#forward(source, reply, maxUnreadBytes, controller.signal).catch(ignore);
			}).on('error', ignore);
		});
	}

	async connect(): Promise<Socket> {
		const socket = connect(this.port, '127.0.0.1');
		sockets.push(socket);
		socket.on('error', ignore);
		await once(socket, 'connect');
		socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
		return socket;
	}

	/** Resolves once reading from the endpoint is paused and the kernel takes no more of what was forwarded. */
	async standstill(): Promise<void> {
		let last = '';
		for (let unchanged = 0; unchanged < unchangedObservations;) {
			await sleep(observationMs);
			const isPaused = this.clock.nextAt() !== undefined;
			const observed = `${this.#receivedBytes} ${this.#reply?.bufferedBytes}`;
			unchanged = isPaused && observed === last ? unchanged + 1 : 0;
			last = observed;
		}
	}

	async #forward(source: IncomingMessage, reply: Reply, maxUnreadBytes: number, signal: AbortSignal): Promise<void> {
		const events = new EventForwarder(reply, this.clock, maxUnreadBytes);
		for await (const chunk of receiveChunks(source)) {
			this.#receivedBytes += chunk.length;
			events.forward(source, chunk, '');
			this.mostBytes = Math.max(this.mostBytes, reply.bufferedBytes);
			if (events.needsPause) {
				await events.pause(source, signal);
			}
		}

		events.finish(source, '');
	}
}

/** Reads a response to its end; resolves with the bytes of its events. */
async function readEventBytes(socket: Socket): Promise<number> {
	const response = await text(socket);
	const body = response.slice(response.indexOf('\r\n\r\n'));
	return body.replaceAll(/[^x]/gv, '').length;
}

describe('streams that callers do not read', () => {
	afterEach(() => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		for (const server of servers.splice(0)) {
			server.closeAllConnections();
			server.close();
		}
	});

	it('holds back the endpoint of a caller that reads slowly, and delivers the whole stream', {timeout}, async () => {
		const forwarding = new Forwarding();
		await forwarding.start(true, mebibyte);
		const socket = await forwarding.connect();
		await forwarding.standstill();
		expect(await readEventBytes(socket)).toEqual(eventCount * (eventBytes - 8));
		expect(forwarding.mostBytes < mebibyte).toEqual(true);
		expect([forwarding.closed.length, forwarding.pauses.includes('read')]).toEqual([0, true]);
	});

	it('reads on from the endpoint after 1 s, before it closes the response', {timeout}, async () => {
		const forwarding = new Forwarding();
		await forwarding.start(true, 64 * mebibyte);
		const socket = await forwarding.connect();
		await forwarding.standstill();
		forwarding.clock.advance(pauseMs - 1);
		await forwarding.standstill();
		expect(forwarding.pauses.includes('unread')).toEqual(false);
		forwarding.clock.advance(1);
		await forwarding.endpoint.ended;
		expect([forwarding.endpoint.isCut, forwarding.endpoint.longestWaitMs]).toEqual([false, pauseMs]);
		expect(await readEventBytes(socket)).toEqual(eventCount * (eventBytes - 8));
		expect(forwarding.pauses.filter(each => each === 'unread')).toEqual(['unread']);
	});

	it('closes a caller that reads nothing beyond the bound of one connection, and its endpoint', {timeout}, async () => {
		const forwarding = new Forwarding();
		await forwarding.start(true, mebibyte);
		await forwarding.connect();
		await forwarding.standstill();
		expect(forwarding.closed.length).toEqual(0);
		forwarding.clock.advance(pauseMs);
		await forwarding.endpoint.ended;
		expect(forwarding.closed.map(({bound, request}) => [bound, request])).toEqual([['connection', 'r']]);
		expect(forwarding.mostBytes < 2 * mebibyte).toEqual(true);
		expect(forwarding.endpoint.isCut).toEqual(true);
	});

	it('neither pauses nor closes the caller where load is not managed, but ends the endpoint\'s response', {timeout}, async () => {
		const forwarding = new Forwarding();
		await forwarding.start(false, mebibyte);
		await forwarding.connect();
		await forwarding.endpoint.ended;
		expect([forwarding.pauses.length, forwarding.closed.length, forwarding.endpoint.isCut]).toEqual([0, 0, true]);
	});
});
