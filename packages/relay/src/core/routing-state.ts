/**
 * The configuration in force at one host, and the instant for which it is
 * known to have been the newest. Safety: it never goes back to a lower
 * version in one life of the process, whoever offers one, and only what was
 * asked and answered confirms it.
 */
import {RouteTable} from '@gatehead/policy/relay/route-table';
import {type Routing} from '@gatehead/schema/routing';
import {type Bookkeeping} from './context.js';

/** Decides what is in force. */
export class RoutingState {
	readonly #context: Bookkeeping;
	readonly #onAdopted: (routing: Routing) => void;
	#table: RouteTable | undefined;
	/** On this process's clock; a newer version may exist that was published later. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	/** A newer version was published that this host cannot read: what it has is not the newest. */
	#isBehind = false;

	constructor(context: Bookkeeping, onAdopted: (routing: Routing) => void) {
		this.#context = context;
		this.#onAdopted = onAdopted;
	}

	/** Routes in force; undefined: none is known yet. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Version in force; 0: none. */
	get version(): number {
		return this.#table?.routing.version ?? 0;
	}

	/** Whether a newer version exists that this host cannot read. */
	get isBehind(): boolean {
		return this.#isBehind;
	}

	/** The latest instant for which the version in force is known to have been the newest. */
	get confirmedAt(): number {
		return this.#confirmedAt;
	}

	/** How long ago that was, in milliseconds; -1: it was never known. */
	ageMs(): number {
		return Number.isFinite(this.#confirmedAt) ? Math.max(0, this.#context.clock.now() - this.#confirmedAt) : -1;
	}

	/** Takes note that the version in force was the newest at an instant: the one at which that was asked, not the one at which it was answered. */
	confirm(at: number): void {
		if (!this.#isBehind) {
			this.#confirmedAt = Math.max(this.#confirmedAt, at);
		}
	}

	/** Takes note that a version was published which cannot be read. */
	fallBehind(): void {
		this.#isBehind = true;
	}

	/** Takes an offer; adopts it where it is newer. `ageMs`: how long ago the host that the offer began with read it. */
	offer(routing: Routing, source: string, ageMs = 0): void {
		const {log, metrics} = this.#context;
		if (routing.version <= this.version) {
			if (routing.version < this.version) {
				log('routingOlder', {offered: routing.version, version: this.version, source});
			}

			return;
		}

		const previous = this.version;
		this.#table = new RouteTable(routing);
		this.#isBehind = false;
		metrics.set('version', routing.version);
		metrics.time('routingAge', ageMs);
		log('routingAdopted', {
			version: routing.version, previous, routes: routing.routes.length, services: routing.services.length, source, ageMs: Math.round(ageMs),
		});
		this.#onAdopted(routing);
	}
}
