/**
 * Limits one host's extra sends, meaning those beyond the first of each
 * request. The bound of a service is shared by all hosts: a fraction of the
 * requests in a window, plus a fixed allowance that is divided among the hosts.
 * Safety: the bound relies on every host staying within its own share, based
 * on an upper estimate of the number of hosts.
 */

/** Buckets per window: the window's length is accurate to a tenth. */
const bucketCount = 10;
/** Fraction of the bound that is used, as a margin for a wrong host count and requests in flight. */
const safetyFactor = 0.75;

/** Bound for all hosts together. */
export type RetryRule = {
	/** Extra sends allowed per request in the window. */
	readonly ratio: number;
	/** Additional extra sends allowed per window, for all hosts together. */
	readonly allowance: number;
	readonly windowMs: number;
};

type Bucket = {
	readonly index: number;
	requests: number;
	extras: number;
};

/** One service's budget on one host; times are in milliseconds. */
export class RetryBudget {
	readonly #rule: RetryRule;
	readonly #countHosts: () => number;
	#buckets: Bucket[] = [];

	constructor(rule: RetryRule, countHosts: () => number) {
		this.#rule = rule;
		this.#countHosts = countHosts;
	}

	/** Records a new request. */
	recordRequest(now: number): void {
		this.#bucketAt(now).requests += 1;
	}

	/** Spends one extra send. Returns false if none is left. */
	take(now: number): boolean {
		if (this.left(now) < 1) {
			return false;
		}

		this.#bucketAt(now).extras += 1;
		return true;
	}

	/** Returns extra sends that were taken and not made. */
	refund(extras: number, now: number): void {
		this.#bucketAt(now).extras -= extras;
	}

	/** Returns the extra sends left in the current window. */
	left(now: number): number {
		this.#dropExpired(now);
		let requests = 0;
		let extras = 0;
		for (const bucket of this.#buckets) {
			requests += bucket.requests;
			extras += bucket.extras;
		}

		const {ratio, allowance} = this.#rule;
		return (safetyFactor * ((ratio * requests) + (allowance / Math.max(1, this.#countHosts())))) - extras;
	}

	#bucketAt(now: number): Bucket {
		this.#dropExpired(now);
		const index = Math.floor(now * bucketCount / this.#rule.windowMs);
		const last = this.#buckets.at(-1);
		if (last?.index === index) {
			return last;
		}

		const bucket = {index, requests: 0, extras: 0};
		this.#buckets.push(bucket);
		return bucket;
	}

	#dropExpired(now: number): void {
		const first = Math.floor(now * bucketCount / this.#rule.windowMs) - bucketCount;
		this.#buckets = this.#buckets.filter(({index}) => index >= first);
	}
}
