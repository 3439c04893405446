/**
 * Requests that wait for their turn: by priority, then fair between callers
 * in proportion to their shares, then by deadline. Every sixteenth turn goes
 * to a lower priority, so that none starves for ever. Efficiency only.
 */
import {type LeaseAsk} from '@gatehead/schema/peer-message';

const turnsOfOthers = 16;
const halfLifeMs = 10_000;
const defaultShare = 1;

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
};

type Use = {
	amount: number;
	at: number;
};

/** The line of one cell. */
export class WaitingLine {
	readonly #queues = new Map<string, Queue>();
	readonly #uses = new Map<string, Use>();
	readonly #shareOf: (caller: string) => number;
	#turns = 0;
	#size = 0;

	constructor(shareOf: (caller: string) => number | undefined) {
		this.#shareOf = caller => shareOf(caller) ?? defaultShare;
	}

	/** Requests that wait. */
	get size(): number {
		return this.#size;
	}

	/** Adds a request behind those of its caller with an earlier deadline. */
	add(waiting: Waiting): void {
		const {entries} = this.#queueOf(waiting.ask);
		let index = entries.length;
		while (index > 0 && (entries[index - 1]?.deadline ?? 0) > waiting.deadline) {
			index -= 1;
		}

		entries.splice(index, 0, waiting);
		this.#size += 1;
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

	/** Takes out all whose deadline is before what `earliest` says they could reach. */
	takeLate(earliest: (waiting: Waiting) => number): Waiting[] {
		const late: Waiting[] = [];
		for (const {entries} of this.#queues.values()) {
			for (let index = entries.length - 1; index >= 0; index -= 1) {
				const waiting = entries[index];
				if (waiting !== undefined && !waiting.ask.accepted && earliest(waiting) > waiting.deadline) {
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
		const isOthersTurn = this.#turns % turnsOfOthers === turnsOfOthers - 1;
		let best: Queue | undefined;
		let bestUse = 0;
		for (const queue of this.#queues.values()) {
			if (queue.entries.length === 0) {
				continue;
			}

			const use = this.#useOf(queue.caller, now) / this.#shareOf(queue.caller);
			const isBetter = best === undefined || queue.priority < best.priority || (queue.priority === best.priority && use < bestUse);
			const isWorse = best !== undefined && queue.priority > best.priority;
			if (isOthersTurn ? best === undefined || isWorse || (queue.priority === best.priority && use < bestUse) : isBetter) {
				best = queue;
				bestUse = use;
			}
		}

		return best?.entries[0];
	}

	/** Takes a request whose turn it is out of the line and charges its caller. */
	take({key, ask, holdMs}: Waiting, now: number): void {
		this.remove(key);
		this.#turns += 1;
		const use = this.#uses.get(ask.caller) ?? {amount: 0, at: now};
		this.#uses.set(ask.caller, {amount: this.#useOf(ask.caller, now) + holdMs, at: Math.max(now, use.at)});
	}

	/** Slot time that waits ahead of a newcomer of a priority. */
	workAhead(priority: number): number {
		let work = 0;
		for (const {priority: own, entries} of this.#queues.values()) {
			if (own <= priority) {
				for (const {holdMs} of entries) {
					work += holdMs;
				}
			}
		}

		return work;
	}

	#useOf(caller: string, now: number): number {
		const use = this.#uses.get(caller);
		return use === undefined ? 0 : use.amount * (2 ** ((use.at - now) / halfLifeMs));
	}

	#queueOf({caller, priority, accepted}: LeaseAsk): Queue {
		// What was promised an answer goes before all else
		const rank = accepted ? -1 : priority;
		const name = `${rank} ${caller}`;
		let queue = this.#queues.get(name);
		if (queue === undefined) {
			queue = {caller, priority: rank, entries: []};
			this.#queues.set(name, queue);
		}

		return queue;
	}
}
