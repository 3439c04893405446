/**
 * Decides whether a process may serve. Safety: bundles never revert, since a
 * process serves only if its bundle's version is at least the highest fence
 * that the engines it could reach have accepted.
 */
import {type BundleStore} from './bundle-store.js';
import {type Context} from './context.js';
import {type EngineClient} from './engine-client.js';

const maxQueriedEngines = 8;
const queryTimeoutMs = 1500;

/** Queries engines for their fences and tracks the highest one. */
export class ReadinessCheck {
	readonly #context: Context;
	readonly #bundles: BundleStore;
	readonly #client: EngineClient;
	#highestFence = 0;
	#hasQueried = false;

	constructor(context: Context, bundles: BundleStore, client: EngineClient) {
		this.#context = context;
		this.#bundles = bundles;
		this.#client = client;
		bundles.onAdopted(() => {
			void this.#queryFences();
		});
	}

	/** Whether this process may serve. */
	get isReady(): boolean {
		return this.#hasQueried && this.#bundles.version >= this.#highestFence;
	}

	/** Records a fence; returns whether it is higher than all recorded before. */
	recordFence(fence: number): boolean {
		if (fence <= this.#highestFence) {
			return false;
		}

		this.#highestFence = fence;
		if (fence > this.#bundles.version) {
			this.#context.log('orderFenced', {fence, version: this.#bundles.version});
		}

		return true;
	}

	async #queryFences(): Promise<void> {
		if (this.#hasQueried) {
			return;
		}

		const engines = this.#bundles.inForce?.bundle.engines.slice(0, maxQueriedEngines) ?? [];
		const abort = new AbortController();
		const timer = this.#context.clock.after(queryTimeoutMs, () => {
			abort.abort();
		});
		const fences = await Promise.all(engines.map(async ({address}) => this.#queryFence(address, abort.signal)));
		timer.stop();
		this.recordFence(Math.max(0, ...fences));
		this.#hasQueried = true;
	}

	/** Reads the fence of one engine; 0 if the engine does not respond. */
	async #queryFence(address: string, signal: AbortSignal): Promise<number> {
		try {
			const {fence} = await this.#client.report(address, signal);
			return fence;
		} catch {
			return 0;
		}
	}
}
