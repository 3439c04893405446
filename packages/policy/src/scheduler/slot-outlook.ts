/**
 * Whether decode slots will be there in time: weighs free slots, forecast
 * releases and results that were granted before. Efficiency only.
 */
import {type DecodePool} from './decode-pool.js';
import {type Risk} from './risk.js';

/** Slots to come, as seen at one instant. */
export class SlotOutlook {
	readonly #pool: DecodePool;
	readonly #risk: Risk;
	/** When the results that have no slot yet are or will be ready, in order. */
	readonly #readies: readonly number[];
	readonly #now: number;

	constructor(pool: DecodePool, risk: Risk, readies: readonly number[], now: number) {
		this.#pool = pool;
		this.#risk = risk;
		this.#readies = readies.toSorted((left, right) => left - right);
		this.#now = now;
	}

	/** When a result that is ready at `readyAt` is expected to get its slot. */
	expectSlotAt(readyAt: number): number {
		return this.#now + this.#pool.expectFree(this.#countAhead(readyAt) + 1, this.#now);
	}

	/**
	 * Whether a slot is free, or surely will be while a result lives that is
	 * ready at `readyAt` and kept for `holdMs`; and still for each result that
	 * was granted before and is ready later.
	 */
	isSlotSure(readyAt: number, holdMs: number): boolean {
		const patienceMs = this.#risk.patience * holdMs;
		const ahead = this.#countAhead(readyAt);
		if (!this.#willBeFree(ahead + 1, readyAt + patienceMs)) {
			return false;
		}

		for (let later = ahead; later < this.#readies.length; later += 1) {
			if (!this.#willBeFree(later + 2, (this.#readies[later] ?? 0) + patienceMs)) {
				return false;
			}
		}

		return true;
	}

	#countAhead(readyAt: number): number {
		let ahead = 0;
		while (ahead < this.#readies.length && (this.#readies[ahead] ?? 0) <= readyAt) {
			ahead += 1;
		}

		return ahead;
	}

	#willBeFree(count: number, at: number): boolean {
		const free = this.#pool.countFree();
		if (free >= count) {
			return true;
		}

		const {mean, variance} = this.#pool.forecast(this.#now, Math.max(0, at - this.#now));
		return free + mean - (this.#risk.caution * Math.sqrt(variance)) >= count;
	}
}
