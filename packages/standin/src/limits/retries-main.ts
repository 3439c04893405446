/** `npm run retries`: how the retry budget is kept and used over fleets of several sizes, with restarts and partitions. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {playRetryFleet, type RetryPlay} from './retry-fleet.js';

const bound = {ratio: 0.2, windowMs: 10_000};
/** Allowance of a small fleet, and for each host of a larger one, in repeats. */
const minAllowance = 54;
const allowancePerHost = 1.43;
/** Requests a second: a base, for each host, and at most. */
const baseRequestsPerS = 12;
const requestsPerHostS = 0.5;
const maxRequestsPerS = 40;
/** Repeats that each request wants: more than twice of what is allowed. */
const wanted = 1.5;
const seconds = 24;
const firstSeed = 100;

const restarts = {everyMs: 3000, share: 0.5};
const partitions = [[2000, 10_000], [14_000, 22_000]] as const;
const conditions: ReadonlyArray<{readonly name: string; readonly play: Partial<RetryPlay>}> = [
	{name: 'requests at all hosts', play: {}},
	{name: 'requests at one host', play: {entryHosts: 1}},
	{name: 'restarts', play: {restarts}},
	{name: 'partitions', play: {partitions}},
	{name: 'restarts and partitions', play: {restarts, partitions}},
];

const {sizes, seeds} = await yargs(hideBin(process.argv))
	.option('sizes', {type: 'array', default: [4, 7, 16, 40], describe: 'numbers of hosts'})
	.option('seeds', {type: 'number', default: 3, describe: 'plays of each row'})
	.strict()
	.parse();
for (const hosts of sizes.map(Number)) {
	for (const {name, play} of conditions) {
		const shares: number[] = [];
		const messages: number[] = [];
		const waits: number[] = [];
		for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
			const {worst, messagesPerHostS, longestWaitMs} = await playRetryFleet({
				...bound, hosts, allowance: Math.max(minAllowance, allowancePerHost * hosts), requestsPerS: Math.min(maxRequestsPerS, baseRequestsPerS + (requestsPerHostS * hosts)), wanted, seconds, seed, ...play,
			});
			shares.push(worst.share);
			messages.push(messagesPerHostS);
			waits.push(longestWaitMs);
		}

		process.stdout.write(`${hosts} hosts, ${name}: worst window ${Math.min(...shares).toFixed(2)} to ${Math.max(...shares).toFixed(2)} of the bound, ${Math.max(...messages).toFixed(1)} messages a second and host, longest wait ${Math.max(...waits)} ms\n`);
	}
}
