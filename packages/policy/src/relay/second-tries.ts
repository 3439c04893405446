/**
 * Tells a caller's second try from its first by the patience that is left: a
 * refused caller comes back with less of it. Efficiency only: a second try is
 * not refused early once more, since it would not be tried again.
 */

/**
 * Patience by which first tries of one route differ, in milliseconds: a new
 * connection costs a caller some round trips of it, 24 ms at most where it
 * was observed, and whoever was refused comes back after the time that the
 * refusal names, at least several times as much. First tries that are taken
 * for second ones are not refused when they can no longer be in time.
 */
const connectAllowanceMs = 100;
/** Requests of a route after which the longest patience among those before them is forgotten, so that one unusually patient caller does not turn all others into second tries for good. */
const rememberedRequests = 200;

/** The longest patience of a route's latest requests. */
type Patience = {
	/** Among the requests of the present stretch, and of the one before. */
	longest: number;
	before: number;
	/** Requests of the present stretch. */
	seen: number;
};

/** What was seen of each route's callers. */
export class SecondTries {
	/** By route: the longest is a first try's. */
	readonly #routes = new Map<string, Patience>();

	/** Notes a request's patience; returns whether it is a second try. */
	note(route: string, patienceMs: number): boolean {
		const known = this.#routes.get(route) ?? {longest: 0, before: 0, seen: 0};
		const {longest, before, seen} = known.seen < rememberedRequests ? known : {longest: 0, before: known.longest, seen: 0};
		const noted = {longest: Math.max(patienceMs, longest), before, seen: seen + 1};
		this.#routes.set(route, noted);
		return patienceMs < Math.max(noted.longest, before) - connectAllowanceMs;
	}
}
