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

/** Time before connections are closed at which runs end at the latest, in milliseconds. */
const rejectionMarginMs = 100;
/** The same as a share of the part above, in a short grace period. */
const rejectionShare = 1 / 8;

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

/** When a stop was requested, in milliseconds on one clock. */
export type StopRequestTimes = {
	/** When the process saw the signal. */
	readonly seenAt: number;
	/** When the signal may have been sent at the earliest: one that is sent to a process that stands still is seen late. */
	readonly sentAt: number;
};

/**
 * Divides the grace period. Runs get their time from the moment at which the signal was seen, as it may have been sent
 * only then; what must not outlast the grace period is planned from the earliest moment.
 */
export function planStop({seenAt, sentAt}: StopRequestTimes, graceMs: number): StopSchedule {
	const endMs = graceMs * endShare;
	const closesAt = sentAt + graceMs - Math.min(closeMarginMs, endMs * closeShare);
	return {breaksOffAt: Math.min(seenAt + graceMs - endMs, closesAt - Math.min(rejectionMarginMs, endMs * rejectionShare)), closesAt};
}
