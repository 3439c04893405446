/**
 * A token bucket for load messages to peers: sent at once while they are few,
 * batched beyond that, so that their cost is bounded at any load. Efficiency
 * only.
 */

/** Size of the bucket, in seconds of its rate: bursts of load last a few seconds. */
const savedS = 3;
const millisecondsPerSecond = 1000;

/** One host's budget. */
export class GossipBudget {
	readonly #perSecond: number;
	/** Messages left; negative once the bucket is overdrawn. */
	#left: number;
	#at: number;

	/** `perSecond`: messages that may be sent a second, one for each peer. */
	constructor(perSecond: number, now: number) {
		this.#perSecond = perSecond;
		this.#left = savedS * perSecond;
		this.#at = now;
	}

	/** Notes that so many messages were sent. */
	spend(messages: number, now: number): void {
		this.#fill(now);
		this.#left -= messages;
	}

	/** Time until the next may be sent, in milliseconds. */
	waitMs(now: number): number {
		this.#fill(now);
		return this.#left >= 0 ? 0 : -this.#left * millisecondsPerSecond / this.#perSecond;
	}

	#fill(now: number): void {
		const gained = (now - this.#at) * this.#perSecond / millisecondsPerSecond;
		this.#left = Math.min(savedS * this.#perSecond, this.#left + gained);
		this.#at = now;
	}
}
