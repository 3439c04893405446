/**
 * One host's part of every rate limit. Each of n hosts owns 1/n and lends it
 * to the host that grants permits (rate-granter.ts). Safety: at any time at
 * most one granter holds a host's share, so that the shares of all granters
 * add up to one at most, whatever hosts think of each other.
 */
import {type Owner} from '@gatehead/schema/engine-protocol';

/** Time for which a granter may spend a share, in milliseconds: two rounds may be lost before it lapses. */
export const shareLifeMs = 2500;

/** Who holds a host's share. */
export class RateShare {
	readonly #startedAt: number;
	#holder: Owner | undefined;
	#heldUntil = Number.NEGATIVE_INFINITY;

	/** The process started at `startedAt`; its predecessor may have lent the share until a share's life later. */
	constructor(startedAt: number) {
		this.#startedAt = startedAt;
	}

	/** Lends the share, unless another process may still spend it. */
	lend(granter: Owner, now: number): boolean {
		if (now - this.#startedAt < shareLifeMs || (now < this.#heldUntil && !this.#isSuccessor(granter))) {
			return false;
		}

		this.#holder = granter;
		this.#heldUntil = now + shareLifeMs;
		return true;
	}

	/** Whether a granter is the holder, or a later process on its host: what the earlier one held is gone with its memory. */
	#isSuccessor({host, incarnation}: Owner): boolean {
		return this.#holder !== undefined && this.#holder.host === host && this.#holder.incarnation <= incarnation;
	}
}
