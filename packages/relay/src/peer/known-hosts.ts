/**
 * Counts the hosts that may be serving requests. Safety of quotas in a network
 * partition: unreachable hosts count for a while, because they may be serving
 * on the other side. After a start the count says nothing until this host has
 * heard of a majority of the seeds, or from a host whose census is established:
 * hosts that are whole among themselves may be a small part of the fleet.
 */
import {includesSeedMajority} from '@gatehead/policy/relay/order-quorum';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** Time for which an unreachable host is still counted, in milliseconds; limited, so that hosts replaced under new names do not reduce quotas permanently. */
const partitionMs = 60_000;
/** Time after a start in which hosts that took each other for dead meet, in milliseconds. */
const meetingMs = 2000;

export type KnownHostsParts = {
	readonly clock: Clock;
	/** Peer addresses that every host is configured with. */
	readonly listSeeds: () => readonly string[];
	/** All hosts of which this one has heard, including itself and unreachable ones. */
	readonly listMembers: () => readonly MemberRecord[];
};

/** Count of reachable and recently lost hosts. */
export class KnownHosts {
	readonly #parts: KnownHostsParts;
	readonly #startedAt: number;
	readonly #lostAt = new Map<string, number>();
	#reachable = 1;
	#isFleetKnown = false;

	constructor(parts: KnownHostsParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.now();
	}

	/** Whether the count is that of the fleet: this host has heard of a majority of the seeds or from a host that counts the fleet, or it started so long ago that hosts it has not heard of no longer count. */
	get isFleetKnown(): boolean {
		const {clock, listSeeds, listMembers} = this.#parts;
		const members = listMembers();
		this.#isFleetKnown ||= clock.now() - this.#startedAt >= partitionMs || includesSeedMajority(listSeeds(), members) || members.some(({state, census}) => state === 'alive' && census?.isEstablished);
		return this.#isFleetKnown;
	}

	/** Whether no host is left that this one may not have met since its start. Seeds that have all just started do not know hosts that have lived on. */
	get hasMetOthers(): boolean {
		return this.isFleetKnown && this.#parts.clock.now() - this.#startedAt >= meetingMs;
	}

	/** Updates the counts from the member list. */
	update(members: readonly MemberRecord[]): void {
		this.#reachable = 0;
		for (const {host, state} of members) {
			if (state === 'alive' || state === 'leaving') {
				this.#reachable += 1;
				this.#lostAt.delete(host);
			} else if (!this.#lostAt.has(host)) {
				this.#lostAt.set(host, this.#parts.clock.now());
			}
		}
	}

	/** Number of reachable hosts plus those lost within `partitionMs`. */
	count(): number {
		const now = this.#parts.clock.now();
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
