/** How many hosts may serve now, those not heard among them. Safety of quotas in a split: what is not heard counts as serving on the other side for a while. */
import {type Clock} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** Time for which a host that is not heard any more counts, in milliseconds: splits that last longer are rare, and hosts that are replaced under new names must not make quotas smaller for good. */
const splitMs = 60_000;

/** Counts hosts. */
export class KnownHosts {
	readonly #clock: Clock;
	readonly #goneAt = new Map<string, number>();
	#heard = 1;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes over what is known of all hosts. */
	note(members: readonly MemberRecord[]): void {
		this.#heard = 0;
		for (const {host, state} of members) {
			if (state === 'alive' || state === 'leaving') {
				this.#heard += 1;
				this.#goneAt.delete(host);
			} else if (!this.#goneAt.has(host)) {
				this.#goneAt.set(host, this.#clock.now());
			}
		}
	}

	/** Hosts heard, and those that were heard a while ago. */
	count(): number {
		const now = this.#clock.now();
		let known = this.#heard;
		for (const [host, at] of this.#goneAt) {
			if (now - at < splitMs) {
				known += 1;
			} else {
				this.#goneAt.delete(host);
			}
		}

		return known;
	}
}
