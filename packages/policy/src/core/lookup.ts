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
/** Places on the ring that a lookup looks at. */
const probes = 12;
/** Keepers of one model from which on its callers are led to them. */
const leastKeepers = 6;
const idleWeight = 0.25;
const twoTo32 = 4_294_967_296;
const ttlSpread = 0.25;

/** Who asks. */
export type Lookup = {
	readonly caller: string;
	/** Hosts that keep cells of the model that the caller means to use, where it said so. */
	readonly keepers: ReadonlySet<string>;
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

type Ring = ReadonlyArray<{readonly place: number; readonly member: MemberRecord}>;

function makeRing(members: readonly MemberRecord[]): Ring {
	return members.map(member => ({place: hashText(member.host), member})).toSorted((left, right) => left.place - right.place);
}

/** The first host at or after a place on the ring. */
function successorOf(ring: Ring, place: number): MemberRecord | undefined {
	let low = 0;
	let high = ring.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((ring[middle]?.place ?? 0) < place) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return (ring[low] ?? ring[0])?.member;
}

/** Hosts laid out once for many lookups; made anew when what is known of the hosts changes. */
export class HostRings {
	readonly #all: Ring;
	readonly #byHall = new Map<string, Ring>();

	/** Leaving, suspect and dead hosts are left out, unless only suspects remain. */
	constructor(members: readonly MemberRecord[]) {
		// A host that only the platform's list names has no incarnation to give a ticket of
		const known = members.filter(each => each.incarnation > 0);
		const alive = known.filter(each => each.state === 'alive');
		const usable = alive.length > 0 ? alive : known.filter(each => each.state === 'suspect');
		this.#all = makeRing(usable);
		for (const hall of new Set(usable.map(each => each.hall))) {
			this.#byHall.set(hall, makeRing(usable.filter(each => each.hall === hall)));
		}
	}

	/** Hosts in the order to try: a fixed number of probes, whatever the fleet's size. */
	order(lookup: Lookup): MemberRecord[] {
		const kept = this.#orderKeepers(lookup);
		if (kept.length >= mostAnswered) {
			return kept.slice(0, mostAnswered);
		}

		const near = this.#probe(lookup, this.#byHall.get(lookup.hall ?? '') ?? []);
		const chosen = near.length >= mostAnswered ? near : [...near, ...this.#probe(lookup, this.#all).filter(each => !near.includes(each))];
		return chosen.slice(0, mostAnswered);
	}

	/**
	 * Keepers of the wanted model's cells: a request that comes in there needs
	 * no message for its leases. Only where there are enough of them to bear
	 * the model's callers; a small deployment's one keeper must not bear all.
	 */
	#orderKeepers(lookup: Lookup): MemberRecord[] {
		if (lookup.keepers.size < leastKeepers) {
			return [];
		}

		const kept = this.#all.map(each => each.member).filter(each => lookup.keepers.has(each.host));
		const keyed = kept.map(member => ({member, isFar: lookup.hall !== undefined && member.hall !== lookup.hall, cost: costOf(lookup, member)}));
		keyed.sort((left, right) => Number(left.isFar) - Number(right.isFar) || left.cost - right.cost);
		return keyed.map(each => each.member);
	}

	#probe(lookup: Lookup, ring: Ring): MemberRecord[] {
		const found = new Set<MemberRecord>();
		for (let probe = 0; probe < probes && found.size < ring.length; probe += 1) {
			const member = successorOf(ring, hashText(`${lookup.caller}\n${lookup.client}\n${probe}`));
			if (member !== undefined) {
				found.add(member);
			}
		}

		return [...found].map(member => ({member, cost: costOf(lookup, member)})).toSorted((left, right) => left.cost - right.cost).map(each => each.member);
	}
}

/** Time to live of an answer, spread so that callers do not come back together. */
export function timeToLive(ttlMs: number, random: Random): number {
	return Math.round(jitter(random, ttlMs, ttlSpread));
}

/** Longest time to live that may have been handed out: a planned stop goes on accepting that long. */
export function longestTimeToLive(ttlMs: number): number {
	return Math.ceil(ttlMs * (1 + ttlSpread));
}
