/** Guards against a stream of a service without an engine that its caller resumes and that begins anew, since the position was lost on the way. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld, type ScriptedWorld} from './scripted-world.js';

const cases = [
	{name: 'a position of the caller reaches the endpoint', headers: {'Last-Event-Id': '7'}, arrived: '7'},
	{name: 'without one, none does', headers: {}, arrived: undefined},
] as const;

describe('resumed calls to services without an engine', () => {
	let scripted: ScriptedWorld;

	before(async () => {
		scripted = await startScriptedWorld({plain: 1});
	});

	after(async () => {
		await scripted.stop();
	});

	for (const {name, headers, arrived} of cases) {
		it(name, async () => {
			const positions: Array<string | undefined> = [];
			scripted.intercept = call => {
				positions.push(call.headers.get('last-event-id'));
				return false;
			};

			await sendRequest({
				address: scripted.caller, id: name.length.toString(), path: '/repeatable/1', headers,
			});
			expect(positions).toEqual([arrived]);
		});
	}
});
