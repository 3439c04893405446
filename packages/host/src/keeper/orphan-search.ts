/**
 * Finds streams and results that engines hold for hosts that are gone: those
 * that no host claims for the grace period are orphans. Safety: releasing
 * the memory of disconnected callers after their host died depends on this. A
 * live host that is cut off from the keeper loses its stream and retries.
 */
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {type EngineReport, type Owner} from '@gatehead/schema/engine-protocol';

/** A stream or result that no host claims. */
export type Orphan = {
	readonly request: string;
	readonly attempt: number;
	readonly owner: Owner;
};

type Held = Orphan & {readonly ageMs: number};

/** Tracks since when the engines of one cell have held unclaimed streams and results. */
export class OrphanSearch {
	readonly #graceMs: number;
	readonly #unclaimedSince = new Map<string, number>();

	constructor(graceMs: number) {
		this.#graceMs = graceMs;
	}

	/** Compares a report with the claims; returns what has been unclaimed for the grace period. */
	findOrphans({name, streams, results}: EngineReport, isClaimed: (key: string) => boolean, now: number): Orphan[] {
		const orphans: Orphan[] = [];
		const reported = new Set<string>();
		const held: readonly Held[] = [...streams, ...results];
		for (const each of held) {
			const key = `${name} ${leaseKey(each)}`;
			reported.add(key);
			if (isClaimed(leaseKey(each))) {
				this.#unclaimedSince.delete(key);
				continue;
			}

			const unclaimedSince = this.#unclaimedSince.get(key) ?? now;
			this.#unclaimedSince.set(key, unclaimedSince);
			if (now - unclaimedSince >= this.#graceMs) {
				orphans.push({request: each.request, attempt: each.attempt, owner: each.owner});
			}
		}

		this.#removeReleased(name, reported);
		return orphans;
	}

	/** Restarts all grace periods. */
	reset(): void {
		this.#unclaimedSince.clear();
	}

	#removeReleased(engine: string, reported: ReadonlySet<string>): void {
		for (const key of this.#unclaimedSince.keys()) {
			if (key.startsWith(`${engine} `) && !reported.has(key)) {
				this.#unclaimedSince.delete(key);
			}
		}
	}
}
