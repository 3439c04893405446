/**
 * One host's share of the fixed allowance of a retry budget. The host spends
 * it or lends parts of it to other hosts, which must use them within
 * `permitLifetimeMs`.
 *
 * Safety: repeats paid from the share in any window are at most the share,
 * because an amount counts from the time it was taken until one window after
 * its latest possible arrival. The shares of all hosts add up to at most the
 * allowance (fleet-census.ts).
 */
import {TimeBuckets} from '../utils/time-buckets.js';

/** Lifetime of a permit, or of a part lent to another host, in milliseconds; covers the connection to an endpoint. */
export const permitLifetimeMs = 1000;
/** Maximum time from the last check of a permit to the arrival at the endpoint, in milliseconds. */
const transitMs = 500;
const bucketsPerWindow = 40;
/** Maximum fraction of its share that a host withholds from other hosts. */
const withheldFraction = 0.5;

/** Returns the time after which repeats of a previous process no longer count, in milliseconds. */
export function settleMsOf(windowMs: number): number {
	return windowMs + permitLifetimeMs + transitMs;
}

/** Share of one host for one service; times are in milliseconds. */
export class AllowanceShare {
	readonly #windowMs: number;
	/** Returns the share in repeats per window; 0 while the host may not use it. */
	readonly #size: () => number;
	/** By the latest possible arrival. */
	readonly #spent: TimeBuckets;
	readonly #lent: TimeBuckets;

	constructor(windowMs: number, size: () => number) {
		const bucketMs = windowMs / bucketsPerWindow;
		this.#windowMs = windowMs;
		this.#size = size;
		this.#spent = new TimeBuckets(bucketMs, windowMs);
		this.#lent = new TimeBuckets(bucketMs, windowMs);
	}

	/** Returns what is left of the share. */
	left(now: number): number {
		return Math.max(0, this.#size() - this.spent(now) - this.lent(now));
	}

	/** Returns the amount that this host has spent and that still counts. */
	spent(now: number): number {
		this.#spent.expire(now);
		return this.#spent.sumSince(now - this.#windowMs);
	}

	/** Returns the amount that was lent and still counts. */
	lent(now: number): number {
		this.#lent.expire(now);
		return this.#lent.sumSince(now - this.#windowMs);
	}

	/** Spends an amount; the caller has checked that it is left. */
	take(amount: number, now: number): void {
		this.#spent.add(amount, latestArrival(now));
	}

	/** Refunds an amount spent at `takenAt` for a repeat that did not arrive. */
	refund(amount: number, takenAt: number): void {
		this.#spent.add(-amount, latestArrival(takenAt));
	}

	/** Lends up to `wanted`, withholding as much as this host has spent; returns the amount. */
	lend(wanted: number, now: number): number {
		const withheld = Math.min(withheldFraction * this.#size(), this.spent(now));
		const lent = Math.max(0, Math.min(wanted, this.left(now) - withheld));
		if (lent > 0) {
			this.#lent.add(lent, latestArrival(now));
		}

		return lent;
	}

	/** Reclaims an unused amount lent at `lentAt`. */
	reclaim(amount: number, lentAt: number): void {
		this.#lent.add(-amount, latestArrival(lentAt));
	}
}

function latestArrival(takenAt: number): number {
	return takenAt + permitLifetimeMs + transitMs;
}
