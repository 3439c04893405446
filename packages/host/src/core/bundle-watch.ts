/**
 * Watches the configuration service for a newer bundle. Efficiency: it only
 * offers what it reads; the bundle store decides by signature and version.
 */
import {signedBundle} from '@gatehead/schema/signed-bundle';
import {checkJson} from '@gatehead/schema/check';
import {toFailure} from '@gatehead/schema/failure';
import {bundleKey} from '@gatehead/schema/platform-protocol';
import {jitter} from '@gatehead/policy/utils/random';
import {type BundleStore} from './bundle-store.js';
import {type Context} from './context.js';
import {type PlatformClient} from './platform-client.js';

const firstRetryMs = 250;
const longestRetryMs = 10_000;
const retrySpread = 0.5;
const idleMs = 1000;

/** What the watch works with. */
export type BundleWatchParts = {
	readonly context: Pick<Context, 'clock' | 'log' | 'random'> & {readonly settings: {readonly timing: Pick<Context['settings']['timing'], 'watchMs'>}};
	readonly bundles: Pick<BundleStore, 'offer'>;
	readonly platform: Pick<PlatformClient, 'watch'>;
	/** Whether it falls to this host to watch now. */
	readonly isWatcher: () => boolean;
};

/** The watch. */
export class BundleWatch {
	readonly #parts: BundleWatchParts;
	readonly #abort = new AbortController();
	#revision = -1;
	#retryMs = firstRetryMs;
	#isDown = false;

	constructor(parts: BundleWatchParts) {
		this.#parts = parts;
	}

	/** Whether the service answered last time. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Starts to watch. */
	start(): void {
		void this.#watch();
	}

	/** Stops. */
	stop(): void {
		this.#abort.abort();
	}

	async #watch(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			if (!this.#parts.isWatcher()) {
				await this.#pause(idleMs);
				continue;
			}

			await this.#read();
		}
	}

	async #read(): Promise<void> {
		const {context: {settings, random}, platform} = this.#parts;
		try {
			const {revision, value} = await platform.watch(bundleKey, this.#revision, settings.timing.watchMs, this.#abort.signal);
			this.#noteState(false);
			this.#offer(value);
			const isNews = revision !== this.#revision;
			this.#revision = revision;
			this.#retryMs = firstRetryMs;
			// A service that answers at once without news must not be asked in a busy loop
			await this.#pause(isNews ? 0 : firstRetryMs);
		} catch {
			if (this.#abort.signal.aborted) {
				return;
			}

			this.#noteState(true);
			// A service that came back may count its revisions anew
			this.#revision = -1;
			await this.#pause(jitter(random, this.#retryMs, retrySpread));
			this.#retryMs = Math.min(this.#retryMs * 2, longestRetryMs);
		}
	}

	#offer(value: string): void {
		if (value === '') {
			return;
		}

		const {bundles, context: {log}} = this.#parts;
		try {
			bundles.offer(checkJson(signedBundle, value, 'bundleInvalid'));
		} catch (error) {
			const {code, detail} = toFailure(error, 'bundleInvalid');
			log(code, {detail});
		}
	}

	#noteState(isDown: boolean): void {
		if (isDown !== this.#isDown) {
			this.#isDown = isDown;
			this.#parts.context.log(isDown ? 'configurationDown' : 'configurationBack');
		}
	}

	async #pause(milliseconds: number): Promise<void> {
		const {clock} = this.#parts.context;
		await new Promise<void>(resolve => {
			const {signal} = this.#abort;
			const leave = () => {
				timer.stop();
				resolve();
			};

			const timer = clock.after(milliseconds, () => {
				signal.removeEventListener('abort', leave);
				resolve();
			});
			signal.addEventListener('abort', leave, {once: true});
		});
	}
}
