/** Guards against streams that a stopping host begins late and cuts when it closes. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {patientTimes, startWorld} from './world.js';

const okStatus = 200;
const unavailableStatus = 503;
/** Makes a stream last about half of the time that a host has to stop. */
const eventGapMs = 700;
/** Responses by which a host judges how long the next one takes. */
const sampleSize = 16;
/** Times after the start of the stop at which streams arrive, in milliseconds. */
const arrivalsMs = [0, 1000, 2000, 3000, 3400, 3600];

describe('planned stops', () => {
	it('a stream that reaches a stopping host is whole, or refused and not run', {timeout: 60_000}, async () => {
		const world = await startWorld({
			hosts: 1, plain: 0, prefill: 1, decode: 2, slots: 32, eventGapMs, routeTimes: patientTimes,
		});
		try {
			const [{caller, relay}] = world.relays as [typeof world.relays[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the world has one host
			const send = async (id: string) => sendRequest({
				address: caller, id, path: '/stream/1', headers: {'Deadline-Ms': patientTimes.timeoutMs},
			});
			// Durations that the host judges later streams by
			const before = await Promise.all(Array.from({length: sampleSize}, async (_, index) => send(`before-${index}`)));
			expect(before.map(({status}) => status)).toEqual(before.map(() => okStatus));
			const stopped = relay.stop();
			const answers = await Promise.all(arrivalsMs.map(async atMs => {
				await pause(atMs);
				const id = `at-${atMs}`;
				return {id, ...await send(id)};
			}));
			await stopped;
			const wrong = answers.filter(({id, status, isWhole}) => {
				const runs = world.log.runs.filter(({request}) => request === id).length;
				return !(isWhole && ((status === okStatus && runs === 1) || (status === unavailableStatus && runs === 0)));
			});
			expect(wrong.map(({id, status, isWhole}) => ({id, status, isWhole}))).toEqual([]);
		} finally {
			await world.stop();
		}
	});
});
