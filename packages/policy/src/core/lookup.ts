/**
 * Which hosts a caller should use: near ones first, lightly loaded ones more
 * often, the same ones for the same caller as long as little changes.
 * Efficiency: a stale answer costs a redirect, never a promise.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {jitter, type Random} from '../utils/random.js';

/** Most hosts of one answer, so that an answer's cost does not grow with the fleet. */
export const mostAnswered = 4;
const idleWeight = 0.25;
const twoTo32 = 4_294_967_296;
const ttlSpread = 0.25;

/** Who asks. */
export type Lookup = {
	readonly caller: string;
	/** The caller's own address, so that clients of one caller spread. */
	readonly client: string;
	/** The hall that the caller is near to, if it said so. */
	readonly hall: string | undefined;
};

/** Load in steps, so that small changes of it move nobody. */
function stepOf(load: number): number {
	return Math.round(load * 4) / 4;
}

/** Weighted rendezvous: the smaller the cost, the earlier the host is named. */
function costOf({caller, client}: Lookup, {host, load}: MemberRecord): number {
	const share = (hashText(`${caller}\n${client}\n${host}`) + 1) / (twoTo32 + 1);
	return -Math.log(share) * (idleWeight + stepOf(load));
}

/** Hosts in the order to try. Leaving, suspect and dead ones are left out, unless only suspects remain. */
export function orderHosts(lookup: Lookup, members: readonly MemberRecord[]): MemberRecord[] {
	// A host that only the platform's list names has no incarnation to give a ticket of
	const known = members.filter(each => each.incarnation > 0);
	const alive = known.filter(each => each.state === 'alive');
	const usable = alive.length > 0 ? alive : known.filter(each => each.state === 'suspect');
	const ordered = usable.map(member => ({member, isFar: lookup.hall !== undefined && member.hall !== lookup.hall, cost: costOf(lookup, member)}));
	ordered.sort((left, right) => Number(left.isFar) - Number(right.isFar) || left.cost - right.cost);
	return ordered.slice(0, mostAnswered).map(each => each.member);
}

/** Time to live of an answer, spread so that callers do not come back together. */
export function timeToLive(ttlMs: number, random: Random): number {
	return Math.round(jitter(random, ttlMs, ttlSpread));
}

/** Longest time to live that may have been handed out: a planned stop goes on accepting that long. */
export function longestTimeToLive(ttlMs: number): number {
	return Math.ceil(ttlMs * (1 + ttlSpread));
}
