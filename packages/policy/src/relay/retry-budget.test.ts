/** Repeats of all hosts together must stay within the bound of any window. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {permitLifetimeMs, settleMsOf} from './allowance-share.js';
import {RequestCredit} from './request-credit.js';
import {RetryBudget, type RetryPermit} from './retry-budget.js';

const rule = {ratio: 0.2, allowance: 40, windowMs: 10_000};
const transitMs = 500;
const loan = {origin: {lender: 'other', ask: 1}};

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly requests: number;
	/** Time from the requests to the repeats. */
	readonly laterMs: number;
	readonly granted: number;
};

const cases: readonly Case[] = [
	{
		name: 'gives a single host the whole allowance, less the margin', hosts: 1, requests: 0, laterMs: 0, granted: 38,
	},
	{
		name: 'divides the allowance among ten hosts', hosts: 10, requests: 0, laterMs: 0, granted: 3,
	},
	{
		name: 'adds half a fraction of the requests at once', hosts: 10, requests: 100, laterMs: 0, granted: 13,
	},
	{
		name: 'ignores requests of an earlier window', hosts: 10, requests: 100, laterMs: 11_100, granted: 3,
	},
];

function takeAll(budget: RetryBudget, now: number): RetryPermit[] {
	const permits: RetryPermit[] = [];
	for (let permit = budget.take(now); permit !== undefined; permit = budget.take(now)) {
		permits.push(permit);
	}

	return permits;
}

/** Requests that count for a window: those in it, in the one before it or in the one half a window earlier, whichever are most. */
function countRequests(requests: readonly number[], from: number): number {
	const {windowMs} = rule;
	return Math.max(...[0, windowMs / 2, windowMs].map(shift => requests.filter(at => at >= from - shift && at < from - shift + windowMs).length));
}

const hostCount = 5;
const actNames = ['request', 'requests', 'repeat', 'repeats', 'lend', 'return', 'restart'] as const;
const batch = 10;

type Step = {
	readonly host: number;
	readonly other: number;
	/** Time from a repeat to its arrival. */
	readonly delayMs: number;
};

/** Budgets of hosts that each have an equal share, and that restart. */
class PlayedBudgets {
	now = 0;
	readonly requests: number[] = [];
	readonly arrivals: number[] = [];
	readonly acts: Readonly<Record<typeof actNames[number], (step: Step) => void>> = {
		request: ({host}) => {
			this.#budgets[host]?.recordRequest(this.now);
			this.requests.push(this.now);
		},
		requests: step => {
			for (let count = 0; count < batch; count += 1) {
				this.acts.request(step);
			}
		},
		repeat: ({host, delayMs}) => {
			if (this.#budgets[host]?.take(this.now) !== undefined) {
				this.arrivals.push(this.now + delayMs);
			}
		},
		repeats: step => {
			for (let count = 0; count < batch; count += 1) {
				this.acts.repeat(step);
			}
		},
		lend: ({host, other}) => {
			const lender = this.#budgets[host];
			this.#budgets[other]?.receive({amount: lender?.lend(3, this.now) ?? 0, until: this.now + permitLifetimeMs, origin: {lender: '', ask: this.#loans.length}});
			this.#loans.push({lender, at: this.now});
		},
		return: ({host}) => {
			for (const {amount, origin} of this.#budgets[host]?.removeLoans(Number.POSITIVE_INFINITY) ?? []) {
				const loan = this.#loans[origin?.ask ?? -1];
				loan?.lender?.reclaim(amount, loan.at);
			}
		},
		restart: ({host}) => {
			this.#settledAt[host] = this.now + settleMsOf(rule.windowMs);
			this.#budgets[host] = this.#make(host);
		},
	};

	readonly #settledAt = Array.from({length: hostCount}, () => 0);
	readonly #loans: Array<{readonly lender: RetryBudget | undefined; readonly at: number}> = [];
	readonly #budgets = Array.from({length: hostCount}, (_, host) => this.#make(host));

