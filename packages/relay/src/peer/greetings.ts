/**
 * Speaks to the seeds of the settings until other hosts are known, and now
 * and then later on. Efficiency: a host that stands alone serves as well.
 */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';

/** Interval at which seeds are greeted while no other host is known, in milliseconds: a lone host sends each seed two small messages a second. */
const greetMs = 500;
/** The same in the first seconds of a process, in milliseconds: after a loss of all hosts each starts alone, and sends what the others do not hear of. */
const firstGreetMs = 120;
/** How long those first seconds last, in milliseconds: hosts that are restarted together are up within one. */
const firstGreetingsMs = 4000;
/** Interval at which seeds are greeted later on, so that two halves of a split find each other, in milliseconds: heartbeats find most of them sooner. */
const greetAgainMs = 10_000;
/** What greetings work with. */
export type GreetingsParts = {
	readonly clock: Clock;
	readonly seeds: readonly string[];
	/** Addresses of the hosts that can be reached, the own one among them. */
	readonly listKnown: () => readonly string[];
	readonly greet: (address: string) => void;
};

/** One host's greetings. */
export class Greetings {
	readonly #parts: GreetingsParts;
	#seeds: readonly string[];
	#startedAt = 0;
	#timer: Timer | undefined;

	constructor(parts: GreetingsParts) {
		this.#parts = parts;
		this.#seeds = parts.seeds;
	}

	/** Begins, and goes on until `stop`. */
	start(): void {
		this.#startedAt = this.#parts.clock.now();
		this.#keepGreeting();
	}

	/** Takes over other seeds. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
		this.greet();
	}

	/** Speaks to seeds that are not known as hosts yet. */
	greet(): void {
		const known = new Set(this.#parts.listKnown());
		for (const seed of this.#seeds) {
			if (!known.has(seed)) {
				this.#parts.greet(seed);
			}
		}
	}

	/** Ends. */
	stop(): void {
		this.#timer?.stop();
	}

	#keepGreeting(): void {
		this.greet();
		const {clock, listKnown} = this.#parts;
		const isAlone = listKnown().length < 2;
		const aloneMs = clock.now() - this.#startedAt < firstGreetingsMs ? firstGreetMs : greetMs;
		this.#timer = clock.after(isAlone ? aloneMs : greetAgainMs, () => {
			this.#keepGreeting();
		});
	}
}
