/**
 * Estimates output lengths as a fraction of the request's token limit, from a
 * decaying histogram of completed requests per priority.
 */

const bins = 16;
const priorCount = 0.5;
/** Number of completed requests after which a recorded one has decayed to 1/e. */
const decayWindow = 400;

type Histogram = {
	readonly counts: Float64Array;
	/** `tailCounts[i]` is the sum of the counts from bin `i` up. */
	readonly tailCounts: Float64Array;
};

function makeHistogram(): Histogram {
	const histogram = {counts: new Float64Array(bins).fill(priorCount), tailCounts: new Float64Array(bins + 1)};
	updateTailCounts(histogram);
	return histogram;
}

function updateTailCounts({counts, tailCounts}: Histogram): void {
	for (let bin = bins - 1; bin >= 0; bin -= 1) {
		tailCounts[bin] = (tailCounts[bin + 1] ?? 0) + (counts[bin] ?? 0);
	}
}

/** Weight of outputs of at least `share` of their limit, interpolated within a bin. */
function countAtLeast({counts, tailCounts}: Histogram, share: number): number {
	if (share >= 1) {
		return 0;
	}

	const position = share * bins;
	const bin = Math.floor(position);
	return (tailCounts[bin + 1] ?? 0) + ((counts[bin] ?? 0) * (bin + 1 - position));
}

export class OutputLengths {
	readonly #byPriority = new Map<number, Histogram>();

	/** Records a completed output of `tokens` out of at most `maxTokens` tokens. */
	observe(priority: number, tokens: number, maxTokens: number): void {
		const histogram = this.#of(priority);
		const {counts} = histogram;
		const bin = Math.min(bins - 1, Math.max(0, Math.ceil(tokens / maxTokens * bins) - 1));
		for (let index = 0; index < bins; index += 1) {
			counts[index] = (counts[index] ?? 0) * (1 - (1 / decayWindow));
		}

		counts[bin] = (counts[bin] ?? 0) + 1;
		updateTailCounts(histogram);
	}

	/** Probability that an output that has `done` tokens ends within the next `more` tokens. */
	endProbability(priority: number, maxTokens: number, done: number, more: number): number {
		const histogram = this.#of(priority);
		const remaining = countAtLeast(histogram, done / maxTokens);
		// Past the longest recorded output, the request is assumed to end at any token
		return remaining <= 0 ? 1 : 1 - (countAtLeast(histogram, (done + more) / maxTokens) / remaining);
	}

	/** Expected output length in tokens. */
	expectedTokens(priority: number, maxTokens: number): number {
		const {counts, tailCounts} = this.#of(priority);
		let sum = 0;
		for (const [bin, count] of counts.entries()) {
			sum += count * (bin + 0.5) / bins;
		}

		return maxTokens * sum / (tailCounts[0] ?? 1);
	}

	#of(priority: number): Histogram {
		let histogram = this.#byPriority.get(priority);
		if (histogram === undefined) {
			histogram = makeHistogram();
			this.#byPriority.set(priority, histogram);
		}

		return histogram;
	}
}
