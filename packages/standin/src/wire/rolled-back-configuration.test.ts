/** Guards against hosts that count as outdated until a later version once an unusable configuration was replaced by the one in force, under its own version. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {makeConfig, startWorld, until} from './world.js';

const tenants = [{
	name: 'tenant', apiKeys: ['key'], unit: 'request_count' as const, ratePerS: 1000, burst: 1000,
}];
/** Time within which keys have to be confirmed, in milliseconds. */
const revokeMs = 2000;

describe('an unusable configuration that is taken back', () => {
	it('leaves final refusals and keys as they were', {timeout: 60_000}, async () => {
		const world = await startWorld({
			hosts: 2, plain: 1, prefill: 1, decode: 1, slots: 8, tenants, revokeMs,
		});
		try {
			const {store, relays} = world;
			let asked = 0;
			const ask = async (path: string) => {
				asked += 1;
				const answers = await Promise.all(relays.map(async ({caller, name}) => sendRequest({
					address: caller, id: `${name}-${asked}`, path, headers: {Authorization: 'Bearer key'},
				})));
				return answers.map(({status}) => status);
			};

			const before = await ask('/unknown/1');
			store.putText('op/config', '{');
			await until(() => relays.every(({relay}) => relay.routing.isBehind));
			store.put('op/config', makeConfig(1, tenants));
			await pause(3 * revokeMs);
			const after = await ask('/unknown/1');
			const served = await ask('/once/1');
			expect({before, after, served}).toEqual({before: [404, 404], after: [404, 404], served: [200, 200]});
		} finally {
			await world.stop();
		}
	});
});
