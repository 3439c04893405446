/**
 * A position in the directory's history. Revisions increase within one epoch
 * only: a directory restored from a backup increments its epoch and reuses
 * revisions. Safety: an endpoint that has left is never taken for present by
 * comparing revisions of different epochs.
 */
import {z} from 'zod';

const count = z.number().int().nonnegative();

/** A position in the directory's history; `epoch` is absent if the directory, or the host that sent the position, does not report it. */
export const position = z.object({epoch: count.optional(), revision: count});

export type Position = z.infer<typeof position>;

/** The order of two positions; `unknown` if only one of them has an epoch, so that their histories may differ. */
export type PositionOrder = 'earlier' | 'same' | 'later' | 'unknown';

function order(left: number, right: number): PositionOrder {
	if (left === right) {
		return 'same';
	}

	return left < right ? 'earlier' : 'later';
}

/** Compares positions by epoch, then by revision. */
export function comparePositions(left: Position, right: Position): PositionOrder {
	if (left.epoch === right.epoch) {
		return order(left.revision, right.revision);
	}

	return left.epoch === undefined || right.epoch === undefined ? 'unknown' : order(left.epoch, right.epoch);
}

/** Whether `left` is later than `right`. A position with an epoch is later than one without, as a directory may start to report epochs. */
export function isLater(left: Position, right: Position): boolean {
	const found = comparePositions(left, right);
	return found === 'later' || (found === 'unknown' && left.epoch !== undefined);
}

/** Whether `left` is at or before `right` in the same epoch. */
export function isCovered(left: Position, right: Position): boolean {
	return left.epoch === right.epoch && left.revision <= right.revision;
}

/** Revisions per epoch that a fencing token can represent: 50 days at a thousand changes per second. */
const revisionsPerEpoch = 2 ** 32;

/** Converts a position to a fencing token that increases with it; undefined if the result is not exact. */
export function toFence({epoch = 0, revision}: Position): number | undefined {
	const fence = (epoch * revisionsPerEpoch) + revision;
	return Number.isSafeInteger(fence) && revision < revisionsPerEpoch ? fence : undefined;
}
