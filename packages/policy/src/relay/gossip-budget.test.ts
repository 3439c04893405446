/** How often load is told. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GossipBudget} from './gossip-budget.js';

type Case = {
	readonly name: string;
	/** Broadcasts of 20 messages each, by their instants. */
	readonly sentAt: readonly number[];
	readonly now: number;
	readonly waitMs: number;
};

/** 40 messages a second, 120 saved up. */
const cases: readonly Case[] = [
	{
		name: 'few messages go at once', sentAt: [0, 500, 1000], now: 1000, waitMs: 0,
	},
	{
		name: 'a burst uses what was saved up', sentAt: [0, 0, 0, 0, 0, 0], now: 0, waitMs: 0,
	},
	{
		name: 'beyond it they are gathered', sentAt: [0, 0, 0, 0, 0, 0, 0], now: 0, waitMs: 500,
	},
	{
		name: 'the allowance comes back with time', sentAt: [0, 0, 0, 0, 0, 0, 0], now: 400, waitMs: 100,
	},
];

describe('the pace of news', () => {
	for (const {
		name, sentAt, now, waitMs,
	} of cases) {
		it(name, () => {
			const pace = new GossipBudget(40, 0);
			for (const at of sentAt) {
				pace.spend(20, at);
			}

			expect(Math.round(pace.waitMs(now))).toEqual(waitMs);
		});
	}
});
