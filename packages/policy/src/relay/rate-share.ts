/**
 * One host's share of every rate limit. Each of n hosts owns 1/n and lends it
 * to the host that grants permits (rate-granter.ts).
 * Safety: the rate bound relies on at most one granter holding a host's share
 * at any time, so that all shares add up to at most one, whatever hosts know
 * about each other.
 */
import {type Owner} from '@gatehead/schema/engine-protocol';

/** Lifetime of a lent share, in milliseconds: it survives two lost rounds. */
export const shareLifetimeMs = 2500;

/** Tracks which granter holds this host's share. */
export class RateShare {
	readonly #startedAt: number;
	#holder: Owner | undefined;
	#heldUntil = Number.NEGATIVE_INFINITY;

	/** `startedAt` is the start of this process, in milliseconds; a share lent by its predecessor may be valid for one lifetime after that. */
	constructor(startedAt: number) {
		this.#startedAt = startedAt;
	}

	/** Lends the share to a granter. Returns false if another process may still hold it. */
	lend(granter: Owner, now: number): boolean {
		if (now - this.#startedAt < shareLifetimeMs || (now < this.#heldUntil && !this.#isSuccessor(granter))) {
			return false;
		}

		this.#holder = granter;
		this.#heldUntil = now + shareLifetimeMs;
		return true;
	}

	/** Whether a granter is the holder or a later process on the holder's host, since a restart loses all shares. */
	#isSuccessor({host, incarnation}: Owner): boolean {
		return this.#holder !== undefined && this.#holder.host === host && this.#holder.incarnation <= incarnation;
	}
}
