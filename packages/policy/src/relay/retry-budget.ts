/**
 * How many sends beyond the first of each request one host may make. All
 * hosts share one bound a service: a share of the requests in a window, and
 * a fixed allowance, of which each host takes its part. Safety of the bound
 * rests on every host staying within its own part; the number of hosts is a
 * guess that is rounded up.
 */

/** Steps that a window is counted in: the bound holds in any window, to a tenth of it. */
const steps = 10;
/** Part of the whole bound that is used, so that a wrong count of hosts and requests on their way break nothing. */
const caution = 0.75;

/** The bound of all hosts together. */
export type RetryRule = {
	/** Extra sends for each request of the window. */
	readonly ratio: number;
	/** Extra sends allowed besides, in one window, by all hosts together. */
	readonly allowance: number;
	readonly windowMs: number;
};

type Step = {
	readonly index: number;
	requests: number;
	extras: number;
};

/** One service's budget at one host. */
export class RetryBudget {
	readonly #rule: RetryRule;
	readonly #countHosts: () => number;
	#steps: Step[] = [];

	constructor(rule: RetryRule, countHosts: () => number) {
		this.#rule = rule;
		this.#countHosts = countHosts;
	}

	/** Notes a request's arrival. */
	arrive(now: number): void {
		this.#stepAt(now).requests += 1;
	}

	/** Takes one extra send out of the budget, or says that none is left. */
	take(now: number): boolean {
		if (this.left(now) < 1) {
			return false;
		}

		this.#stepAt(now).extras += 1;
		return true;
	}

	/** Notes an extra send that happened without asking, as one that an endpoint turned away. */
	charge(now: number): void {
		this.#stepAt(now).extras += 1;
	}

	/** Extra sends left in the present window. */
	left(now: number): number {
		this.#forget(now);
		let requests = 0;
		let extras = 0;
		for (const step of this.#steps) {
			requests += step.requests;
			extras += step.extras;
		}

		const {ratio, allowance} = this.#rule;
		return (caution * ((ratio * requests) + (allowance / Math.max(1, this.#countHosts())))) - extras;
	}

	#stepAt(now: number): Step {
		this.#forget(now);
		const index = Math.floor(now * steps / this.#rule.windowMs);
		const last = this.#steps.at(-1);
		if (last?.index === index) {
			return last;
		}

		const step = {index, requests: 0, extras: 0};
		this.#steps.push(step);
		return step;
	}

	#forget(now: number): void {
		const first = Math.floor(now * steps / this.#rule.windowMs) - steps;
		this.#steps = this.#steps.filter(({index}) => index >= first);
	}
}
