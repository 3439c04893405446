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

	/** Positions that arrive at the endpoint for a request with the given headers. */
	async function listArrived(id: string, headers: Readonly<Record<string, string>>): Promise<Array<string | undefined>> {
		const positions: Array<string | undefined> = [];
		scripted.intercept = call => {
			positions.push(call.headers.get('last-event-id'));
			return false;
		};

		await sendRequest({
			address: scripted.caller, id, path: '/repeatable/1', headers,
		});
		return positions;
	}

	for (const [index, {name, headers, arrived}] of cases.entries()) {
		it(name, async () => {
			const positions = await listArrived(`request-${index}`, headers);
			expect(positions).toEqual([arrived]);
		});
	}
});
