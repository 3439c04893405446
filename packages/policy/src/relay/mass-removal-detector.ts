/**
 * Detects that most entries of a service were removed from the directory at
 * about the same time, which points to a directory outage that this host did
 * not notice rather than to endpoints shutting down.
 * Safety: entries restored for this reason are kept only for `massRemovalGraceMs`
 * from their own removal.
 */
import {type Position} from '@gatehead/schema/position';
import {type Endpoint} from '@gatehead/schema/routing';

/** How long entries that were removed together are kept while the directory appears reachable, in milliseconds. After an unnoticed outage they reappear within this time. It is two sweeps shorter than the two seconds after which new work on a leaving endpoint counts as a fault, in case the endpoints really shut down. */
export const massRemovalGraceMs = 1500;
/** Fraction of a service's entries that must be removed within one window to count as a mass removal; planned maintenance removes fewer at once. */
const minRemovedFraction = 0.5;
/** Minimum number of removed entries: two may be a shutdown and an unrelated failure. */
const minRemovedEntries = 3;

/** An entry that was removed from the directory; `at` is in milliseconds. */
export type RemovedEntry = {
	readonly at: number;
	readonly position: Position;
	readonly endpoint: Endpoint;
};

/** Tracks recently removed entries. */
export class MassRemovalDetector {
	readonly #windowMs: number;
	#recent: RemovedEntry[] = [];

	/** Removals within `windowMs` of each other count as one mass removal. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Records a removal. Returns all removals of the service in the window if they form a mass removal, otherwise an empty array; `countRemaining` returns the number of remaining endpoints of the service. */
	record(removed: RemovedEntry, countRemaining: () => number): readonly RemovedEntry[] {
		const {at, endpoint: {service}} = removed;
		this.#recent = [...this.#recent, removed].filter(each => at - each.at <= this.#windowMs);
		const sameService = this.#recent.filter(({endpoint}) => endpoint.service === service);
		if (sameService.length < minRemovedEntries || sameService.length < minRemovedFraction * (sameService.length + countRemaining())) {
			return [];
		}

		this.#recent = this.#recent.filter(({endpoint}) => endpoint.service !== service);
		return sameService;
	}
}
