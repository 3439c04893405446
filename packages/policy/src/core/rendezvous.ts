/**
 * Rendezvous hashing: every host ranks the same names in the same order, and
 * losing one name moves only what it had. Efficiency: two hosts that know
 * different members may disagree for a while.
 */

const offset = 2_166_136_261;
const prime = 16_777_619;

/** 32-bit FNV-1a with a final mix, so that near names spread evenly. */
export function hashText(text: string): number {
	let hash = offset;
	for (let index = 0; index < text.length; index += 1) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime); // eslint-disable-line unicorn/prefer-code-point -- the hot path hashes code units
	}

	hash = Math.imul(hash ^ (hash >>> 16), 2_246_822_507);
	hash = Math.imul(hash ^ (hash >>> 13), 3_266_489_909);
	return (hash ^ (hash >>> 16)) >>> 0;
}

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
