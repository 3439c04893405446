/**
 * Ends a step that makes no progress: a timer on the injected clock that aborts the step's calls unless it is put back.
 * Efficiency: a watch that ends a step too early costs an attempt; what the step may hold is cancelled by its owner.
 */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Watches one step. */
export class StallWatch {
	readonly #clock: Clock;
	readonly #stallMs: number;
	readonly #abort = new AbortController();
	readonly #outer: AbortSignal;
	readonly #onOuter: () => void;
	#timer: Timer;

	/** `signal` aborts when `outer` does, or after `stallMs` without progress. */
	constructor(clock: Clock, stallMs: number, outer: AbortSignal) {
		this.#clock = clock;
		this.#stallMs = stallMs;
		this.#outer = outer;
		this.#onOuter = () => {
			this.#abort.abort();
		};

		outer.addEventListener('abort', this.#onOuter);
		if (outer.aborted) {
			this.#abort.abort();
		}

		this.#timer = this.#start();
	}

	get signal(): AbortSignal {
		return this.#abort.signal;
	}

	/** Notes progress. */
	touch(): void {
		this.#timer.stop();
		this.#timer = this.#start();
	}

	/** Ends the watch. */
	stop(): void {
		this.#timer.stop();
		this.#outer.removeEventListener('abort', this.#onOuter);
	}

	#start(): Timer {
		return this.#clock.after(this.#stallMs, () => {
			this.#abort.abort();
		});
	}
}
