/** A clock that stands still until it is moved, for tests and for `npm run measure`. */
import {type Clock, type Timer} from './clock.js';

type Waiting = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
	stopped: boolean;
};

function isBefore(left: Waiting, right: Waiting): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}

/** Timers fire in order of time, then of making. */
export class ManualClock implements Clock {
	readonly #heap: Waiting[] = [];
	#now = 0;
	#made = 0;

	now(): number {
		return this.#now;
	}

	after(delayMs: number, run: () => void): Timer {
		const waiting: Waiting = {
			at: this.#now + Math.max(0, delayMs), order: this.#made, run, stopped: false,
		};
		this.#made += 1;
		this.#push(waiting);
		return {
			stop() {
				waiting.stopped = true;
			},
		};
	}

	/** Time of the next timer, or undefined when none waits. */
	nextAt(): number | undefined {
		while (this.#heap[0]?.stopped) {
			this.#pop();
		}

		return this.#heap[0]?.at;
	}

	/** Moves time on by `milliseconds` and fires all timers that fall due. */
	advance(milliseconds: number): void {
		const end = this.#now + milliseconds;
		for (let next = this.nextAt(); next !== undefined && next <= end; next = this.nextAt()) {
			this.#now = Math.max(this.#now, next);
			this.#pop()?.run();
		}

		this.#now = end;
	}

	#push(waiting: Waiting): void {
		const heap = this.#heap;
		let child = heap.length;
		heap.push(waiting);
		while (child > 0) {
			const parent = (child - 1) >> 1;
			const above = heap[parent];
			if (above === undefined || !isBefore(waiting, above)) {
				break;
			}

			heap[child] = above;
			heap[parent] = waiting;
			child = parent;
		}
	}

	#pop(): Waiting | undefined {
		const heap = this.#heap;
		const first = heap[0];
		const last = heap.pop();
		if (last === undefined || heap.length === 0) {
			return first;
		}

		let parent = 0;
		for (;;) {
			const left = heap[(2 * parent) + 1];
			const right = heap[(2 * parent) + 2];
			const child = right !== undefined && left !== undefined && isBefore(right, left) ? right : left;
			if (child === undefined || !isBefore(child, last)) {
				break;
			}

			heap[parent] = child;
			parent = child === left ? (2 * parent) + 1 : (2 * parent) + 2;
		}

		heap[parent] = last;
		return first;
	}
}
