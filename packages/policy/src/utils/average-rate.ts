/** Exponentially decaying average of events per millisecond; recent events weigh more. */
export class AverageRate {
	readonly #averagingMs: number;
	#rate = 0;
	#updatedAt = 0;

	/** `averagingMs` is the time constant. */
	constructor(averagingMs: number) {
		this.#averagingMs = averagingMs;
	}

	/** Records an event, or an amount. */
	record(now: number, amount = 1): void {
		this.#rate = this.at(now) + (amount / this.#averagingMs);
		this.#updatedAt = now;
	}

	/** Returns the average at a time, per millisecond. */
	at(now: number): number {
		return this.#rate * Math.exp((this.#updatedAt - now) / this.#averagingMs);
	}
}
