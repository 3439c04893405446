/** Seeded random numbers from a library, so that every measurement can be repeated. Efficiency only: no promise rests on chance. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const twoTo32 = 4_294_967_296;

/** A source of random numbers. */
export type Random = {
	/** A number from 0 up to, not including, 1. */
	next(): number;
};

/** Random numbers that repeat for one seed. */
export function seedRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => (generator.next() >>> 0) / twoTo32,
	};
}

/** Random numbers of the machine, for spreading load; never for secrets. */
export const systemRandom: Random = {next: () => Math.random()};

/** A random member of a list that is not empty. */
export function pick<Item>(random: Random, items: readonly Item[]): Item | undefined {
	return items[Math.floor(random.next() * items.length)];
}

/** `value` spread evenly over `value × (1 ± spread)`. */
export function jitter(random: Random, value: number, spread: number): number {
	return value * (1 - spread + (2 * spread * random.next()));
}

/** A copy of a list in chance order. */
export function shuffle<Item>(random: Random, items: readonly Item[]): Item[] {
	const keyed = items.map(item => ({item, key: random.next()}));
	keyed.sort((left, right) => left.key - right.key);
	return keyed.map(each => each.item);
}
