/**
 * The keeper's view of a cell's prefill engines: when a slot will be free, how
 * long a prompt takes given the blocks that the engine has cached, and how
 * long the transfer of its KV cache takes.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {type CacheEvent, type EngineReport} from '@gatehead/schema/engine-protocol';
import {type LeaseRequest} from '@gatehead/schema/peer-message';
import {blockTokens} from '@gatehead/schema/prompt-blocks';

const baseCostMs = 4;
const millisecondsPerSecond = 1000;
const smoothingFactor = 0.1;
const maxCachedBlocks = 4096;
/** A slot can be assigned this long before it is free, to hide the latency of the order. */
const lookaheadMs = 15;

type PrefillEngine = {
	readonly engine: Engine;
	/** When each slot will be free, by slot index. */
	readonly slotsFreeAt: number[];
	readonly jobs: Map<string, {readonly slot: number; readonly costMs: number; readonly grantedAt: number}>;
	/** Blocks that the engine is believed to have cached. */
	readonly cachedBlocks: Set<string>;
	/** Moving average of the ratio of observed to expected prefill time. */
	slowdown: number;
	isHealthy: boolean;
};

/** Expected timing of a prefill at one engine. */
export type PrefillEstimate = {
	readonly engine: string;
	readonly hall: string;
	/** When the prefill is expected to finish. */
	readonly readyAt: number;
	readonly costMs: number;
	readonly transferMs: number;
	/** Whether a slot is free, or will be within `lookaheadMs`. */
	readonly isSlotAvailable: boolean;
};

export class PrefillPool {
	readonly #isLeaving: (engine: Engine) => boolean;
	readonly #engines = new Map<string, PrefillEngine>();
	readonly #kvBytesPerToken: number;

	constructor(engines: readonly Engine[], isLeaving: (engine: Engine) => boolean, kvBytesPerToken: number) {
		this.#isLeaving = isLeaving;
		this.#kvBytesPerToken = kvBytesPerToken;
		for (const engine of engines) {
			this.#engines.set(engine.name, {
				engine, slotsFreeAt: Array.from({length: engine.slots}, () => 0), jobs: new Map(), cachedBlocks: new Set(), slowdown: 1, isHealthy: false,
			});
		}
	}

	/** Estimate for the engine whose result would be transferred first; undefined if no suitable engine accepts work. */
	estimateBest(ask: LeaseRequest, now: number): PrefillEstimate | undefined {
		let best: PrefillEstimate | undefined;
		for (const each of this.#engines.values()) {
			if (!each.isHealthy || this.#isLeaving(each.engine) || (ask.adapter !== undefined && !each.engine.adapters.includes(ask.adapter))) {
				continue;
			}

			const estimate = this.#estimate(each, ask, now);
			if (best === undefined || estimate.readyAt + estimate.transferMs < best.readyAt + best.transferMs) {
				best = estimate;
			}
		}

		return best;
	}

	/** How long an engine keeps a prefill result, in milliseconds. */
	resultHoldMsOf(name: string): number {
		return this.#engines.get(name)?.engine.resultHoldMs ?? 0;
	}

	/** Reserves a slot for a lease. */
	reserveSlot({engine: name, readyAt, costMs}: PrefillEstimate, key: string, now: number): void {
		const taken = this.#engines.get(name);
		if (taken === undefined) {
			return;
		}

		const slot = firstFreeSlot(taken.slotsFreeAt);
		taken.slotsFreeAt[slot] = readyAt;
		taken.jobs.set(key, {slot, costMs, grantedAt: now});
	}

	/** Records a finished prefill and the blocks that the engine now caches. */
	complete(name: string, key: string, blocks: readonly string[], now: number): void {
		const ended = this.#engines.get(name);
		const job = ended?.jobs.get(key);
		if (ended === undefined || job === undefined) {
			return;
		}

		ended.jobs.delete(key);
		const hasNext = [...ended.jobs.values()].some(each => each.slot === job.slot);
		if (!hasNext) {
			ended.slotsFreeAt[job.slot] = now;
		}

		const startedAt = job.grantedAt;
		const observed = (now - startedAt) / Math.max(1, job.costMs);
		ended.slowdown += smoothingFactor * (Math.min(4, Math.max(0.5, observed)) - ended.slowdown);
		this.#recordCached(ended, blocks);
	}

	/** Releases the slot of a prefill that did not finish. */
	releaseSlot(name: string, key: string, now: number): void {
		const engine = this.#engines.get(name);
		const job = engine?.jobs.get(key);
		if (engine !== undefined && job !== undefined) {
			engine.jobs.delete(key);
			engine.slotsFreeAt[job.slot] = Math.min(engine.slotsFreeAt[job.slot] ?? 0, now);
		}
	}

	/** Updates an engine's role and cached blocks from its report. */
	report({name, role, cacheEvents}: EngineReport): void {
		const reported = this.#engines.get(name);
		if (reported !== undefined) {
			reported.isHealthy = role === 'prefill';
			applyCacheEvents(reported.cachedBlocks, cacheEvents);
		}
	}

	/** Marks an unresponsive engine as unhealthy and clears its jobs; returns whether it was healthy before. */
	markUnhealthy(name: string): boolean {
		const engineState = this.#engines.get(name);
		const wasHealthy = engineState?.isHealthy ?? false;
		if (engineState !== undefined) {
			engineState.isHealthy = false;
			engineState.jobs.clear();
			engineState.slotsFreeAt.fill(0);
		}

		return wasHealthy;
	}

	#estimate({engine, slotsFreeAt, cachedBlocks, slowdown}: PrefillEngine, {promptTokens, blocks}: LeaseRequest, now: number): PrefillEstimate {
		let cachedTokens = 0;
		for (const block of blocks) {
			if (!cachedBlocks.has(block)) {
				break;
			}

			cachedTokens += blockTokens;
		}

		const costMs = baseCostMs + (Math.max(1, promptTokens - cachedTokens) * millisecondsPerSecond / engine.prefillTokensPerSecond);
		const freeAt = slotsFreeAt[firstFreeSlot(slotsFreeAt)] ?? 0;
		return {
			engine: engine.name,
			hall: engine.hall,
			readyAt: Math.max(now, freeAt) + (costMs * slowdown),
			costMs,
			transferMs: promptTokens * this.#kvBytesPerToken * millisecondsPerSecond / engine.linkBytesPerSecond,
			isSlotAvailable: freeAt - now <= lookaheadMs,
		};
	}

	#recordCached({cachedBlocks}: PrefillEngine, blocks: readonly string[]): void {
		for (const block of blocks) {
			cachedBlocks.delete(block);
			cachedBlocks.add(block);
		}

		evictOldest(cachedBlocks);
	}
}

function firstFreeSlot(slotsFreeAt: readonly number[]): number {
	let first = 0;
	for (const [index, freeAt] of slotsFreeAt.entries()) {
		if (freeAt < (slotsFreeAt[first] ?? 0)) {
			first = index;
		}
	}

	return first;
}

function applyCacheEvents(cachedBlocks: Set<string>, events: readonly CacheEvent[]): void {
	for (const {kind, block} of events) {
		if (kind === 'stored') {
			cachedBlocks.add(block);
		} else {
			cachedBlocks.delete(block);
		}
	}

	evictOldest(cachedBlocks);
}

function evictOldest(cachedBlocks: Set<string>): void {
	for (const block of cachedBlocks) {
		if (cachedBlocks.size <= maxCachedBlocks) {
			return;
		}

		cachedBlocks.delete(block);
	}
}
