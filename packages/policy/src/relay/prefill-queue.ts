/**
 * Estimates the prefill queue of a replica. Prompts are processed one after
 * the other, so the queue is the sum of what all hosts sent: all prompts at a
 * prefill replica, and at a decode replica those that it prefills itself.
 * Overdue prompts of this host reveal a queue that was not reported, since
 * reports of other hosts' prompts may be late or lost.
 */

/** Initial prefill time per token, in milliseconds. */
const initialTokenMs = 0.035;
/** Initial fixed prefill time per prompt, in milliseconds. */
const initialOffsetMs = 65;
/** Lengths of the two synthetic prompts that represent the initial estimate, in tokens. */
const priorTokens: readonly number[] = [500, 5000];
/** Initial weight of each synthetic prompt, in observations. */
const priorWeight = 2;
/** Decay of earlier observations at each new one: about forty determine the fit. */
const decay = 0.975;
/** Cap on the excess of an observation over the expected time, in milliseconds; the rest is attributed to an unreported prompt. */
const maxExcessMs = 300;
/** Minimum standard deviation of the prompt lengths to fit the time per token, as a fraction of their mean. */
const minSpread = 0.1;
/** Minimum standard deviation in tokens, for prompts that are all short or of unknown length: one block of KV cache. */
const minSpreadTokens = 16;
/** Minimum prefill time per token, in milliseconds: no engine processes a million tokens per second. */
const minTokenMs = 0.001;
/** Longest queue with which an observation is used for the fit, in milliseconds. */
const emptyMs = 20;
/** Minimum share of a prompt's time that is attributed to its tokens, for short prompts that took less than the estimated fixed time. */
const minTokensShare = 0.1;
/** Factor by which the time per token that was pooled over hosts may differ from this host's own estimate. Prompts of few lengths leave the own estimate uncertain; one that is off by more is that of a replica whose pace has changed. */
const maxSeedRatio = 1.6;
/** Fraction of an unreported delay that is expected to remain for the next prompt. */
const remainingDelayFraction = 0.8;
/** Assumed queue of a replica that rejected a prompt, in milliseconds: about ten prompts fill its memory. */
const rejectedQueueMs = 500;

/** A prompt that this host sent; times are in milliseconds. */
export type PendingPrefill = {
	readonly tokens: number;
	readonly sentAt: number;
	readonly queuedMs: number;
	readonly expectedMs: number;
};

/** Estimated prefill queue of one replica; times are in milliseconds. */
export class PrefillQueue {
	readonly #own = new Set<PendingPrefill>();
	#fit: PrefillTimeFit;
	#idleAt = 0;
	#rejectedAt = Number.NEGATIVE_INFINITY;

	/** `slowness` is the initial prefill time per token relative to a prefill replica. */
	constructor(slowness = 1) {
		this.#fit = new PrefillTimeFit(slowness * initialTokenMs);
	}

	/** Starts the estimate anew from a time per token that was pooled over hosts: until this host has observed a prompt, and when its own estimate is far off. */
	seed(tokenMs: number): void {
		const ratio = tokenMs / this.tokenMs;
		const maxRatio = this.#fit.isObserved ? maxSeedRatio : 1;
		if (Math.max(ratio, 1 / ratio) > maxRatio) {
			this.#fit = new PrefillTimeFit(tokenMs);
		}
	}

	/** Prefill time per token, in milliseconds. */
	get tokenMs(): number {
		return this.#fit.tokenMs;
	}

	/** Records a prompt sent by another host. */
	add(tokens: number, now: number): void {
		this.#idleAt = Math.max(now, this.#idleAt) + (tokens * this.tokenMs);
	}

	/** Returns the expected time until a new prompt is processed, in milliseconds. */
	estimateMs(tokens: number, now: number): number {
		return this.#queued(now) + (tokens * this.tokenMs) + this.#fit.offsetMs;
	}

	/** Records a prompt sent by this host. */
	start(tokens: number, now: number): PendingPrefill {
		const pending = {
			tokens, sentAt: now, queuedMs: this.#queued(now), expectedMs: this.estimateMs(tokens, now),
		};
		this.#own.add(pending);
		this.add(tokens, now);
		return pending;
	}

