/**
 * Sends cancels to engines, and retries each until the engine confirms that it
 * holds nothing of the request. Safety: "no memory held for a caller who is
 * gone" rests on this while the owning process runs, and on the keeper's
 * orphan search after that.
 */
import {type EngineClient} from './engine-client.js';
import {type Context} from './context.js';

const minRetryMs = 100;
const maxRetryMs = 5000;
const callTimeoutMs = 2000;
/** Age up to which a graceful shutdown waits for a pending cancel. */
const shutdownWaitMs = 10_000;

/** A cancel to send. */
export type Cancellation = {
	readonly engine: string;
	readonly address: string;
	readonly request: string;
	/** Last attempt to cancel; earlier ones are cancelled as well. */
	readonly attempt: number;
	/** Called once the engine has confirmed, or is no longer in the bundle. */
	readonly onConfirmed?: () => void;
};

export class Canceller {
	readonly #context: Context;
	readonly #client: EngineClient;
	readonly #isKnown: (engine: string) => boolean;
	/** Unconfirmed cancels with the time at which each was first sent. */
	readonly #pending = new Map<Cancellation, number>();
	#isClosed = false;

	/** `isKnown` returns whether an engine is in the bundle in force; cancels to any other engine count as confirmed. */
	constructor(context: Context, client: EngineClient, isKnown: (engine: string) => boolean) {
		this.#context = context;
		this.#client = client;
		this.#isKnown = isKnown;
	}

	/** Number of cancels that a graceful shutdown waits for. Older ones went to engines that do not respond, and are left to the keepers' orphan search. */
	countAwaited(): number {
		const now = this.#context.clock.now();
		return [...this.#pending.values()].filter(since => now - since < shutdownWaitMs).length;
	}

	/** Sends a cancel and retries it until it is confirmed. Does nothing if the same cancel is pending. */
	cancel(cancellation: Cancellation): void {
		for (const {engine, request, attempt} of this.#pending.keys()) {
			if (engine === cancellation.engine && request === cancellation.request && attempt === cancellation.attempt) {
				return;
			}
		}

		this.#pending.set(cancellation, this.#context.clock.now());
		this.#context.counters.count('cancelsSent');
		void this.#attempt(cancellation, minRetryMs);
	}

	/** Stops all retries. */
	close(): void {
		this.#isClosed = true;
	}

	async #attempt(cancellation: Cancellation, retryMs: number): Promise<void> {
		const {timeline, counters, clock} = this.#context;
		const {request, attempt, engine} = cancellation;
		timeline.record({
			kind: 'cancelSent', request, attempt, endpoint: engine,
		});
		if (!this.#isKnown(engine) || await this.#tryCancel(cancellation)) {
			this.#pending.delete(cancellation);
			counters.count('cancelsConfirmed');
			timeline.record({
				kind: 'cancelConfirmed', request, attempt, endpoint: engine,
			});
			cancellation.onConfirmed?.();
			return;
		}

		clock.after(retryMs, () => {
			if (!this.#isClosed) {
				void this.#attempt(cancellation, Math.min(retryMs * 2, maxRetryMs));
			}
		});
	}

	async #tryCancel({address, request, attempt}: Cancellation): Promise<boolean> {
		const abort = new AbortController();
		const timer = this.#context.clock.after(callTimeoutMs, () => {
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
