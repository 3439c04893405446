/**
 * The active configuration of one host, and the last time at which it was
 * confirmed as the newest. Safety: a process never returns to a lower version,
 * whatever the source, and only a completed read of the directory confirms a
 * version. A host that cannot use a newer configuration is up to date again
 * only by a read that is later than the write of that configuration.
 */
import {isDeepStrictEqual} from 'node:util';
import {isLoadManaged} from '@gatehead/policy/relay/load-management';
import {RouteTable} from '@gatehead/policy/relay/route-table';
import {findRoutingFaults} from '@gatehead/policy/relay/routing-faults';
import {
	comparePositions, isCovered, isLater, type Position,
} from '@gatehead/schema/position';
import {type Routing} from '@gatehead/schema/routing';
import {type BaseContext, type RelayContext} from './context.js';

/** Maximum faults of a configuration in one log line. */
const maxLoggedFaults = 5;

type RoutingContext = BaseContext & {readonly settings: Pick<RelayContext['settings'], 'load'>};

/** Why a configuration is rejected, and where it comes from. */
type Rejection = {
	readonly source: string;
	readonly position: Position | undefined;
	readonly faults: readonly string[];
};

/** Holds the active configuration. */
export class RoutingState {
	readonly #context: RoutingContext;
	readonly #onAdopted: (routing: Routing) => void;
	#table: RouteTable | undefined;
	#isLoadManaged = false;
	#adoptedAt = Number.NEGATIVE_INFINITY;
	/** Time on this process's monotonic clock; newer versions may have been published since. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	/** Latest known write of a configuration that this host cannot use, or a position after it; undefined if it was replaced, or there is none. */
	#unusableAt: Position | undefined;
	/** Highest version from another host that this host cannot use, and whose position is unknown. */
	#unusableVersion = 0;
	/** Latest position at which the active configuration is known to have been the newest. */
	#newestAt: Position | undefined;
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
		return this.#unusableAt !== undefined || this.#unusableVersion > this.version;
	}

	/** Latest position at which the active configuration is known to have been the newest; undefined if there is none, or a newer one exists. */
	get newestAt(): Position | undefined {
		return this.isBehind ? undefined : this.#newestAt;
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
		if (!this.isBehind) {
			this.#confirmedAt = Math.max(this.#confirmedAt, at);
		}
	}

	/** Records that a configuration which this host cannot use was written at `position` or before it. */
	markBehind(position: Position): void {
		if (this.#newestAt !== undefined && this.#newestAt.epoch === position.epoch && this.#newestAt.revision > position.revision) {
			return;
		}

		this.#newestAt = undefined;
		if (this.#unusableAt === undefined || isLater(position, this.#unusableAt)) {
			this.#unusableAt = position;
		}
	}

	/** Records that a read of the directory returned this configuration as the newest at `position`. */
	recordNewest(routing: Routing, position: Position): void {
		// Contents are compared, since an operator may reuse a version
		if (isDeepStrictEqual(routing, this.#table?.routing)) {
			if (this.#unusableAt === undefined || comparePositions(position, this.#unusableAt) === 'later') {
				this.#setNewest(position);
			}
		} else if (this.#newestAt !== undefined && comparePositions(position, this.#newestAt) !== 'earlier') {
			this.#newestAt = undefined;
		}
	}

	/** Records that another host knows a version to have been the newest at `position`. That host may have started after a restore of the directory, so its statement does not refer to writes of an earlier epoch. */
	recordPeerNewest(version: number, position: Position): void {
		const isBeforeWrite = this.#unusableAt !== undefined && isCovered(position, this.#unusableAt);
		const isSameEpoch = this.#unusableAt === undefined || this.#unusableAt.epoch === position.epoch;
		if (version === this.version && isSameEpoch && !isBeforeWrite) {
			this.#setNewest(position);
		}
	}

	/** Records that the directory returned all changes between two positions, and that none is a configuration beyond those recorded. */
	recordChanges(from: Position, to: Position): void {
		if (this.newestAt !== undefined && isCovered(from, this.newestAt)) {
			this.#setNewest(to);
		}
	}

	/** Activates a configuration if it is newer and can be used. `ageMs`: time in milliseconds since it was read from the directory; `position`: that of its write or after it, if known. */
	offer(routing: Routing, source: string, ageMs = 0, position?: Position): void {
		const {log, metrics} = this.#context;
		if (routing.version <= this.version) {
			if (routing.version < this.version) {
				log('routingOlder', {offered: routing.version, version: this.version, source});
			}

			return;
		}

		const faults = findRoutingFaults(routing);
		if (faults.length > 0) {
			this.#reject(routing, {source, position, faults});
			return;
		}

		const previous = this.version;
		this.#table = new RouteTable(routing);
		this.#adoptedAt = this.#context.clock.now();
		this.#isLoadManaged = isLoadManaged(routing, this.#context.settings.load.management);
		this.#newestAt = undefined;
		metrics.set('version', routing.version);
		metrics.time('routingAge', ageMs);
		log('routingAdopted', {
			version: routing.version, previous, routes: routing.routes.length, services: routing.services.length, source, ageMs: Math.round(ageMs),
		});
		this.#onAdopted(routing);
	}

	#setNewest(position: Position): void {
		this.#unusableAt = undefined;
		if (this.#newestAt === undefined || isLater(position, this.#newestAt)) {
			this.#newestAt = position;
		}
	}

	/** Keeps the active configuration. */
	#reject({version}: Routing, {source, position, faults}: Rejection): void {
		if (position === undefined) {
			this.#unusableVersion = Math.max(this.#unusableVersion, version);
		} else {
			this.#unusableVersion = this.#unusableVersion > version ? this.#unusableVersion : 0;
			this.markBehind(position);
		}

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
