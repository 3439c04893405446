/**
 * How hard a cell is pressed, and when a refused caller should come back:
 * later the more is refused, spread so that refused callers do not return
 * together. Efficiency only.
 */
import {jitter, type Random} from '../utils/random.js';

const halfLifeMs = 5000;
const shortestMs = 1000;
const longestMs = 60_000;
const spread = 0.5;

/** Decaying counts of grants and refusals. */
export class Pressure {
	#granted = 0;
	#refused = 0;
	#at = 0;

	/** Counts a grant. */
	grant(now: number): void {
		this.#decay(now);
		this.#granted += 1;
	}

	/** Counts a refusal and says when to come back, in milliseconds. */
	refuse(now: number, random: Random): number {
		this.#decay(now);
		this.#refused += 1;
		const ratio = this.#refused / (this.#granted + 1);
		return Math.round(jitter(random, Math.min(longestMs, shortestMs * (1 + ratio)), spread));
	}

	#decay(now: number): void {
		const factor = 2 ** ((this.#at - now) / halfLifeMs);
		this.#granted *= factor;
		this.#refused *= factor;
		this.#at = now;
	}
}
