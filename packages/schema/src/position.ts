/**
 * Where something stands in the directory's history. Revisions rise within
 * one history alone: a directory that has come back from a copy gives them out
 * again, and says so by an epoch one higher. Safety: what has left is never
 * taken for present because of a revision of another history.
 */
import {z} from 'zod';

const count = z.number().int().nonnegative();

/** A place in a history; without an epoch its directory, or its teller, names none. */
export const position = z.object({epoch: count.optional(), revision: count});

/** A place in the directory's history. */
export type Position = z.infer<typeof position>;

/** How one place lies to another; `unknown`: one of them names no epoch, so that they may belong to different histories. */
export type Order = 'earlier' | 'same' | 'later' | 'unknown';

function order(left: number, right: number): Order {
	if (left === right) {
		return 'same';
	}

	return left < right ? 'earlier' : 'later';
}

/** How `left` lies to `right`. */
export function comparePositions(left: Position, right: Position): Order {
	if (left.epoch === right.epoch) {
		return order(left.revision, right.revision);
	}

	return left.epoch === undefined || right.epoch === undefined ? 'unknown' : order(left.epoch, right.epoch);
}

/** Whether `left` is known to lie behind `right`. A directory that has begun to name its epochs lies behind what it said before. */
export function isLater(left: Position, right: Position): boolean {
	const found = comparePositions(left, right);
	return found === 'later' || (found === 'unknown' && left.epoch !== undefined);
}

/** Whether all up to `left` is contained in all up to `right`, in one history. */
export function isCovered(left: Position, right: Position): boolean {
	return left.epoch === right.epoch && left.revision <= right.revision;
}

/** Revisions of one epoch that a fence has room for: at a thousand changes a second the directory counts that many in fifty days. */
const revisionsPerEpoch = 2 ** 32;

/** One number that rises with the position, so that it may fence orders; undefined where it cannot be told exactly. */
export function toFence({epoch = 0, revision}: Position): number | undefined {
	const fence = (epoch * revisionsPerEpoch) + revision;
	return Number.isSafeInteger(fence) && revision < revisionsPerEpoch ? fence : undefined;
}
