/**
 * Cancels at engines, repeated until the engine confirms that it holds
 * nothing. Safety: "no memory held for a caller who is gone" rests on this
 * while the owner lives, and on the keeper's orphan search after that.
 */
import {type EngineClient} from './engine-client.js';
import {type Context} from './context.js';

const firstRetryMs = 100;
const longestRetryMs = 5000;
const answerMs = 2000;
const freshMs = 10_000;

/** What to cancel, and where. */
export type Cancellation = {
	readonly engine: string;
	readonly address: string;
	readonly request: string;
	/** This attempt and all before it. */
	readonly attempt: number;
	/** Called once the engine confirmed. */
	readonly confirmed?: () => void;
};

/** Cancels in work. */
export class Canceller {
	readonly #context: Context;
	readonly #client: EngineClient;
	readonly #isKnown: (engine: string) => boolean;
	/** Cancels not yet confirmed, with the instant of their first sending. */
	readonly #pending = new Map<Cancellation, number>();
	#isClosed = false;

	/** `isKnown` says whether an engine is still in the bundle; one that is not cannot be asked any more. */
	constructor(context: Context, client: EngineClient, isKnown: (engine: string) => boolean) {
		this.#context = context;
		this.#client = client;
		this.#isKnown = isKnown;
	}

	/** Cancels that a planned stop waits for; older ones are at engines that do not answer, and are left to the keepers' orphan search. */
	countFresh(): number {
		const now = this.#context.clock.now();
		return [...this.#pending.values()].filter(since => now - since < freshMs).length;
	}

	/** Cancels until it is confirmed. */
	cancel(cancellation: Cancellation): void {
		for (const {engine, request, attempt} of this.#pending.keys()) {
			if (engine === cancellation.engine && request === cancellation.request && attempt === cancellation.attempt) {
				return;
			}
		}

		this.#pending.set(cancellation, this.#context.clock.now());
		this.#context.counters.count('cancelsSent');
		void this.#send(cancellation, firstRetryMs);
	}

	/** Stops retries; used when the process ends. */
	close(): void {
		this.#isClosed = true;
	}

	async #send(cancellation: Cancellation, retryMs: number): Promise<void> {
		const {timeline, counters, clock} = this.#context;
		const {request, attempt, engine} = cancellation;
		timeline.note({
			kind: 'cancelSent', request, attempt, endpoint: engine,
		});
		if (!this.#isKnown(engine) || await this.#isReleased(cancellation)) {
			this.#pending.delete(cancellation);
			counters.count('cancelsConfirmed');
			timeline.note({
				kind: 'cancelConfirmed', request, attempt, endpoint: engine,
			});
			cancellation.confirmed?.();
			return;
		}

		clock.after(retryMs, () => {
			if (!this.#isClosed) {
				void this.#send(cancellation, Math.min(retryMs * 2, longestRetryMs));
			}
		});
	}

	async #isReleased({address, request, attempt}: Cancellation): Promise<boolean> {
		const abort = new AbortController();
		const timer = this.#context.clock.after(answerMs, () => {
			abort.abort();
		});
		try {
			const {held} = await this.#client.cancel(address, {request, attempt, owner: this.#context.self}, abort.signal);
			return !held;
		} catch {
			return false;
		} finally {
			timer.stop();
		}
	}
}
