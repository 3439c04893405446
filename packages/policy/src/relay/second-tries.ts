/**
 * Tells a caller's second try from its first by the patience that is left: a
 * refused caller comes back with less of it. Efficiency only: a second try is
 * not refused early once more, since it would not be tried again.
 */

/**
 * Patience by which first tries of one route differ, in milliseconds: on the
 * users' bench 7 to 24 ms of it are spent on a new connection, on one to
 * another hall most; a refused caller comes back after 200 ms and more.
 */
const connectAllowanceMs = 100;

/** What was seen of each route's callers. */
export class SecondTries {
	/** Longest patience seen, by route: a first try's. */
	readonly #longest = new Map<string, number>();

	/** Notes a request's patience; returns whether it is a second try. */
	note(route: string, patienceMs: number): boolean {
		const longest = Math.max(patienceMs, this.#longest.get(route) ?? 0);
		this.#longest.set(route, longest);
		return patienceMs < longest - connectAllowanceMs;
	}
}
