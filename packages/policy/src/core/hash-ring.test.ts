/** Shares of a hash ring: even, stable when a name is lost, and never empty. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HashRing} from './hash-ring.js';

function makeNames(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

describe('hash ring', () => {
	const sizes: ReadonlyArray<{readonly names: number; readonly count: number; readonly listed: number}> = [
		{names: 0, count: 3, listed: 0},
		{names: 1, count: 3, listed: 1},
		{names: 3, count: 3, listed: 3},
		{names: 350, count: 3, listed: 3},
		{names: 350, count: 0, listed: 0},
	];
	for (const {names, count, listed} of sizes) {
		it(`lists ${listed} of ${names} names for ${count}`, () => {
			const ring = new HashRing(makeNames('host', names));
			for (const key of makeNames('engine', 50)) {
				expect(new Set(ring.list(key, count)).size).toEqual(listed);
			}
		});
	}

	it('no name owns four times the average of many keys', () => {
		const ring = new HashRing(makeNames('host', 350));
		const counts = new Map<string, number>();
		for (const key of makeNames('engine', 1600)) {
			for (const name of ring.list(key, 3)) {
				counts.set(name, (counts.get(name) ?? 0) + 1);
			}
		}

		expect(Math.max(...counts.values()) < 4 * 3 * 1600 / 350).toEqual(true);
	});

	it('a lost name moves only its own keys', () => {
		const names = makeNames('host', 40);
		const [before, after] = [new HashRing(names), new HashRing(names.slice(1))];
		for (const key of makeNames('engine', 500)) {
			const kept = before.list(key, 3).filter(name => name !== 'host-0');
			expect(after.list(key, 3).slice(0, kept.length)).toEqual(kept);
		}
	});
});
