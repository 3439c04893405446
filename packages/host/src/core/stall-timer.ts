/** Progress timeout on the injected clock. */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Aborts its signal after a time without progress. */
export class StallTimer {
	readonly #clock: Clock;
	readonly #stallMs: number;
	readonly #abort = new AbortController();
	readonly #parent: AbortSignal;
	readonly #onParentAbort: () => void;
	#timer: Timer;

	/** `signal` aborts when `parent` does, or after `stallMs` without progress. */
	constructor(clock: Clock, stallMs: number, parent: AbortSignal) {
		this.#clock = clock;
		this.#stallMs = stallMs;
		this.#parent = parent;
		this.#onParentAbort = () => {
			this.#abort.abort();
		};

		parent.addEventListener('abort', this.#onParentAbort);
		if (parent.aborted) {
			this.#abort.abort();
		}

		this.#timer = this.#startTimer();
	}

	get signal(): AbortSignal {
		return this.#abort.signal;
	}

	/** Restarts the timeout after progress. */
	reset(): void {
		this.#timer.stop();
		this.#timer = this.#startTimer();
	}

	/** Stops the timer and detaches from the parent signal. */
	stop(): void {
		this.#timer.stop();
		this.#parent.removeEventListener('abort', this.#onParentAbort);
	}

	#startTimer(): Timer {
		return this.#clock.after(this.#stallMs, () => {
			this.#abort.abort();
		});
	}
}
