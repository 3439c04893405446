/** Measures by how much the event loop is late. While it stands still, nothing is read, sent or logged, and no timer runs. */
import process from 'node:process';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type Log} from './log.js';

/** Interval between measurements, in milliseconds; a shorter delay between two of them goes unnoticed. */
const intervalMs = 100;
/** Delay from which a line is logged, in milliseconds. */
const loggedDelayMs = 250;
/** Period over which the longest delay is kept, in milliseconds; at most twice as long. */
const periodMs = 30_000;
const microsecondsPerMillisecond = 1000;

export type EventLoopMonitorParts = {
	readonly clock: Clock;
	readonly log: Log;
	/** Called after each measurement with the longest delay of the last 30 to 60 seconds, in milliseconds. */
	readonly onMeasured?: (longestDelayMs: number) => void;
	/** Processor time of this process, in milliseconds; absent: as the system states it. */
	readonly readProcessorMs?: () => number;
};

function readOwnProcessorMs(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / microsecondsPerMillisecond;
}

/** Delays of the event loop of one process. */
export class EventLoopMonitor {
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #onMeasured: (longestDelayMs: number) => void;
	readonly #readProcessorMs: () => number;
	#timer: Timer | undefined;
	#measuredAt = 0;
	#processorMs = 0;
	#periodStartedAt = 0;
	/** Longest delays of the current period and of the one before, in milliseconds. */
	#longestMs = 0;
	#earlierLongestMs = 0;

	constructor({clock, log, onMeasured = ignore, readProcessorMs = readOwnProcessorMs}: EventLoopMonitorParts) {
		this.#clock = clock;
		this.#log = log;
		this.#onMeasured = onMeasured;
		this.#readProcessorMs = readProcessorMs;
	}

	start(): void {
		this.#measuredAt = this.#clock.now();
		this.#periodStartedAt = this.#measuredAt;
		this.#processorMs = this.#readProcessorMs();
		this.#schedule();
	}

	stop(): void {
		this.#timer?.stop();
	}

	#schedule(): void {
		this.#timer = this.#clock.after(intervalMs, () => {
			this.#measure();
			this.#schedule();
		});
	}

	#measure(): void {
		const now = this.#clock.now();
		const processorMs = this.#readProcessorMs();
		const delayMs = Math.max(0, now - this.#measuredAt - intervalMs);
		if (now - this.#periodStartedAt >= periodMs) {
			this.#periodStartedAt = now;
			this.#earlierLongestMs = this.#longestMs;
			this.#longestMs = 0;
		}

		this.#longestMs = Math.max(this.#longestMs, delayMs);
		this.#onMeasured(Math.max(this.#longestMs, this.#earlierLongestMs));
		if (delayMs >= loggedDelayMs) {
			this.#log('eventLoopDelayed', {delayMs: Math.round(delayMs), processorMs: Math.round(processorMs - this.#processorMs)});
		}

		this.#measuredAt = now;
		this.#processorMs = processorMs;
	}
}
