/**
 * Deterministic subsetting for large fleets: hosts and a service's endpoints
 * are dealt into as many subsets, and each host prefers the endpoints of its
 * own one. So the few hosts that share an endpoint can tell each other of
 * every request, and each endpoint has few connections. Where halls are large
 * enough each is dealt by itself: the prompt's reader and the decode replica
 * of a request then stand in its host's hall, and what hosts tell each other
 * of requests stays in the hall. Dealt over five halls, four of five such
 * moves and messages cross between halls, where links are slower and paid for.
 * Efficiency: hosts that know different members disagree for a while.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {rank} from '../core/rendezvous.js';

/** Hosts of a subset, at least; with twice as many it is split. Below, all hosts tell each other of every request; 20 told each other of every request at about 15 messages a second a host, worked out from 0.7 requests (docs/CAPACITY.md). */
const leastHosts = 16;
/** Hosts that each hall must have for halls to be dealt by themselves: with fewer the loss of some would leave a hall's endpoints to one or two, and the dealing would change with each. Chosen, not measured. */
const leastHallHosts = 6;
/** Endpoints of one kind that each subset must have on average, so that one can fail; with fewer all hosts share them. */
const leastEndpoints = 2;

/** A host or an endpoint, and the hall that it stands in. */
export type Placed = {
	readonly name: string;
	readonly hall: string;
};

/** A host's subset among all. */
export type Subset = {
	/** Subsets that are dealt: of the hall where it is dealt by itself, else of all halls. */
	readonly count: number;
	readonly own: number;
	/** The hall that is dealt by itself; undefined: all halls are dealt together. */
	readonly hall?: string | undefined;
};

/** The subset of a fleet that is not dealt. */
export const wholeFleet: Subset = {count: 1, own: 0};

/** Subsets that so many hosts form: a power of two, so that it seldom changes. */
export function countSubsets(hosts: number): number {
	return 2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, hosts) / leastHosts)));
}

/** Deals names evenly: each goes to the subset that weighs most for it and has room left. The loss of one name moves few others. */
export function dealSubsets(names: readonly string[], count: number): Map<string, number> {
	const most = Math.ceil(names.length / count);
	const sizes = Array.from({length: count}, () => 0);
	const subsets = sizes.map((_, index) => String(index));
	const dealt = new Map<string, number>();
	const ordered = names.toSorted((left, right) => hashText(left) - hashText(right) || (left < right ? -1 : 1));
	for (const name of ordered) {
		const chosen = Number(rank(name, subsets).find(subset => (sizes[Number(subset)] ?? most) < most) ?? 0);
		sizes[chosen] = (sizes[chosen] ?? 0) + 1;
		dealt.set(name, chosen);
	}

	return dealt;
}

/** Whether halls are dealt by themselves: in a fleet large enough to be dealt whose halls all have hosts enough. */
function hasLargeHalls(hosts: readonly Placed[]): boolean {
	const sizes = new Map<string, number>();
	for (const {hall} of hosts) {
		sizes.set(hall, (sizes.get(hall) ?? 0) + 1);
	}

	return countSubsets(hosts.length) > 1 && sizes.size > 1 && Math.min(...sizes.values()) >= leastHallHosts;
}

/** The subset of one host, and the other hosts in it. */
export function dealHost(self: Placed, hosts: readonly Placed[]): {readonly subset: Subset; readonly peers: ReadonlySet<string>} {
	const hall = hasLargeHalls(hosts) ? self.hall : undefined;
	const names = hosts.filter(each => hall === undefined || each.hall === hall).map(({name}) => name);
	const count = countSubsets(names.length);
	const dealt = dealSubsets(names, count);
	const own = dealt.get(self.name) ?? 0;
	const peers = names.filter(name => name !== self.name && dealt.get(name) === own);
	return {subset: {count, own, hall}, peers: new Set(peers)};
}

/** Names of the endpoints of one kind that belong to a subset; undefined where they are too few to be dealt, so that all hosts share them. */
export function listSubset(endpoints: readonly Placed[], {count, own, hall}: Subset): ReadonlySet<string> | undefined {
	const near = endpoints.filter(each => hall === undefined || each.hall === hall).map(({name}) => name);
	if (near.length < leastEndpoints || (count < 2 && near.length === endpoints.length)) {
		return undefined;
	}

	if (near.length < count * leastEndpoints) {
		return hall === undefined ? undefined : new Set(near);
	}

	const dealt = dealSubsets(near, count);
	return new Set(near.filter(name => dealt.get(name) === own));
}
