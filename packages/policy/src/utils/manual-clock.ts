/** Clock that advances only when told to, for tests and for `npm run measure`. */
import {type Clock, type Timer} from './clock.js';

type ScheduledTimer = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
	stopped: boolean;
};

function isBefore(left: ScheduledTimer, right: ScheduledTimer): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}

/** Fires timers in order of due time, then of creation. */
export class ManualClock implements Clock {
	readonly #heap: ScheduledTimer[] = [];
	#now = 0;
	#createdCount = 0;

	now(): number {
		return this.#now;
	}

	after(delayMs: number, run: () => void): Timer {
		const timer: ScheduledTimer = {
			at: this.#now + Math.max(0, delayMs), order: this.#createdCount, run, stopped: false,
		};
		this.#createdCount += 1;
		this.#push(timer);
		return {
			stop() {
				timer.stopped = true;
			},
		};
	}

	/** Due time of the next timer, or undefined if none is pending. */
	nextAt(): number | undefined {
		while (this.#heap[0]?.stopped) {
			this.#pop();
		}

		return this.#heap[0]?.at;
	}

	/** Advances time by `milliseconds` and fires all timers that become due. */
	advance(milliseconds: number): void {
		const end = this.#now + milliseconds;
		for (let next = this.nextAt(); next !== undefined && next <= end; next = this.nextAt()) {
			this.#now = Math.max(this.#now, next);
			this.#pop()?.run();
		}

		this.#now = end;
	}

	/** Advances time as a process sees it that stands still: timers that become due fire late, with the next advance. */
	freeze(milliseconds: number): void {
		this.#now += milliseconds;
	}

	#push(timer: ScheduledTimer): void {
		const heap = this.#heap;
		let child = heap.length;
		heap.push(timer);
		while (child > 0) {
			const parent = (child - 1) >> 1;
			const above = heap[parent];
			if (above === undefined || !isBefore(timer, above)) {
				break;
			}

			heap[child] = above;
			heap[parent] = timer;
			child = parent;
		}
	}

	#pop(): ScheduledTimer | undefined {
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
