/**
 * Repeats that one host may make for the requests that entered it.
 *
 * Safety: for every time s, the repeats since s are at most half of `ratio`
 * times the requests since one window before s. Both sides add up over hosts
 * and over successive processes of a host, so the rule needs no coordination and
 * no state from before a restart. The requests since one window before
 * s are those of the window that begins at s and of the one before it, of
 * which the bound counts the larger; half of their sum is never more.
 */
import {TimeBuckets} from '../utils/time-buckets.js';

const bucketsPerWindow = 20;
/** Buckets by which requests count shorter and repeats longer than a window: a repeat may arrive three buckets after it was taken, a caller sends a request up to one bucket before it enters, and one is the resolution. */
const marginBuckets = 5;

export type RequestCreditOptions = {
	/** Repeats allowed for each request. */
	readonly ratio: number;
	readonly windowMs: number;
};

/** Credit of one host for one service; times are in milliseconds. */
export class RequestCredit {
	readonly #ratio: number;
	readonly #requests: TimeBuckets;
	readonly #repeats: TimeBuckets;

	constructor({ratio, windowMs}: RequestCreditOptions) {
		const bucketMs = windowMs / bucketsPerWindow;
		const retentionMs = (2 * windowMs) + (marginBuckets * bucketMs);
		this.#ratio = ratio;
		this.#requests = new TimeBuckets(bucketMs, retentionMs);
		this.#repeats = new TimeBuckets(bucketMs, retentionMs);
	}

	recordRequest(now: number): void {
		this.#requests.expire(now);
		this.#requests.add(1, now);
	}

	/** Returns the repeats that may be taken now. */
	left(now: number): number {
		this.#requests.expire(now);
		this.#repeats.expire(now);
		const last = this.#requests.indexOf(now);
		let least = Number.POSITIVE_INFINITY;
		for (let age = 0; age < bucketsPerWindow + marginBuckets; age += 1) {
			const first = last - age;
			const requests = this.#requests.sumFrom(first - bucketsPerWindow + marginBuckets);
			least = Math.min(least, (this.#ratio * requests / 2) - this.#repeats.sumFrom(first));
		}

		return least;
	}

	/** Takes a repeat, or a part of one; the caller has checked that it is left. */
	take(amount: number, now: number): void {
		this.#repeats.add(amount, now);
	}

	/** Refunds an amount taken at `takenAt` for a repeat that did not arrive. */
	refund(amount: number, takenAt: number): void {
		this.#repeats.add(-amount, takenAt);
	}

	/** Returns the repeats taken since a time. */
	repeatsSince(from: number): number {
		return this.#repeats.sumSince(from);
	}

	/** Returns the requests recorded since a time. */
	requestsSince(from: number): number {
		return this.#requests.sumSince(from);
	}
}
