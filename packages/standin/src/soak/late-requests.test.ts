/** Guards against requests that reach a host late in its planned stop and are cut with no response. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {seedRandom} from '@gatehead/policy/utils/random';
import {expect} from 'earl';
import {
	configure, endBed, makeBed, waitUntilServing, type Bed,
} from './bed.js';
import {findLost, sendUntilGone, type StopRequest} from './stop-traffic.js';
import {varyRuns} from './varied-runs.js';

const seed = 1;
const perSecond = 40;
const warmUpMs = 4000;
const slowRuns = {share: 0.1, mostMs: 5500};
const unavailableStatus = 503;
const onceOnly: ReadonlySet<string> = new Set(['/once/1', '/stream/1']);

type Case = {
	readonly name: string;
	/** Hosts that stop together. */
	readonly stopping: readonly number[];
	/** Whether the host that callers use forwards their requests, since it has lost its links to the endpoints. */
	readonly isForwarding: boolean;
};

const cases: readonly Case[] = [
	{name: 'one host stops', stopping: [1], isForwarding: false},
	{name: 'a host that forwards its requests stops together with another one', stopping: [1, 2], isForwarding: true},
];

/** Stops hosts beside callers of the second one; returns its requests, and when the stop began. */
async function play(bed: Bed, {stopping, isForwarding}: Case): Promise<{readonly requests: readonly StopRequest[]; readonly stoppedAt: number}> {
	const [, host] = bed.hosts as [unknown, typeof bed.hosts[number]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the bed has three hosts
	if (isForwarding) {
		await bed.links[1]?.cut('refused');
	}

	let isGone = false;
	const sending = sendUntilGone({
		address: host.caller, perSecond, isGone: () => isGone, random: seedRandom(seed),
	});
	// Durations that the host judges later requests by
	await pause(warmUpMs);
	const leaving = bed.hosts.filter((_, index) => stopping.includes(index));
	const stoppedAt = performance.now();
	for (const each of leaving) {
		each.signal('SIGTERM');
	}

	await host.ended();
	isGone = true;
	await Promise.all(leaving.map(async each => each.ended()));
	return {requests: await sending, stoppedAt};
}

describe('requests that reach a host at any moment of its planned stop have a complete response', () => {
	for (const each of cases) {
		it(each.name, {timeout: 90_000}, async () => {
			const bed = await makeBed(seed, 3);
			const stopVarying = varyRuns(bed, slowRuns);
			try {
				bed.draft = {routeTimes: {timeoutMs: 9000, targetLatencyMs: 6000}};
				bed.version += 1;
				configure(bed);
				await waitUntilServing(bed);
				const {requests, stoppedAt} = await play(bed, each);
				const ran = new Set(bed.log.runs.map(({request}) => request));
				const lost = findLost(requests, bed.log, stoppedAt);
				const misled = requests.filter(({id, path, status}) => status === unavailableStatus && ran.has(id) && onceOnly.has(path));
				expect({lost, misled}).toEqual({lost: [], misled: []});
				expect(requests.some(({sentAt, status}) => sentAt > stoppedAt && status === unavailableStatus)).toEqual(true);
			} finally {
				stopVarying();
				await endBed(bed);
			}
		});
	}
});
