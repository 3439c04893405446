/**
 * How often a host tells its peers of its load: at once as long as messages
 * are few, gathered together beyond that, so that the cost of telling is
 * bounded whatever the load. Efficiency only.
 */

/** Messages saved up for a burst, as seconds of the allowance: bursts of load last a few seconds. */
const savedS = 3;
const millisecondsPerSecond = 1000;

/** The allowance of one host. */
export class NewsPace {
	readonly #perSecond: number;
	/** Messages left, below zero once more were sent than saved up. */
	#left: number;
	#at: number;

	/** `perSecond`: messages that may be sent a second, one for each peer told. */
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
