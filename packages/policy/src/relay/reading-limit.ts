/**
 * How long a request waits for a prefill replica before its decode replica
 * reads the prompt itself. Efficiency: a decode replica that reads holds up
 * its own streams, some ten of them.
 */

/** Share of the target that a timely request's prompt may be expected to take: the rest is for its wait and its first steps. */
const timelyShare = 0.5;
/** The same for a request that is late in any case: beyond it its caller's patience is at stake. */
const lateShare = 1;
/** Time from a prompt's result to the first event, in milliseconds: the move of the memory and the first steps. */
const firstStepsMs = 100;

/** What the limit depends on. */
export type ReadingWish = {
	readonly targetMs: number;
	/** Time until the target, in milliseconds. */
	readonly leftMs: number;
	/** The caller was refused before, or wants the rest of a stream. */
	readonly isReturned: boolean;
};

/** Longest time that a prompt's reading may be expected to take, in milliseconds. */
export function mostReadingMs({targetMs, leftMs, isReturned}: ReadingWish): number {
	const timelyMs = leftMs - firstStepsMs;
	return isReturned || timelyMs <= 0 ? lateShare * targetMs : Math.min(timelyShare * targetMs, timelyMs);
}
