/** Rejected callers must not retry all at once, nor be asked for a wait that they ignore. */
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
		name: 'uses the wanted time if the caller has enough left', wantedMs: 3000, leftMs: 14_000, random: middle, afterMs: 3000,
	},
	{
		name: 'adds jitter', wantedMs: 3000, leftMs: 14_000, random: lowest, afterMs: 2700,
	},
	{
		name: 'limits the time to a third of the remaining time', wantedMs: 3000, leftMs: 4000, random: middle, afterMs: 1320,
	},
	{
		name: 'returns zero without remaining time', wantedMs: 3000, leftMs: -5, random: middle, afterMs: 0,
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
		name: 'does not retry before the endpoint accepts requests', wantedMs: 3000, leftMs: 14_000, random: lowest, afterMs: 3000,
	},
	{
		name: 'spreads retries over at most a second', wantedMs: 3000, leftMs: 14_000, random: middle, afterMs: 3500,
	},
	{
		name: 'spreads retries over a shorter wait', wantedMs: 200, leftMs: 14_000, random: middle, afterMs: 300,
	},
	{
		name: 'limits the time to a third of the remaining time', wantedMs: 3000, leftMs: 3000, random: middle, afterMs: 990,
	},
	{
		name: 'never retries immediately', wantedMs: 1, leftMs: 3000, random: lowest, afterMs: 20,
	},
];

describe('retry after an endpoint\'s wait', () => {
	for (const {name, wantedMs, leftMs, random, afterMs} of waitCases) {
		it(name, () => {
			expect(Math.round(retryAfterWait(wantedMs, leftMs, random))).toEqual(afterMs);
		});
	}
});
