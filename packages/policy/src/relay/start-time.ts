/**
 * Estimates a high percentile of the time from a request's reservation to the
 * first event of its answer: prefill, KV cache transfer and first decode step.
 * A queue uses it to decide whether a waiting request can still be in time.
 */

/** Estimated quantile: the fraction of requests that stay below the value. */
const quantile = 0.8;
/** Step size of an update, relative to the value: the estimate adapts within about twenty requests. */
const step = 0.12;
/** Value before the first observation, in milliseconds. */
const initialMs = 300;

/** Start time of one service's requests. */
export class StartTime {
	#valueMs: number | undefined;

	/** Estimated percentile, in milliseconds. */
	get valueMs(): number {
		return this.#valueMs ?? initialMs;
	}

	/** Records the start time of one request, in milliseconds. `isFirstTrusted`: the first one replaces the initial value; a host that sees few requests would follow a single slow one for long. */
	note(startMs: number, isFirstTrusted = true): void {
		this.#valueMs ??= isFirstTrusted ? undefined : initialMs;
		if (this.#valueMs === undefined) {
			this.#valueMs = startMs;
			return;
		}

		// Steps up and down are weighted so that they balance at the quantile
		const change = startMs > this.#valueMs ? quantile : quantile - 1;
		this.#valueMs *= 1 + (step * change);
	}
}
