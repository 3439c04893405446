/**
 * Endpoint processes that have left, remembered across a restore of the
 * directory. A directory that was restored from a backup lists them as ready
 * until they announce their departure again or their entries expire. Safety:
 * a departure that one host knows applies on all hosts until the entry is
 * written again.
 */
import {comparePositions, isLater, type Position} from '@gatehead/schema/position';
import {RecentMap} from '../utils/recent-map.js';

/** Time for which a departure overrides a restored entry, in milliseconds. Longer than a leaving endpoint takes to announce its departure again (2 s) and than the entry of a stopped one takes to expire (3.6 s). */
export const overrideMs = 10_000;
/** How long a departure is remembered in case of a restore, in milliseconds: longer than the age of a backup. */
const retentionMs = 60_000;
/** Largest number of departures remembered: more than a fleet of 1,600 endpoints that restarts within `retentionMs`. */
const maxDepartures = 2000;

/** A process that has left, and the position up to which the restored directory's entry for it is stale. */
export type Departure = Position & {
	readonly id: string;
	/** Time for which the departure overrides the entry, in milliseconds. */
	readonly leftMs: number;
};

type Override = {
	readonly position: Position;
	readonly until: number;
};

/** When a process left, and the directory's revision of that. */
type DepartureRecord = {
	readonly revision: number;
	readonly at: number;
};

/** The departures that one host knows. */
export class Departures {
	/** Processes that left, by id, the oldest first. */
	readonly #departed = new RecentMap<string, DepartureRecord>(maxDepartures);
	/** Processes that a restored directory may list as ready, by id. */
	readonly #overrides = new Map<string, Override>();

	/** Records that a process left, as of a revision of the directory. */
	add(id: string, revision: number, now: number): void {
		this.#departed.set(id, {revision, at: now});
	}

	/** Removes a departure: the process has not left. */
	forget(id: string): void {
		this.#departed.delete(id);
	}

	/**
	 * Records that the directory was restored from a backup and first seen at
	 * `position`. An entry from before a departure has a lower revision than the
	 * departure, in either epoch; an entry above the lower of both was written
	 * after the restore.
	 */
	handleRestore(position: Position, now: number): void {
		for (const [id, {position: {revision}}] of this.#overrides) {
			if (!this.#departed.has(id)) {
				this.add(id, revision, now);
			}
		}

		for (const [id, {revision, at}] of this.#departed.entries()) {
			if (now - at <= retentionMs) {
				this.#overrides.set(id, {position: {...position, revision: Math.min(position.revision, revision)}, until: now + overrideMs});
			}
		}
	}

	/** Whether an entry at a position is a stale one of a process that has left. */
	overrides(id: string, position: Position): boolean {
		// Called before every send, and empty unless the directory was restored lately
		if (this.#overrides.size === 0) {
			return false;
		}

		const found = this.#overrides.get(id);
		return found !== undefined && !isLater(position, found.position);
	}

	/** Lists departures that override restored entries now. */
	list(now: number): Departure[] {
		return [...this.#overrides].map(([id, {position, until}]) => ({id, ...position, leftMs: Math.max(0, until - now)}));
	}

	/** Merges another host's departure. Within one epoch the lower position counts: that host saw the restored directory earlier, with fewer new entries. */
	merge({id, leftMs, ...position}: Departure, now: number): void {
		const until = now + Math.min(leftMs, overrideMs);
		const known = this.#overrides.get(id);
		const order = known === undefined ? 'later' : comparePositions(position, known.position);
		if (known === undefined || (order === 'later' && position.epoch !== known.position.epoch)) {
			this.#overrides.set(id, {position, until});
		} else if (order === 'earlier' && position.epoch === known.position.epoch) {
			this.#overrides.set(id, {position, until: Math.min(until, known.until)});
		}
	}

	/** Removes departures that no longer override entries; returns their ids. */
	sweep(now: number): string[] {
		const expired: string[] = [];
		for (const [id, {until}] of this.#overrides) {
			if (now > until) {
				this.#overrides.delete(id);
				this.#departed.delete(id);
				expired.push(id);
			}
		}

		return expired;
	}
}
