/** A prefill must not move to a decode replica while waiting for a prefill replica is cheaper. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {maxPrefillWaitMs, type PrefillLimitInput} from './prefill-limit.js';

type Case = PrefillLimitInput & {
	readonly name: string;
	readonly mostMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'allows half the target at first', targetMs: 900, leftMs: 900, isRetry: false, mostMs: 450,
	},
	{
		name: 'allows only the remaining time after a wait', targetMs: 900, leftMs: 400, isRetry: false, mostMs: 300,
	},
	{
		name: 'allows the whole target for a late request', targetMs: 900, leftMs: 80, isRetry: false, mostMs: 900,
	},
	{
		name: 'allows the whole target for a retry', targetMs: 900, leftMs: 900, isRetry: true, mostMs: 900,
	},
];

describe('prefill wait limit', () => {
	for (const {name, mostMs, ...wish} of cases) {
		it(name, () => {
			expect(maxPrefillWaitMs(wish)).toEqual(mostMs);
		});
	}
});
