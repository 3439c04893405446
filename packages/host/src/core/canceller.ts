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
	readonly #pending = new Set<Cancellation>();
	#isClosed = false;

	constructor(context: Context, client: EngineClient) {
		this.#context = context;
		this.#client = client;
	}

	/** Cancels not yet confirmed. */
	get size(): number {
		return this.#pending.size;
	}

	/** Cancels until it is confirmed. */
	cancel(cancellation: Cancellation): void {
		for (const {engine, request, attempt} of this.#pending) {
			if (engine === cancellation.engine && request === cancellation.request && attempt === cancellation.attempt) {
				return;
			}
		}

		this.#pending.add(cancellation);
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
		if (await this.#isReleased(cancellation)) {
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
