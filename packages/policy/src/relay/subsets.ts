/**
 * Deterministic subsetting for large fleets: hosts and a service's endpoints
 * are assigned to the same number of subsets, and each host prefers the
 * endpoints in its own subset. This limits the connections per endpoint, and
 * the hosts that share an endpoint are few enough to report every request to
 * each other. Subsets span halls, since those within one hall would have too
 * few prefill replicas. Hosts with different member lists disagree temporarily.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {rank} from '../core/rendezvous.js';

/** Minimum number of hosts per subset; a subset with twice as many is split. The hosts of a subset report every request to each other: 20 hosts cost each of them about 15 messages a second. */
const minHosts = 16;
/** Minimum average number of endpoints of one kind per subset, so that one can fail; with fewer, all hosts share them. */
const minEndpoints = 2;

/** The number of subsets, and the index of a host's own one. */
export type Subset = {
	readonly count: number;
	readonly own: number;
};

/** The only subset of a fleet that is not divided. */
export const wholeFleet: Subset = {count: 1, own: 0};

/** Returns the number of subsets for `hosts` hosts: a power of two, so that it seldom changes. */
export function countSubsets(hosts: number): number {
	return 2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, hosts) / minHosts)));
}

/** Assigns names evenly to subsets by rendezvous hashing: each name goes to its highest-ranked subset with room. Removing a name moves few others. */
export function assignSubsets(names: readonly string[], count: number): Map<string, number> {
	const maxSize = Math.ceil(names.length / count);
	const sizes = Array.from({length: count}, () => 0);
	const subsets = sizes.map((_, index) => String(index));
	const assigned = new Map<string, number>();
	const ordered = names.toSorted((left, right) => hashText(left) - hashText(right) || (left < right ? -1 : 1));
	for (const name of ordered) {
		const chosen = Number(rank(name, subsets).find(subset => (sizes[Number(subset)] ?? maxSize) < maxSize) ?? 0);
		sizes[chosen] = (sizes[chosen] ?? 0) + 1;
		assigned.set(name, chosen);
	}

	return assigned;
}

/** Returns the names in subset `own` among endpoints of one kind, or undefined if there are too few to divide. */
export function listSubset(names: readonly string[], {count, own}: Subset): ReadonlySet<string> | undefined {
	if (count < 2 || names.length < count * minEndpoints) {
		return undefined;
	}

	const assigned = assignSubsets(names, count);
	return new Set(names.filter(name => assigned.get(name) === own));
}
