/**
 * Detects retries by the remaining caller timeout, which is shorter for a
 * retry than for a first attempt on the same route. A retry is not rejected
 * early, since the caller would not try again.
 */

/**
 * Difference in timeout that is attributed to connection setup, in
 * milliseconds. A retry differs by at least the `Retry-After` time, which is
 * several times as long. First attempts mistaken for retries are not rejected
 * when they can no longer be in time.
 */
const connectAllowanceMs = 100;
/**
 * Difference in timeout between callers of one route, as a fraction of the
 * longest, where callers choose their own: they differ by up to 0.15. A
 * `Retry-After` of at least this fraction keeps retries recognizable.
 */
export const callerTimeoutSpread = 0.18;
/** Requests per period. The longest timeout is forgotten after two periods, so that one unusually long timeout does not turn all later requests into retries. */
const requestsPerPeriod = 200;

/** Longest timeouts of a route's recent requests, in milliseconds. */
type RecentTimeouts = {
	/** In the current period. */
	longest: number;
	/** In the previous period. */
	previous: number;
	/** Number of requests in the current period. */
	count: number;
};

/** Detects retries on all routes. */
export class RetryDetector {
	readonly #routes = new Map<string, RecentTimeouts>();

	/** Records a request's remaining timeout, in milliseconds. Returns whether the request is a retry. `spread`: difference between the timeouts of first attempts, as a fraction of the longest. */
	note(route: string, timeoutMs: number, spread = 0): boolean {
		const recorded = this.#routes.get(route) ?? {longest: 0, previous: 0, count: 0};
		const {longest, previous, count} = recorded.count < requestsPerPeriod ? recorded : {longest: 0, previous: recorded.longest, count: 0};
		const updated = {longest: Math.max(timeoutMs, longest), previous, count: count + 1};
		this.#routes.set(route, updated);
		const longestMs = Math.max(updated.longest, previous);
		return timeoutMs < longestMs - Math.max(connectAllowanceMs, spread * longestMs);
	}
}
