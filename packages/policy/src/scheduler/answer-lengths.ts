/**
 * How long answers turn out, as a share of the tokens that they may have:
 * learned for each priority from answers that ended. Efficiency only.
 */

const bins = 16;
const priorCount = 0.5;
/** Answers after which an old one counts half. */
const memory = 400;

type Histogram = {
	readonly counts: Float64Array;
	/** `above[i]`: answers of bin `i` and longer. */
	readonly above: Float64Array;
};

function makeHistogram(): Histogram {
	const histogram = {counts: new Float64Array(bins).fill(priorCount), above: new Float64Array(bins + 1)};
	sumUp(histogram);
	return histogram;
}

function sumUp({counts, above}: Histogram): void {
	for (let bin = bins - 1; bin >= 0; bin -= 1) {
		above[bin] = (above[bin + 1] ?? 0) + (counts[bin] ?? 0);
	}
}

/** Answers at least as long as `share`, interpolated within a bin. */
function countAbove({counts, above}: Histogram, share: number): number {
	if (share >= 1) {
		return 0;
	}

	const position = share * bins;
	const bin = Math.floor(position);
	return (above[bin + 1] ?? 0) + ((counts[bin] ?? 0) * (bin + 1 - position));
}

/** Learned lengths. */
export class AnswerLengths {
	readonly #byPriority = new Map<number, Histogram>();

	/** Learns from an answer that ended after `tokens` of at most `maxTokens`. */
	learn(priority: number, tokens: number, maxTokens: number): void {
		const histogram = this.#of(priority);
		const {counts} = histogram;
		const bin = Math.min(bins - 1, Math.max(0, Math.ceil(tokens / maxTokens * bins) - 1));
		for (let index = 0; index < bins; index += 1) {
			counts[index] = (counts[index] ?? 0) * (1 - (1 / memory));
		}

		counts[bin] = (counts[bin] ?? 0) + 1;
		sumUp(histogram);
	}

	/** Chance that an answer with `done` tokens ends within the next `more` tokens. */
	chanceToEnd(priority: number, maxTokens: number, done: number, more: number): number {
		const histogram = this.#of(priority);
		const still = countAbove(histogram, done / maxTokens);
		// An answer that outlived all that was learned may end at any token
		return still <= 0 ? 1 : 1 - (countAbove(histogram, (done + more) / maxTokens) / still);
	}

	/** Expected tokens of an answer. */
	expect(priority: number, maxTokens: number): number {
		const {counts, above} = this.#of(priority);
		let sum = 0;
		for (const [bin, count] of counts.entries()) {
			sum += count * (bin + 0.5) / bins;
		}

		return maxTokens * sum / (above[0] ?? 1);
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
