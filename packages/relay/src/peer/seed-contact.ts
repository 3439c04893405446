/**
 * Contacts the configured seeds until other hosts are known, and periodically
 * after that. A host without peers keeps serving requests.
 */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Interval while no other host is known, in milliseconds. */
const aloneIntervalMs = 500;
/** Interval while no other host is known during startup, in milliseconds; short, because when all hosts restart together each routes without the others' load until they connect. */
const startupIntervalMs = 120;
/** Duration of the startup phase, in milliseconds. */
const startupMs = 4000;
/** Interval once other hosts are known, in milliseconds; lets the sides of a network partition find each other if heartbeats do not. */
const steadyIntervalMs = 10_000;

/** Dependencies of `SeedContact`. */
export type SeedContactParts = {
	readonly clock: Clock;
	readonly seeds: readonly string[];
	/** Addresses of the reachable hosts, including this one. */
	readonly listReachable: () => readonly string[];
	readonly greet: (address: string) => void;
};

/** Contacts seeds from one host. */
export class SeedContact {
	readonly #parts: SeedContactParts;
	#seeds: readonly string[];
	#startedAt = 0;
	#timer: Timer | undefined;

	constructor(parts: SeedContactParts) {
		this.#parts = parts;
		this.#seeds = parts.seeds;
	}

	/** Contacts the seeds periodically until `stop`. */
	start(): void {
		this.#startedAt = this.#parts.clock.now();
		this.#run();
	}

	/** Replaces the seeds and contacts them at once. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
		this.greet();
	}

	/** Contacts the seeds that are not reachable hosts yet. */
	greet(): void {
		const reachable = new Set(this.#parts.listReachable());
		for (const seed of this.#seeds) {
			if (!reachable.has(seed)) {
				this.#parts.greet(seed);
			}
		}
	}

	stop(): void {
		this.#timer?.stop();
	}

	#run(): void {
		this.greet();
		const {clock, listReachable} = this.#parts;
		const isAlone = listReachable().length < 2;
		const aloneMs = clock.now() - this.#startedAt < startupMs ? startupIntervalMs : aloneIntervalMs;
		this.#timer = clock.after(isAlone ? aloneMs : steadyIntervalMs, () => {
			this.#run();
		});
	}
}
