/** Repeats of whole fleets on an injected clock: never beyond the retry budget, and used where they are needed. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {playRetryFleet, type RetryPlay} from './retry-fleet.js';

const bound = {ratio: 0.2, windowMs: 10_000};
/** A request waits no longer than one round between hosts, with its timeout, in milliseconds. */
const mostWaitMs = 100;

type Case = {
	readonly name: string;
	readonly play: Omit<RetryPlay, 'ratio' | 'windowMs' | 'seed' | 'seconds'>;
	/** Least part of the bound that is granted in the worst window. */
	readonly leastShare: number;
};

const busy = {wanted: 1.5};
const restarts = {everyMs: 3000, share: 0.5};
const partitions = [[2000, 10_000], [14_000, 22_000]] as const;
const cases: readonly Case[] = [
	{
		name: 'all requests at one of seven hosts', play: {
			...busy, hosts: 7, allowance: 54, requestsPerS: 12, entryHosts: 1,
		}, leastShare: 0.8,
	},
	{
		name: 'all requests at one of a hundred hosts', play: {
			...busy, hosts: 100, allowance: 216, requestsPerS: 30, entryHosts: 1,
		}, leastShare: 0.8,
	},
	{
		name: 'requests at all of seven hosts', play: {
			...busy, hosts: 7, allowance: 54, requestsPerS: 25,
		}, leastShare: 0.8,
	},
	{
		name: 'four hosts, half of them start anew each 3 s', play: {
			...busy, hosts: 4, allowance: 54, requestsPerS: 25, restarts,
		}, leastShare: 0,
	},
	{
		name: 'forty hosts, half of them start anew each 3 s', play: {
			...busy, hosts: 40, allowance: 100, requestsPerS: 40, restarts,
		}, leastShare: 0,
	},
	{
		name: 'seven hosts that do not hear each other for a time', play: {
			...busy, hosts: 7, allowance: 54, requestsPerS: 12, partitions,
		}, leastShare: 0,
	},
	{
		name: 'forty hosts that do not hear each other for a time', play: {
			...busy, hosts: 40, allowance: 100, requestsPerS: 40, partitions,
		}, leastShare: 0,
	},
	{
		name: 'forty hosts that restart and do not hear each other', play: {
			...busy, hosts: 40, allowance: 100, requestsPerS: 40, restarts, partitions,
		}, leastShare: 0,
	},
];

describe('retry budget of a fleet', () => {
	for (const {name, play, leastShare} of cases) {
		it(name, async context => {
			const {worst, wanted, granted, messagesPerHostS, longestWaitMs} = await playRetryFleet({
				...bound, ...play, seconds: 24, seed: 1,
			});
			context.diagnostic(`worst window ${worst.repeats} of ${worst.allowed.toFixed(1)} (${worst.share.toFixed(2)}); ${granted} of ${wanted} granted; ${messagesPerHostS.toFixed(1)} messages a second and host; longest wait ${longestWaitMs} ms`);
			expect(worst.share).toBeLessThanOrEqual(1);
			expect(worst.share).toBeGreaterThanOrEqual(leastShare);
			expect(longestWaitMs).toBeLessThanOrEqual(mostWaitMs);
		});
	}
});
