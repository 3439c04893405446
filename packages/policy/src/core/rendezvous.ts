/**
 * Rendezvous hashing: every host ranks the same names in the same order, and
 * losing one name moves only what it had. Efficiency: two hosts that know
 * different members may disagree for a while.
 */
import {hashText} from '@gatehead/schema/hash-text';

/** Orders candidates by their weight for `key`, heaviest first. */
export function rank(key: string, candidates: readonly string[]): string[] {
	const weighed = candidates.map(name => ({name, weight: hashText(`${key}\n${name}`)}));
	weighed.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
	return weighed.map(each => each.name);
}

/** The heaviest candidate for `key`, or undefined where there is none. */
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
