/**
 * Predicts whether decode slots will be free in time, from the free slots, the
 * forecast releases and the prefill results that wait for a slot.
 */
import {type DecodePool} from './decode-pool.js';
import {type Risk} from './risk.js';

/** Slot forecast as of one instant. */
export class SlotForecast {
	readonly #pool: DecodePool;
	readonly #risk: Risk;
	/** Ready times, past or expected, of prefill results without a slot, in ascending order. */
	readonly #readyTimes: readonly number[];
	readonly #now: number;

	constructor(pool: DecodePool, risk: Risk, readyTimes: readonly number[], now: number) {
		this.#pool = pool;
		this.#risk = risk;
		this.#readyTimes = readyTimes.toSorted((left, right) => left - right);
		this.#now = now;
	}

	/** When a result that is ready at `readyAt` is expected to get a slot; Infinity beyond the forecast horizon. */
	expectedSlotAt(readyAt: number): number {
		return this.#now + this.#pool.expectedWaitMs(this.#countAhead(readyAt) + 1, this.#now);
	}

	/**
	 * Whether a slot is free or is forecast to be for a result that is ready at
	 * `readyAt` and held for `holdMs`, within the tolerated share of the hold
	 * time, without delaying granted results that are ready later beyond theirs.
	 */
	willHaveSlot(readyAt: number, holdMs: number): boolean {
		const maxWaitMs = this.#risk.waitShare * holdMs;
		const ahead = this.#countAhead(readyAt);
		if (!this.#willBeFree(ahead + 1, readyAt + maxWaitMs)) {
			return false;
		}

		for (let later = ahead; later < this.#readyTimes.length; later += 1) {
			if (!this.#willBeFree(later + 2, (this.#readyTimes[later] ?? 0) + maxWaitMs)) {
				return false;
			}
		}

		return true;
	}

	#countAhead(readyAt: number): number {
		let ahead = 0;
		while (ahead < this.#readyTimes.length && (this.#readyTimes[ahead] ?? 0) <= readyAt) {
			ahead += 1;
		}

		return ahead;
	}

	#willBeFree(count: number, at: number): boolean {
		const free = this.#pool.countFreeSlots();
		if (free >= count) {
			return true;
		}

		const {mean, variance} = this.#pool.forecast(this.#now, Math.max(0, at - this.#now));
		return free + mean - (this.#risk.safetyDeviations * Math.sqrt(variance)) >= count;
	}
}
