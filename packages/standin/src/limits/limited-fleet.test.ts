/**
 * Catalogue: rate limits over whole fleets of real limiters, on a clock that
 * the test moves. Safety: no 4 s window exceeds 1.5 times the limit and 5
 * requests from 3 s behind the first announcement on, whatever befalls hosts
 * and their network; no host is excused. Efficiency: at least 0.8 of the limit
 * is used while nothing befalls them, spread evenly.
 */
import process from 'node:process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	allowedIn4S, mostWithin, playFleet, useOf, type FleetFault,
} from './limited-fleet.js';

const windowMs = 4000;
const settleMs = 3000;
const leastUse = 0.8;
const entrySeeds = [1, 2, 3, 4];

type CalmCase = {
	readonly hosts: number;
	readonly limitPerS: number;
	readonly entryHosts?: number;
};

const calmCases: readonly CalmCase[] = [4, 16, 90, 300].flatMap(hosts => [0.5, 5, 50].flatMap(limitPerS => [{hosts, limitPerS}, {hosts, limitPerS, entryHosts: 1}]));

describe('a limit that nothing disturbs', () => {
	for (const {hosts, limitPerS, entryHosts} of calmCases) {
		const where = entryHosts === undefined ? 'all hosts' : 'one host';
		it(`${limitPerS} a second at ${hosts} hosts, requests at ${where}: kept, used and spread`, async () => {
			// Enough requests at the lowest limit for a mean
			const seconds = limitPerS < 1 ? 84 : 24;
			const used: number[] = [];
			for (const seed of entrySeeds) {
				const {arrivals: [arrivals = []]} = await playFleet({
					hosts, endpoints: 1, limitPerS, demand: 2, entryHosts, seconds, seed,
				});
				expect(mostWithin(arrivals, windowMs, settleMs)).toBeLessThanOrEqual(allowedIn4S(limitPerS));
				expect(mostWithin(arrivals, 1000, settleMs)).toBeLessThanOrEqual((2 * limitPerS) + 2);
				used.push(useOf(arrivals, limitPerS, settleMs + 1000, seconds * 1000));
			}

			expect(used.reduce((sum, use) => sum + use, 0) / used.length).toBeGreaterThanOrEqual(leastUse);
		});
	}
});

type ChangeCase = {
	readonly name: string;
	readonly from: number;
	readonly to: number | undefined;
	/** Requests that must arrive from 2 s behind the change on, in each second. */
	readonly least: number;
};

const changeCases: readonly ChangeCase[] = [
	{
		name: 'raised', from: 2, to: 20, least: 16,
	},
	{
		name: 'ended', from: 5, to: undefined, least: 9,
	},
];

describe('a limit that changes', () => {
	for (const {name, from, to, least} of changeCases) {
		it(`${name}: used within 2 s`, async () => {
			const at = 8000;
			// Demand covers the later limit as well
			const demand = name === 'raised' ? 20 : 2;
			const {arrivals: [arrivals = []]} = await playFleet({
				hosts: 16, endpoints: 1, limitPerS: from, later: {at, limitPerS: to}, demand, seconds: 16, seed: 5,
			});
			expect(arrivals.filter(each => each >= at + 2000 && each < at + 7000).length / 5).toBeGreaterThanOrEqual(least);
		});
	}

	it('lowered: the lower one is kept from 3 s behind the change on', async () => {
		const {arrivals: [arrivals = []]} = await playFleet({
			hosts: 16, endpoints: 1, limitPerS: 20, later: {at: 8000, limitPerS: 2}, demand: 3, seconds: 18, seed: 6,
		});
		expect(mostWithin(arrivals, windowMs, 8000 + settleMs)).toBeLessThanOrEqual(allowedIn4S(2));
	});
});

const faults: fc.Arbitrary<FleetFault> = fc.record({
	at: fc.integer({min: 0, max: 15_000}),
	forMs: fc.integer({min: 100, max: 8000}),
	kind: fc.constantFrom('restart', 'restartAll', 'freeze', 'cut', 'split', 'silence'),
	host: fc.oneof(fc.constant('granter' as const), fc.integer({min: 0, max: 100})),
});

describe('a limit under faults', () => {
	it('is kept in generated fleets, with any row of restarts of one or all, freezes, cuts, splits and silent connections', async () => {
		await fc.assert(fc.asyncProperty(
			fc.constantFrom(2, 3, 4, 8, 16, 40),
			fc.constantFrom(0.5, 2, 5, 20, 50),
			fc.array(faults, {maxLength: 8}),
			fc.integer({min: 1, max: 1_000_000}),
			async (hosts, limitPerS, row, seed) => {
				const {arrivals: [arrivals = []]} = await playFleet({
					hosts, endpoints: 1, limitPerS, demand: 3, seconds: 20, seed, faults: row,
				});
				expect(mostWithin(arrivals, windowMs, settleMs)).toBeLessThanOrEqual(allowedIn4S(limitPerS));
			},
		), {seed: 31, numRuns: Number(process.env.GATEHEAD_FLEETS ?? 40)});
	});

	for (const hosts of [4, 8, 40]) {
		it(`${hosts} hosts: kept where all of them restart while they are split`, async () => {
			for (const seed of entrySeeds) {
				const {arrivals: [arrivals = []]} = await playFleet({
					hosts, endpoints: 1, limitPerS: 20, demand: 3, seconds: 20, seed, faults: [
						{
							at: 5000, forMs: 14_000, kind: 'split', host: 0,
						},
						{
							at: 6000, forMs: 0, kind: 'restartAll', host: 0,
						},
					],
				});
				expect(mostWithin(arrivals, windowMs, settleMs)).toBeLessThanOrEqual(allowedIn4S(20));
			}
		});
	}

	it('300 hosts: kept through a split and the loss of the granter, and used again behind it', async () => {
		const limitPerS = 20;
		const {arrivals: [arrivals = []]} = await playFleet({
			hosts: 300, endpoints: 1, limitPerS, demand: 2, seconds: 26, seed: 7, faults: [
				{
					at: 5000, forMs: 5000, kind: 'split', host: 0,
				},
				{
					at: 13_000, forMs: 0, kind: 'restart', host: 'granter',
				},
			],
		});
		expect(mostWithin(arrivals, windowMs, settleMs)).toBeLessThanOrEqual(allowedIn4S(limitPerS));
		expect(useOf(arrivals, limitPerS, 20_000, 26_000)).toBeGreaterThanOrEqual(leastUse);
	});

	it('without any limit no message is sent', async () => {
		const {messages, arrivals: [arrivals = []]} = await playFleet({
			hosts: 16, endpoints: 1, limitPerS: 5, isStated: false, demand: 10, seconds: 5, seed: 8,
		});
		expect([messages, arrivals.length > 200]).toEqual([0, true]);
	});
});
