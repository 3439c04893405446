/**
 * Prefill engines of a cell as its keeper knows them: when a place will be
 * free, how long a prompt will take with what its cache seems to hold, how
 * long its result will be on the link. Efficiency only.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {type CacheEvent, type EngineReport} from '@gatehead/schema/engine-protocol';
import {type LeaseAsk} from '@gatehead/schema/peer-message';
import {blockTokens} from '@gatehead/schema/prompt-blocks';

const startMs = 4;
const millisecondsPerSecond = 1000;
const learnShare = 0.1;
const mostHints = 4096;
/** A place is given out this long before it is free, so that no message's way is lost. */
const lookaheadMs = 15;

type PrefillEngine = {
	readonly engine: Engine;
	/** When each place will be free. */
	readonly places: number[];
	readonly jobs: Map<string, {readonly place: number; readonly costMs: number; readonly grantedAt: number}>;
	/** Blocks that the engine seems to cache. */
	readonly hints: Set<string>;
	/** Observed over expected time of a prefill. */
	slowness: number;
	isHealthy: boolean;
};

/** A possible prefill. */
export type PrefillOffer = {
	readonly engine: string;
	readonly hall: string;
	/** When the result will be made. */
	readonly readyAt: number;
	readonly costMs: number;
	readonly transferMs: number;
	/** Whether a place is free, or will be before a message could arrive. */
	readonly isDue: boolean;
};

/** Prefill engines of a cell. */
export class PrefillPool {
	readonly #isLeaving: (engine: Engine) => boolean;
	readonly #engines = new Map<string, PrefillEngine>();
	readonly #kvBytesPerToken: number;

	constructor(engines: readonly Engine[], isLeaving: (engine: Engine) => boolean, kvBytesPerToken: number) {
		this.#isLeaving = isLeaving;
		this.#kvBytesPerToken = kvBytesPerToken;
		for (const engine of engines) {
			this.#engines.set(engine.name, {
				engine, places: Array.from({length: engine.slots}, () => 0), jobs: new Map(), hints: new Set(), slowness: 1, isHealthy: false,
			});
		}
	}

	/** The engine that would have the result first; undefined where none takes work. */
	offer(ask: LeaseAsk, now: number): PrefillOffer | undefined {
		let best: PrefillOffer | undefined;
		for (const each of this.#engines.values()) {
			if (!each.isHealthy || this.#isLeaving(each.engine) || (ask.adapter !== undefined && !each.engine.adapters.includes(ask.adapter))) {
				continue;
			}

			const offer = this.#price(each, ask, now);
			if (best === undefined || offer.readyAt + offer.transferMs < best.readyAt + best.transferMs) {
				best = offer;
			}
		}

		return best;
	}

	/** How long an engine keeps a result. */
	holdMsOf(name: string): number {
		return this.#engines.get(name)?.engine.resultHoldMs ?? 0;
	}

	/** Gives a place to a lease. */
	take({engine: name, readyAt, costMs}: PrefillOffer, key: string, now: number): void {
		const taken = this.#engines.get(name);
		if (taken === undefined) {
			return;
		}

		const place = firstFree(taken.places);
		taken.places[place] = readyAt;
		taken.jobs.set(key, {place, costMs, grantedAt: now});
	}

	/** Notes the end of a prefill and what the engine now caches. */
	end(name: string, key: string, blocks: readonly string[], now: number): void {
		const ended = this.#engines.get(name);
		const job = ended?.jobs.get(key);
		if (ended === undefined || job === undefined) {
			return;
		}

		ended.jobs.delete(key);
		const hasNext = [...ended.jobs.values()].some(each => each.place === job.place);
		if (!hasNext) {
			ended.places[job.place] = now;
		}

		const startedAt = job.grantedAt;
		const observed = (now - startedAt) / Math.max(1, job.costMs);
		ended.slowness += learnShare * (Math.min(4, Math.max(0.5, observed)) - ended.slowness);
		this.#hint(ended, blocks);
	}

	/** Gives back a place whose prefill did not happen. */
	giveBack(name: string, key: string, now: number): void {
		const engine = this.#engines.get(name);
		const job = engine?.jobs.get(key);
		if (engine !== undefined && job !== undefined) {
			engine.jobs.delete(key);
			engine.places[job.place] = Math.min(engine.places[job.place] ?? 0, now);
		}
	}

	/** Takes an engine's report. */
	report({name, role, cacheEvents}: EngineReport): void {
		const reported = this.#engines.get(name);
		if (reported !== undefined) {
			reported.isHealthy = role === 'prefill';
			applyEvents(reported.hints, cacheEvents);
		}
	}

	/** Notes that an engine does not answer; returns whether that is news. */
	lose(name: string): boolean {
		const lost = this.#engines.get(name);
		const isNews = lost?.isHealthy ?? false;
		if (lost !== undefined) {
			lost.isHealthy = false;
			lost.jobs.clear();
			lost.places.fill(0);
		}

		return isNews;
	}

	#price({engine, places, hints, slowness}: PrefillEngine, {promptTokens, blocks}: LeaseAsk, now: number): PrefillOffer {
		let cachedTokens = 0;
		for (const block of blocks) {
			if (!hints.has(block)) {
				break;
			}

			cachedTokens += blockTokens;
		}

		const work = startMs + (Math.max(1, promptTokens - cachedTokens) * millisecondsPerSecond / engine.prefillTokensPerSecond);
		const freeAt = places[firstFree(places)] ?? 0;
		return {
			engine: engine.name,
			hall: engine.hall,
			readyAt: Math.max(now, freeAt) + (work * slowness),
			costMs: work,
			transferMs: promptTokens * this.#kvBytesPerToken * millisecondsPerSecond / engine.linkBytesPerSecond,
			isDue: freeAt - now <= lookaheadMs,
		};
	}

	#hint({hints}: PrefillEngine, blocks: readonly string[]): void {
		for (const block of blocks) {
			hints.delete(block);
			hints.add(block);
		}

		trim(hints);
	}
}

function firstFree(places: readonly number[]): number {
	let first = 0;
	for (const [index, freeAt] of places.entries()) {
		if (freeAt < (places[first] ?? 0)) {
			first = index;
		}
	}

	return first;
}

function applyEvents(hints: Set<string>, events: readonly CacheEvent[]): void {
	for (const {kind, block} of events) {
		if (kind === 'stored') {
			hints.add(block);
		} else {
			hints.delete(block);
		}
	}

	trim(hints);
}

function trim(hints: Set<string>): void {
	for (const block of hints) {
		if (hints.size <= mostHints) {
			return;
		}

		hints.delete(block);
	}
}
