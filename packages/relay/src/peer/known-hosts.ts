/**
 * Counts the hosts that may be serving requests. Safety of quotas in a network
 * partition: unreachable hosts count for a while, because they may be serving
 * on the other side.
 */
import {type Clock} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** Time for which an unreachable host is still counted, in milliseconds; limited, so that hosts replaced under new names do not reduce quotas permanently. */
const partitionMs = 60_000;

/** Count of reachable and recently lost hosts. */
export class KnownHosts {
	readonly #clock: Clock;
	readonly #lostAt = new Map<string, number>();
	#reachable = 1;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Updates the counts from the member list. */
	update(members: readonly MemberRecord[]): void {
		this.#reachable = 0;
		for (const {host, state} of members) {
			if (state === 'alive' || state === 'leaving') {
				this.#reachable += 1;
				this.#lostAt.delete(host);
			} else if (!this.#lostAt.has(host)) {
				this.#lostAt.set(host, this.#clock.now());
			}
		}
	}

	/** Number of reachable hosts plus those lost within `partitionMs`. */
	count(): number {
		const now = this.#clock.now();
		let known = this.#reachable;
		for (const [host, at] of this.#lostAt) {
			if (now - at < partitionMs) {
				known += 1;
			} else {
				this.#lostAt.delete(host);
			}
		}

		return known;
	}
}
