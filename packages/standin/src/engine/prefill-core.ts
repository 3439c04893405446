/**
 * The prefill side of the stand-in engine, on a given clock: works on a few
 * prompts at once in order of priority, keeps each result for less than a
 * second, sends results over a link of limited rate.
 */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {
	type EngineRefusal, type HeldResult, type PrefillOrder, type PrefillResult,
} from '@gatehead/schema/engine-protocol';
import {countTokens, digestBlocks} from '@gatehead/schema/prompt-blocks';
import {type EngineFaults, type EngineTraits} from './traits.js';
import {PrefixCache} from './prefix-cache.js';

const startMs = 4;
const millisecondsPerSecond = 1000;

/** What a prefill order ends in. */
export type PrefillOutcome = PrefillResult | EngineRefusal;

/** What an export ends in: the bytes' way took `tookMs`, or the result is gone. */
export type ExportOutcome = {readonly tookMs: number} | EngineRefusal;

type Job = {
	readonly order: PrefillOrder;
	readonly done: (outcome: PrefillOutcome) => void;
	readonly arrivedAt: number;
	readonly number: number;
	timer?: Timer;
};

type Result = {
	readonly order: PrefillOrder;
	readonly tokens: number;
	readonly bytes: number;
	readonly madeAt: number;
	lapse: Timer;
	exported: boolean;
};

/** Prefill work as the consortium's auditors count it, in milliseconds of engine time. */
export type PrefillWork = {
	readonly doneMs: number;
	readonly usedMs: number;
};

function isMoreUrgent(left: Job, right: Job): boolean {
	return left.order.priority === right.order.priority ? left.number < right.number : left.order.priority < right.order.priority;
}

/** Prompts waiting, in work, and results kept. */
export class PrefillCore {
	readonly cache: PrefixCache;
	/** Prefills taken, by request: the count that tests judge by. */
	readonly starts = new Map<string, number>();
	readonly #traits: EngineTraits;
	readonly #faults: EngineFaults;
	readonly #clock: Clock;
	readonly #queue: Job[] = [];
	readonly #running = new Set<Job>();
	readonly #results = new Map<string, Result>();
	readonly #costs = new Map<string, number>();
	#jobs = 0;
	#handles = 0;
	#linkFreeAt = 0;
	#doneMs = 0;
	#usedMs = 0;

	constructor(traits: EngineTraits, faults: EngineFaults, clock: Clock) {
		this.#traits = traits;
		this.#faults = faults;
		this.#clock = clock;
		this.cache = new PrefixCache(traits.cacheBlocks);
	}

	/** Prompts that wait. */
	get queued(): number {
		return this.#queue.length;
	}

