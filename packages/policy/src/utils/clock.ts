/** Time as the decisions see it: monotonic milliseconds, handed in, so that tests own it. Safety: time-outs follow this clock alone, never the time of day, which jumps. */

/** A timer that can be stopped. */
export type Timer = {
	/** Stops the timer; harmless once it has fired. */
	stop(): void;
};

/** Monotonic time in milliseconds and timers on it. */
export type Clock = {
	/** Milliseconds since an arbitrary start; never goes back. */
	now(): number;
	/** Calls `run` once, `delayMs` from now. */
	after(delayMs: number, run: () => void): Timer;
};

/** The machine's own monotonic clock. */
export const systemClock: Clock = {
	now: () => performance.now(),
	after(delayMs, run) {
		const handle = setTimeout(run, Math.max(0, delayMs));
		return {
			stop() {
				clearTimeout(handle);
			},
		};
	},
};
