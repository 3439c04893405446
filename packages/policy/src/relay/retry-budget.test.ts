/** Extra sends of all hosts together must stay within the bound of any window. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {RetryBudget} from './retry-budget.js';

const rule = {ratio: 0.2, allowance: 40, windowMs: 10_000};

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly requests: number;
	/** Time from the requests to the extra sends. */
	readonly laterMs: number;
	readonly granted: number;
};

const cases: readonly Case[] = [
	{
		name: 'gives a single host the whole allowance, less the margin', hosts: 1, requests: 0, laterMs: 0, granted: 30,
	},
	{
		name: 'divides the allowance among ten hosts', hosts: 10, requests: 0, laterMs: 0, granted: 3,
	},
	{
		name: 'adds a fraction of the requests', hosts: 10, requests: 100, laterMs: 0, granted: 18,
	},
	{
		name: 'ignores requests of an earlier window', hosts: 10, requests: 100, laterMs: 11_100, granted: 3,
	},
];

function takeAll(budget: RetryBudget, now: number): number {
	let granted = 0;
	while (budget.take(now)) {
		granted += 1;
	}

	return granted;
}

describe('retry budget', () => {
	for (const {name, hosts, requests, laterMs, granted} of cases) {
		it(name, () => {
			const budget = new RetryBudget(rule, () => hosts);
			for (let request = 0; request < requests; request += 1) {
				budget.recordRequest(0);
			}

			expect(takeAll(budget, laterMs)).toEqual(granted);
		});
	}

	it('keeps the bound of all hosts together in any window', () => {
		const step = fc.record({host: fc.nat({max: 4}), waitMs: fc.nat({max: 900}), isRequest: fc.boolean()});
		fc.assert(fc.property(fc.array(step, {maxLength: 400}), steps => {
			const budgets = Array.from({length: 5}, () => new RetryBudget(rule, () => 5));
			const requests: number[] = [];
			const extras: number[] = [];
			let now = 0;
			for (const {host, waitMs, isRequest} of steps) {
				now += waitMs;
				if (isRequest) {
					budgets[host]?.recordRequest(now);
					requests.push(now);
				} else if (budgets[host]?.take(now)) {
					extras.push(now);
				}
			}

			for (const end of extras) {
				const inWindow = (at: number) => at <= end && at > end - rule.windowMs;
				const before = (at: number) => at <= end && at > end - (2 * rule.windowMs);
				expect(extras.filter(at => inWindow(at)).length <= (rule.ratio * requests.filter(at => before(at)).length) + rule.allowance).toEqual(true);
			}
		}), {seed: 3});
	});
});
