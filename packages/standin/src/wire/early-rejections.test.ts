/** Guards against rejections that are lost because their callers are still sending. */
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {splitAddress} from '@gatehead/schema/address';
import {expect} from 'earl';
import {type LongBodyTask} from './long-body-caller.js';
import {startScriptedWorld} from './scripted-world.js';

/** Parts of a body, as the caller sends them. */
const parts = 40;
const requests = 10;

const cases: ReadonlyArray<{readonly name: string; readonly limits: {readonly requests: number; readonly bodyBytes: number}; readonly status: number}> = [
	{name: 'too many requests', limits: {requests: 0, bodyBytes: 16_777_216}, status: 503},
	{name: 'a long body', limits: {requests: 10, bodyBytes: 1_000_000}, status: 413},
];

/** Sends requests from a thread; returns their statuses, 0 for a connection that failed. */
async function sendLongBodies(address: string): Promise<unknown> {
	const {ip, port} = splitAddress(address);
	const task: LongBodyTask = {
		host: ip, port, parts, requests,
	};
	const worker = new Worker(new URL('long-body-caller.js', import.meta.url), {workerData: task});
	return new Promise((resolve, reject) => {
		worker.once('message', resolve);
		worker.once('error', reject);
	});
}

describe('rejections before a body is read', () => {
	for (const {name, limits, status} of cases) {
		it(`a rejection because of ${name} reaches a caller that is still sending`, async () => {
			const scripted = await startScriptedWorld({plain: 1});
			try {
				for (const {relay} of scripted.world.relays) {
					Object.assign(relay.context.settings.limits, limits);
				}

				expect(await sendLongBodies(scripted.caller)).toEqual(Array.from({length: requests}, () => status));
				expect(scripted.runs).toEqual([]);
			} finally {
				await scripted.stop();
			}
		});
	}
});
