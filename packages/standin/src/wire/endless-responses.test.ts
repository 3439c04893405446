/** Guards against responses without end, in a head or a body: memory that grows, requests that wait, and other requests that are held up. */
import process from 'node:process';
import {type Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {Store} from '@gatehead/platform/store';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {sendFlood, type Flood} from './flood.js';
import {responseReaders} from './response-readers.js';
import {sendPlaces, type SendPlace} from './send-places.js';
import {startScriptedEndpoint} from './scripted-endpoint.js';
import {startScriptedWorld, type CallKind, type ScriptedWorld} from './scripted-world.js';

const okStatus = 200;
/** Short, so that what ends with the route's timeout ends soon. */
const routeTimes = {timeoutMs: 2000, targetLatencyMs: 900};
/** Bytes of a flood that may leave the endpoint: the largest response that is accepted, and what the system buffers for a connection. */
const maxSentBytes = 24 * 1_048_576;
/** Growth of the buffers of this process, which holds host and endpoints: a third of the smallest host's memory. */
const maxGrowthBytes = 64 * 1_048_576;
const sampleIntervalMs = 10;
/** Time after which a client is given up, in milliseconds. */
const readTimeoutMs = 300;
/** Time after which a call that stands still fails, in milliseconds. */
const hangMs = 10_000;

/** Time after which a connection counts as left open, in milliseconds: several times the route's timeout. */
const closeTimeoutMs = 10_000;

/** Heads of responses as each place expects them; `OWN` stands for the request's id. */
const heads: Readonly<Record<CallKind, string>> = {
	run: 'HTTP/1.1 200 OK\r\nRequest-Id: OWN\r\nServer-Seal: seal\r\n',
	prefill: 'HTTP/1.1 200 OK\r\nRequest-Id: OWN\r\n',
	reservation: 'HTTP/1.1 200 OK\r\n',
	control: 'HTTP/1.1 200 OK\r\n',
};

const chunk = `400\r\n${'x'.repeat(1024)}\r\n`;

type Endless = {
	readonly name: string;
	readonly make: (head: string) => Flood;
};

const endless: readonly Endless[] = [
	{name: 'a status line', make: () => ({head: 'HTTP/1.1 200 ', repeated: 'x'})},
	{name: 'a header field', make: head => ({head: `${head}A: `, repeated: 'x'})},
	{name: 'header fields', make: head => ({head, repeated: 'A: b\r\n'})},
	{name: 'blank lines', make: () => ({head: '', repeated: '\r\n'})},
	{name: 'informational responses', make: () => ({head: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n'})},
	{name: 'chunks', make: head => ({head: `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: chunk})},
	{name: 'a body without framing', make: head => ({head: `${head}\r\n`, repeated: 'x'})},
	{name: 'a chunk extension', make: head => ({head: `${head}Transfer-Encoding: chunked\r\n\r\n5;`, repeated: 'x'})},
	{name: 'trailers', make: head => ({head: `${head}Transfer-Encoding: chunked\r\n\r\n0\r\n`, repeated: 'A: b\r\n'})},
	{name: 'bytes behind a body', make: head => ({head: `${head}Content-Length: 5\r\n\r\nwhole`, repeated: 'x'})},
	{name: 'the body of a rejection', make: head => ({head: `${head.replace('200 OK', '503 Busy')}Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`, repeated: chunk})},
];

/** An event without end, for streams. */
const endlessEvent: Endless = {
	name: 'an event', make: head => ({head: `${head}Content-Type: text/event-stream\r\n\r\n`, repeated: 'data: x\n'}),
};

const speeds = [{name: 'fast', isDrip: false}, {name: 'a byte at a time', isDrip: true}] as const;

/** Largest growth of the buffers of this process while `run` goes on, in bytes. */
async function measureGrowth(run: () => Promise<void>): Promise<number> {
	const before = process.memoryUsage().arrayBuffers;
	let peak = before;
	const timer = setInterval(() => {
		peak = Math.max(peak, process.memoryUsage().arrayBuffers);
	}, sampleIntervalMs);
	try {
		await run();
	} finally {
		clearInterval(timer);
	}

	return peak - before;
}

/** Whether a connection closes, now or soon. */
async function isClosed(socket: Socket | undefined): Promise<boolean> {
	if (socket === undefined || socket.destroyed) {
		return socket !== undefined;
	}

	return new Promise<boolean>(resolve => {
		const timer = setTimeout(resolve, closeTimeoutMs, false);
		socket.once('close', () => {
			clearTimeout(timer);
			resolve(true);
		});
	});
}

describe('responses without end', () => {
	let scripted: ScriptedWorld;
	let sent = 0;

	before(async () => {
		scripted = await startScriptedWorld({
			plain: 2, prefill: 1, decode: 2, routeTimes,
		});
	});

	after(async () => {
		await scripted.stop();
	});

	async function send(path: string) {
		sent += 1;
		return sendRequest({address: scripted.caller, id: `request-${sent}`, path});
	}

	async function check({kind, path}: SendPlace, {make}: Endless, isDrip: boolean): Promise<void> {
		await scripted.publish();
		let flooded: Socket | undefined;
		scripted.intercept = ({socket, id}, callKind) => {
			if (callKind !== kind || flooded !== undefined) {
				return false;
			}

			flooded = socket;
			sendFlood(socket, make(heads[kind].replace('OWN', id)), isDrip);
			return true;
		};

		const growth = await measureGrowth(async () => {
			const [disturbed, other] = await Promise.all([send(path), send(path)]);
			expect(disturbed.isGivenUp || other.isGivenUp).toEqual(false);
			expect([disturbed, other].some(({status}) => status === okStatus)).toEqual(true);
			expect(await isClosed(flooded)).toEqual(true);
		});
		expect(growth <= maxGrowthBytes).toEqual(true);
		expect((flooded?.bytesWritten ?? 0) <= maxSentBytes).toEqual(true);
		await scripted.publish();
		const {status} = await send(path);
		expect(status).toEqual(okStatus);
	}

	for (const place of sendPlaces) {
		for (const response of place.path === '/resumable/1' || (place.path === '/stream/1' && place.kind === 'run') ? [...endless, endlessEvent] : endless) {
			for (const {name, isDrip} of speeds.filter(speed => !speed.isDrip || place.isDripped === true)) {
				it(`${place.name} that gets ${response.name} without end, ${name}`, async () => check(place, response, isDrip));
			}
		}
	}
});

describe('responses without end to other clients', () => {
	for (const {name: reader, read} of responseReaders) {
		for (const {name, make} of endless) {
			for (const {name: speed, isDrip} of speeds) {
				it(`${reader} that gets ${name} without end, ${speed}`, async () => {
					let flooded: Socket | undefined;
					const endpoint = await startScriptedEndpoint(({socket}) => {
						flooded = socket;
						sendFlood(socket, make('HTTP/1.1 200 OK\r\n'), isDrip);
					});
					try {
						const growth = await measureGrowth(async () => {
							await read(endpoint.address, AbortSignal.timeout(readTimeoutMs)).catch(() => undefined);
							expect(await isClosed(flooded)).toEqual(true);
						});
						expect(growth <= maxGrowthBytes).toEqual(true);
						expect((flooded?.bytesWritten ?? 0) <= maxSentBytes).toEqual(true);
					} finally {
						endpoint.stop();
					}
				});
			}
		}
	}
});

describe('the directory rejects a call with a body without end', () => {
	it('the rejection ends the call before its timeout', async () => {
		const endpoint = await startScriptedEndpoint(({socket}) => {
			sendFlood(socket, {head: 'HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n', repeated: `400\r\n${'x'.repeat(0x4_00)}\r\n`}, false);
		});
		const store = new Store(endpoint.address);
		try {
			await expect(store.list(AbortSignal.timeout(hangMs))).toBeRejectedWith('status 503');
		} finally {
			store.close();
			endpoint.stop();
		}
	});
});
