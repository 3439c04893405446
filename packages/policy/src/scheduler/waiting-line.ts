/**
 * Requests that wait for their turn: by priority, then fair between callers
 * in proportion to their shares; within a caller's share the cheapest goes
 * first, so that the share carries the most answers in time. A priority that
 * had no turn for three seconds gets one, and every sixteenth turn of a caller
 * goes to its oldest request, so that nothing starves for ever. Efficiency only.
 */
import {type LeaseAsk} from '@gatehead/schema/peer-message';

const turnsToOldest = 16;
const starvedMs = 3000;
const halfLifeMs = 10_000;
const defaultShare = 1;
const mostUrgent = -1;

/** A request that waits. */
export type Waiting = {
	readonly ask: LeaseAsk;
	readonly key: string;
	/** Instant by which its first token must be there. */
	readonly deadline: number;
	readonly since: number;
	/** Time that it will hold a decode slot, as expected at its arrival. */
	readonly holdMs: number;
};

type Queue = {
	readonly caller: string;
	readonly priority: number;
	readonly entries: Waiting[];
	turns: number;
};

type Use = {
	amount: number;
	at: number;
};

/** What was promised an answer goes before all else. */
function rankOf({accepted, priority}: LeaseAsk): number {
	return accepted ? mostUrgent : priority;
}

function nextOf(queue: Queue): Waiting | undefined {
	return queue.turns % turnsToOldest === turnsToOldest - 1 ? oldestOf(queue) : queue.entries[0];
}

function oldestOf({entries}: Queue): Waiting | undefined {
	let oldest = entries[0];
	for (const entry of entries) {
		oldest = oldest === undefined || entry.since < oldest.since ? entry : oldest;
	}

	return oldest;
}

/** The line of one cell. */
export class WaitingLine {
	readonly #queues = new Map<string, Queue>();
	readonly #uses = new Map<string, Use>();
	readonly #shareOf: (caller: string) => number;
	/** When each priority had its last turn, or began to wait. */
	readonly #turnAt = new Map<number, number>();
	#size = 0;

	constructor(shareOf: (caller: string) => number | undefined) {
		this.#shareOf = caller => shareOf(caller) ?? defaultShare;
	}

	/** Requests that wait. */
	get size(): number {
		return this.#size;
	}

	/** Adds a request behind those of its caller that cost no more. */
	add(waiting: Waiting): void {
		const {entries} = this.#queueOf(waiting.ask);
		let index = entries.length;
		while (index > 0 && (entries[index - 1]?.holdMs ?? 0) > waiting.holdMs) {
			index -= 1;
		}

		entries.splice(index, 0, waiting);
		this.#size += 1;
		const rank = rankOf(waiting.ask);
		this.#turnAt.set(rank, Math.max(this.#turnAt.get(rank) ?? waiting.since, waiting.since - starvedMs));
	}

	/** Takes a request out, wherever it stands. */
	remove(key: string): Waiting | undefined {
		for (const {entries} of this.#queues.values()) {
			const index = entries.findIndex(each => each.key === key);
			if (index !== -1) {
				this.#size -= 1;
				return entries.splice(index, 1)[0];
			}
		}

		return undefined;
	}

	/** Takes out all that are too late. */
	takeLate(isLate: (waiting: Waiting) => boolean): Waiting[] {
		const late: Waiting[] = [];
		for (const {entries} of this.#queues.values()) {
			for (let index = entries.length - 1; index >= 0; index -= 1) {
				const waiting = entries[index];
				if (waiting !== undefined && isLate(waiting)) {
					entries.splice(index, 1);
					late.push(waiting);
				}
			}
		}

		this.#size -= late.length;
		return late;
	}

	/** The request whose turn it is. */
	peek(now: number): Waiting | undefined {
		let best: Queue | undefined;
		let bestRank = Number.POSITIVE_INFINITY;
		let bestUse = 0;
		for (const queue of this.#queues.values()) {
			if (queue.entries.length === 0) {
				continue;
			}

			const rank = this.#isStarved(queue.priority, now) ? mostUrgent : queue.priority;
			const use = this.#useOf(queue.caller, now) / this.#shareOf(queue.caller);
			if (rank < bestRank || (rank === bestRank && use < bestUse)) {
				best = queue;
				bestRank = rank;
				bestUse = use;
			}
		}

		return best === undefined ? undefined : nextOf(best);
	}

	/** Takes a request whose turn it is out of the line and charges its caller. */
	take({key, ask, holdMs}: Waiting, now: number): void {
		this.remove(key);
		this.#queueOf(ask).turns += 1;
		this.#turnAt.set(rankOf(ask), now);
		const use = this.#uses.get(ask.caller) ?? {amount: 0, at: now};
		this.#uses.set(ask.caller, {amount: this.#useOf(ask.caller, now) + holdMs, at: Math.max(now, use.at)});
	}

	/** Slot time that waits ahead of a newcomer: all of more urgent priorities, what is cheaper of its own. */
	workAhead(priority: number, newcomerMs: number): number {
		let work = 0;
		for (const {priority: own, entries} of this.#queues.values()) {
			if (own > priority) {
				continue;
			}

			for (const {holdMs} of entries) {
				work += own < priority || holdMs <= newcomerMs ? holdMs : 0;
			}
		}

		return work;
	}

	#useOf(caller: string, now: number): number {
		const use = this.#uses.get(caller);
		return use === undefined ? 0 : use.amount * (2 ** ((use.at - now) / halfLifeMs));
	}

	#isStarved(priority: number, now: number): boolean {
		return now - (this.#turnAt.get(priority) ?? now) > starvedMs;
	}

	#queueOf(ask: LeaseAsk): Queue {
		const {caller} = ask;
		const rank = rankOf(ask);
		const name = `${rank} ${caller}`;
		let queue = this.#queues.get(name);
		if (queue === undefined) {
			queue = {
				caller, priority: rank, entries: [], turns: 0,
			};
			this.#queues.set(name, queue);
		}

		return queue;
	}
}
