/** Sums of amounts over recent spans of time, at the resolution of one bucket. */

type Bucket = {
	readonly index: number;
	amount: number;
};

/** Amounts by the time at which they were recorded; times are in milliseconds. */
export class TimeBuckets {
	readonly #bucketMs: number;
	readonly #retentionMs: number;
	/** In the order of their times. */
	#buckets: Bucket[] = [];

	/** Amounts older than `retentionMs` are dropped. */
	constructor(bucketMs: number, retentionMs: number) {
		this.#bucketMs = bucketMs;
		this.#retentionMs = retentionMs;
	}

	/** Records an amount; a negative one takes back what was recorded for the same time. */
	add(amount: number, at: number): void {
		const index = this.indexOf(at);
		const place = this.#buckets.findIndex(bucket => bucket.index >= index);
		const found = this.#buckets[place];
		if (found?.index === index) {
			found.amount += amount;
			return;
		}

		this.#buckets.splice(place === -1 ? this.#buckets.length : place, 0, {index, amount});
	}

	/** Returns the sum from the bucket that contains `from` on, with amounts recorded for later times. */
	sumSince(from: number): number {
		return this.sumFrom(this.indexOf(from));
	}

	/** Returns the sum from a bucket on. */
	sumFrom(first: number): number {
		let sum = 0;
		for (const {index, amount} of this.#buckets) {
			sum += index >= first ? amount : 0;
		}

		return sum;
	}

	/** Drops what is older than the retention time. */
	expire(now: number): void {
		const first = this.indexOf(now - this.#retentionMs);
		if ((this.#buckets[0]?.index ?? first) < first) {
			this.#buckets = this.#buckets.filter(({index}) => index >= first);
		}
	}

	/** Number of the bucket that contains a time. */
	indexOf(at: number): number {
		return Math.floor(at / this.#bucketMs);
	}
}
