/**
 * Consistent hashing with several places for each name: assigns a key to a few
 * names in logarithmic time, evenly enough for thousands of keys. Removing a
 * name moves only the keys that it owned.
 */
import {hashText} from '@gatehead/schema/hash-text';

/** Places of each name on the ring; evens out the shares. */
const placesPerName = 8;

type Place = {
	readonly name: string;
	readonly at: number;
};

export class HashRing {
	readonly #places: readonly Place[];
	readonly #size: number;

	constructor(names: readonly string[]) {
		const places = names.flatMap(name => Array.from({length: placesPerName}, (_, index) => ({name, at: hashText(`${name} ${index}`)})));
		this.#places = places.toSorted((left, right) => left.at - right.at || (left.name < right.name ? -1 : 1));
		this.#size = new Set(names).size;
	}

	/** Lists the first `count` names of a key; fewer if there are not as many. */
	list(key: string, count: number): string[] {
		const names = new Set<string>();
		const start = this.#findStart(hashText(key));
		for (let offset = 0; names.size < Math.min(count, this.#size); offset += 1) {
			names.add(this.#places[(start + offset) % this.#places.length]?.name ?? '');
		}

		return [...names];
	}

	/** Index of the first place at or after a hash. */
	#findStart(at: number): number {
		let low = 0;
		let high = this.#places.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this.#places[middle]?.at ?? 0) < at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
