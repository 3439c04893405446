/**
 * Replaces a run that is silent. Safety: the silent run goes on until right
 * before another one is written to its endpoint. It is never ended for one that
 * cannot begin, and two runs of a request never overlap.
 */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';

/** Lateness of a timer above which this process, not the endpoint, may have been silent, in milliseconds; several event-loop turns of a busy host. */
const lateTimerMs = 20;

/** An attempt to begin another run. */
export type TakeoverAttempt = {
	/** Aborts once the silent run proceeds or ends, or the request does. */
	readonly signal: AbortSignal;
	/** Ends the silent run. Called right before the first byte of the other run is written; further calls do nothing. */
	readonly commit: () => void;
};

export type TakeoverParts<Result> = {
	readonly clock: Clock;
	/** Time without progress before an attempt, in milliseconds. */
	readonly idleMs: number;
	/** Signal of the request. */
	readonly signal: AbortSignal;
	/** Begins another run and resolves with its result; resolves with undefined if none could begin. */
	readonly begin: (attempt: TakeoverAttempt) => Promise<Result | undefined>;
	/** Ends the silent run. */
	readonly endSilent: () => void;
	/** Handles an error of an attempt that has not begun another run. */
	readonly onError: (error: unknown) => void;
};

/** The takeover of one run. */
export class Takeover<Result> {
	readonly #parts: TakeoverParts<Result>;
	#timer: Timer | undefined;
	#controller = new AbortController();
	#attempt: Promise<Result | undefined> | undefined;
	#isCommitted = false;
	#isSettled = false;

	/** `firstIdleMs`: time before the first attempt, in milliseconds. */
	constructor(parts: TakeoverParts<Result>, firstIdleMs = parts.idleMs) {
		this.#parts = parts;
		this.#startTimer(firstIdleMs);
	}

	/** Whether the silent run has been ended; nothing of it is used from then on. */
	get isCommitted(): boolean {
		return this.#isCommitted;
	}

	/** Handles progress of the run: gives up an attempt that has not begun another one. */
	recordProgress(): void {
		if (!this.#isCommitted && !this.#isSettled) {
			this.#controller.abort();
			this.#startTimer(this.#parts.idleMs);
		}
	}

	/** Begins no other run from now on. */
	stop(): void {
		this.#isSettled = true;
		this.#timer?.stop();
		if (!this.#isCommitted) {
			this.#controller.abort();
		}
	}

	/** Called when the run has ended. Resolves with the result of the run that replaced it, or with undefined if none has. */
	async settle(): Promise<Result | undefined> {
		this.stop();
		return this.#attempt;
	}

	/** A timer that fires late is extended once by its lateness: events that arrived meanwhile have not been read. */
	#startTimer(milliseconds: number, isExtension = false): void {
		const {clock} = this.#parts;
		const dueAt = clock.now() + milliseconds;
		this.#timer?.stop();
		this.#timer = clock.after(milliseconds, () => {
			const lateMs = clock.now() - dueAt;
			if (lateMs >= lateTimerMs && !isExtension) {
				this.#startTimer(lateMs, true);
				return;
			}

			if (this.#attempt === undefined) {
				this.#attempt = this.#begin();
				// `settle` rejects as well
				this.#attempt.catch(ignore);
			}
		});
	}

	async #begin(): Promise<Result | undefined> {
		this.#controller = new AbortController();
		try {
			const result = await this.#parts.begin({
				signal: AbortSignal.any([this.#parts.signal, this.#controller.signal]),
				commit: () => {
					this.#commit();
				},
			});
			if (this.#isCommitted) {
				return result;
			}
		} catch (error) {
			if (this.#isCommitted) {
				throw error;
			}

			this.#parts.onError(error);
		}

		this.#attempt = undefined;
		if (!this.#isSettled) {
			this.#startTimer(this.#parts.idleMs);
		}

		return undefined;
	}

	#commit(): void {
		if (!this.#isCommitted) {
			this.#isCommitted = true;
			this.#timer?.stop();
			this.#parts.endSilent();
		}
	}
}
