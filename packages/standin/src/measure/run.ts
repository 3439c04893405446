/** One row of the measurement: a deployment, a load, a fault and a policy, from one seed. */
import {type Bundle} from '@gatehead/schema/bundle';
import {ignore} from '@gatehead/policy/utils/ignore';
import {pick, seedRandom} from '@gatehead/policy/utils/random';
import {planArrivals, type Arrival, type LoadShape} from './arrivals.js';
import {boundOf} from './bound.js';
import {type Outcome} from './flow.js';
import {makePolicy, type PolicyName} from './policies.js';
import {loseEngine, makeWorld, type World} from './world.js';

const hostCounts: Readonly<Record<string, number>> = {tour: 8, buoy: 9};
/** Time over which requests arrive, and time that the last ones get. */
const arrivalMs = 66_000;
const drainMs = 20_000;
/** Requests that are counted: those that arrive between, so that neither the empty start nor the end without rivals flatters. */
const countFromMs = 6000;
const countToMs = 60_000;
const faultMs = 30_000;
const sampleMs = 10;
const hostSeedOffset = 1_000_003;

const stepFromMs = 24_000;
const stepToMs = 42_000;

/** Loads by name: multiples of the full rate over time. */
export const loads: Readonly<Record<string, LoadShape>> = {
	0.5: () => 0.5,
	'1.0': () => 1,
	1.5: () => 1.5,
	'2.0': () => 2,
	'4.0': () => 4,
	step: at => (at >= stepFromMs && at < stepToMs ? 4 : 0.5),
};

/** Faults by name: what happens half-way. */
export const faults: Readonly<Record<string, (world: World, policy: {pauseKeeper(until: number): void}) => void>> = {
	none: ignore,
	decodeLost({engines}) {
		const lost = [...engines.values()].find(each => each.traits.role === 'decode');
		if (lost !== undefined) {
			loseEngine(lost);
		}
	},
	hostLost({hosts}) {
		const lost = hosts[1];
		if (lost !== undefined) {
			lost.isLost = true;
		}
	},
	keeperPaused({clock}, policy) {
		policy.pauseKeeper(clock.now() + 5000);
	},
	linksQuarter({engines}) {
		for (const engine of engines.values()) {
			engine.faults.linkShare = 0.25;
		}
	},
	reportsLate(world) {
		world.reportLagMs = 2000;
	},
	cacheEventsLost({engines}) {
		for (const engine of engines.values()) {
			engine.faults.cacheEventLoss = 0.5;
		}
	},
};

/** What a row shows. */
export type Row = {
	readonly deployment: string;
	readonly load: string;
	readonly fault: string;
	readonly policy: PolicyName;
	readonly offered: number;
	readonly accepted: number;
	readonly refused: number;
	readonly goodput: number;
	readonly goodputOfBound: number;
	readonly wastedPrefill: number;
	readonly ttftP95Ms: number;
	readonly tokenP95Ms: number;
	readonly fairness: number;
	/** Mean share of decode slots in use. */
	readonly slotUse: number;
	/** TTFT and time per token of answered requests by priority: p50, p95, p99. */
	readonly byPriority: Readonly<Record<string, {readonly answered: number; readonly ttftMs: readonly number[]; readonly tokenMs: readonly number[]}>>;
};

/** What to run. */
export type RunPlan = {
	readonly bundle: Bundle;
	readonly load: string;
	readonly fault: string;
	readonly policy: PolicyName;
	readonly seed: number;
};

