/**
 * When a prefill replica will have read what is on its way to it: prompts are
 * read one after the other, so the sum of what all hosts sent is its queue.
 * Efficiency: news of other hosts' prompts may be late or lost.
 */

/** Time for a prompt's token until any was read, in milliseconds: the users' sheets. */
const firstTokenMs = 0.03;
/** Time that each prompt takes besides, in milliseconds: messages and the start of its reading. */
const promptMs = 5;
/** Weight of a new observation of the time for a token. */
const weight = 0.1;
/** Bounds of what is believed of the time for a token, as multiples of the first guess. */
const least = 0.4;
const most = 4;

/** The queue of one replica. */
export class ReadingQueue {
	#tokenMs = firstTokenMs;
	#idleAt = 0;

	/** Notes a prompt that goes there. */
	add(tokens: number, now: number): void {
		this.#idleAt = Math.max(now, this.#idleAt) + promptMs + (tokens * this.#tokenMs);
	}

	/** Time until a further prompt would be read, in milliseconds. */
	expect(tokens: number, now: number): number {
		return Math.max(0, this.#idleAt - now) + promptMs + (tokens * this.#tokenMs);
	}

	/** Learns from a prompt that was read: `expectedMs` is what `expect` said when it went out. */
	learn(tokens: number, expectedMs: number, tookMs: number, now: number): void {
		const ratio = Math.min(2, Math.max(0.5, tookMs / Math.max(1, expectedMs)));
		const wanted = this.#tokenMs * ratio;
		this.#tokenMs = Math.min(most * firstTokenMs, Math.max(least * firstTokenMs, this.#tokenMs + (weight * (wanted - this.#tokenMs))));
		// A prompt that took longer than its whole expected queue met others that were not heard of
		if (tookMs > 2 * expectedMs && tokens > 0) {
			this.#idleAt = Math.max(this.#idleAt, now + ((tookMs - expectedMs) / 2));
		}
	}
}
