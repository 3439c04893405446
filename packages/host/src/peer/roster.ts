/**
 * Polls the platform's list of hosts and leaving endpoints, which may be
 * stale. Hosts: efficiency only, as their state follows from heartbeats.
 * Endpoints: "a leaving endpoint gets no new work" depends on the poll interval.
 */
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter} from '@gatehead/policy/utils/random';
import {type ListedHost} from '@gatehead/schema/platform-protocol';
import {type Context} from '../core/context.js';
import {type PlatformClient} from '../core/platform-client.js';

const intervalJitter = 0.1;

/** Poller of the platform's list. */
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

	/** Endpoints listed as leaving in the last successful read. */
	get leavingEndpoints(): ReadonlySet<string> {
		return this.#leavingEndpoints;
	}

	/** Starts polling. */
	start(): void {
		void this.#poll();
	}

	stop(): void {
		this.#abort.abort();
		this.#timer?.stop();
	}

	async #poll(): Promise<void> {
		const {clock, random, settings: {timing: {rosterMs}}} = this.#context;
		try {
			const {hosts, leavingEndpoints} = await this.#platform.listHosts(this.#abort.signal);
			this.#leavingEndpoints = new Set(leavingEndpoints);
			this.#onRead(hosts);
		} catch {
			// The platform may be unavailable; the last list stays in use
		}

		if (!this.#abort.signal.aborted) {
			this.#timer = clock.after(jitter(random, rosterMs, intervalJitter), () => {
				void this.#poll();
			});
		}
	}
}
