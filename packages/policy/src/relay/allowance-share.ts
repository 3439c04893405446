/**
 * One host's share of the fixed allowance of a retry budget. The host spends
 * it, or gives parts of it to other hosts, which use them within
 * `permitLifetimeMs`.
 *
 * Safety: in any window, what was spent or given is at most the share, as
 * everything counts from when it was taken until one window after its latest
 * possible use. The shares of all hosts add up to at most one
 * (fleet-census.ts).
 */
import {TimeBuckets} from '../utils/time-buckets.js';

/** Time after it was taken in which a permit, or a part given to another host, must be used, in milliseconds: the host connects to an endpoint in that time. */
export const permitLifetimeMs = 1000;
/** Maximum time from the last check of a permit to the arrival at the endpoint, in milliseconds. */
const transitMs = 500;
const bucketsPerWindow = 40;
/** Largest part of its share that a host keeps for itself when others ask. */
const keptFraction = 0.5;

/** Time after which nothing that a process took can arrive within the same window as what is taken now, in milliseconds. */
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
	readonly #given: TimeBuckets;

	constructor(windowMs: number, size: () => number) {
		const bucketMs = windowMs / bucketsPerWindow;
		this.#windowMs = windowMs;
		this.#size = size;
		this.#spent = new TimeBuckets(bucketMs, windowMs);
		this.#given = new TimeBuckets(bucketMs, windowMs);
	}

	/** Returns what is left of the share. */
	left(now: number): number {
		return Math.max(0, this.#size() - this.spent(now) - this.given(now));
	}

	/** Returns what this host has spent itself and still counts. */
	spent(now: number): number {
		this.#spent.expire(now);
		return this.#spent.sumSince(now - this.#windowMs);
	}

	/** Returns what other hosts were given and still counts. */
	given(now: number): number {
		this.#given.expire(now);
		return this.#given.sumSince(now - this.#windowMs);
	}

	/** Spends an amount; the caller has checked that it is left. */
	take(amount: number, now: number): void {
		this.#spent.add(amount, latestArrival(now));
	}

	/** Takes back what was spent at `takenAt` and did not arrive. */
	refund(amount: number, takenAt: number): void {
		this.#spent.add(-amount, latestArrival(takenAt));
	}

	/** Gives another host up to `wanted`; returns the amount. A part is kept as large as this host's own use. */
	give(wanted: number, now: number): number {
		const kept = Math.min(keptFraction * this.#size(), this.spent(now));
		const given = Math.max(0, Math.min(wanted, this.left(now) - kept));
		if (given > 0) {
			this.#given.add(given, latestArrival(now));
		}

		return given;
	}

	/** Takes back a part that another host was given at `givenAt` and has not used. */
	takeBack(amount: number, givenAt: number): void {
		this.#given.add(-amount, latestArrival(givenAt));
	}
}

function latestArrival(takenAt: number): number {
	return takenAt + permitLifetimeMs + transitMs;
}
