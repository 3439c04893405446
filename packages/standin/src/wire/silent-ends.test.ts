/** Guards against complete responses without framing that are given up because their endpoint pauses as they end, against truncated ones that pass for complete, and against pauses that count as crashes. */
import {setTimeout as wait} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest, type CallerAnswer} from './client.js';
import {PausedEndpoint} from './paused-endpoint.js';
import {
	startScriptedEndpoint, writeResponse, type ScriptedCall, type ScriptedEndpoint,
} from './scripted-endpoint.js';
import {bodyOf, streamOf} from './scripted-world.js';
import {
	makeEntry, patientTimes, startWorld, until, type World,
} from './world.js';

/** Time for which an endpoint pauses, in milliseconds. */
const pauseMs = 1500;
/** Deadline of requests whose endpoint does not go on, in milliseconds. */
const shortDeadlineMs = 2500;
const longDeadlineMs = 15_000;
/** Time after which two crashes count as two, in milliseconds, and more. */
const separateCrashMs = 400;
/** Retries that the host may send: more than any case needs. */
const retryAllowance = 1000;

const head = 'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: seal\r\n';
const plainHead = `${head}\r\n`;
const streamHead = `${head}Content-Type: text/event-stream\r\n\r\n`;
const wholeStream = streamOf('ID');
const firstEvent = wholeStream.slice(0, -streamOf('ID', 1).length);

/** What follows the end of the response. */
type Sequel = 'goesOn' | 'crashes' | 'staysPaused' | 'isRemoved';

type Case = {
	readonly name: string;
	readonly path: string;
	readonly response: string;
	readonly isQueueFull: boolean;
	readonly sequel: Sequel;
	/** Whether another endpoint serves the request as well. */
	readonly hasOther?: boolean;
	/** Whether the caller gets the response; otherwise it sees that it got none. */
	readonly isServed: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a complete plain response, the kernel accepts connections', path: '/once/1', response: plainHead + bodyOf('ID'), isQueueFull: false, sequel: 'goesOn', isServed: true,
	},
	{
		name: 'a complete plain response', path: '/once/1', response: plainHead + bodyOf('ID'), isQueueFull: true, sequel: 'goesOn', isServed: true,
	},
	{
		name: 'a complete plain response to a request that may be repeated', path: '/repeatable/1', response: plainHead + bodyOf('ID'), isQueueFull: true, sequel: 'goesOn', isServed: true,
	},
	{
		name: 'a complete plain response to such a request, with another endpoint', path: '/repeatable/1', response: plainHead + bodyOf('ID'), isQueueFull: true, sequel: 'staysPaused', hasOther: true, isServed: true,
	},
	{
		name: 'a complete stream, the kernel accepts connections', path: '/stream/1', response: streamHead + wholeStream, isQueueFull: false, sequel: 'goesOn', isServed: true,
	},
	{
		name: 'a complete stream', path: '/stream/1', response: streamHead + wholeStream, isQueueFull: true, sequel: 'goesOn', isServed: true,
	},
	{
		name: 'a complete resumable stream', path: '/resumable/1', response: streamHead + wholeStream, isQueueFull: true, sequel: 'goesOn', isServed: true,
	},
	{
		name: 'a part of a resumable stream, with another endpoint', path: '/resumable/1', response: streamHead + firstEvent, isQueueFull: true, sequel: 'staysPaused', hasOther: true, isServed: true,
	},
	{
		name: 'a part of a resumable stream and a crash, with another endpoint', path: '/resumable/1', response: streamHead + firstEvent, isQueueFull: true, sequel: 'crashes', hasOther: true, isServed: true,
	},
	{
		name: 'a part of a plain response and a crash', path: '/once/1', response: `${plainHead}ans`, isQueueFull: true, sequel: 'crashes', isServed: false,
	},
	{
		name: 'a part of a stream and a crash', path: '/stream/1', response: streamHead + firstEvent, isQueueFull: true, sequel: 'crashes', isServed: false,
	},
	{
		name: 'a part of a stream, silent until its entry is removed', path: '/stream/1', response: streamHead + firstEvent, isQueueFull: true, sequel: 'isRemoved', isServed: false,
	},
	{
		name: 'a part of a plain response, silent until the deadline', path: '/once/1', response: `${plainHead}ans`, isQueueFull: true, sequel: 'staysPaused', isServed: false,
	},
	{
		name: 'a part of a stream, silent until the deadline', path: '/stream/1', response: streamHead + firstEvent, isQueueFull: true, sequel: 'staysPaused', isServed: false,
	},
];

type Endpoints = {
	readonly paused: readonly PausedEndpoint[];
	/** A sound endpoint; absent: there is none. */
	readonly other?: ScriptedEndpoint;
};

function answerSoundly({target, id, headers, socket}: ScriptedCall): void {
	const stream = streamOf(id, Number(headers.get('last-event-id') ?? 0));
	const isPlain = target.startsWith('/once') || target.startsWith('/repeatable');
	socket.write(target.startsWith('/api/')
		? writeResponse(200, {}, JSON.stringify({hold: 'hold'}))
		: writeResponse(200, {'Request-Id': id, 'Server-Seal': 'seal', ...(isPlain ? {} : {'Content-Type': 'text/event-stream'})}, isPlain ? bodyOf(id) : stream));
}

