/** Guards against requests that are aborted at once because their timeout is longer than a timer of Node. */
import {setTimeout as wait} from 'node:timers/promises';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld, type ScriptedWorld} from './scripted-world.js';

const okStatus = 200;
/** Longer than Node's longest timer, in milliseconds. */
const timeoutMs = 2 ** 32;
/** Time after which endpoints respond, in milliseconds: a timer that is too long fires after one. */
const workMs = 50;
const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];

describe('a request whose route and caller allow it more than 24 days', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({
			plain: 1, prefill: 1, decode: 2, routeTimes: {timeoutMs, targetLatencyMs: timeoutMs},
		});
		scripted.intercept = (call, kind) => {
			if (kind !== 'run') {
				return false;
			}

			void wait(workMs).then(() => {
				scripted.answerSoundly(call);
			});
			return true;
		};
	});

	after(async () => {
		await scripted.stop();
	});

	it('is served', async () => {
		const answers = await Promise.all(paths.map(async path => sendRequest({
			address: scripted.caller, id: path, path, headers: {'Deadline-Ms': String(timeoutMs)},
		})));
		expect(answers.map(({status, isWhole}) => ({status, isWhole}))).toEqual(paths.map(() => ({status: okStatus, isWhole: true})));
	});
});
