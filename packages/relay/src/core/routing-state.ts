/**
 * The active configuration of one host, and the last time at which it was
 * confirmed as the newest. Safety: a process never returns to a lower version,
 * whatever the source, and only a completed read of the directory confirms a
 * version.
 */
import {isLoadManaged} from '@gatehead/policy/relay/load-management';
import {RouteTable} from '@gatehead/policy/relay/route-table';
import {findRoutingFaults} from '@gatehead/policy/relay/routing-faults';
import {type Routing} from '@gatehead/schema/routing';
import {type BaseContext, type RelayContext} from './context.js';

/** Maximum faults of a configuration in one log line. */
const maxLoggedFaults = 5;

type RoutingContext = BaseContext & {readonly settings: Pick<RelayContext['settings'], 'load'>};

/** Holds the active configuration. */
export class RoutingState {
	readonly #context: RoutingContext;
	readonly #onAdopted: (routing: Routing) => void;
	#table: RouteTable | undefined;
	#isLoadManaged = false;
	#adoptedAt = Number.NEGATIVE_INFINITY;
	/** Time on this process's monotonic clock; newer versions may have been published since. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	/** Whether a newer version was published that this host cannot use. */
	#isBehind = false;
	/** Latest version that was rejected; hosts and lists offer it again. */
	#rejectedVersion = 0;

	constructor(context: RoutingContext, onAdopted: (routing: Routing) => void) {
		this.#context = context;
		this.#onAdopted = onAdopted;
	}

	/** Active routes; undefined before the first configuration. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Whether the active configuration calls for load management. */
	get isLoadManaged(): boolean {
		return this.#isLoadManaged;
	}

	/** Services whose load is managed. */
	get managedServices(): readonly string[] {
		return this.#isLoadManaged ? this.#table?.routing.services.map(({name}) => name) ?? [] : [];
	}

	/** Active version; 0 before the first configuration. */
	get version(): number {
		return this.#table?.routing.version ?? 0;
	}

	/** Whether a newer version exists that this host cannot use. */
	get isBehind(): boolean {
		return this.#isBehind;
	}

	/** Latest time at which the active version is known to have been the newest. */
	get confirmedAt(): number {
		return this.#confirmedAt;
	}

	/** Time since the active configuration came into force at this host, in milliseconds; undefined before the first one. */
	activeMs(): number | undefined {
		return this.#table === undefined ? undefined : this.#context.clock.now() - this.#adoptedAt;
	}

	/** Time since the last confirmation, in milliseconds; -1 if there was none. */
	ageMs(): number {
		return Number.isFinite(this.#confirmedAt) ? Math.max(0, this.#context.clock.now() - this.#confirmedAt) : -1;
	}

	/** Records that the active version was the newest at `at`: the time at which the read was sent, not that of its response. */
	confirm(at: number): void {
		if (!this.#isBehind) {
			this.#confirmedAt = Math.max(this.#confirmedAt, at);
		}
	}

	/** Records that a newer version was published that this host cannot use. */
	markBehind(): void {
		this.#isBehind = true;
	}

	/** Activates a configuration if it is newer and can be used. `ageMs`: time in milliseconds since it was read from the directory. */
	offer(routing: Routing, source: string, ageMs = 0): void {
		const {log, metrics} = this.#context;
		if (routing.version <= this.version) {
			if (routing.version < this.version) {
				log('routingOlder', {offered: routing.version, version: this.version, source});
			}

			return;
		}

		const faults = findRoutingFaults(routing);
		if (faults.length > 0) {
			this.#reject(routing, source, faults);
			return;
		}

		const previous = this.version;
		this.#table = new RouteTable(routing);
		this.#adoptedAt = this.#context.clock.now();
		this.#isLoadManaged = isLoadManaged(routing, this.#context.settings.load.management);
		this.#isBehind = false;
		metrics.set('version', routing.version);
		metrics.time('routingAge', ageMs);
		log('routingAdopted', {
			version: routing.version, previous, routes: routing.routes.length, services: routing.services.length, source, ageMs: Math.round(ageMs),
		});
		this.#onAdopted(routing);
	}

	/** Keeps the active configuration. */
	#reject({version}: Routing, source: string, faults: readonly string[]): void {
		this.markBehind();
		if (version <= this.#rejectedVersion) {
			return;
		}

		this.#rejectedVersion = version;
		const {log, metrics} = this.#context;
		metrics.add('routingRejected');
		log('routingRejected', {
			offered: version, version: this.version, source, detail: faults.slice(0, maxLoggedFaults).join('; '), faults: faults.length,
		});
	}
}
