/** Catalogue: how long a prompt's reading may be expected to take. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {mostReadingMs, type ReadingWish} from './reading-limit.js';

type Case = ReadingWish & {
	readonly name: string;
	readonly mostMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'half the target at first', targetMs: 900, leftMs: 900, isReturned: false, mostMs: 450,
	},
	{
		name: 'what a request that has waited still has', targetMs: 900, leftMs: 400, isReturned: false, mostMs: 300,
	},
	{
		name: 'a request that is late holds up no streams', targetMs: 900, leftMs: 80, isReturned: false, mostMs: 900,
	},
	{
		name: 'nor does a caller that comes back', targetMs: 900, leftMs: 900, isReturned: true, mostMs: 900,
	},
];

describe('reading limit', () => {
	for (const {name, mostMs, ...wish} of cases) {
		it(name, () => {
			expect(mostReadingMs(wish)).toEqual(mostMs);
		});
	}
});
