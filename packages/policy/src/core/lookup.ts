/**
 * Selects the hosts that a caller should connect to: hosts of its hall first,
 * weighted by load, and stable per caller while the load changes little. A
 * stale result costs a redirect.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {jitter, type Random} from '../utils/random.js';

/** Maximum number of hosts in a result. */
export const maxLookupHosts = 4;
/** Ring positions probed per lookup. */
const probeCount = 12;
/** Minimum number of keepers of a model for its callers to be sent to them. */
const minKeepers = 6;
const baseWeight = 0.25;
const twoTo32 = 4_294_967_296;
const ttlJitter = 0.25;

export type Lookup = {
	readonly caller: string;
	/** Keepers of the requested model's cells; empty if the caller named no model. */
	readonly keepers: ReadonlySet<string>;
	/** Address of the client, so that clients of one caller spread over hosts. */
	readonly client: string;
	/** Preferred hall, if the caller gave one. */
	readonly hall: string | undefined;
};

/** Rounds the load to quarters, so that small changes do not reorder hosts. */
function quantizeLoad(load: number): number {
	return Math.round(load * 4) / 4;
}

/** Cost of a host in weighted rendezvous hashing; hosts are ordered by ascending cost. */
function weightedCost({caller, client}: Lookup, {host, load}: MemberRecord): number {
	const share = (hashText(`${caller}\n${client}\n${host}`) + 1) / (twoTo32 + 1);
	return -Math.log(share) * (baseWeight + quantizeLoad(load));
}

type Ring = ReadonlyArray<{readonly position: number; readonly member: MemberRecord}>;

function makeRing(members: readonly MemberRecord[]): Ring {
	return members.map(member => ({position: hashText(member.host), member})).toSorted((left, right) => left.position - right.position);
}

/** Finds the first host at or after a ring position, wrapping around. */
function findSuccessor(ring: Ring, position: number): MemberRecord | undefined {
	let low = 0;
	let high = ring.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((ring[middle]?.position ?? 0) < position) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return (ring[low] ?? ring[0])?.member;
}

/** Consistent-hash rings over all hosts and per hall. Immutable: build new rings when the membership changes. */
export class HostRings {
	readonly #all: Ring;
	readonly #byHall = new Map<string, Ring>();

	/** Includes alive hosts only; suspect hosts if none is alive. */
	constructor(members: readonly MemberRecord[]) {
		// Hosts known only from the platform's list have incarnation 0 and cannot issue tickets
		const known = members.filter(each => each.incarnation > 0);
		const alive = known.filter(each => each.state === 'alive');
		const usable = alive.length > 0 ? alive : known.filter(each => each.state === 'suspect');
		this.#all = makeRing(usable);
		for (const hall of new Set(usable.map(each => each.hall))) {
			this.#byHall.set(hall, makeRing(usable.filter(each => each.hall === hall)));
		}
	}

	/** Returns at most `maxLookupHosts` hosts in the order to try. Probes a fixed number of positions, independent of the number of hosts. */
	order(lookup: Lookup): MemberRecord[] {
		const keeperHosts = this.#orderKeepers(lookup);
		if (keeperHosts.length >= maxLookupHosts) {
			return keeperHosts.slice(0, maxLookupHosts);
		}

		const near = this.#probe(lookup, this.#byHall.get(lookup.hall ?? '') ?? []);
		const chosen = near.length >= maxLookupHosts ? near : [...near, ...this.#probe(lookup, this.#all).filter(each => !near.includes(each))];
		return chosen.slice(0, maxLookupHosts);
	}

	/**
	 * Keepers of the requested model's cells, which grant leases without a
	 * message to another host. Empty below `minKeepers`, so that all callers
	 * of a model are not concentrated on a few hosts.
	 */
	#orderKeepers(lookup: Lookup): MemberRecord[] {
		if (lookup.keepers.size < minKeepers) {
			return [];
		}

		const keeperHosts = this.#all.map(each => each.member).filter(each => lookup.keepers.has(each.host));
		const keyed = keeperHosts.map(member => ({member, isFar: lookup.hall !== undefined && member.hall !== lookup.hall, cost: weightedCost(lookup, member)}));
		keyed.sort((left, right) => Number(left.isFar) - Number(right.isFar) || left.cost - right.cost);
		return keyed.map(each => each.member);
	}

	#probe(lookup: Lookup, ring: Ring): MemberRecord[] {
		const found = new Set<MemberRecord>();
		for (let probe = 0; probe < probeCount && found.size < ring.length; probe += 1) {
			const member = findSuccessor(ring, hashText(`${lookup.caller}\n${lookup.client}\n${probe}`));
			if (member !== undefined) {
				found.add(member);
			}
		}

		return [...found].map(member => ({member, cost: weightedCost(lookup, member)})).toSorted((left, right) => left.cost - right.cost).map(each => each.member);
	}
}

/** Time to live of a result in milliseconds, with jitter so that callers do not refresh at the same time. */
export function timeToLive(ttlMs: number, random: Random): number {
	return Math.round(jitter(random, ttlMs, ttlJitter));
}

/** Upper bound of `timeToLive`; a host accepts requests for that long after a planned stop begins. */
export function maxTimeToLive(ttlMs: number): number {
	return Math.ceil(ttlMs * (1 + ttlJitter));
}
