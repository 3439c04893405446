/**
 * Computes when a refused caller should retry: the delay grows with the ratio
 * of refusals to grants, with jitter so that callers do not retry together.
 */
import {jitter, type Random} from '../utils/random.js';

const halfLifeMs = 5000;
/** Bounds of the delay before jitter. */
const minRetryMs = 1000;
const maxRetryMs = 60_000;
const retryJitter = 0.5;

/** Exponentially decaying counts of grants and refusals. */
export class RefusalBackoff {
	#granted = 0;
	#refused = 0;
	#decayedAt = 0;

	recordGrant(now: number): void {
		this.#decay(now);
		this.#granted += 1;
	}

	/** Counts a refusal and returns the delay before a retry, in milliseconds. */
	recordRefusal(now: number, random: Random): number {
		this.#decay(now);
		this.#refused += 1;
		const ratio = this.#refused / (this.#granted + 1);
		return Math.round(jitter(random, Math.min(maxRetryMs, minRetryMs * (1 + ratio)), retryJitter));
	}

	#decay(now: number): void {
		const factor = 2 ** ((this.#decayedAt - now) / halfLifeMs);
		this.#granted *= factor;
		this.#refused *= factor;
		this.#decayedAt = now;
	}
}
