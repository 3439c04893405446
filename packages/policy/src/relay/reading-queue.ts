/**
 * When a prefill replica will have read what is on its way to it: prompts are
 * read one after the other, so the sum of what all hosts sent is its queue.
 * Prompts of this host that are overdue show a queue that was not heard of.
 * Efficiency: news of other hosts' prompts may be late or lost.
 */

/** Time for a prompt's token, in milliseconds: 33 tokens a millisecond on the users' sheets, some replicas slower by a third. */
const tokenMs = 0.035;
/** Time that a prompt takes besides its reading, until any was seen, in milliseconds: the users' sheets. */
const firstOffsetMs = 65;
const mostOffsetMs = 300;
/** Queue up to which an observation says something about that time, in milliseconds. */
const emptyMs = 20;
/** Weight of a new observation. */
const weight = 0.1;
/** Part of a delay that nobody announced and that is supposed to meet the next prompt too. */
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
	#offsetMs = firstOffsetMs;
	#idleAt = 0;

	/** Notes a prompt that another host sends there. */
	add(tokens: number, now: number): void {
		this.#idleAt = Math.max(now, this.#idleAt) + (tokens * tokenMs);
	}

	/** Time until a further prompt would be read, in milliseconds. */
	expect(tokens: number, now: number): number {
		return this.#queued(now) + (tokens * tokenMs) + this.#offsetMs;
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
			const offsetMs = Math.min(mostOffsetMs, Math.max(0, tookMs - (tokens * tokenMs)));
			this.#offsetMs += weight * (offsetMs - this.#offsetMs);
		}

		const unforeseenMs = tookMs - expectedMs - (tokens * tokenMs);
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
