/** Shortest observed time that a rate is computed from, as a share of the averaging time; the first amounts may be those of a longer time. */
const minObservedShare = 0.25;

/** Exponentially decaying sum of amounts; its rate is corrected for the time before the first amounts could arrive. */
export class DecayingSum {
	readonly #averagingMs: number;
	readonly #startedAt: number;
	#sum = 0;
	#updatedAt: number;

	/** `averagingMs` is the time constant; `now` the time from which amounts are recorded. */
	constructor(averagingMs: number, now: number) {
		this.#averagingMs = averagingMs;
		this.#startedAt = now;
		this.#updatedAt = now;
	}

	add(amount: number, now: number): void {
		this.#sum = this.at(now) + amount;
		this.#updatedAt = now;
	}

	at(now: number): number {
		return this.#sum * Math.exp((this.#updatedAt - now) / this.#averagingMs);
	}

	/** Average amount per millisecond since the start, recent amounts weighing more. */
	perMs(now: number): number {
		const observedMs = this.#averagingMs * (1 - Math.exp((this.#startedAt - now) / this.#averagingMs));
		return this.at(now) / Math.max(this.#averagingMs * minObservedShare, observedMs);
	}
}
