/** Catalogue: second sends stay within the bound that all hosts share. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {RetryBudget} from './retry-budget.js';

const rule = {ratio: 0.2, allowance: 40, windowMs: 10_000};

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly requests: number;
	/** Time between the requests and the asking. */
	readonly laterMs: number;
	readonly granted: number;
};

const cases: readonly Case[] = [
	{
		name: 'a host that stands alone has the whole allowance, less caution', hosts: 1, requests: 0, laterMs: 0, granted: 30,
	},
	{
		name: 'ten hosts share it', hosts: 10, requests: 0, laterMs: 0, granted: 3,
	},
	{
		name: 'requests add their share', hosts: 10, requests: 100, laterMs: 0, granted: 18,
	},
	{
		name: 'requests of an earlier window do not', hosts: 10, requests: 100, laterMs: 11_100, granted: 3,
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
				budget.arrive(0);
			}

			expect(takeAll(budget, laterMs)).toEqual(granted);
		});
	}

	it('in no window do all hosts together go beyond the bound', () => {
		const step = fc.record({host: fc.nat({max: 4}), waitMs: fc.nat({max: 900}), isRequest: fc.boolean()});
		fc.assert(fc.property(fc.array(step, {maxLength: 400}), steps => {
			const budgets = Array.from({length: 5}, () => new RetryBudget(rule, () => 5));
			const requests: number[] = [];
			const extras: number[] = [];
			let now = 0;
			for (const {host, waitMs, isRequest} of steps) {
				now += waitMs;
				if (isRequest) {
					budgets[host]?.arrive(now);
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
