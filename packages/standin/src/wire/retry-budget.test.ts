/**
 * Guards against repeats beyond the retry budget: arrivals at a service beyond
 * the first of each request, summed over all hosts.
 *
 * Seen: 96 arrivals beyond the first in 10 s where 91 were allowed, without
 * any restart; 149 where 85 were allowed, with restarts.
 */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {seedRandom} from '@gatehead/policy/utils/random';
import {expect} from 'earl';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {findWorstWindow} from '../utils/repeat-count.js';
import {sendRequest} from './client.js';
import {startWorld, type World} from './world.js';

/** As the hosts' settings have it. */
const bound = {ratio: 0.2, allowance: 58, windowMs: 10_000};
const runMs = 22_000;
const restartIntervalMs = 3000;
/** Partitions between all hosts, by begin and end, in milliseconds. */
const partitions: ReadonlyArray<readonly [number, number]> = [[1000, 9000], [12_000, 20_000]];
const hangMs = 120_000;

type Case = {
	readonly name: string;
	readonly path: string;
	readonly hosts: number;
	readonly requestsPerS: number;
	/** Share of requests that replicas reject, by the begin of their ids. */
	readonly rejected: Readonly<Record<string, number>>;
	/** Hosts that restart each three seconds. */
	readonly restarted: number;
	readonly isPartitioned: boolean;
	/** Hosts that requests enter at. */
	readonly entryHosts?: number;
	/** Least part of the bound that must be granted where more is needed. */
	readonly leastShare?: number;
};

const calm = {restarted: 0, isPartitioned: false};
const cases: readonly Case[] = [
	{
		name: 'prompts are rejected', path: '/resumable/1', hosts: 4, requestsPerS: 40, rejected: {prefill: 1, decode: 0.3}, ...calm,
	},
	{
		name: 'prompts and runs are rejected, and hosts start anew', path: '/resumable/1', hosts: 6, requestsPerS: 25, rejected: {prefill: 1, decode: 0.7}, ...calm, restarted: 3,
	},
	{
		name: 'calls are rejected, and hosts start anew', path: '/once/1', hosts: 6, requestsPerS: 30, rejected: {plain: 0.8}, ...calm, restarted: 3,
	},
	{
		name: 'prompts and runs are rejected, and no host hears another', path: '/resumable/1', hosts: 6, requestsPerS: 25, rejected: {prefill: 1, decode: 0.7}, ...calm, isPartitioned: true,
	},
	{
		name: 'prompts and runs are rejected, at one of seven hosts', path: '/resumable/1', hosts: 7, requestsPerS: 20, rejected: {prefill: 0.6, decode: 0.6}, ...calm, entryHosts: 1, leastShare: 0.8,
	},
	{
		name: 'calls are rejected, at one of sixteen hosts', path: '/once/1', hosts: 16, requestsPerS: 20, rejected: {plain: 0.8}, ...calm, entryHosts: 1, leastShare: 0.8,
	},
];

/** Sends requests to all hosts in turn until `runMs` has passed; resolves with the instants at which they were sent. */
async function sendAll({relays}: World, {path, requestsPerS, hosts, entryHosts = hosts}: Case): Promise<number[]> {
	const sentAt: number[] = [];
	const answers: Array<Promise<unknown>> = [];
	const startedAt = performance.now();
	while (performance.now() - startedAt < runMs) {
		const address = relays[sentAt.length % entryHosts]?.caller ?? '';
		answers.push(sendRequest({address, id: `r${sentAt.length}`, path}));
		sentAt.push(performance.now());
		await pause(Math.max(0, startedAt + (sentAt.length * 1000 / requestsPerS) - performance.now()));
	}

	await Promise.all(answers);
	return sentAt;
}

async function restartHosts(world: World, {restarted, hosts}: Case): Promise<void> {
	const random = seedRandom(restarted);
	const rounds = restarted > 0 ? Math.ceil(runMs / restartIntervalMs) - 1 : 0;
	for (let round = 0; round < rounds; round += 1) {
		await pause(restartIntervalMs);
		const chosen = Array.from({length: hosts}, (_, index) => ({index, rank: random.next()})).toSorted((left, right) => left.rank - right.rank).slice(0, restarted);
		await Promise.all(chosen.map(async ({index}) => world.restart(index)));
	}
}

async function partition(links: readonly FaultyProxy[], {isPartitioned}: Case): Promise<void> {
	const startedAt = performance.now();
	for (const [from, to] of isPartitioned ? partitions : []) {
		for (const [at, mode] of [[from, 'silence'], [to, 'pass']] as const) {
			await pause(Math.max(0, startedAt + at - performance.now()));
			for (const link of links) {
				link.mode = mode;
				link.reset();
			}
		}
	}
}

describe('retry budget of all hosts', {concurrency: 2}, () => {
	for (const each of cases) {
		it(`${each.name}: no window exceeds it${each.leastShare === undefined ? '' : ', and it is used'}`, {timeout: hangMs}, async context => {
			const links: FaultyProxy[] = [];
			const world = await startWorld({
				hosts: each.hosts,
				plain: 3,
				prefill: 3,
				decode: 4,
				slots: 64,
				async peerPath(peer) {
					const link = await startProxy(peer);
					links.push(link);
					return link.address;
				},
			});
			try {
				for (const replica of world.replicas) {
					replica.rejectedShare = each.rejected[replica.id.split('-', 1)[0] ?? ''] ?? 0;
				}

				const [sentAt] = await Promise.all([sendAll(world, each), restartHosts(world, each), partition(links, each)]);
				const {repeats, allowed, share} = findWorstWindow(world.log.arrivals, sentAt, bound);
				context.diagnostic(`${repeats} repeats in ${bound.windowMs} ms, ${allowed.toFixed(1)} allowed: ${share.toFixed(2)}`);
				expect(repeats).toBeLessThanOrEqual(allowed);
				expect(share).toBeGreaterThanOrEqual(each.leastShare ?? 0);
			} finally {
				await world.stop();
				for (const link of links) {
					link.close();
				}
			}
		});
	}
});
