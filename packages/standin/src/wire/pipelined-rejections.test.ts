/** Guards against requests that a stopping host has read and that are lost behind the rejection of an earlier one, which closes their connection although its turn had not come. */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {listStatuses, openCaller, writeRequest} from './raw-caller.js';
import {startScriptedWorld, type EndpointCall, type ScriptedWorld} from './scripted-world.js';
import {until} from './world.js';

/** Time in which a request is read, in milliseconds. */
const readMs = 200;

type Case = {
	readonly path: string;
	/** Time between the requests that are rejected, in milliseconds. */
	readonly gapMs: number;
};

const cases: readonly Case[] = [
	{path: '/once/1', gapMs: 0},
	{path: '/once/1', gapMs: readMs},
	{path: '/resumable/1', gapMs: 0},
	{path: '/resumable/1', gapMs: readMs},
];

describe('requests behind an unfinished response at a host that rejects new ones are rejected, each of them', () => {
	let scripted: ScriptedWorld;

	beforeEach(async () => {
		scripted = await startScriptedWorld({plain: 1, prefill: 1, decode: 1});
	});

	afterEach(async () => {
		await scripted.stop();
	});

	async function check({path, gapMs}: Case): Promise<void> {
		const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
		const held: EndpointCall[] = [];
		scripted.intercept = (call, kind) => {
			const isHeld = kind === 'run' && call.id === 'first';
			held.push(...isHeld ? [call] : []);
			return isHeld;
		};

		const {socket, ended, text} = await openCaller(scripted.caller);
		socket.write(writeRequest('/once/1', 'first', 'question'));
		await until(() => held.length > 0);
		const idle = await openCaller(scripted.caller);
		idle.socket.write(writeRequest('/once/1', 'idle', 'question'));
		await until(() => listStatuses(idle.text()).length > 0);
		const stopped = relay.stop();
		// A host that rejects new requests closes idle connections
		await idle.ended;
		socket.write(writeRequest(path, 'second', 'question'));
		await pause(gapMs);
		socket.write(writeRequest(path, 'third', 'question'));
		await pause(readMs);
		for (const call of held) {
			scripted.answerSoundly(call);
		}

		await Promise.all([stopped, ended]);
		socket.destroy();
		expect(listStatuses(text())).toEqual([200, 503, 503]);
	}

	for (const each of cases) {
		it(`${each.path}, ${each.gapMs} ms apart`, {timeout: 60_000}, async () => check(each));
	}
});
