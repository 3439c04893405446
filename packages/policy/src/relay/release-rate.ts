/**
 * Estimates how often a service frees decode memory for another request, from
 * the memory that this host's requests took and how long they held it.
 */

/** Weight of a new observation: the average covers about a dozen requests. */
const weight = 0.08;
/** Initial memory per request, in tokens. */
const initialTokens = 3800;
/** Initial time for which a request holds its memory, in milliseconds. */
const initialHoldMs = 3300;
/** Initial memory of a replica, in tokens. */
const initialCapacity = 35_000;
const millisecondsPerSecond = 1000;

/** Release rate of one service. */
export class ReleaseRate {
	#tokens = initialTokens;
	#holdMs = initialHoldMs;
	#capacity = initialCapacity;
	#seen = 0;

	/** Average time for which a request holds its memory, in milliseconds. */
	get holdMs(): number {
		return this.#holdMs;
	}

	/** Number of completed requests. */
	get completedCount(): number {
		return this.#seen;
	}

	/** Records a completed request: its memory in tokens and how long it held it, in milliseconds. */
	note(tokens: number, heldMs: number): void {
		this.#seen += 1;
		this.#tokens += weight * (tokens - this.#tokens);
		this.#holdMs += weight * (heldMs - this.#holdMs);
	}

	/** Sets the memory of one replica, in tokens; 0 is ignored. */
	setCapacity(capacity: number): void {
		this.#capacity = capacity > 0 ? capacity : this.#capacity;
	}

	/** Returns how many requests' memory is freed per second on `replicas` full replicas. */
	perSecond(replicas: number): number {
		return Math.max(1, replicas) * (this.#capacity / this.#tokens) * millisecondsPerSecond / this.#holdMs;
	}
}
