/**
 * How often decode memory for one more request comes free at a service, from
 * what this host's own requests took and how long they held it. Efficiency.
 */

/** Weight of a new observation: about a dozen requests make the mean, a second or two of a host's share under load. */
const weight = 0.08;
/** What is supposed until requests have ended: a prompt of some thousand tokens, answered within seconds. About thirty requests replace it. */
const firstTokens = 3800;
/** The time for which it holds its memory, in milliseconds. */
const firstHoldMs = 3300;
/** A replica's memory, in tokens. */
const firstCapacity = 35_000;
const millisecondsPerSecond = 1000;

/** The rate of one service. */
export class ReleaseRate {
	#tokens = firstTokens;
	#holdMs = firstHoldMs;
	#capacity = firstCapacity;
	#seen = 0;

	/** Time for which a request holds its memory, in milliseconds. */
	get holdMs(): number {
		return this.#holdMs;
	}

	/** Requests that ended. */
	get seen(): number {
		return this.#seen;
	}

	/** Notes a request that ended. */
	note(tokens: number, heldMs: number): void {
		this.#seen += 1;
		this.#tokens += weight * (tokens - this.#tokens);
		this.#holdMs += weight * (heldMs - this.#holdMs);
	}

	/** Takes over the memory of one replica, in tokens. */
	setCapacity(capacity: number): void {
		this.#capacity = capacity > 0 ? capacity : this.#capacity;
	}

	/** Places that come free a second at so many full replicas. */
	perSecond(replicas: number): number {
		return Math.max(1, replicas) * (this.#capacity / this.#tokens) * millisecondsPerSecond / this.#holdMs;
	}
}
