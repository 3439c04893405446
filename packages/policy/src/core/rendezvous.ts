/**
 * Rendezvous hashing: all hosts rank the same candidates in the same order, and
 * removing a candidate moves only the keys that it owned. Hosts with different
 * membership tables can disagree until the tables converge.
 */
import {hashText} from '@gatehead/schema/hash-text';

/** Returns the candidates in descending order of their weight for `key`. */
export function rank(key: string, candidates: readonly string[]): string[] {
	const weighted = candidates.map(name => ({name, weight: hashText(`${key}\n${name}`)}));
	weighted.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
	return weighted.map(each => each.name);
}

/** Returns the candidate with the highest weight for `key`, or undefined if there are no candidates. */
export function rankFirst(key: string, candidates: Iterable<string>): string | undefined {
	let best: string | undefined;
	let bestWeight = -1;
	for (const name of candidates) {
		const weight = hashText(`${key}\n${name}`);
		if (weight > bestWeight || (weight === bestWeight && best !== undefined && name < best)) {
			best = name;
			bestWeight = weight;
		}
	}

	return best;
}
