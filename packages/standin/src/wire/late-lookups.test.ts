/** Guards against resumed streams that are answered long after their deadline, because a lookup waits for a directory that does not reply. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startScriptedWorld} from './scripted-world.js';

const unavailableStatus = 503;
/** Shorter than a host waits for the directory, in milliseconds. */
const deadlineMs = 200;

describe('a resumed stream whose version is looked up in vain', () => {
	it('is rejected at its deadline, before the lookup has ended, and does not run', {timeout: 60_000}, async () => {
		const scripted = await startScriptedWorld({prefill: 1, decode: 1});
		try {
			scripted.world.store.setFault('silent');
			const {status, isWhole, body} = await sendRequest({
				address: scripted.caller, id: 'resumed-1', path: '/resumable/1', headers: {'Deadline-Ms': String(deadlineMs), 'Last-Event-Id': '2', Resumes: 'resumed-0'},
			});
			expect({status, isWhole}).toEqual({status: unavailableStatus, isWhole: true});
			const {error: {type}} = JSON.parse(body) as {readonly error: {readonly type: string}}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- an error of the host's own
			expect(type).toEqual('overloaded');
			expect(scripted.world.lines.filter(({code}) => code === 'streamResumed')).toEqual([]);
			expect([...scripted.runs]).toEqual([]);
		} finally {
			await scripted.stop();
		}
	});
});