function percentileOf(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

function tokenMsOf({firstAt, lastAt, tokens}: Outcome): number {
	return tokens < 2 ? 0 : (lastAt - firstAt) / (tokens - 1);
}

function isGood(outcome: Outcome): boolean {
	const {arrival: {at, target}, firstAt, state} = outcome;
	return state === 'whole' && firstAt - at <= target.ttftMs && tokenMsOf(outcome) <= target.tokenMs;
}

/** Jain's index over callers of one priority of answered by offered work against their shares, the worst over priorities with rivals. */
function fairnessOf(outcomes: readonly Outcome[]): number {
	const byPriority = new Map<number, Map<string, {good: number; offered: number; share: number}>>();
	for (const outcome of outcomes) {
		const {caller} = outcome.arrival;
		const callers = byPriority.get(caller.priority) ?? new Map<string, {good: number; offered: number; share: number}>();
		byPriority.set(caller.priority, callers);
		const entry = callers.get(caller.name) ?? {good: 0, offered: 0, share: caller.share};
		callers.set(caller.name, entry);
		entry.offered += 1;
		entry.good += Number(isGood(outcome));
	}

	let worst = 1;
	for (const callers of byPriority.values()) {
		// A caller that got all it asked for has no complaint; the others are compared by their shares
		const rates = [...callers.values()].map(({good, offered, share}) => (good >= 0.95 * offered ? undefined : good / share));
		const known = rates.filter(each => each !== undefined);
		if (known.length > 1) {
			const sum = known.reduce((total, each) => total + each, 0);
			const squares = known.reduce((total, each) => total + (each * each), 0);
			worst = Math.min(worst, squares === 0 ? 1 : sum * sum / (known.length * squares));
		}
	}

	return worst;
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}

function describePriorities(whole: readonly Outcome[]): Row['byPriority'] {
	const priorities = [...new Set(whole.map(each => each.arrival.caller.priority))].toSorted((left, right) => left - right);
	return Object.fromEntries(priorities.map(priority => {
		const own = whole.filter(each => each.arrival.caller.priority === priority);
		const ttfts = own.map(({firstAt, arrival}) => firstAt - arrival.at);
		const tokens = own.map(each => tokenMsOf(each));
		return [String(priority), {
			answered: own.length, ttftMs: [0.5, 0.95, 0.99].map(share => percentileOf(ttfts, share)), tokenMs: [0.5, 0.95, 0.99].map(share => percentileOf(tokens, share)),
		}];
	}));
}

/** Phases of steady load within the counted time; the bound is taken for each. */
function phasesOf(load: string): ReadonlyArray<readonly [number, number]> {
	return load === 'step' ? [[countFromMs, stepFromMs], [stepFromMs, stepToMs], [stepToMs, countToMs]] : [[countFromMs, countToMs]];
}

/** Sum of the phases' bounds; a phase that a quieter one follows may end its work in that one's time. */
function boundOfPhases(bundle: Bundle, load: string, arrivals: readonly Arrival[]): number {
	const longest = Math.max(...bundle.rules.targets.map(each => each.ttftMs));
	let bound = 0;
	for (const [from, to] of phasesOf(load)) {
		const spill = load === 'step' && to === stepToMs ? longest : 0;
		bound += boundOf(bundle, arrivals.filter(({at}) => at >= from && at < to), to - from + spill);
	}

	return bound;
}

/** Samples how many decode slots are in use. */
class SlotMeter {
	#sum = 0;
	#count = 0;

	constructor({clock, engines}: World) {
		const sample = () => {
			if (clock.now() >= countFromMs && clock.now() < countToMs) {
				for (const {decode, traits, isLost} of engines.values()) {
					if (traits.role === 'decode' && !isLost) {
						this.#sum += decode.size / traits.slots;
						this.#count += 1;
					}
				}
			}

			clock.after(sampleMs, sample);
		};

		sample();
	}

	get use(): number {
		return this.#count === 0 ? 0 : this.#sum / this.#count;
	}
}

function describe({bundle, load, fault, policy}: RunPlan, world: World, meter: SlotMeter, all: readonly Outcome[]): Row {
	const outcomes = all.filter(({arrival: {at}}) => at >= countFromMs && at < countToMs);
	const arrivals = outcomes.map(each => each.arrival);
	const whole = outcomes.filter(each => each.state === 'whole');
	const good = outcomes.filter(each => isGood(each)).length;
	const refused = outcomes.filter(each => each.state === 'refused').length;
	const works = [...world.engines.values()].map(each => each.prefill.work);
	const done = works.reduce((sum, {doneMs}) => sum + doneMs, 0);
	const used = works.reduce((sum, {usedMs}) => sum + usedMs, 0);
	return {
		deployment: bundle.deployment,
		load,
		fault,
		policy,
		offered: outcomes.length,
		accepted: outcomes.length - refused,
		refused,
		goodput: round(good / ((countToMs - countFromMs) / 1000)),
		goodputOfBound: round(good / Math.max(1, boundOfPhases(bundle, load, arrivals))),
		wastedPrefill: round(done === 0 ? 0 : (done - used) / done),
		ttftP95Ms: percentileOf(whole.map(({firstAt, arrival}) => firstAt - arrival.at), 0.95),
		tokenP95Ms: percentileOf(whole.map(each => tokenMsOf(each)), 0.95),
		fairness: round(fairnessOf(outcomes)),
		slotUse: round(meter.use),
		byPriority: describePriorities(whole),
	};
}

/** Runs one row. */
export function runRow(plan: RunPlan): Row {
	const {bundle, load, fault, policy: name, seed} = plan;
	const world = makeWorld(bundle, hostCounts[bundle.deployment] ?? 8, seed);
	const policy = makePolicy(name, world);
	const arrivals = planArrivals(bundle, loads[load] ?? (() => Number(load)), arrivalMs, seed);
	const hostRandom = seedRandom(seed + hostSeedOffset);
	const meter = new SlotMeter(world);
	const outcomes: Outcome[] = [];
	for (const arrival of arrivals) {
		const outcome: Outcome = {
			arrival, state: 'open', firstAt: 0, lastAt: 0, tokens: 0, attempts: 0,
		};
		outcomes.push(outcome);
		world.clock.after(arrival.at, () => {
			const host = pick(hostRandom, world.hosts.filter(each => !each.isLost));
			if (host !== undefined) {
				policy.arrive(outcome, host);
			}
		});
	}

	world.clock.after(faultMs, () => {
		faults[fault]?.(world, policy);
	});
	world.clock.advance(arrivalMs + drainMs);
	return describe(plan, world, meter, outcomes);
}
