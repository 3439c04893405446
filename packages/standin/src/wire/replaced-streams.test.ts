/** Guards against streams that are broken off although their sound run was ended, or left alone, by a host that sought another one. */
import {setTimeout as wait} from 'node:timers/promises';
import {
	afterEach, describe, it,
} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {sendRequest, type CallerAnswer} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	reaches, startForwardingWorld, streamOf, type EndpointCall, type Reach, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

/** Deadline of the callers, in milliseconds: longer than the window of the retry budget. */
const deadlineMs = 20_000;
/** Time for which no other host is known, in milliseconds: several attempts of a stream to go on. */
const aloneMs = 2000;

function chunkOf(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Head of a stream, and its first event after those that the caller has. */
function beginStream({id, socket, headers}: EndpointCall): void {
	const after = Number(headers.get('last-event-id') ?? 0);
	const event = streamOf(id, after).slice(0, streamOf(id, after).length - streamOf(id, after + 1).length);
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${chunkOf(event)}`);
}

type Handler = (call: EndpointCall, scripted: ScriptedWorld) => void;

/** What endpoints do with the runs of one stream. */
const handlers = {
	/** Falls silent behind an event. */
	pause: beginStream,
	break(call) {
		beginStream(call);
		setImmediate(() => {
			call.socket.resetAndDestroy();
		});
	},
	reject({id, socket}) {
		socket.write(writeResponse(503, {'Request-Id': id, 'Not-Executed': '1'}));
	},
	fail({id, socket}) {
		socket.write(writeResponse(500, {'Request-Id': id, 'Server-Seal': 'seal'}, 'failed'));
	},
	deny({id, socket}) {
		socket.write(writeResponse(400, {'Request-Id': id, 'Server-Seal': 'seal'}, 'denied'));
	},
	unmark({id, socket}) {
		socket.write(writeResponse(200, {'Request-Id': id, 'Content-Type': 'text/event-stream'}, streamOf(id, 1)));
	},
	serve(call, scripted) {
		scripted.answerSoundly(call);
	},
} as const satisfies Readonly<Record<string, Handler>>;

type Case = {
	readonly name: string;
	readonly reach: Reach;
	/** What the runs of the stream do, in order. */
	readonly runs: ReadonlyArray<keyof typeof handlers>;
	/** Attempts of the route; absent: enough. */
	readonly attempts?: number;
	/** Repeats that the host may send in one window; absent: enough. */
	readonly retryAllowance?: number;
	/** Whether the host knows no other one for a while from the second run on. */
	readonly isAlone?: boolean;
	/** Why the stream ends early; absent: it does not. */
	readonly blockedBy?: string;
};

const ampleAttempts = 4;
/** Repeats in one window: one, as a part of them is kept back. */
const scarceAllowance = 2;

const cases: readonly Case[] = [
	{name: 'breaks', reach: 'direct', runs: ['pause', 'break', 'serve']},
	{name: 'breaks behind several rejections', reach: 'direct', runs: ['pause', 'reject', 'reject', 'reject', 'break', 'serve']},
	{name: 'fails with a complete error', reach: 'direct', runs: ['pause', 'fail', 'serve']},
	{name: 'denies the rest', reach: 'direct', runs: ['pause', 'deny', 'serve']},
	{name: 'is not marked as the endpoint\'s', reach: 'direct', runs: ['pause', 'unmark', 'serve']},
	{
		name: 'breaks without retry budget', reach: 'direct', runs: ['pause', 'break', 'serve'], retryAllowance: scarceAllowance,
	},
	{
		name: 'fails with a complete error without retry budget', reach: 'direct', runs: ['pause', 'fail', 'serve'], retryAllowance: scarceAllowance,
	},
	{name: 'breaks', reach: 'forwarded', runs: ['pause', 'break', 'serve']},
	{
		name: 'breaks while no other host is known', reach: 'forwarded', runs: ['pause', 'break', 'serve'], isAlone: true,
	},
	{
		name: 'breaks in the last attempt', reach: 'direct', runs: ['pause', 'break'], attempts: 2, blockedBy: 'attempts',
	},
];

/** Lets a host know no other one until the returned function is called. */
function hideHosts({world: {relays: [entry]}}: ScriptedWorld): () => void {
	const {members} = entry!.relay.fleet.membership;
	const listMembers = members.list.bind(members);
	members.list = () => [];
	return () => {
		members.list = listMembers;
	};
}

describe('a stream whose host sought another run', () => {
	let scripted: ScriptedWorld | undefined;

	afterEach(async () => {
		await scripted?.stop();
		scripted = undefined;
	});

	const send = async ({caller}: ScriptedWorld, id: string): Promise<CallerAnswer> => sendRequest({
		address: caller, id, path: '/resumable/1', headers: {'Deadline-Ms': String(deadlineMs)},
	});

	// A search in vain kept the request itself from being forwarded again
	it('is forwarded again when its run is lost after a search that found no other host', async () => {
		const id = 'searched';
		const world = await startForwardingWorld({decode: 2});
		scripted = world;
		const {lines} = world.world;
		const runs: EndpointCall[] = [];
		let showHosts = ignore;
		world.intercept = (call, kind) => {
			if (kind !== 'run') {
				return false;
			}

			runs.push(call);
			if (runs.length > 1) {
				return false;
			}

			showHosts = hideHosts(world);
			beginStream(call);
			return true;
		};

		const answer = send(world, id);
		await until(() => lines.some(({code, facts}) => code === 'forwarded' && facts.request === id && facts.outcome === 'unavailable'));
		showHosts();
		runs[0]?.socket.resetAndDestroy();
		const {status, isWhole, body} = await answer;
		expect({
			status, isWhole, body, runs: runs.length,
		}).toEqual({
			status: 200, isWhole: true, body: streamOf(id), runs: 2,
		});
	});

	/** Plays a case; returns what its caller got, the number of runs and what the stream lacked at its end. */
	const play = async ({reach, runs, attempts = ampleAttempts, retryAllowance, isAlone = false}: Case, id: string) => {
		const world = await reaches[reach]({decode: 3, streamAttempts: attempts, ...(retryAllowance === undefined ? {} : {retryAllowance})});
		scripted = world;
		let begun = 0;
		world.intercept = (call, kind) => {
			if (kind !== 'run') {
				return false;
			}

			const handler: Handler = handlers[runs[begun] ?? 'serve'];
			begun += 1;
			if (isAlone && begun === 2) {
				void wait(aloneMs).then(hideHosts(world));
			}

			handler(call, world);
			return true;
		};

		const answer = await send(world, id);
		const end = world.world.lines.find(({host, code, facts}) => host === 'host-0' && code === 'streamBroken' && facts.request === id);
		return {...answer, runs: begun, blockedBy: end?.facts.blockedBy};
	};

	for (const each of cases) {
		const {name, reach, blockedBy} = each;
		it(`${blockedBy === undefined ? 'reaches its caller whole' : 'breaks off'} when the run that replaced its own ${name}, ${reach}`, async () => {
			const id = 'replaced';
			const {body, ...played} = await play(each, id);
			expect({
				status: played.status, isWhole: played.isWhole, runs: played.runs, blockedBy: played.blockedBy,
			}).toEqual({
				status: 200, isWhole: blockedBy === undefined, runs: each.runs.length, blockedBy,
			});
			if (blockedBy === undefined) {
				expect(body).toEqual(streamOf(id));
			}
		});
	}
});
