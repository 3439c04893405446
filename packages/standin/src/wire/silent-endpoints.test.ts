/** Guards against requests that run although they were rejected, run twice or get no response while endpoints fall silent and the configuration changes: real host and endpoint processes, the latter stopped and woken. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {playSilence, type Hazard} from './silence/silence.js';

const hosts = 4;
const perSecond = 150;
const silences = 2;
const cases: ReadonlyArray<{readonly seed: number; readonly hazards: readonly Hazard[]; readonly cause: string}> = [
	{seed: 1, hazards: ['crowded', 'rejections', 'surplus'], cause: 'endpoints whose queues are full send responses once more where the next ones are due'},
	{seed: 2, hazards: ['rejections', 'together', 'smallBacklog', 'idleOnWaking', 'hostStops', 'shedsBeforeBody', 'lateRejections'], cause: 'hosts stand still too, reach no endpoint, and forward to each other'},
];

describe('requests that may run once, while endpoints are silent', () => {
	for (const {seed, hazards, cause} of cases) {
		it(`run at most once, never when rejected, and are answered: ${cause}`, async () => {
			const {broken, attempts, rejected} = await playSilence({
				seed, hosts, perSecond, silences, hazards,
			});
			expect([...broken]).toEqual([]);
			expect(attempts > 0 && rejected > 0).toEqual(true);
		});
	}
});
