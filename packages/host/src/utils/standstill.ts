/** Finds out since when a process may have stood still: what arrives meanwhile is seen late. */

/** Interval at which the process shows that it runs, in milliseconds. */
const intervalMs = 100;
/** Delay of that from which it counts as a standstill, in milliseconds. */
const minDelayMs = 50;

/** Standstills of this process. */
export class StandstillWatch {
	#ranAt = performance.now();
	/** Begin and end of the last standstill. */
	#last = {from: Number.NEGATIVE_INFINITY, to: Number.NEGATIVE_INFINITY};

	constructor() {
		setInterval(() => {
			const now = performance.now();
			if (this.#isLate(now)) {
				this.#last = {from: this.#ranAt, to: now};
			}

			this.#ranAt = now;
		}, intervalMs).unref();
	}

	/** Earliest time, by `performance.now`, at which something may have arrived that the process sees now. */
	earliestArrival(): number {
		const now = performance.now();
		if (this.#isLate(now)) {
			return this.#ranAt;
		}

		// Timers run before what has arrived is read
		return now - this.#last.to <= minDelayMs ? this.#last.from : now;
	}

	#isLate(now: number): boolean {
		return now - this.#ranAt >= intervalMs + minDelayMs;
	}
}
