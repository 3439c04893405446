/**
 * Decides whether a host sees enough of the fleet to give orders to endpoints.
 * Safety: no two hosts that cannot see each other give orders at the same
 * time. What a host remembers does not suffice for that, since it knows only
 * itself after a start. The seeds outlive all processes, and at most one side
 * of a network partition contains a majority of them.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';

/** The part of a member record that counts. */
export type QuorumMember = Pick<MemberRecord, 'peerAddress' | 'state'>;

/** Whether a majority of the seeds are among the hosts; true without seeds. */
export function includesSeedMajority(seeds: readonly string[], hosts: ReadonlyArray<Pick<MemberRecord, 'peerAddress'>>): boolean {
	const found = seeds.filter(seed => hosts.some(({peerAddress}) => peerAddress === seed));
	return seeds.length === 0 || 2 * found.length > seeds.length;
}

/** Whether a majority of all known hosts, and a majority of the seeds, are alive. */
export function hasOrderQuorum(members: readonly QuorumMember[], seeds: readonly string[]): boolean {
	const alive = members.filter(({state}) => state === 'alive');
	return 2 * alive.length > members.length && includesSeedMajority(seeds, alive);
}
