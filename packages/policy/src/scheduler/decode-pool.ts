/**
 * The keeper's view of a cell's decode slots: slots leased by this keeper,
 * other streams that the engines report, and a forecast of releases. The view
 * may be out of date; the engines reject work that exceeds their slots.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {type EngineReport} from '@gatehead/schema/engine-protocol';
import {type OutputLengths} from './output-lengths.js';

/** How long delayed reports may still list a released stream, in milliseconds. */
const staleReportMs = 1500;
const initialTokenMs = 30;
const forecastStepMs = 50;
const maxForecastMs = 1000;

/** A decode slot in use. */
export type SlotLease = {
	readonly key: string;
	readonly priority: number;
	readonly maxTokens: number;
	/** When decoding started; until the start is known, when the slot was taken. */
	startedAt: number;
};

type DecodeEngine = {
	readonly engine: Engine;
	readonly leases: Map<string, SlotLease>;
	readonly released: Map<string, number>;
	/** Number of reported streams that this keeper did not lease. */
	unleased: number;
	tokenMs: number;
	isHealthy: boolean;
};

/** Key of a lease; engines report streams by the same request and attempt. */
export function leaseKey({request, attempt}: {readonly request: string; readonly attempt: number}): string {
	return `${request} ${attempt}`;
}

export class DecodePool {
	readonly #isLeaving: (engine: Engine) => boolean;
	readonly #engines = new Map<string, DecodeEngine>();
	readonly #lengths: OutputLengths;

	constructor(engines: readonly Engine[], isLeaving: (engine: Engine) => boolean, lengths: OutputLengths) {
		this.#isLeaving = isLeaving;
		this.#lengths = lengths;
		for (const engine of engines) {
			this.#engines.set(engine.name, {
				engine, leases: new Map(), released: new Map(), unleased: 0, tokenMs: initialTokenMs, isHealthy: false,
			});
		}
	}

	/** Number of free slots of engines that accept work. */
	countFreeSlots(): number {
		let free = 0;
		for (const engine of this.#engines.values()) {
			free += this.#freeSlotsOf(engine);
		}

		return free;
	}

	/** Number of slots of engines that accept work. */
	countSlots(): number {
		let slots = 0;
		for (const {engine, isHealthy} of this.#engines.values()) {
			slots += isHealthy && !this.#isLeaving(engine) ? engine.slots : 0;
		}

		return slots;
	}

	/** Mean and variance of the number of slots released within `windowMs`. */
	forecast(now: number, windowMs: number): {readonly mean: number; readonly variance: number} {
		let mean = 0;
		let variance = 0;
		for (const {engine, leases, tokenMs, isHealthy} of this.#engines.values()) {
			if (!isHealthy || this.#isLeaving(engine)) {
				continue;
			}

			for (const {priority, maxTokens, startedAt} of leases.values()) {
				const probability = this.#lengths.endProbability(priority, maxTokens, Math.max(0, now - startedAt) / tokenMs, windowMs / tokenMs);
				mean += probability;
				variance += probability * (1 - probability);
			}
		}

		return {mean, variance};
	}

	/** Expected time until `count` slots are free, in milliseconds; Infinity beyond the forecast horizon. */
	expectedWaitMs(count: number, now: number): number {
		const deficit = count - this.countFreeSlots();
		if (deficit <= 0) {
			return 0;
		}

		for (let windowMs = forecastStepMs; windowMs <= maxForecastMs; windowMs += forecastStepMs) {
			if (this.forecast(now, windowMs).mean >= deficit) {
				return windowMs;
			}
		}

		return Number.POSITIVE_INFINITY;
	}

	/** Expected time that a request holds a slot, in milliseconds, at the token interval of the slowest engine. */
	expectedHoldMs(priority: number, maxTokens: number): number {
		let tokenMs = 0;
		for (const engine of this.#engines.values()) {
			tokenMs = Math.max(tokenMs, engine.tokenMs);
		}

		return this.#lengths.expectedTokens(priority, maxTokens) * tokenMs;
	}

	/** Selects the engine with the largest share of free slots, with a bonus of half a slot in `hall`; undefined if no suitable slot is free. */
	selectEngine(hall: string, adapter: string | undefined): string | undefined {
		let best: DecodeEngine | undefined;
		let bestFreeShare = 0;
		for (const each of this.#engines.values()) {
			const {engine} = each;
			if (this.#freeSlotsOf(each) < 1 || (adapter !== undefined && !engine.adapters.includes(adapter))) {
				continue;
			}

			const freeShare = (this.#freeSlotsOf(each) / engine.slots) + (engine.hall === hall ? 1 / (2 * engine.slots) : 0);
			if (freeShare > bestFreeShare) {
				best = each;
				bestFreeShare = freeShare;
			}
		}

		return best?.engine.name;
	}

	reserveSlot(engine: string, lease: SlotLease): void {
		this.#engines.get(engine)?.leases.set(lease.key, lease);
	}

	/** Records when decoding started. */
	markStarted(engine: string, key: string, now: number): void {
		const lease = this.#engines.get(engine)?.leases.get(key);
		if (lease !== undefined) {
			lease.startedAt = now;
		}
	}

	releaseSlot(engine: string, key: string, now: number): void {
		const holder = this.#engines.get(engine);
		if (holder?.leases.delete(key)) {
			holder.released.set(key, now);
		}
	}

	/** Treats an engine as full until its next report, after it rejected work. */
	markFull(engine: string): void {
		const full = this.#engines.get(engine);
		if (full !== undefined) {
			full.unleased = Math.max(full.unleased, full.engine.slots - full.leases.size);
		}
	}

	/** Updates an engine from its report; streams that this keeper did not lease reduce the free slots. */
	report({name, streams, tokenMs, role}: EngineReport, now: number): void {
		const reported = this.#engines.get(name);
		if (reported === undefined) {
			return;
		}

		reported.isHealthy = role === 'decode';
		reported.tokenMs = tokenMs;
		for (const [key, at] of reported.released) {
			if (now - at > staleReportMs) {
				reported.released.delete(key);
			}
		}

		reported.unleased = streams.filter(each => !reported.leases.has(leaseKey(each)) && !reported.released.has(leaseKey(each))).length;
	}

	/** Marks an unresponsive engine as unhealthy; returns whether it was healthy before. */
	markUnhealthy(engine: string): boolean {
		const engineState = this.#engines.get(engine);
		const wasHealthy = engineState?.isHealthy ?? false;
		if (engineState !== undefined) {
			engineState.isHealthy = false;
		}

		return wasHealthy;
	}

	/** Share of slots in use, from 0 to 1; 1 if no engine accepts work. */
	get load(): number {
		const slots = this.countSlots();
		return slots === 0 ? 1 : 1 - (Math.max(0, this.countFreeSlots()) / slots);
	}

	#freeSlotsOf({engine, leases, unleased, isHealthy}: DecodeEngine): number {
		return isHealthy && !this.#isLeaving(engine) ? engine.slots - leases.size - unleased : 0;
	}
}
