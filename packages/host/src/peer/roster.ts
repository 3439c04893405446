/**
 * Reads the platform's lagging list of hosts and leaving endpoints now and
 * then. Efficiency for the hosts, which are judged by their heartbeats alone;
 * "a leaving endpoint gets no new work" rests on how often this reads.
 */
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter} from '@gatehead/policy/utils/random';
import {type ListedHost} from '@gatehead/schema/platform-protocol';
import {type Context} from '../core/context.js';
import {type PlatformClient} from '../core/platform-client.js';

const intervalSpread = 0.1;

/** The list as it was last read. */
export class Roster {
	readonly #context: Context;
	readonly #platform: PlatformClient;
	readonly #onRead: (hosts: readonly ListedHost[]) => void;
	readonly #abort = new AbortController();
	#leavingEndpoints: ReadonlySet<string> = new Set();
	#timer: Timer | undefined;

	constructor(context: Context, platform: PlatformClient, onRead: (hosts: readonly ListedHost[]) => void) {
		this.#context = context;
		this.#platform = platform;
		this.#onRead = onRead;
	}

	/** Endpoints that the list calls leaving. */
	get leavingEndpoints(): ReadonlySet<string> {
		return this.#leavingEndpoints;
	}

	/** Starts to read. */
	start(): void {
		void this.#read();
	}

	/** Stops. */
	stop(): void {
		this.#abort.abort();
		this.#timer?.stop();
	}

	async #read(): Promise<void> {
		const {clock, random, settings: {timing: {rosterMs}}} = this.#context;
		try {
			const {hosts, leavingEndpoints} = await this.#platform.listHosts(this.#abort.signal);
			this.#leavingEndpoints = new Set(leavingEndpoints);
			this.#onRead(hosts);
		} catch {
			// The list may be down; heartbeats go on without it
		}

		if (!this.#abort.signal.aborted) {
			this.#timer = clock.after(jitter(random, rosterMs, intervalSpread), () => {
				void this.#read();
			});
		}
	}
}
