/** Subsets must be even, agree between hosts, and change little when a member is lost. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countSubsets, assignSubsets, listSubset} from './subsets.js';

function makeNames(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
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
		it(`divides ${hosts} hosts into ${subsets}`, () => {
			expect(countSubsets(hosts)).toEqual(subsets);
		});
	}

	it('have even sizes', () => {
		const assigned = assignSubsets(makeNames('host', 86), 4);
		const sizes = Array.from({length: 4}, (_, subset) => [...assigned.values()].filter(each => each === subset).length);
		expect(assigned.size).toEqual(86);
		expect(Math.max(...sizes)).toEqual(22);
		expect(Math.min(...sizes) >= 20).toEqual(true);
	});

	it('do not depend on the order of names', () => {
		const names = makeNames('replica', 63);
		const forwards = assignSubsets(names, 4);
		const backwards = assignSubsets(names.toReversed(), 4);
		expect(names.map(name => backwards.get(name))).toEqual(names.map(name => forwards.get(name)));
	});

	it('keep most assignments when a name is removed', () => {
		const names = makeNames('host', 86);
		const before = assignSubsets(names, 4);
		for (const lost of [0, 20, 85]) {
			const after = assignSubsets(names.filter((_, index) => index !== lost), 4);
			expect(countMoved(before, after) <= 10).toEqual(true);
		}
	});

	it('contain each endpoint once', () => {
		const names = makeNames('replica', 47);
		const all = Array.from({length: 4}, (_, own) => [...listSubset(names, {count: 4, own}) ?? []]).flat();
		expect(all.length).toEqual(names.length);
		expect(new Set(all)).toEqual(new Set(names));
	});

	it('are not formed from too few endpoints', () => {
		expect(listSubset(makeNames('replica', 7), {count: 4, own: 0})).toEqual(undefined);
		expect(listSubset(makeNames('replica', 60), {count: 1, own: 0})).toEqual(undefined);
	});
});
