/**
 * Starts of endpoints that have left, remembered across the directory's
 * histories. A directory that comes back from a copy lists them as ready
 * until they say again that they leave, or until their entries lapse. Safety:
 * what one host knows of a departure counts at all, until the entry is
 * written anew.
 */
import {comparePositions, isLater, type Position} from '@gatehead/schema/position';
import {RecentMap} from '../utils/recent-map.js';

/** For how long a departure contradicts a copy, in milliseconds, from the instant at which its history is first seen: a leaving replica has told the directory again 2 s after its return, the entry of one that has ended lapses after three heartbeats (3.6 s); twice the longer, and a reader that comes late. */
export const contradictionMs = 10_000;
/** How long a departure is remembered for a copy that may come, in milliseconds: copies are some seconds old. */
const rememberMs = 60_000;
/** Departures remembered: a fleet of 1,600 replicas that all start again within a minute. */
const mostRemembered = 2000;

/** A start that has left, and up to where the directory's history may list it as ready all the same. */
export type Departure = Position & {
	readonly id: string;
	/** For how long that counts. */
	readonly leftMs: number;
};

type Contradiction = {
	readonly position: Position;
	readonly until: number;
};

/** When a start left, and at which revision of its history the directory said so. */
type Memory = {
	readonly revision: number;
	readonly at: number;
};

/** Departures as one host knows them. */
export class Departures {
	/** Starts that left, the oldest first. */
	readonly #departed = new RecentMap<string, Memory>(mostRemembered);
	/** Starts that a copy may list as ready. */
	readonly #contradicted = new Map<string, Contradiction>();

	/** Notes that a start has left, by the directory's word at a revision. */
	add(id: string, revision: number, now: number): void {
		this.#departed.set(id, {revision, at: now});
	}

	/** A start was wrongly taken for one that has left. */
	forget(id: string): void {
		this.#departed.delete(id);
	}

	/**
	 * The directory has come back from a copy, first seen at `position`. What
	 * was written before a start left stands at a lower revision than its
	 * leaving, whichever history gave that out; what stands above either was
	 * written anew.
	 */
	outlive(position: Position, now: number): void {
		for (const [id, {position: {revision}}] of this.#contradicted) {
			if (!this.#departed.has(id)) {
				this.add(id, revision, now);
			}
		}

		for (const [id, {revision, at}] of this.#departed.entries()) {
			if (now - at <= rememberMs) {
				this.#contradicted.set(id, {position: {...position, revision: Math.min(position.revision, revision)}, until: now + contradictionMs});
			}
		}
	}

	/** Whether an entry at a position is a copy's, of a start that has left. */
	covers(id: string, position: Position): boolean {
		// Nearly always empty, and asked before every send
		if (this.#contradicted.size === 0) {
			return false;
		}

		const found = this.#contradicted.get(id);
		return found !== undefined && !isLater(position, found.position);
	}

	/** Departures that contradict a copy now. */
	list(now: number): Departure[] {
		return [...this.#contradicted].map(([id, {position, until}]) => ({id, ...position, leftMs: Math.max(0, until - now)}));
	}

	/** Takes over another host's word: of two that saw one history begin, the one that saw less of it knows better what is the copy's. */
	hear({id, leftMs, ...position}: Departure, now: number): void {
		const until = now + Math.min(leftMs, contradictionMs);
		const known = this.#contradicted.get(id);
		const order = known === undefined ? 'later' : comparePositions(position, known.position);
		if (known === undefined || (order === 'later' && position.epoch !== known.position.epoch)) {
			this.#contradicted.set(id, {position, until});
		} else if (order === 'earlier' && position.epoch === known.position.epoch) {
			this.#contradicted.set(id, {position, until: Math.min(until, known.until)});
		}
	}

	/** Forgets what contradicts no longer; returns the starts. */
	sweep(now: number): string[] {
		const over: string[] = [];
		for (const [id, {until}] of this.#contradicted) {
			if (now > until) {
				this.#contradicted.delete(id);
				this.#departed.delete(id);
				over.push(id);
			}
		}

		return over;
	}
}
