/**
 * What a process must know before it serves. Safety of "a bundle never
 * reverts": it serves only under a version that is no older than any that an
 * endpoint has obeyed, as far as endpoints can be asked.
 */
import {type BundleStore} from './bundle-store.js';
import {type Context} from './context.js';
import {type EngineClient} from './engine-client.js';

/** Engines asked for the highest fence that they saw. */
const askedEngines = 8;
const answerMs = 1500;

/** Keeps the highest fence known. */
export class StartCheck {
	readonly #context: Context;
	readonly #bundles: BundleStore;
	readonly #client: EngineClient;
	#highestFence = 0;
	#isDone = false;

	constructor(context: Context, bundles: BundleStore, client: EngineClient) {
		this.#context = context;
		this.#bundles = bundles;
		this.#client = client;
		bundles.onAdopted(() => {
			void this.#ask();
		});
	}

	/** Whether this process may serve. */
	get isReady(): boolean {
		return this.#isDone && this.#bundles.version >= this.#highestFence;
	}

	/** Notes a fence above the version in force; returns whether it is news. */
	noteFence(fence: number): boolean {
		if (fence <= this.#highestFence) {
			return false;
		}

		this.#highestFence = fence;
		if (fence > this.#bundles.version) {
			this.#context.log('orderFenced', {fence, version: this.#bundles.version});
		}

		return true;
	}

	async #ask(): Promise<void> {
		if (this.#isDone) {
			return;
		}

		const engines = this.#bundles.inForce?.bundle.engines.slice(0, askedEngines) ?? [];
		const abort = new AbortController();
		const timer = this.#context.clock.after(answerMs, () => {
			abort.abort();
		});
		const fences = await Promise.all(engines.map(async ({address}) => this.#askOne(address, abort.signal)));
		timer.stop();
		this.noteFence(Math.max(0, ...fences));
		this.#isDone = true;
	}

	/** The fence of one engine; 0 where it does not answer. */
	async #askOne(address: string, signal: AbortSignal): Promise<number> {
		try {
			const {fence} = await this.#client.report(address, signal);
			return fence;
		} catch {
			return 0;
		}
	}
}
