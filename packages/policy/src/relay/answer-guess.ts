/**
 * How long an answer will be, from its caller's guess and from how earlier
 * guesses turned out: guesses are right in the median but often far off, so
 * an unusual one says less than it seems to. Efficiency only: it decides how
 * much memory is reserved.
 */

/** What a guess is supposed to say until answers have ended: how much of its distance from the usual one shows in the answer, on a logarithmic scale. */
const firstTrust = 0.8;
/** Answers that this supposition weighs as much as. */
const priorCount = 15;
/** Spread of guesses that goes with it, as a variance of logarithms. */
const priorVariance = 0.5;
/** Weight that an old answer loses with each new one. */
const fading = 0.01;
const leastTrust = 0.4;
const mostTrust = 1;

/** Sums of a fading regression of logarithms. */
type Sums = {
	count: number;
	guess: number;
	held: number;
	guessSquared: number;
	product: number;
};

/** The guesses of one service's callers. */
export class AnswerGuess {
	readonly #sums: Sums = {
		count: 0, guess: 0, held: 0, guessSquared: 0, product: 0,
	};

	/** Learns from an answer that ended: what was guessed, and how long it held its memory, which goes with its length. */
	learn(guess: number, heldMs: number): void {
		if (guess <= 0 || heldMs <= 0) {
			return;
		}

		const x = Math.log(guess);
		const y = Math.log(heldMs);
		const sums = this.#sums;
		const added: Sums = {
			count: 1, guess: x, held: y, guessSquared: x * x, product: x * y,
		};
		for (const name of ['count', 'guess', 'held', 'guessSquared', 'product'] as const) {
			sums[name] = (sums[name] * (1 - fading)) + added[name];
		}
	}

	/** Expected length of an answer, in tokens as the guess is. */
	predict(guess: number): number {
		const {count, guess: sum} = this.#sums;
		if (guess <= 0 || count === 0) {
			return guess;
		}

		const usual = sum / count;
		return Math.exp(usual + (this.#trust() * (Math.log(guess) - usual)));
	}

	/** Slope of the regression, drawn towards the first supposition. */
	#trust(): number {
		const {
			count, guess, held, guessSquared, product,
		} = this.#sums;
		const variance = guessSquared - (guess * guess / count);
		const covariance = product - (guess * held / count);
		const prior = priorCount * priorVariance;
		const slope = (covariance + (prior * firstTrust)) / (variance + prior);
		return Math.min(mostTrust, Math.max(leastTrust, slope));
	}
}
