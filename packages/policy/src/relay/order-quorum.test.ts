/** Which hosts may give orders: never two that cannot see each other, whatever they remember. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {hasOrderQuorum, type QuorumMember} from './order-quorum.js';

const maxSeeds = 3;
const maxHosts = 40;

/** Records of hosts by number, as `alive` or with another state. */
function listMembers(alive: readonly number[], dead: readonly number[] = []): QuorumMember[] {
	return [
		...alive.map(host => ({peerAddress: `host-${host}`, state: 'alive' as const})),
		...dead.map(host => ({peerAddress: `host-${host}`, state: 'dead' as const})),
	];
}

function listSeeds(count: number): string[] {
	return Array.from({length: count}, (_, index) => `host-${index}`);
}

type Partition = {
	/** The side of each host. */
	readonly sides: readonly number[];
	/** Whether each host has restarted since the partition began. */
	readonly restarted: readonly boolean[];
	readonly seeds: number;
};

/** Number of sides on which a host may give orders. */
function countOrderingSides({sides, restarted, seeds}: Partition): number {
	const hosts = [...sides.keys()];
	const ordering = [...new Set(sides)].filter(side => {
		const alive = hosts.filter(host => sides[host] === side);
		// Hosts that have restarted hear of the other sides from those on their own that have not
		const dead = alive.every(host => restarted[host]) ? [] : hosts.filter(host => sides[host] !== side);
		return hasOrderQuorum(listMembers(alive, dead), listSeeds(Math.min(seeds, hosts.length)));
	});
	return ordering.length;
}

type Case = {
	readonly name: string;
	readonly seeds: number;
	readonly alive: readonly number[];
	readonly dead?: readonly number[];
	readonly expected: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a host that has restarted and reaches nobody', seeds: 3, alive: [5], expected: false,
	},
	{
		name: 'a seed that has restarted and reaches nobody', seeds: 3, alive: [0], expected: false,
	},
	{
		name: 'restarted hosts without a majority of the seeds, more than half of the fleet', seeds: 3, alive: [0, 3, 4, 5, 6], expected: false,
	},
	{
		name: 'restarted hosts with a majority of the seeds', seeds: 3, alive: [1, 2, 7], expected: true,
	},
	{
		name: 'hosts that remember a larger fleet', seeds: 3, alive: [0, 1, 2], dead: [3, 4, 5, 6, 7], expected: false,
	},
	{
		name: 'a fleet in which one of the seeds restarts', seeds: 3, alive: [0, 2, 3, 4, 5, 6, 7], dead: [1], expected: true,
	},
	{
		name: 'a fleet in which all but the seeds restart', seeds: 3, alive: [0, 1, 2], dead: [3, 4], expected: true,
	},
	{
		name: 'a fleet with one seed', seeds: 1, alive: [0, 1, 2], expected: true,
	},
	{
		name: 'a fleet whose only seed is dead', seeds: 1, alive: [1, 2], dead: [0], expected: false,
	},
	{
		name: 'a host without seeds', seeds: 0, alive: [0], expected: true,
	},
];

describe('order quorum', () => {
	for (const {name, seeds, alive, dead, expected} of cases) {
		it(`${name}: ${expected ? 'orders' : 'no orders'}`, () => {
			expect(hasOrderQuorum(listMembers(alive, dead), listSeeds(seeds))).toEqual(expected);
		});
	}

	it('is never on two sides of a partition, whichever hosts have restarted in it', () => {
		const partitions = fc.record({
			sides: fc.array(fc.integer({min: 0, max: 2}), {minLength: 2, maxLength: maxHosts}),
			restarted: fc.array(fc.boolean(), {minLength: maxHosts, maxLength: maxHosts}),
			seeds: fc.integer({min: 1, max: maxSeeds}),
		});
		fc.assert(fc.property(partitions, partition => {
			expect(countOrderingSides(partition) <= 1).toEqual(true);
		}), {seed: 61, numRuns: 300});
	});
});
