import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GossipBudget} from './gossip-budget.js';

type Case = {
	readonly name: string;
	/** Times of broadcasts, of 20 messages each. */
	readonly sentAt: readonly number[];
	readonly now: number;
	readonly waitMs: number;
};

/** At 40 messages per second and a bucket of 120. */
const cases: readonly Case[] = [
	{
		name: 'messages below the rate are sent at once', sentAt: [0, 500, 1000], now: 1000, waitMs: 0,
	},
	{
		name: 'a burst empties the bucket', sentAt: [0, 0, 0, 0, 0, 0], now: 0, waitMs: 0,
	},
	{
		name: 'further messages wait once the bucket is empty', sentAt: [0, 0, 0, 0, 0, 0, 0], now: 0, waitMs: 500,
	},
	{
		name: 'the bucket refills over time', sentAt: [0, 0, 0, 0, 0, 0, 0], now: 400, waitMs: 100,
	},
];

describe('gossip budget', () => {
	for (const {
		name, sentAt, now, waitMs,
	} of cases) {
		it(name, () => {
			const budget = new GossipBudget(40, 0);
			for (const at of sentAt) {
				budget.spend(20, at);
			}

			expect(Math.round(budget.waitMs(now))).toEqual(waitMs);
		});
	}
});
