/**
 * Deterministic subsetting for large fleets: hosts and a service's endpoints
 * are dealt into as many subsets, and each host prefers the endpoints of its
 * own one. So the few hosts that share an endpoint can tell each other of
 * every request, and each endpoint has few connections. Dealing each hall by
 * itself was worse at 195 hosts in five halls: its subsets hold one or two
 * prefill replicas, and half as many requests again were late before any loss
 * (1,024 in place of 677 of 8,290). Efficiency: hosts that know different members disagree for a while.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {rank} from '../core/rendezvous.js';

/** Hosts of a subset, at least; with twice as many it is split. Below, all hosts tell each other of every request; 20 told each other of every request at about 15 messages a second a host, worked out from 0.7 requests (docs/CAPACITY.md). */
const leastHosts = 16;
/** Endpoints of one kind that each subset must have on average, so that one can fail; with fewer all hosts share them. */
const leastEndpoints = 2;

/** A host's subset among all. */
export type Subset = {
	readonly count: number;
	readonly own: number;
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

/** Names of the subset `own` among endpoints of one kind; undefined where they are too few to be dealt. */
export function listSubset(names: readonly string[], {count, own}: Subset): ReadonlySet<string> | undefined {
	if (count < 2 || names.length < count * leastEndpoints) {
		return undefined;
	}

	const dealt = dealSubsets(names, count);
	return new Set(names.filter(name => dealt.get(name) === own));
}
