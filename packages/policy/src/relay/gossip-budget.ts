/**
 * Token bucket for load messages to peers: they are sent at once up to the
 * rate and batched beyond it, which bounds their cost at any load.
 */

/** Size of the bucket, in seconds of its rate; covers a load burst. */
const burstS = 3;
const millisecondsPerSecond = 1000;

/** The budget of one host. */
export class GossipBudget {
	readonly #perSecond: number;
	/** Tokens left, one per message; negative once the bucket is overdrawn. */
	#tokens: number;
	#filledAt: number;

	/** `perSecond`: messages that may be sent per second; a broadcast counts one for each peer. `now` in milliseconds. */
	constructor(perSecond: number, now: number) {
		this.#perSecond = perSecond;
		this.#tokens = burstS * perSecond;
		this.#filledAt = now;
	}

	/** Takes tokens for messages that were sent. */
	spend(messages: number, now: number): void {
		this.#refill(now);
		this.#tokens -= messages;
	}

	/** Time until the next message may be sent, in milliseconds. */
	waitMs(now: number): number {
		this.#refill(now);
		return this.#tokens >= 0 ? 0 : -this.#tokens * millisecondsPerSecond / this.#perSecond;
	}

	#refill(now: number): void {
		const added = (now - this.#filledAt) * this.#perSecond / millisecondsPerSecond;
		this.#tokens = Math.min(burstS * this.#perSecond, this.#tokens + added);
		this.#filledAt = now;
	}
}
