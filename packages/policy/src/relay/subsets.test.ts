/** How hosts and endpoints are dealt in large fleets. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	countSubsets, dealHost, dealSubsets, listSubset, type Placed,
} from './subsets.js';

function makeNames(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

/** Names dealt in turn to so many halls. */
function place(names: readonly string[], halls: number): Placed[] {
	return names.map((name, index) => ({name, hall: `hall-${index % halls}`}));
}

type HallCase = {
	readonly name: string;
	/** Hosts by hall. */
	readonly halls: readonly number[];
	/** Whether each hall is dealt by itself. */
	readonly isByHall: boolean;
	/** Other hosts that a host tells of its requests, at most. */
	readonly mostPeers: number;
};

const hallCases: readonly HallCase[] = [
	{
		name: 'a small fleet is one subset, whatever its halls', halls: [7, 7, 6], isByHall: false, mostPeers: 19,
	},
	{
		name: 'large halls are dealt by themselves', halls: [19, 20, 19], isByHall: true, mostPeers: 19,
	},
	{
		name: 'very large ones into several subsets', halls: [37, 38, 42, 38, 40], isByHall: true, mostPeers: 20,
	},
	{
		name: 'one small hall leaves all dealt together', halls: [30, 30, 3], isByHall: false, mostPeers: 31,
	},
	{
		name: 'so does a single hall', halls: [86], isByHall: false, mostPeers: 21,
	},
];

function makeHosts(halls: readonly number[]): Placed[] {
	return halls.flatMap((count, hall) => Array.from({length: count}, (_, index) => ({name: `host-${hall}-${index}`, hall: `hall-${hall}`})));
}

function countMoved(before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>): number {
	let moved = 0;
	for (const [name, subset] of after) {
		moved += Number(before.get(name) !== subset);
	}

	return moved;
}

const counts: ReadonlyArray<readonly [hosts: number, subsets: number]> = [
	[0, 1], [1, 1], [9, 1], [31, 1], [32, 2], [63, 2], [73, 4], [86, 4], [350, 16],
];

describe('subsets', () => {
	for (const [hosts, subsets] of counts) {
		it(`${hosts} hosts form ${subsets}`, () => {
			expect(countSubsets(hosts)).toEqual(subsets);
		});
	}

	it('are even', () => {
		const dealt = dealSubsets(makeNames('host', 86), 4);
		const sizes = Array.from({length: 4}, (_, subset) => [...dealt.values()].filter(each => each === subset).length);
		expect(dealt.size).toEqual(86);
		expect(Math.max(...sizes)).toEqual(22);
		expect(Math.min(...sizes) >= 20).toEqual(true);
	});

	it('do not depend on the order in which names are known', () => {
		const names = makeNames('replica', 63);
		const forwards = dealSubsets(names, 4);
		const backwards = dealSubsets(names.toReversed(), 4);
		expect(names.map(name => backwards.get(name))).toEqual(names.map(name => forwards.get(name)));
	});

	it('keep most names where they are when one is lost', () => {
		const names = makeNames('host', 86);
		const before = dealSubsets(names, 4);
		for (const lost of [0, 20, 85]) {
			const after = dealSubsets(names.filter((_, index) => index !== lost), 4);
			expect(countMoved(before, after) <= 10).toEqual(true);
		}
	});

	it('hold each endpoint once', () => {
		const names = makeNames('replica', 47);
		const all = Array.from({length: 4}, (_, own) => [...listSubset(place(names, 3), {count: 4, own}) ?? []]).flat();
		expect(all.length).toEqual(names.length);
		expect(new Set(all)).toEqual(new Set(names));
	});

	it('are not formed of few endpoints', () => {
		expect(listSubset(place(makeNames('replica', 7), 3), {count: 4, own: 0})).toEqual(undefined);
		expect(listSubset(place(makeNames('replica', 60), 3), {count: 1, own: 0})).toEqual(undefined);
	});

	for (const {
		name, halls, isByHall, mostPeers,
	} of hallCases) {
		it(name, () => {
			const hosts = makeHosts(halls);
			const hallOf = new Map(hosts.map(each => [each.name, each.hall]));
			for (const self of hosts) {
				const {subset, peers} = dealHost(self, hosts);
				expect(subset.hall).toEqual(isByHall ? self.hall : undefined);
				expect(peers.size <= mostPeers).toEqual(true);
				expect([...peers].every(peer => !isByHall || hallOf.get(peer) === self.hall)).toEqual(true);
			}
		});
	}

	it('peers name each other', () => {
		const hosts = makeHosts([37, 38, 42, 38, 40]);
		const peersOf = new Map(hosts.map(self => [self.name, dealHost(self, hosts).peers]));
		for (const [self, peers] of peersOf) {
			expect([...peers].every(peer => peersOf.get(peer)?.has(self))).toEqual(true);
		}
	});

	it('the endpoints of a hall are shared by its hosts alone, each by one subset', () => {
		const endpoints = place(makeNames('replica', 85), 5);
		const near = [0, 1].map(own => [...listSubset(endpoints, {count: 2, own, hall: 'hall-1'}) ?? []]);
		expect(near.flat().length).toEqual(17);
		expect(new Set(near.flat())).toEqual(new Set(endpoints.filter(({hall}) => hall === 'hall-1').map(({name}) => name)));
	});

	it('a hall with few endpoints does not deal them, one with a single one shares those of all halls', () => {
		const endpoints = place(makeNames('replica', 15), 5);
		expect(listSubset(endpoints, {count: 2, own: 0, hall: 'hall-1'})?.size).toEqual(3);
		expect(listSubset(place(makeNames('replica', 5), 5), {count: 2, own: 0, hall: 'hall-1'})).toEqual(undefined);
	});
});
