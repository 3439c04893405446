/** Guards against an endpoint that all hosts pause because one host's own connections to it are all in use. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {type ScriptedCall} from './scripted-endpoint.js';
import {startScriptedWorld} from './scripted-world.js';
import {until} from './world.js';

/** Connections of a host to one endpoint. */
const connections = 64;
/** Requests that wait for one. */
const waiting = 4;

describe('a request that finds no free connection', () => {
	it('is rejected, and its endpoint is not paused', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({plain: 1});
		try {
			const held: Array<ScriptedCall & Parameters<typeof scripted.answerSoundly>[0]> = [];
			scripted.intercept = call => {
				held.push(call);
				return true;
			};

			const running = Array.from({length: connections}, async (_, index) => sendRequest({
				address: scripted.caller, id: `running-${index}`, path: '/once/1', headers: {'Deadline-Ms': '20000'},
			}));
			await until(() => held.length === connections);
			const rejected = await Promise.all(Array.from({length: waiting}, async (_, index) => sendRequest({
				address: scripted.caller, id: `waiting-${index}`, path: '/once/1', headers: {'Deadline-Ms': '20000'},
			})));
			expect(rejected.map(({status}) => status)).toEqual(Array.from({length: waiting}, () => 503));
			expect(scripted.world.lines.filter(({code}) => code === 'endpointPaused')).toEqual([]);
			scripted.intercept = () => false;
			for (const call of held) {
				scripted.answerSoundly(call);
			}

			const answers = await Promise.all(running);
			expect(answers.every(({status}) => status === 200)).toEqual(true);
		} finally {
			await scripted.stop();
		}
	});
});
