/**
 * Decode slots of a cell as its keeper knows them: its own leases, streams
 * that it did not lease but an engine reports, and when slots will be free.
 * Efficiency: the engines themselves refuse what does not fit.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {type EngineReport} from '@gatehead/schema/engine-protocol';
import {type AnswerLengths} from './answer-lengths.js';

/** How long a stream that was given back may still stand in lagging reports, in milliseconds. */
const reportEchoMs = 1500;
const firstTokenMs = 30;
const forecastStepMs = 50;
const longestForecastMs = 1000;

/** A decode slot in use. */
export type SlotLease = {
	readonly key: string;
	readonly priority: number;
	readonly maxTokens: number;
	/** When tokens began to come, as far as known. */
	startedAt: number;
};

type DecodeEngine = {
	readonly engine: Engine;
	readonly leases: Map<string, SlotLease>;
	readonly released: Map<string, number>;
	/** Streams that the engine reports and this keeper did not lease. */
	foreign: number;
	tokenMs: number;
	isHealthy: boolean;
};

/** A lease's name as the engines report it. */
export function leaseKey({request, attempt}: {readonly request: string; readonly attempt: number}): string {
	return `${request} ${attempt}`;
}

/** Decode engines of a cell. */
export class DecodePool {
	readonly #isLeaving: (engine: Engine) => boolean;
	readonly #engines = new Map<string, DecodeEngine>();
	readonly #lengths: AnswerLengths;

	constructor(engines: readonly Engine[], isLeaving: (engine: Engine) => boolean, lengths: AnswerLengths) {
		this.#isLeaving = isLeaving;
		this.#lengths = lengths;
		for (const engine of engines) {
			this.#engines.set(engine.name, {
				engine, leases: new Map(), released: new Map(), foreign: 0, tokenMs: firstTokenMs, isHealthy: false,
			});
		}
	}

	/** Slots that are free now at engines that take work. */
	countFree(): number {
		let free = 0;
		for (const engine of this.#engines.values()) {
			free += this.#freeOf(engine);
		}

		return free;
	}

	/** All slots of engines that take work. */
	countSlots(): number {
		let slots = 0;
		for (const {engine, isHealthy} of this.#engines.values()) {
			slots += isHealthy && !this.#isLeaving(engine) ? engine.slots : 0;
		}

		return slots;
	}

	/** Mean and variance of the number of slots given back within `windowMs`. */
	forecast(now: number, windowMs: number): {readonly mean: number; readonly variance: number} {
		let mean = 0;
		let variance = 0;
		for (const {engine, leases, tokenMs, isHealthy} of this.#engines.values()) {
			if (!isHealthy || this.#isLeaving(engine)) {
				continue;
			}

			for (const {priority, maxTokens, startedAt} of leases.values()) {
				const chance = this.#lengths.chanceToEnd(priority, maxTokens, Math.max(0, now - startedAt) / tokenMs, windowMs / tokenMs);
				mean += chance;
				variance += chance * (1 - chance);
			}
		}

		return {mean, variance};
	}

	/** Time until `count` slots are expected to be free, in milliseconds; Infinity beyond what is forecast. */
	expectFree(count: number, now: number): number {
		const missing = count - this.countFree();
		if (missing <= 0) {
			return 0;
		}

		for (let windowMs = forecastStepMs; windowMs <= longestForecastMs; windowMs += forecastStepMs) {
			if (this.forecast(now, windowMs).mean >= missing) {
				return windowMs;
			}
		}

		return Number.POSITIVE_INFINITY;
	}

	/** Mean time that a slot is held by an answer of up to `maxTokens`. */
	expectHoldMs(priority: number, maxTokens: number): number {
		let tokenMs = 0;
		for (const engine of this.#engines.values()) {
			tokenMs = Math.max(tokenMs, engine.tokenMs);
		}

		return this.#lengths.expect(priority, maxTokens) * tokenMs;
	}

	/** The engine with most room, near `hall` first among equals, or undefined where no slot is free. */
	choose(hall: string, adapter: string | undefined): string | undefined {
		let best: DecodeEngine | undefined;
		let bestRoom = 0;
		for (const each of this.#engines.values()) {
			const {engine} = each;
			if (this.#freeOf(each) < 1 || (adapter !== undefined && !engine.adapters.includes(adapter))) {
				continue;
			}

			const room = (this.#freeOf(each) / engine.slots) + (engine.hall === hall ? 1 / (2 * engine.slots) : 0);
			if (room > bestRoom) {
				best = each;
				bestRoom = room;
			}
		}

		return best?.engine.name;
	}

	/** Takes a slot. */
	take(engine: string, lease: SlotLease): void {
		this.#engines.get(engine)?.leases.set(lease.key, lease);
	}

	/** Notes when tokens began. */
	start(engine: string, key: string, now: number): void {
		const lease = this.#engines.get(engine)?.leases.get(key);
		if (lease !== undefined) {
			lease.startedAt = now;
		}
	}

	/** Gives a slot back. */
	giveBack(engine: string, key: string, now: number): void {
		const held = this.#engines.get(engine);
		if (held?.leases.delete(key)) {
			held.released.set(key, now);
		}
	}

	/** Holds an engine to be full until its next report, because it said so. */
	fill(engine: string): void {
		const full = this.#engines.get(engine);
		if (full !== undefined) {
			full.foreign = Math.max(full.foreign, full.engine.slots - full.leases.size);
		}
	}

	/** Takes an engine's report; what it holds beyond this keeper's leases shrinks the room here. */
	report({name, streams, tokenMs, role}: EngineReport, now: number): void {
		const reported = this.#engines.get(name);
		if (reported === undefined) {
			return;
		}

		reported.isHealthy = role === 'decode';
		reported.tokenMs = tokenMs;
		for (const [key, at] of reported.released) {
			if (now - at > reportEchoMs) {
				reported.released.delete(key);
			}
		}

		reported.foreign = streams.filter(each => !reported.leases.has(leaseKey(each)) && !reported.released.has(leaseKey(each))).length;
	}

	/** Notes that an engine does not answer; returns whether that is news. */
	lose(engine: string): boolean {
		const lost = this.#engines.get(engine);
		const isNews = lost?.isHealthy ?? false;
		if (lost !== undefined) {
			lost.isHealthy = false;
		}

		return isNews;
	}

	/** Load from 0 to 1. */
	get load(): number {
		const slots = this.countSlots();
		return slots === 0 ? 1 : 1 - (Math.max(0, this.countFree()) / slots);
	}

	#freeOf({engine, leases, foreign, isHealthy}: DecodeEngine): number {
		return isHealthy && !this.#isLeaving(engine) ? engine.slots - leases.size - foreign : 0;
	}
}
