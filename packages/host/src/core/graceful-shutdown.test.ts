/** Guards against requests that are closed unread because they arrive right when a planned stop has found nothing in flight. */
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {CallerConnections} from '../front/caller-connections.js';
import {type Context} from './context.js';
import {shutDownGracefully} from './graceful-shutdown.js';

const local = '127.0.0.1';
const request = 'GET / HTTP/1.1\r\nHost: calls.example\r\n\r\n';

/** Connections on each of which a request arrives. */
const cases: ReadonlyArray<{readonly name: string; readonly isUsed: boolean; readonly count: number; readonly isLate?: boolean}> = [
	{name: 'an idle connection', isUsed: true, count: 1},
	{name: 'a new connection', isUsed: false, count: 1},
	{
		name: 'each of 20 connections that are not accepted yet', isUsed: false, count: 20, isLate: true,
	},
];

type Caller = {
	readonly write: () => void;
	readonly received: () => string;
	readonly closed: Promise<unknown>;
};

/** Opens a connection without waiting for it. */
function beginCaller(port: number): Caller & {readonly socket: Socket; readonly clear: () => void} {
	const socket = connect({host: local, port});
	let received = '';
	socket.setEncoding('utf8');
	socket.on('error', ignore);
	socket.on('data', (text: string) => {
		received += text;
	});
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	return {
		socket, write() {
			socket.write(request);
		}, received: () => received, closed, clear() {
			received = '';
		},
	};
}

async function openCaller(port: number, isUsed: boolean): Promise<Caller> {
	const caller = beginCaller(port);
	await once(caller.socket, 'connect');
	if (isUsed) {
		caller.write();
		await once(caller.socket, 'data');
	}

	caller.clear();
	return caller;
}

describe('a request that arrives when a planned stop finds nothing in flight', () => {
	for (const {name, isUsed, count, isLate} of cases) {
		it(`gets a response on ${name}`, {timeout: 30_000}, async () => {
			const open = new Set<ServerResponse>();
			const server = createServer((_request, response) => {
				open.add(response);
				response.once('close', () => {
					open.delete(response);
				});
				response.writeHead(503).end();
			});
			const connections = new CallerConnections(server);
			server.listen(0, local);
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			const callers = isLate ? [] : await Promise.all(Array.from({length: count}, async () => openCaller(port, isUsed)));
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the shutdown uses
			const context = {
				clock: systemClock, log: ignore, timeline: {record: ignore}, settings: {timing: {tickMs: 1, graceMs: 60_000}},
			} as unknown as Context;
			await shutDownGracefully({
				context,
				lookupTtlMs: () => 1,
				announceLeaving: ignore,
				refuseNewRequests() {
					callers.push(...Array.from({length: isLate ? count : 0}, () => beginCaller(port)));
					for (const {write} of callers) {
						write();
					}
				},
				countArrivals: () => connections.arrivals,
				countInFlight: () => open.size,
				rejectOpen: ignore,
			});
			await connections.close();
			await Promise.all(callers.map(async ({closed}) => closed));
			expect(callers.filter(({received}) => !received().startsWith('HTTP/1.1 503 ')).length).toEqual(0);
		});
	}
});

/** Grace period of these stops, in milliseconds, and when requests in flight are ended in it. */
const graceMs = 1500;
const breaksOffMs = 1250;

/** Requests that are in flight as a stop begins. */
const stuckCases: ReadonlyArray<{readonly name: string; readonly lookupTtlMs: number; readonly endsOnceRejected: boolean}> = [
	{name: 'a request that ends once it is rejected', lookupTtlMs: 1, endsOnceRejected: true},
	{name: 'a request that never ends', lookupTtlMs: 1, endsOnceRejected: false},
	{name: 'lookups that lapse behind it', lookupTtlMs: 20_000, endsOnceRejected: false},
];

// It waited without a bound, and the platform killed the process
describe('a planned stop ends within its grace period', () => {
	for (const {name, lookupTtlMs, endsOnceRejected} of stuckCases) {
		it(`beside ${name}`, {timeout: 30_000}, async () => {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the shutdown uses
			const context = {
				clock: systemClock, log: ignore, timeline: {record: ignore}, settings: {timing: {tickMs: 1, graceMs}},
			} as unknown as Context;
			let inFlight = 1;
			const rejections: number[] = [];
			const startedAt = performance.now();
			const tookMs = () => performance.now() - startedAt;
			await shutDownGracefully({
				context,
				lookupTtlMs: () => lookupTtlMs,
				announceLeaving: ignore,
				refuseNewRequests: ignore,
				countArrivals: () => 0,
				countInFlight: () => inFlight,
				rejectOpen() {
					rejections.push(tookMs());
					inFlight = endsOnceRejected ? 0 : 1;
				},
			});
			expect({isInTime: tookMs() < graceMs, rejections: rejections.map(at => at >= breaksOffMs - 1)}).toEqual({isInTime: true, rejections: [true]});
		});
	}
});
