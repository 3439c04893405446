/**
 * Decode memory taken at endpoints without a send of this host in work there:
 * what other hosts said they take, and what was reserved here and is not used
 * yet, each for the time that it is expected to be held. Efficiency: news may
 * be late or lost, and lapses by itself, so that no second message is needed.
 */

/** Longest time that is believed, in milliseconds: few answers take longer, and what is believed too long keeps a free replica from being asked first. */
const longestMs = 10_000;

type Taken = {
	readonly tokens: number;
	readonly until: number;
};

/** What is taken at each endpoint. */
export class PeerUse {
	readonly #taken = new Map<string, Taken[]>();

	/** Notes that so many tokens are taken at an endpoint for so long. */
	add(endpoint: string, tokens: number, heldMs: number, now: number): void {
		const left = this.#listLeft(endpoint, now);
		left.push({tokens, until: now + Math.min(heldMs, longestMs)});
		this.#taken.set(endpoint, left);
	}

	/** Tokens now taken at an endpoint. */
	sum(endpoint: string, now: number): number {
		let tokens = 0;
		for (const taken of this.#taken.get(endpoint) ?? []) {
			tokens += taken.until > now ? taken.tokens : 0;
		}

		return tokens;
	}

	/** Forgets an endpoint that is gone. */
	forget(endpoint: string): void {
		this.#taken.delete(endpoint);
	}

	#listLeft(endpoint: string, now: number): Taken[] {
		return (this.#taken.get(endpoint) ?? []).filter(({until}) => until > now);
	}
}
