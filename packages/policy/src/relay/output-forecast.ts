/**
 * Distribution of the output length of a service's streams, relative to the
 * caller's estimate: a decaying histogram over the streams of all hosts of a
 * subset, on a log-normal prior. A single host sees too few streams to learn
 * it alone.
 */

/** Upper bounds of the estimates of each class but the last, in tokens. A long estimate is more often too long than too short, and a short one the reverse, so that one histogram for both is wider than either. */
const classBounds = [2048, 4096, 8192] as const;
/** Bins of one class, in logarithmic steps; the message that carries all classes allows 64. */
const binCount = 16;
/** Length of the observations in a report. */
export const reportLength = binCount * (classBounds.length + 1);
/** Bins per factor of two; between their edges the probability is interpolated. */
const binsPerOctave = 3;
/** Lower edge of the first bin, as a power of two: an eighth of the estimate. */
const minExponent = -3;
/** Exponent of the upper edge of the last bin: five times the estimate. */
const maxExponent = minExponent + (binCount / binsPerOctave);
/** Number of observations of a class that the prior weighs as much as: enough that the first few streams of a new host do not decide the tail. */
const priorWeight = 12;
/** Standard deviation of the logarithm of the ratio, of the prior. */
const priorDeviation = 0.5;
/** Time in which the weight of an observation halves, in milliseconds: several hundred streams of a subset. */
const halfLifeMs = 60_000;
/** Exponent with which the probability falls beyond the last bin, where nothing is learnt. */
const tailExponent = 4;
/** Lowest probability to which others are related, so that a stream far beyond every observation has a finite forecast. */
const minSurvival = 1e-9;
/** Smallest estimate that outputs are related to, in tokens; callers may state none. */
const minEstimateTokens = 16;

/** Learns the ratio of output lengths to their estimates. */
export class OutputForecast {
	/** By class and bin. */
	readonly #counts = makeCounts();
	/** Observations of this host since the last report. */
	#unreported = makeCounts();
	/** By class, the probability that the ratio exceeds each edge of its bins; undefined after a change. */
	#edges: ReadonlyArray<readonly number[]> | undefined;
	#decayedAt = Number.NEGATIVE_INFINITY;

	/** Records a complete output of this host. */
	record(tokens: number, estimateTokens: number, now: number): void {
		const bin = (classOf(estimateTokens) * binCount) + binOf(ratioOf(tokens, estimateTokens));
		this.#decay(now);
		this.#counts[bin]! += 1;
		this.#unreported[bin]! += 1;
	}

	/** Adds the observations of another host. */
	merge(counts: readonly number[], now: number): void {
		this.#decay(now);
		for (const [bin, count] of counts.slice(0, reportLength).entries()) {
			this.#counts[bin]! += count;
		}
	}

	/** Removes and returns this host's observations since the last call; empty if there are none. */
	takeUnreported(): number[] {
		const counts = this.#unreported;
		if (counts.every(count => count === 0)) {
			return [];
		}

		this.#unreported = makeCounts();
		return counts;
	}

	/** Probability that a stream whose output has reached `doneTokens` reaches `tokens`. */
	survival(tokens: number, estimateTokens: number, doneTokens: number): number {
		if (tokens <= doneTokens) {
			return 1;
		}

		const edges = this.#edgesOf(estimateTokens);
		return exceeds(edges, ratioOf(tokens, estimateTokens)) / Math.max(minSurvival, exceeds(edges, ratioOf(doneTokens, estimateTokens)));
	}

	/** Output length, in tokens, that a stream of `doneTokens` does not exceed with probability `share`. */
	quantile(share: number, estimateTokens: number, doneTokens = 0): number {
		const edges = this.#edgesOf(estimateTokens);
		const probability = (1 - share) * exceeds(edges, ratioOf(doneTokens, estimateTokens));
		return Math.max(doneTokens, Math.max(minEstimateTokens, estimateTokens) * ratioAt(edges, probability));
	}

	#edgesOf(estimateTokens: number): readonly number[] {
		this.#edges ??= accumulate(this.#counts);
		return this.#edges[classOf(estimateTokens)]!;
	}

	#decay(now: number): void {
		const factor = 2 ** (-Math.max(0, now - this.#decayedAt) / halfLifeMs);
		for (const [bin, count] of this.#counts.entries()) {
			this.#counts[bin] = count * factor;
		}

		this.#decayedAt = Math.max(now, this.#decayedAt);
		this.#edges = undefined;
	}
}

function makeCounts(): number[] {
	return Array.from<number>({length: reportLength}).fill(0);
}

function classOf(estimateTokens: number): number {
	const index = classBounds.findIndex(bound => estimateTokens < bound);
	return index === -1 ? classBounds.length : index;
}

/** Probability that the ratio exceeds a value. */
function exceeds(edges: readonly number[], ratio: number): number {
	const place = (Math.log2(ratio) - minExponent) * binsPerOctave;
	if (!(place > 0)) {
		return 1;
	}

	if (place >= binCount) {
		return edges[binCount]! * ((ratio / (2 ** maxExponent)) ** -tailExponent);
	}

	const bin = Math.floor(place);
	return edges[bin]! + ((place - bin) * (edges[bin + 1]! - edges[bin]!));
}

/** Ratio that is exceeded with a probability; the inverse of `exceeds`. */
function ratioAt(edges: readonly number[], probability: number): number {
	const last = edges[binCount]!;
	if (probability <= last) {
		return (2 ** maxExponent) * ((last / Math.max(probability, minSurvival)) ** (1 / tailExponent));
	}

	const upper = edges.findIndex(edge => edge <= probability);
	if (upper <= 0) {
		return 2 ** minExponent;
	}

	const part = (edges[upper - 1]! - probability) / (edges[upper - 1]! - edges[upper]!);
	return 2 ** exponentOf(upper - 1 + part);
}

/** Logarithm to base 2 of the edge of a bin. */
function exponentOf(bin: number): number {
	return minExponent + (bin / binsPerOctave);
}

function ratioOf(tokens: number, estimateTokens: number): number {
	return tokens / Math.max(minEstimateTokens, estimateTokens);
}

function binOf(ratio: number): number {
	const bin = Math.floor((Math.log2(ratio) - minExponent) * binsPerOctave);
	return Math.min(binCount - 1, Math.max(0, bin));
}

/** By class, the share of the weights at and above each edge of its bins, the first 1. The last bin has half of its weight beyond its upper edge. */
function accumulate(counts: readonly number[]): number[][] {
	return Array.from({length: classBounds.length + 1}, (_, index) => {
		const weights = prior.map((weight, bin) => weight + counts[(index * binCount) + bin]!);
		const edges = [weights.at(-1)! / 2];
		let sum = weights.at(-1)! / 2;
		for (const [offset, weight] of weights.toReversed().entries()) {
			sum += offset === 0 ? weight / 2 : weight;
			edges.push(sum);
		}

		return edges.toReversed().map(edge => edge / sum);
	});
}

/** Prior observations by bin. */
const prior = makePrior();

function makePrior(): number[] {
	const densities = Array.from({length: binCount}, (_, bin) => {
		const middle = exponentOf(bin + 0.5) * Math.LN2;
		return Math.exp(-(middle * middle) / (2 * priorDeviation * priorDeviation));
	});
	let sum = 0;
	for (const density of densities) {
		sum += density;
	}

	return densities.map(density => priorWeight * density / sum);
}