/** Writes the entry of an endpoint, and waits until the host uses it. */
async function publish({store, relays}: World, id: string, address: string, stage: 'decode' | undefined): Promise<void> {
	store.put(`servers/${id}`, makeEntry({
		address, stage, slots: 8, born: 1, softwareVersion: undefined,
	}, 'ready'));
	await until(() => relays.every(({relay}) => relay.endpoints.book.isReady(`${id}@1`)));
}

/** Runs a test before a host whose endpoints it publishes, and ends all of them. */
async function play({paused, other}: Endpoints, run: (world: World) => Promise<void>): Promise<void> {
	const world = await startWorld({
		hosts: 1, plain: 0, prefill: 0, decode: 0, slots: 8, routeTimes: patientTimes, retryAllowance,
	});
	try {
		await run(world);
	} finally {
		await world.stop();
		other?.stop();
		await Promise.all(paused.map(async endpoint => endpoint.kill()));
	}
}

const sequels: Readonly<Record<Sequel, (endpoint: PausedEndpoint, world: World) => Promise<void>>> = {
	async goesOn(endpoint) {
		await wait(pauseMs);
		endpoint.goOn();
	},
	async crashes(endpoint) {
		await wait(pauseMs);
		await endpoint.kill();
	},
	async staysPaused() {
		// The host hears nothing more
	},
	async isRemoved(_endpoint, {store}) {
		// An endpoint whose entry is removed before its response ends has left as planned
		await wait(pauseMs);
		store.remove('servers/paused');
	},
};

function isComplete({status, isWhole, body}: CallerAnswer, path: string, id: string): boolean {
	const isPlain = path.startsWith('/once') || path.startsWith('/repeatable');
	return status === 200 && isWhole && body === (isPlain ? bodyOf(id) : streamOf(id));
}

function isRefusedOrCut({status, isWhole}: CallerAnswer): boolean {
	return status === 200 ? !isWhole : status >= 500;
}

describe('an endpoint that pauses as its response without framing ends', {concurrency: 4}, () => {
	for (const {name, path, response, isQueueFull, sequel, hasOther = false, isServed} of cases) {
		it(`${name}: ${isServed ? 'the caller gets the response' : 'the caller sees no complete response'}`, async () => {
			const stage = path.startsWith('/stream') || path.startsWith('/resumable') ? 'decode' : undefined;
			const paused = await PausedEndpoint.start({stage, response, isQueueFull});
			const other = hasOther ? await startScriptedEndpoint(answerSoundly) : undefined;
			await play({paused: [paused], ...(other === undefined ? {} : {other})}, async world => {
				await publish(world, 'paused', paused.address, stage);
				const id = 'ended';
				const answer = sendRequest({
					address: world.relays[0]?.caller ?? '', id, path, headers: {'Deadline-Ms': String(sequel === 'staysPaused' && !hasOther ? shortDeadlineMs : longDeadlineMs)},
				});
				await until(() => paused.runs.length > 0);
				if (other !== undefined) {
					await publish(world, 'other', other.address, stage);
				}

				await until(() => paused.isClosed);
				await sequels[sequel](paused, world);
				const received = await answer;
				expect({...received, isExpected: isServed ? isComplete(received, path, id) : isRefusedOrCut(received)}).toEqual({...received, isExpected: true});
				expect(paused.runs).toEqual([id]);
			});
		});
	}

	// A content that two endpoints seem to have crashed on is rejected for a minute
	for (const {name, goesOn} of [
		{name: 'two pauses as connections close do not count as crashes by the content of the request', goesOn: true},
		{name: 'two endpoints that stay silent as connections close count as crashed', goesOn: false},
	]) {
		it(name, async () => {
			const paused = await Promise.all([1, 2].map(async () => PausedEndpoint.start({stage: undefined, response: '', isQueueFull: true})));
			const other = await startScriptedEndpoint(answerSoundly);
			await play({paused, other}, async world => {
				const [host] = world.relays;
				const send = async (id: string) => sendRequest({
					address: host?.caller ?? '', id, path: '/once/1', headers: {'Deadline-Ms': String(longDeadlineMs)},
				});
				for (const [index, endpoint] of paused.entries()) {
					await publish(world, `paused-${index}`, endpoint.address, undefined);
					const {status} = await send(`lost-${index}`);
					expect(status).toEqual(502);
					await until(() => endpoint.isClosed);
					await wait(separateCrashMs);
				}

				if (goesOn) {
					await wait(pauseMs);
					for (const endpoint of paused) {
						endpoint.goOn();
					}
				} else {
					await until(() => host?.relay.guard.listHeld().length === 1);
				}

				await publish(world, 'other', other.address, undefined);
				const next = await send('next');
				expect({status: next.status, isHeld: next.body.includes('contentHeld')}).toEqual({status: goesOn ? 200 : 503, isHeld: !goesOn});
			});
		});
	}
});
