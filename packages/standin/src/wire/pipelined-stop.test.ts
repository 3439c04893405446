/** Guards against requests that a stopping host has read and that are lost behind an earlier response which closes their connection. */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {listStatuses, openCaller, writeRequest} from './raw-caller.js';
import {startScriptedWorld, type ScriptedWorld} from './scripted-world.js';
import {until} from './world.js';

/** Time for which the first response is held back behind the begin of the stop, in milliseconds. */
const holdMs = 200;

type Case = {
	readonly name: string;
	readonly path: string;
	/** Paths of the requests behind the first one. */
	readonly behind: readonly string[];
	/** When they arrive, relative to the begin of the stop. */
	readonly arrives: 'before' | 'during';
};

const cases: readonly Case[] = [
	{
		name: 'a call behind a call, read before the stop', path: '/once/1', behind: ['/once/1'], arrives: 'before',
	},
	{
		name: 'three calls behind a call, read before the stop', path: '/once/1', behind: ['/once/1', '/repeatable/1', '/once/1'], arrives: 'before',
	},
	{
		name: 'a call behind a call, read during the stop', path: '/once/1', behind: ['/once/1'], arrives: 'during',
	},
	{
		name: 'a stream behind a call, read during the stop', path: '/repeatable/1', behind: ['/stream/1'], arrives: 'during',
	},
];

describe('requests behind others on the connections of a stopping host are answered', () => {
	let scripted: ScriptedWorld;

	beforeEach(async () => {
		scripted = await startScriptedWorld({plain: 1, prefill: 1, decode: 1});
	});

	afterEach(async () => {
		await scripted.stop();
	});

	async function check({path, behind, arrives}: Case): Promise<void> {
		const [{relay}] = scripted.world.relays as [typeof scripted.world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
		let hasArrived = false;
		scripted.intercept = (call, kind) => {
			if (kind !== 'run' || call.id !== 'first') {
				return false;
			}

			hasArrived = true;
			setTimeout(() => {
				scripted.answerSoundly(call);
			}, 2 * holdMs);
			return true;
		};

		const {socket, ended, text} = await openCaller(scripted.caller);
		const requests = behind.map((each, index) => writeRequest(each, `behind-${index}`, 'question')).join('');
		socket.write(writeRequest(path, 'first', 'question') + (arrives === 'before' ? requests : ''));
		await until(() => hasArrived);
		const stopped = relay.stop();
		if (arrives === 'during') {
			await pause(holdMs / 2);
			socket.write(requests);
		}

		await Promise.all([stopped, ended]);
		socket.destroy();
		expect(listStatuses(text()).length).toEqual(behind.length + 1);
	}

	for (const each of cases) {
		it(each.name, {timeout: 60_000}, async () => check(each));
	}
});
