/**
 * Chooses the hosts that hold the record of a key. The holders are in the
 * subset of the host that makes the record, since the hosts of a subset have
 * links to each other anyway; whoever looks for a record asks in all subsets.
 * Within a subset, hosts and keys have places on a ring (consistent hashing),
 * and a key's holders follow its place. Efficiency: hosts with different member
 * lists disagree, and a wrong choice costs a record.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {assignSubsets, countSubsets} from './subsets.js';

/** A host that can hold records. */
export type RingHost = {
	readonly host: string;
	readonly hall: string;
	readonly isAlive: boolean;
};

type RingPlace = RingHost & {
	readonly place: number;
};

/** The hosts of one subset. Neighbours on the ring that are in one hall come later in a key's order, so that its holders are in several halls. When a host is lost, no other host moves back in any order. */
export class HolderRing {
	readonly #places: readonly RingPlace[];

	constructor(hosts: readonly RingHost[]) {
		const places = hosts.filter(({isAlive}) => isAlive).map(host => ({...host, place: hashText(host.host)}));
		this.#places = places.toSorted((left, right) => left.place - right.place || (left.host < right.host ? -1 : 1));
	}

	/** Lists all hosts in the order in which they hold a key. */
	rank(key: string): string[] {
		const start = this.#findStart(hashText(key));
		const inHall = new Map<string, number>();
		const levels: string[][] = [];
		for (const {host, hall} of [...this.#places.slice(start), ...this.#places.slice(0, start)]) {
			const level = inHall.get(hall) ?? 0;
			inHall.set(hall, level + 1);
			levels[level] ??= [];
			levels[level].push(host);
		}

		return levels.flat();
	}

	/** Index of the first host at or after a place; 0 past the last one. */
	#findStart(place: number): number {
		let low = 0;
		let high = this.#places.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this.#places[middle]?.place ?? 0) < place) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low === this.#places.length ? 0 : low;
	}
}

/** The hosts of a fleet by subset. Hosts that are lost keep their places, as the others would change subsets otherwise. */
export class HolderSubsets {
	readonly #rings: readonly HolderRing[];
	readonly #assigned: ReadonlyMap<string, number>;

	constructor(hosts: readonly RingHost[]) {
		const count = countSubsets(hosts.length);
		const assigned = assignSubsets(hosts.map(({host}) => host), count);
		this.#assigned = assigned;
		this.#rings = Array.from({length: count}, (_, index) => new HolderRing(hosts.filter(({host}) => assigned.get(host) === index)));
	}

	/** Number of subsets. */
	get count(): number {
		return this.#rings.length;
	}

	/** Lists the live hosts of a host's subset in the order in which they hold a key. */
	rankBeside(host: string, key: string): string[] {
		return this.#rings[this.#assigned.get(host) ?? 0]?.rank(key) ?? [];
	}

	/** Lists the live hosts of each subset in the order in which they hold a key. */
	rankAll(key: string): string[][] {
		return this.#rings.map(ring => ring.rank(key));
	}
}
