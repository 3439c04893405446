/** Random number sources; seeded ones make measurements reproducible. Not cryptographically secure. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const twoTo32 = 4_294_967_296;

export type Random = {
	/** Returns a number in [0, 1). */
	next(): number;
};

/** Returns a source that yields the same sequence for the same seed. */
export function seedRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => (generator.next() >>> 0) / twoTo32,
	};
}

/** Unseeded source, for spreading load; never for secrets. */
export const systemRandom: Random = {next: () => Math.random()};

/** Returns a random item, or undefined if the list is empty. */
export function pick<Item>(random: Random, items: readonly Item[]): Item | undefined {
	return items[Math.floor(random.next() * items.length)];
}

/** Returns a number uniformly distributed over `value × (1 ± spread)`. */
export function jitter(random: Random, value: number, spread: number): number {
	return value * (1 - spread + (2 * spread * random.next()));
}

/** Returns a copy of the list in random order. */
export function shuffle<Item>(random: Random, items: readonly Item[]): Item[] {
	const keyed = items.map(item => ({item, key: random.next()}));
	keyed.sort((left, right) => left.key - right.key);
	return keyed.map(each => each.item);
}
