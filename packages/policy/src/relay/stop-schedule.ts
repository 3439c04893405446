/** When the steps of a planned stop end. Safety: a process that is still there at the end of its grace period is killed, with all that has arrived for its callers and its last lines. */

/**
 * Part of the grace period that is left when requests in progress are rejected or broken off. A stop ends in time
 * if the process stands still for nearly as long at any moment of it.
 */
const endShare = 1 / 6;
/** Time before the end of the grace period at which connections are closed at the latest, in milliseconds. */
const closeMarginMs = 300;
/** The same as a share of the part above, in a short grace period. */
const closeShare = 3 / 4;
/** Time before the end of the grace period at which the process ends at the latest, whatever its stop still waits for, in milliseconds. */
const exitMarginMs = 200;
/** The same as a share of the part above, in a short grace period. */
const exitShare = 1 / 2;

/** Times of a planned stop, in milliseconds on one clock. */
export type StopSchedule = {
	/** When requests that are still in progress are rejected, and streams broken off. */
	readonly breaksOffAt: number;
	/** When connections are closed at the latest. */
	readonly closesAt: number;
};

/** Time that a planned stop may take, in milliseconds. */
export function maxStopMs(graceMs: number): number {
	return graceMs - Math.min(exitMarginMs, graceMs * endShare * exitShare);
}

/** Divides the grace period of a stop that began at `startedAt`. */
export function planStop(startedAt: number, graceMs: number): StopSchedule {
	const endMs = graceMs * endShare;
	return {breaksOffAt: startedAt + graceMs - endMs, closesAt: startedAt + graceMs - Math.min(closeMarginMs, endMs * closeShare)};
}
