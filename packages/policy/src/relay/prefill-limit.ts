/**
 * Limits how long a request waits for a prefill replica before its decode
 * replica computes the prefill itself, which stalls the streams that the
 * decode replica is serving.
 */

/** Fraction of the target for the prefill of a request that can still be in time; the rest is for waiting and the first decode steps. */
const onTimeFraction = 0.5;
/** Fraction of the target for the prefill of a request that is late anyway; a longer wait risks the caller's timeout. */
const lateFraction = 1;
/** Time from the end of prefill to the first event, in milliseconds: KV cache transfer and the first decode steps. */
const firstStepsMs = 100;

/** Input of the limit. */
export type PrefillLimitInput = {
	/** Target time to the first event, in milliseconds. */
	readonly targetMs: number;
	/** Time until the target, in milliseconds. */
	readonly leftMs: number;
	/** The caller is retrying after a rejection, or resuming a stream. */
	readonly isRetry: boolean;
};

/** Returns the maximum expected prefill time, including the queue, in milliseconds. */
export function maxPrefillWaitMs({targetMs, leftMs, isRetry}: PrefillLimitInput): number {
	const availableMs = leftMs - firstStepsMs;
	return isRetry || availableMs <= 0 ? lateFraction * targetMs : Math.min(onTimeFraction * targetMs, availableMs);
}
