/**
 * Decides which requests a stopping host still begins: those that can be
 * expected to end before it closes its connections. Others are better off at
 * another host from the start.
 */

/** Requests of a route by whose durations the next one is judged. */
const sampleSize = 32;
/** Fewer are no sample, since responses of a route differ in length. */
const minSampleSize = 16;
/** Factor by which a request may last longer than the longest of them: endpoints slow down while hosts restart. */
const durationMargin = 1.5;
/** Time by which a request may last longer because its endpoint pauses, in milliseconds; as long as a host waits for a prefill replica. */
const pauseMarginMs = 2500;

/** The time that a stopping host has left, and how long requests last. */
export class StopWindow {
	/** When the host closes its connections, in milliseconds; undefined: it is not stopping. */
	#closesAt: number | undefined;
	/** Durations of the last requests of each route, in milliseconds. */
	readonly #durations = new Map<string, number[]>();

	/** Starts the window; later calls change nothing. */
	begin(closesAt: number): void {
		this.#closesAt ??= closesAt;
	}

	/** Records how long a request took that was answered, in milliseconds. */
	recordDuration(route: string, durationMs: number): void {
		const durations = this.#durations.get(route) ?? [];
		durations.push(durationMs);
		this.#durations.set(route, durations.slice(-sampleSize));
	}

	/** Whether a request may begin at `now`. One of a route of which too little is known may last until its deadline. */
	mayBegin(route: string, deadlineAt: number, now: number): boolean {
		if (this.#closesAt === undefined || deadlineAt <= this.#closesAt) {
			return true;
		}

		const durations = this.#durations.get(route) ?? [];
		const longestMs = Math.max(...durations);
		return durations.length >= minSampleSize && now + Math.max(durationMargin * longestMs, longestMs + pauseMarginMs) <= this.#closesAt;
	}
}
