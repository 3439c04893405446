/**
 * Monotonic clock and timers, passed in as a dependency so that tests can
 * control time. Safety: all timeouts use this clock and never the wall clock,
 * which can be set.
 */
import {uptime} from 'node:os';

const millisecondsPerSecond = 1000;

export type Timer = {
	/** Cancels the timer; has no effect once it has fired. */
	stop(): void;
};

/** Monotonic time in milliseconds and timers on it. */
export type Clock = {
	/** Milliseconds since an arbitrary start; never decreases. */
	now(): number;
	/** Calls `run` once after `delayMs`, however long that is. */
	after(delayMs: number, run: () => void): Timer;
};

/** Clocks of the operating system, in milliseconds. */
export type ClockSources = {
	/** Monotonic clock; stops while the system is suspended. */
	monotonic(): number;
	/** Wall clock; can be set forwards and backwards. */
	wall(): number;
	/** Time since boot, including time suspended. Reads a file; throws if it cannot be read. */
	uptime(): number;
};

export const machineSources: ClockSources = {
	monotonic: () => performance.now(),
	wall: () => Date.now(),
	uptime: () => uptime() * millisecondsPerSecond,
};

/** Longest delay of one of Node's timers, in milliseconds; it runs a longer one at once. */
const maxTimerMs = (2 ** 31) - 1;
/** Change of the wall clock against the monotonic clock that is checked for a suspend, in milliseconds; three times the resolution of the uptime. */
const minSuspendMs = 30;
/** Interval at which the clocks are compared if the wall clock has not jumped, in milliseconds. A comparison reads a file, so it is not made at every call. */
const compareIntervalMs = 250;
/** Change of the uptime against the monotonic clock from which the uptime is unreliable, in milliseconds; it may only run ahead, and only during a suspend. */
const maxUptimeDriftMs = 50;
/** Maximum duration of a comparison, in milliseconds; if the process was preempted for longer, the readings do not belong to one instant. */
const maxCompareMs = 5;

/** Offsets between the clocks at their last comparison, in milliseconds. */
type ClockOffsets = {
	readonly at: number;
	/** Wall clock minus monotonic clock. */
	readonly wallOffset: number;
	/** Uptime minus monotonic clock; undefined if the uptime could not be read. */
	readonly uptimeOffset: number | undefined;
};

/**
 * Monotonic clock that includes time suspended. Safety: the ages of leases,
 * evidence and orders rest on it; they must not appear fresh after the system
 * was suspended. A jump of the wall clock is a cheap hint of a suspend, which
 * the uptime then confirms. If the uptime cannot be read or is unreliable, as
 * in some containers, a forward jump of the wall clock counts as a suspend. A
 * suspend is missed if the wall clock was set back by its length meanwhile, to
 * within `minSuspendMs`.
 */
class SuspendAwareClock {
	readonly #sources: ClockSources;
	#last: ClockOffsets;
	#isUptimeTrusted = true;
	#suspendedMs = 0;

	constructor(sources: ClockSources) {
		this.#sources = sources;
		this.#last = this.#compare();
	}

	now(): number {
		const monotonic = this.#sources.monotonic();
		const change = this.#sources.wall() - monotonic - this.#last.wallOffset;
		if (Math.abs(change) >= minSuspendMs || monotonic - this.#last.at >= compareIntervalMs) {
			this.#checkForSuspend();
			return this.#sources.monotonic() + this.#suspendedMs;
		}

		return monotonic + this.#suspendedMs;
	}

	#checkForSuspend(): void {
		const before = this.#last;
		const now = this.#compare();
		const wallChange = now.wallOffset - before.wallOffset;
		const hasJumped = Math.abs(wallChange) >= minSuspendMs;
		const uptimeChange = this.#measureUptimeChange(before, now, hasJumped);
		if (hasJumped) {
			this.#suspendedMs += Math.max(0, uptimeChange ?? wallChange);
			this.#last = now;
			return;
		}

		// Keeps the first uptime offset as the reference, so that rounding errors do not accumulate
		this.#last = {...now, uptimeOffset: before.uptimeOffset ?? now.uptimeOffset};
	}

	/** Time by which the uptime ran ahead of the monotonic clock, in milliseconds; undefined if unknown or unreliable. */
	#measureUptimeChange(before: ClockOffsets, now: ClockOffsets, hasJumped: boolean): number | undefined {
		if (!this.#isUptimeTrusted || before.uptimeOffset === undefined || now.uptimeOffset === undefined) {
			return undefined;
		}

		const change = now.uptimeOffset - before.uptimeOffset;
		this.#isUptimeTrusted = change > -maxUptimeDriftMs && (hasJumped || change < maxUptimeDriftMs);
		return this.#isUptimeTrusted ? change : undefined;
	}

	#compare(): ClockOffsets {
		const at = this.#sources.monotonic();
		const wallOffset = this.#sources.wall() - at;
		const uptimeOffset = this.#readUptime(at);
		const durationMs = this.#sources.monotonic() - at;
		return {at, wallOffset, uptimeOffset: durationMs > maxCompareMs ? undefined : uptimeOffset};
	}

	#readUptime(monotonic: number): number | undefined {
		try {
			return this.#sources.uptime() - monotonic;
		} catch {
			// Not available on every system; the wall clock is used instead
			return undefined;
		}
	}
}

/** Starts a timer of any delay, in several steps if necessary. */
function startTimer(delayMs: number, run: () => void): Timer {
	let handle: NodeJS.Timeout;
	const wait = (leftMs: number) => {
		const isLast = !(leftMs > maxTimerMs);
		handle = isLast
			? setTimeout(run, Math.max(0, leftMs))
			: setTimeout(() => {
				wait(leftMs - maxTimerMs);
			}, maxTimerMs);
	};

	wait(delayMs);
	return {
		stop() {
			clearTimeout(handle);
		},
	};
}

export function makeSystemClock(sources: ClockSources): Clock {
	const clock = new SuspendAwareClock(sources);
	return {now: () => clock.now(), after: startTimer};
}

export const systemClock: Clock = makeSystemClock(machineSources);