	/** Work done and work whose result was decoded. */
	get work(): PrefillWork {
		return {doneMs: this.#doneMs, usedMs: this.#usedMs};
	}

	/** Takes a prompt; `done` is called once with the result's handle or a refusal. */
	prefill(order: PrefillOrder, done: (outcome: PrefillOutcome) => void): void {
		if (this.#queue.length >= this.#traits.mostQueued) {
			done({refused: 'full'});
			return;
		}

		this.#jobs += 1;
		this.starts.set(order.request, (this.starts.get(order.request) ?? 0) + 1);
		this.#queue.push({
			order, done, arrivedAt: this.#clock.now(), number: this.#jobs,
		});
		this.#startNext();
	}

	/** Begins to send a result; the caller of this waits `tookMs` before the import is whole. */
	startExport(handle: string): ExportOutcome {
		const result = this.#results.get(handle);
		if (result === undefined) {
			return {refused: 'lapsed'};
		}

		const now = this.#clock.now();
		const ownMs = result.bytes * millisecondsPerSecond / (this.#traits.linkBytesPerSecond * this.#faults.linkShare);
		this.#linkFreeAt = Math.max(now, this.#linkFreeAt) + ownMs;
		result.lapse.stop();
		result.exported = true;
		return {tookMs: this.#linkFreeAt - now};
	}

	/** Ends an export: a whole one counts its work as used, after a broken one the result is kept for what is left of its time. */
	endExport(handle: string, whole: boolean): void {
		const result = this.#results.get(handle);
		if (result === undefined) {
			return;
		}

		if (whole) {
			this.#usedMs += this.#costs.get(handle) ?? 0;
			this.#drop(handle);
			return;
		}

		result.exported = false;
		result.lapse = this.#startLapse(handle, result.madeAt + this.#traits.resultHoldMs - this.#clock.now());
	}

	/** Releases what a request holds here, up to and with `attempt`. */
	cancel(request: string, attempt: number): void {
		for (const [handle, {order, lapse, exported}] of this.#results) {
			if (order.request === request && order.attempt <= attempt && !exported) {
				lapse.stop();
				this.#drop(handle);
			}
		}

		for (const job of [...this.#queue, ...this.#running]) {
			if (job.order.request === request && job.order.attempt <= attempt) {
				this.#stop(job);
			}
		}

		this.#startNext();
	}

	/** Whether a request holds anything here. */
	holds(request: string, attempt: number): boolean {
		return this.listHeld().some(each => each.request === request && each.attempt <= attempt);
	}

	/** All that is held: waiting, in work and kept. */
	listHeld(): HeldResult[] {
		const now = this.#clock.now();
		const held: HeldResult[] = [];
		for (const {order, bytes, madeAt} of this.#results.values()) {
			held.push({
				request: order.request, attempt: order.attempt, owner: order.owner, bytes, ageMs: now - madeAt,
			});
		}

		for (const {order, arrivedAt} of [...this.#queue, ...this.#running]) {
			held.push({
				request: order.request, attempt: order.attempt, owner: order.owner, bytes: 0, ageMs: now - arrivedAt,
			});
		}

		return held;
	}

	#startNext(): void {
		while (this.#running.size < this.#traits.slots && this.#queue.length > 0) {
			let next = this.#queue[0];
			for (const job of this.#queue) {
				next = next === undefined || isMoreUrgent(job, next) ? job : next;
			}

			if (next === undefined) {
				return;
			}

			this.#queue.splice(this.#queue.indexOf(next), 1);
			this.#start(next);
		}
	}

	#start(job: Job): void {
		const {prompt, given} = job.order;
		const text = prompt + given.join('');
		const blocks = digestBlocks(text);
		const tokens = countTokens(text);
		const cachedTokens = Math.min(this.cache.countCached(blocks), tokens - 1);
		const costMs = startMs + ((tokens - cachedTokens) * millisecondsPerSecond / this.#traits.prefillTokensPerSecond);
		this.#running.add(job);
		job.timer = this.#clock.after(costMs + this.#faults.prefillStallMs, () => {
			this.#running.delete(job);
			this.cache.store(blocks);
			this.#doneMs += costMs;
			this.#keep(job, tokens, cachedTokens, costMs);
			this.#startNext();
		});
	}

	#keep({order, done}: Job, tokens: number, cachedTokens: number, costMs: number): void {
		this.#handles += 1;
		const handle = `${this.#traits.name}-${this.#handles}`;
		const bytes = tokens * this.#traits.kvBytesPerToken;
		const lapse = this.#startLapse(handle, this.#traits.resultHoldMs);
		this.#results.set(handle, {
			order, tokens, bytes, madeAt: this.#clock.now(), lapse, exported: false,
		});
		this.#costs.set(handle, costMs);
		done({
			handle, promptTokens: tokens, cachedTokens, bytes, holdMs: this.#traits.resultHoldMs,
		});
	}

	#startLapse(handle: string, delayMs: number): Timer {
		return this.#clock.after(delayMs, () => {
			this.#drop(handle);
		});
	}

	#drop(handle: string): void {
		this.#results.delete(handle);
		this.#costs.delete(handle);
	}

	#stop(job: Job): void {
		const index = this.#queue.indexOf(job);
		if (index !== -1) {
			this.#queue.splice(index, 1);
		}

		if (this.#running.delete(job)) {
			job.timer?.stop();
		}

		job.done({refused: 'unknownStream', detail: 'cancelled'});
	}
}