	/** Records that a prompt of this host was processed. Returns the time that its tokens took, without the fixed time per prompt, or undefined if it met a queue. */
	complete(pending: PendingPrefill, now: number): number | undefined {
		const {tokens, sentAt, queuedMs, expectedMs} = pending;
		this.#own.delete(pending);
		const tookMs = now - sentAt;
		const tokensMs = queuedMs < emptyMs ? Math.max(minTokensShare * tookMs, tookMs - this.#fit.offsetMs) : undefined;
		if (queuedMs < emptyMs) {
			this.#fit.note(tokens, Math.min(tookMs, expectedMs + maxExcessMs));
		}

		const unreportedMs = tookMs - expectedMs - (tokens * this.tokenMs);
		if (unreportedMs > 0) {
			this.#idleAt = Math.max(this.#idleAt, now + (remainingDelayFraction * unreportedMs));
		}

		return tokensMs;
	}

	/** Removes a prompt of this host that failed or was cancelled. */
	abandon(pending: PendingPrefill): void {
		this.#own.delete(pending);
	}

	/** Records that the replica rejected a prompt for lack of room. */
	recordRejection(now: number): void {
		this.#idleAt = Math.max(this.#idleAt, now + rejectedQueueMs);
		this.#rejectedAt = now;
	}

	/** Whether the replica rejected a prompt of this host at `since` or later. */
	hasRejectedSince(since: number): boolean {
		return this.#rejectedAt >= since;
	}

	#queued(now: number): number {
		let overdueMs = 0;
		for (const {sentAt, expectedMs} of this.#own) {
			overdueMs = Math.max(overdueMs, now - sentAt - expectedMs);
		}

		return Math.max(0, this.#idleAt - now) + overdueMs;
	}
}

/** Exponentially weighted linear fit of prefill time by prompt length, from prompts that met no queue. */
class PrefillTimeFit {
	tokenMs: number;
	offsetMs = initialOffsetMs;
	/** Whether a prompt was observed. */
	isObserved = false;
	#weight = 0;
	#tokens = 0;
	#took = 0;
	#tokensSquared = 0;
	#tokensTook = 0;
	/** Remaining weight of each synthetic prompt. */
	#priorWeight = priorWeight;

	constructor(tokenMs: number) {
		this.tokenMs = tokenMs;
		for (const tokens of priorTokens) {
			this.#add(tokens, initialOffsetMs + (tokens * tokenMs), priorWeight);
		}
	}

	/** Adds an observation. */
	note(tokens: number, tookMs: number): void {
		this.isObserved = true;
		this.#weight *= decay;
		this.#tokens *= decay;
		this.#took *= decay;
		this.#tokensSquared *= decay;
		this.#tokensTook *= decay;
		this.#priorWeight *= decay;
		this.#add(tokens, tookMs, 1);
		this.#update();
	}

	#add(tokens: number, tookMs: number, weight: number): void {
		this.#weight += weight;
		this.#tokens += weight * tokens;
		this.#took += weight * tookMs;
		this.#tokensSquared += weight * tokens * tokens;
		this.#tokensTook += weight * tokens * tookMs;
	}

	#update(): void {
		const meanTokens = this.#tokens / this.#weight;
		const meanTook = this.#took / this.#weight;
		if (this.#isSpread()) {
			const variance = (this.#tokensSquared / this.#weight) - (meanTokens * meanTokens);
			const covariance = (this.#tokensTook / this.#weight) - (meanTokens * meanTook);
			// A negative slope is noise
			this.tokenMs = Math.max(minTokenMs, covariance / variance);
		}

		// So is a negative intercept
		this.tokenMs = meanTokens > 0 ? Math.min(this.tokenMs, meanTook / meanTokens) : this.tokenMs;
		this.offsetMs = meanTook - (meanTokens * this.tokenMs);
	}

	/** Whether the observed prompts, without the synthetic ones, differ enough in length. */
	#isSpread(): boolean {
		let [weight, tokens, tokensSquared] = [this.#weight, this.#tokens, this.#tokensSquared];
		for (const prior of priorTokens) {
			weight -= this.#priorWeight;
			tokens -= this.#priorWeight * prior;
			tokensSquared -= this.#priorWeight * prior * prior;
		}

		const mean = tokens / weight;
		return (tokensSquared / weight) - (mean * mean) > Math.max(minSpreadTokens, minSpread * mean) ** 2;
	}
}
