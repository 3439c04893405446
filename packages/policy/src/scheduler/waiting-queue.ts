/**
 * Queue of waiting requests, ordered by priority, then by weighted fair
 * queueing between callers, then shortest job first within a caller. To
 * prevent starvation, a priority that was not served for `starvationMs` goes
 * first, and every `oldestTurnInterval`th turn of a caller at one priority
 * serves its oldest request.
 */
import {type LeaseRequest} from '@gatehead/schema/peer-message';
import {HalfLifeSum} from '../utils/half-life-sum.js';

const oldestTurnInterval = 16;
const starvationMs = 3000;
const halfLifeMs = 10_000;
const defaultShare = 1;
const topPriority = -1;

export type QueuedRequest = {
	readonly ask: LeaseRequest;
	readonly key: string;
	/** Time by which the first token is due. */
	readonly deadline: number;
	readonly queuedAt: number;
	/** Expected time that it will hold a decode slot, in milliseconds; estimated when it was asked. */
	readonly holdMs: number;
};

type Queue = {
	readonly caller: string;
	readonly priority: number;
	readonly entries: QueuedRequest[];
	turns: number;
};

/** Accepted requests go before all others. */
function effectivePriority({accepted, priority}: LeaseRequest): number {
	return accepted ? topPriority : priority;
}

function selectNext(queue: Queue): QueuedRequest | undefined {
	return queue.turns % oldestTurnInterval === oldestTurnInterval - 1 ? findOldest(queue) : queue.entries[0];
}

function findOldest({entries}: Queue): QueuedRequest | undefined {
	let oldest = entries[0];
	for (const entry of entries) {
		oldest = oldest === undefined || entry.queuedAt < oldest.queuedAt ? entry : oldest;
	}

	return oldest;
}

/** The queue of one cell. */
export class WaitingQueue {
	readonly #queues = new Map<string, Queue>();
	readonly #usageByCaller = new Map<string, HalfLifeSum>();
	readonly #shareOf: (caller: string) => number;
	/** When each priority was last served or began to wait. */
	readonly #lastServedAt = new Map<number, number>();
	#size = 0;

	constructor(shareOf: (caller: string) => number | undefined) {
		this.#shareOf = caller => shareOf(caller) ?? defaultShare;
	}

	get size(): number {
		return this.#size;
	}

	/** Inserts a request after those of its caller and priority that hold a slot for no longer. */
	add(waiting: QueuedRequest): void {
		const {entries} = this.#queueOf(waiting.ask);
		let index = entries.length;
		while (index > 0 && (entries[index - 1]?.holdMs ?? 0) > waiting.holdMs) {
			index -= 1;
		}

		entries.splice(index, 0, waiting);
		this.#size += 1;
		const rank = effectivePriority(waiting.ask);
		this.#lastServedAt.set(rank, Math.max(this.#lastServedAt.get(rank) ?? waiting.queuedAt, waiting.queuedAt - starvationMs));
	}

	remove(key: string): QueuedRequest | undefined {
		for (const {entries} of this.#queues.values()) {
			const index = entries.findIndex(each => each.key === key);
			if (index !== -1) {
				this.#size -= 1;
				return entries.splice(index, 1)[0];
			}
		}

		return undefined;
	}

	/** Removes and returns all requests for which `shouldRemove` returns true. */
	removeWhere(shouldRemove: (waiting: QueuedRequest) => boolean): QueuedRequest[] {
		const removed: QueuedRequest[] = [];
		for (const {entries} of this.#queues.values()) {
			for (let index = entries.length - 1; index >= 0; index -= 1) {
				const waiting = entries[index];
				if (waiting !== undefined && shouldRemove(waiting)) {
					entries.splice(index, 1);
					removed.push(waiting);
				}
			}
		}

		this.#size -= removed.length;
		return removed;
	}

	/** Returns the next request without removing it. */
	peek(now: number): QueuedRequest | undefined {
		let best: Queue | undefined;
		let bestRank = Number.POSITIVE_INFINITY;
		let bestUsage = 0;
		for (const queue of this.#queues.values()) {
			if (queue.entries.length === 0) {
				continue;
			}

			const rank = this.#isStarved(queue.priority, now) ? topPriority : queue.priority;
			const usage = this.#usageOf(queue.caller, now) / this.#shareOf(queue.caller);
			if (rank < bestRank || (rank === bestRank && usage < bestUsage)) {
				best = queue;
				bestRank = rank;
				bestUsage = usage;
			}
		}

		return best === undefined ? undefined : selectNext(best);
	}

	/** Removes a request that was returned by `peek` and charges its caller. */
	dequeue({key, ask, holdMs}: QueuedRequest, now: number): void {
		this.remove(key);
		this.#queueOf(ask).turns += 1;
		this.#lastServedAt.set(effectivePriority(ask), now);
		const usage = this.#usageByCaller.get(ask.caller) ?? new HalfLifeSum(halfLifeMs);
		usage.add(holdMs, now);
		this.#usageByCaller.set(ask.caller, usage);
	}

	/** Slot time queued ahead of a new request, in milliseconds: all of higher priorities, and of its own priority what holds a slot for no longer. */
	workAheadMs(priority: number, holdMsOfNew: number): number {
		let work = 0;
		for (const {priority: own, entries} of this.#queues.values()) {
			if (own > priority) {
				continue;
			}

			for (const {holdMs} of entries) {
				work += own < priority || holdMs <= holdMsOfNew ? holdMs : 0;
			}
		}

		return work;
	}

	#usageOf(caller: string, now: number): number {
		return this.#usageByCaller.get(caller)?.valueAt(now) ?? 0;
	}

	#isStarved(priority: number, now: number): boolean {
		return now - (this.#lastServedAt.get(priority) ?? now) > starvationMs;
	}

	#queueOf(ask: LeaseRequest): Queue {
		const {caller} = ask;
		const rank = effectivePriority(ask);
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
