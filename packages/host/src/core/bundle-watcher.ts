/**
 * Watches the configuration service for new bundles by long polling, and
 * offers them to the bundle store, which checks signature and version.
 */
import {signedBundle} from '@gatehead/schema/signed-bundle';
import {checkJson} from '@gatehead/schema/check';
import {toFailure} from '@gatehead/schema/failure';
import {bundleKey} from '@gatehead/schema/platform-protocol';
import {jitter} from '@gatehead/policy/utils/random';
import {type BundleStore} from './bundle-store.js';
import {type Context} from './context.js';
import {type PlatformClient} from './platform-client.js';

const minRetryMs = 250;
const maxRetryMs = 10_000;
const retryJitter = 0.5;
/** How often a host that is not the watcher checks whether it has become one. */
const roleCheckMs = 1000;

export type BundleWatcherOptions = {
	readonly context: Pick<Context, 'clock' | 'log' | 'random'> & {readonly settings: {readonly timing: Pick<Context['settings']['timing'], 'watchMs'>}};
	readonly bundles: Pick<BundleStore, 'offer'>;
	readonly platform: Pick<PlatformClient, 'watch'>;
	/** Whether this host is currently responsible for watching. */
	readonly isWatcher: () => boolean;
};

export class BundleWatcher {
	readonly #options: BundleWatcherOptions;
	readonly #abort = new AbortController();
	#revision = -1;
	#retryMs = minRetryMs;
	#isUnavailable = false;

	constructor(options: BundleWatcherOptions) {
		this.#options = options;
	}

	/** Whether the last read of the configuration service failed. */
	get isUnavailable(): boolean {
		return this.#isUnavailable;
	}

	start(): void {
		void this.#watch();
	}

	/** Stops watching and aborts a pending read. */
	stop(): void {
		this.#abort.abort();
	}

	async #watch(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			if (!this.#options.isWatcher()) {
				await this.#sleep(roleCheckMs);
				continue;
			}

			await this.#poll();
		}
	}

	async #poll(): Promise<void> {
		const {context: {settings, random}, platform} = this.#options;
		try {
			const {revision, value} = await platform.watch(bundleKey, this.#revision, settings.timing.watchMs, this.#abort.signal);
			this.#setUnavailable(false);
			this.#offer(value);
			const isChanged = revision !== this.#revision;
			this.#revision = revision;
			this.#retryMs = minRetryMs;
			// Avoids a busy loop if the service responds at once with an unchanged revision
			await this.#sleep(isChanged ? 0 : minRetryMs);
		} catch {
			if (this.#abort.signal.aborted) {
				return;
			}

			this.#setUnavailable(true);
			// The service may come back with a new revision sequence
			this.#revision = -1;
			await this.#sleep(jitter(random, this.#retryMs, retryJitter));
			this.#retryMs = Math.min(this.#retryMs * 2, maxRetryMs);
		}
	}

	#offer(value: string): void {
		if (value === '') {
			return;
		}

		const {bundles, context: {log}} = this.#options;
		try {
			bundles.offer(checkJson(signedBundle, value, 'bundleInvalid'));
		} catch (error) {
			const {code, detail} = toFailure(error, 'bundleInvalid');
			log(code, {detail});
		}
	}

	#setUnavailable(isUnavailable: boolean): void {
		if (isUnavailable !== this.#isUnavailable) {
			this.#isUnavailable = isUnavailable;
			this.#options.context.log(isUnavailable ? 'configurationDown' : 'configurationBack');
		}
	}

	async #sleep(milliseconds: number): Promise<void> {
		const {clock} = this.#options.context;
		await new Promise<void>(resolve => {
			const {signal} = this.#abort;
			const onAbort = () => {
				timer.stop();
				resolve();
			};

			const timer = clock.after(milliseconds, () => {
				signal.removeEventListener('abort', onAbort);
				resolve();
			});
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}
}
