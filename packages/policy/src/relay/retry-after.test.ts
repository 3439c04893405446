/** Catalogue: the time after which a rejected caller should retry. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type Random} from '../utils/random.js';
import {retryAfter, retryAfterWait} from './retry-after.js';

const middle: Random = {next: () => 0.5};
const lowest: Random = {next: () => 0};

type Case = {
	readonly name: string;
	readonly wantedMs: number;
	readonly leftMs: number;
	readonly random: Random;
	readonly afterMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'the wanted time where the caller honours it', wantedMs: 3000, leftMs: 14_000, random: middle, afterMs: 3000,
	},
	{
		name: 'callers do not return together', wantedMs: 3000, leftMs: 14_000, random: lowest, afterMs: 2700,
	},
	{
		name: 'a caller with little time is asked for a third of it', wantedMs: 3000, leftMs: 4000, random: middle, afterMs: 1320,
	},
	{
		name: 'one without time is not asked to wait', wantedMs: 3000, leftMs: -5, random: middle, afterMs: 0,
	},
];

describe('retry after a rejection', () => {
	for (const {
		name, wantedMs, leftMs, random, afterMs,
	} of cases) {
		it(name, () => {
			expect(Math.round(retryAfter(wantedMs, leftMs, random))).toEqual(afterMs);
		});
	}
});

const waitCases: readonly Case[] = [
	{
		name: 'at the instant itself at the earliest', wantedMs: 3000, leftMs: 14_000, random: lowest, afterMs: 3000,
	},
	{
		name: 'spread over a second at the most', wantedMs: 3000, leftMs: 14_000, random: middle, afterMs: 3500,
	},
	{
		name: 'spread over the wait where that is shorter', wantedMs: 200, leftMs: 14_000, random: middle, afterMs: 300,
	},
	{
		name: 'within a third of the time left', wantedMs: 3000, leftMs: 3000, random: middle, afterMs: 990,
	},
	{
		name: 'never at once', wantedMs: 1, leftMs: 3000, random: lowest, afterMs: 20,
	},
];

describe('retry at an endpoint that takes requests again', () => {
	for (const {name, wantedMs, leftMs, random, afterMs} of waitCases) {
		it(name, () => {
			expect(Math.round(retryAfterWait(wantedMs, leftMs, random))).toEqual(afterMs);
		});
	}
});
