/**
 * Finds what engines hold for owners that are gone: a stream or result that
 * no living owner claims for a whole grace is cancelled. Safety of "no memory
 * held for a caller who is gone" after an owner died rests on this; a cut-off
 * but living owner loses a stream and goes on elsewhere.
 */
import {leaseKey} from '@gatehead/policy/scheduler/decode-pool';
import {type EngineReport, type Owner} from '@gatehead/schema/engine-protocol';

/** Something held that nobody claims. */
export type Orphan = {
	readonly request: string;
	readonly attempt: number;
	readonly owner: Owner;
};

type Held = Orphan & {readonly ageMs: number};

/** What one keeper has seen unclaimed at its engines, and since when. */
export class OrphanSearch {
	readonly #graceMs: number;
	readonly #unclaimedSince = new Map<string, number>();

	constructor(graceMs: number) {
		this.#graceMs = graceMs;
	}

	/** Compares a report with the claims; returns what is unclaimed past the grace. */
	findOrphans({name, streams, results}: EngineReport, isClaimed: (key: string) => boolean, now: number): Orphan[] {
		const orphans: Orphan[] = [];
		const seen = new Set<string>();
		const held: readonly Held[] = [...streams, ...results];
		for (const each of held) {
			const key = `${name} ${leaseKey(each)}`;
			seen.add(key);
			if (isClaimed(leaseKey(each))) {
				this.#unclaimedSince.delete(key);
				continue;
			}

			const since = this.#unclaimedSince.get(key) ?? now;
			this.#unclaimedSince.set(key, since);
			if (now - since >= this.#graceMs) {
				orphans.push({request: each.request, attempt: each.attempt, owner: each.owner});
			}
		}

		this.#forgetGone(name, seen);
		return orphans;
	}

	/** Starts every grace anew, as after a late wake-up. */
	reset(): void {
		this.#unclaimedSince.clear();
	}

	#forgetGone(engine: string, seen: ReadonlySet<string>): void {
		for (const key of this.#unclaimedSince.keys()) {
			if (key.startsWith(`${engine} `) && !seen.has(key)) {
				this.#unclaimedSince.delete(key);
			}
		}
	}
}