	#make(host: number): RetryBudget {
		return new RetryBudget(rule, () => this.now >= (this.#settledAt[host] ?? 0) ? 1 / hostCount : 0);
	}
}

describe('retry budget', () => {
	for (const {name, hosts, requests, laterMs, granted} of cases) {
		it(name, () => {
			const budget = new RetryBudget(rule, () => 1 / hosts);
			for (let request = 0; request < requests; request += 1) {
				budget.recordRequest(0);
			}

			expect(takeAll(budget, laterMs).length).toEqual(granted);
		});
	}

	it('sustains most of what steady requests allow, without any share', () => {
		const budget = new RetryBudget(rule, () => 0);
		let granted = 0;
		for (let now = 0; now < 60_000; now += 10) {
			budget.recordRequest(now);
			granted += now < 30_000 ? 0 : takeAll(budget, now).length;
		}

		expect(granted).toBeGreaterThan(0.8 * rule.ratio * 3000);
	});

	it('returns permits that were not used', () => {
		const budget = new RetryBudget(rule, () => 0.5);
		const permits = takeAll(budget, 0);
		for (const permit of permits) {
			budget.refund(permit);
		}

		expect(takeAll(budget, 900).length).toEqual(permits.length);
	});

	it('uses parts of other hosts before they expire, and no longer', () => {
		const budget = new RetryBudget(rule, () => 0);
		budget.receive({...loan, amount: 0.6, until: 1000});
		budget.receive({...loan, amount: 0.6, until: 800});
		expect(budget.take(0)?.sendBy).toEqual(800);
		expect(budget.take(0)).toEqual(undefined);
		budget.receive({...loan, amount: 1, until: 1000});
		expect(budget.take(1000)).toEqual(undefined);
	});

	it('keeps the bound of all hosts together in any window, with parts that move between hosts', () => {
		const step = fc.record({
			host: fc.nat({max: hostCount - 1}), other: fc.nat({max: hostCount - 1}), waitMs: fc.nat({max: 900}), act: fc.constantFrom(...actNames), delayMs: fc.nat({max: permitLifetimeMs + transitMs - 1}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 300}), steps => {
			const fleet = new PlayedBudgets();
			for (const each of steps) {
				fleet.now += each.waitMs;
				fleet.acts[each.act](each);
			}

			const {arrivals, requests} = fleet;
			for (const from of arrivals) {
				const repeats = arrivals.filter(at => at >= from && at < from + rule.windowMs).length;
				expect(repeats <= (rule.ratio * countRequests(requests, from)) + rule.allowance).toEqual(true);
			}
		}), {seed: 3, numRuns: 300});
	});
});

describe('request credit', () => {
	it('keeps the bound of all hosts together for any requests', () => {
		const hosts = 3;
		const step = fc.record({
			host: fc.nat({max: hosts - 1}), waitMs: fc.nat({max: 3000}), requests: fc.nat({max: 60}), transitMs: fc.nat({max: permitLifetimeMs + transitMs - 1}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const credits = Array.from({length: hosts}, () => new RequestCredit(rule));
			const requests: number[] = [];
			const arrivals: number[] = [];
			let now = 0;
			for (const {host, waitMs, requests: count, transitMs: delayMs} of steps) {
				now += waitMs;
				for (let index = 0; index < count; index += 1) {
					credits[host]?.recordRequest(now);
					requests.push(now);
				}

				for (const credit of credits) {
					while (credit.left(now) >= 1) {
						credit.take(1, now);
						arrivals.push(now + delayMs);
					}
				}
			}

			for (const from of arrivals) {
				const repeats = arrivals.filter(at => at >= from && at < from + rule.windowMs).length;
				expect(repeats <= rule.ratio * countRequests(requests, from)).toEqual(true);
			}
		}), {seed: 4, numRuns: 300});
	});
});
