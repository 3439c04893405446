/**
 * When a replica will have read what is on its way to it: prompts are read
 * one after the other, so the sum of what all hosts sent is its queue. At a
 * prefill replica those are all prompts, at a decode replica those that it
 * has to read itself. Prompts of this host that are overdue show a queue that
 * was not heard of. Efficiency: news of other hosts' prompts may be late or
 * lost.
 */

/** What is supposed until prompts were read, in milliseconds: time for a prompt's token, and the time that a prompt takes besides. */
const firstTokenMs = 0.035;
/** The second of them, in milliseconds. */
const firstOffsetMs = 65;
/** Lengths of the two imagined prompts that stand for these, in tokens: a short and a long one. */
const imaginedTokens: readonly number[] = [500, 5000];
/** Readings for which each of them counts at first: a few real ones outweigh both. */
const imaginedWeight = 2;
/** What a reading still counts when the next one is noted: about forty make the line. */
const memory = 0.975;
/** Most by which a reading without a queue may surpass what was expected and still count, in milliseconds: beyond it somebody's prompt was in the way. */
const mostOffsetMs = 300;
/** Least spread of the prompts' lengths from which a time for a token can be read, as a share of their mean: with less it is a matter of chance. */
const leastSpread = 0.1;
/** The same in tokens, for prompts that are all short or say no length: a block of memory. */
const leastSpreadTokens = 16;
/** Least time for a prompt's token, in milliseconds: a million tokens a second are beyond any engine at hand. */
const leastTokenMs = 0.001;
/** Queue up to which an observation says something about that time, in milliseconds: a tenth of a usual reading. */
const emptyMs = 20;
/** Part of a delay that nobody announced and that is supposed to meet the next prompt too: some of it is read by then. */
const delayShare = 0.8;
/** Queue that is supposed at a replica that refused a prompt, in milliseconds: about ten prompts fill its memory. */
const refusedMs = 500;

/** A prompt of this host on its way. */
export type Reading = {
	readonly tokens: number;
	readonly sentAt: number;
	readonly queuedMs: number;
	readonly expectedMs: number;
};

/** The queue of one replica. */
export class ReadingQueue {
	readonly #own = new Set<Reading>();
	readonly #line: ReadingLine;
	#idleAt = 0;

	/** `slowness`: times as long as a prefill replica takes this one for a prompt's token, until it was seen. */
	constructor(slowness = 1) {
		this.#line = new ReadingLine(slowness * firstTokenMs);
	}

	/** Time for a prompt's token, in milliseconds. */
	get tokenMs(): number {
		return this.#line.tokenMs;
	}

	/** Notes a prompt that another host sends there. */
	add(tokens: number, now: number): void {
		this.#idleAt = Math.max(now, this.#idleAt) + (tokens * this.tokenMs);
	}

	/** Time until a further prompt would be read, in milliseconds. */
	expect(tokens: number, now: number): number {
		return this.#queued(now) + (tokens * this.tokenMs) + this.#line.offsetMs;
	}

	/** Notes a prompt of this host that goes there. */
	begin(tokens: number, now: number): Reading {
		const reading = {
			tokens, sentAt: now, queuedMs: this.#queued(now), expectedMs: this.expect(tokens, now),
		};
		this.#own.add(reading);
		this.add(tokens, now);
		return reading;
	}

	/** Notes that a prompt was read. */
	finish(reading: Reading, now: number): void {
		const {tokens, sentAt, queuedMs, expectedMs} = reading;
		this.#own.delete(reading);
		const tookMs = now - sentAt;
		if (queuedMs < emptyMs) {
			this.#line.note(tokens, Math.min(tookMs, expectedMs + mostOffsetMs));
		}

		const unforeseenMs = tookMs - expectedMs - (tokens * this.tokenMs);
		if (unforeseenMs > 0) {
			this.#idleAt = Math.max(this.#idleAt, now + (delayShare * unforeseenMs));
		}
	}

	/** Notes that a prompt came to nothing. */
	abandon(reading: Reading): void {
		this.#own.delete(reading);
	}

	/** Notes that the replica had no room for a further prompt. */
	refuse(now: number): void {
		this.#idleAt = Math.max(this.#idleAt, now + refusedMs);
	}

	#queued(now: number): number {
		let overdueMs = 0;
		for (const {sentAt, expectedMs} of this.#own) {
			overdueMs = Math.max(overdueMs, now - sentAt - expectedMs);
		}

		return Math.max(0, this.#idleAt - now) + overdueMs;
	}
}

/** A straight line through what readings without a queue took, by their tokens; the latest count most. */
class ReadingLine {
	tokenMs: number;
	offsetMs = firstOffsetMs;
	#weight = 0;
	#tokens = 0;
	#took = 0;
	#tokensSquared = 0;
	#tokensTook = 0;
	/** What each imagined prompt still counts. */
	#imagined = imaginedWeight;

	constructor(tokenMs: number) {
		this.tokenMs = tokenMs;
		for (const tokens of imaginedTokens) {
			this.#add(tokens, firstOffsetMs + (tokens * tokenMs), imaginedWeight);
		}
	}

	/** Notes a reading. */
	note(tokens: number, tookMs: number): void {
		this.#weight *= memory;
		this.#tokens *= memory;
		this.#took *= memory;
		this.#tokensSquared *= memory;
		this.#tokensTook *= memory;
		this.#imagined *= memory;
		this.#add(tokens, tookMs, 1);
		this.#fit();
	}

	#add(tokens: number, tookMs: number, weight: number): void {
		this.#weight += weight;
		this.#tokens += weight * tokens;
		this.#took += weight * tookMs;
		this.#tokensSquared += weight * tokens * tokens;
		this.#tokensTook += weight * tokens * tookMs;
	}

	#fit(): void {
		const meanTokens = this.#tokens / this.#weight;
		const meanTook = this.#took / this.#weight;
		if (this.#isSpread()) {
			const spread = (this.#tokensSquared / this.#weight) - (meanTokens * meanTokens);
			const together = (this.#tokensTook / this.#weight) - (meanTokens * meanTook);
			// A line that falls comes from chance
			this.tokenMs = Math.max(leastTokenMs, together / spread);
		}

		// So does one that begins below zero
		this.tokenMs = meanTokens > 0 ? Math.min(this.tokenMs, meanTook / meanTokens) : this.tokenMs;
		this.offsetMs = meanTook - (meanTokens * this.tokenMs);
	}

	/** Whether the prompts seen differ enough in length; the imagined ones do not count. */
	#isSpread(): boolean {
		let [weight, tokens, tokensSquared] = [this.#weight, this.#tokens, this.#tokensSquared];
		for (const imagined of imaginedTokens) {
			weight -= this.#imagined;
			tokens -= this.#imagined * imagined;
			tokensSquared -= this.#imagined * imagined * imagined;
		}

		const mean = tokens / weight;
		return (tokensSquared / weight) - (mean * mean) > Math.max(leastSpreadTokens, leastSpread * mean) ** 2;
	}
}
