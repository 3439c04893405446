/**
 * The clairvoyant upper bound: how many requests could at most be answered in
 * time by somebody who knows every arrival and every answer's length
 * beforehand, and who serves priorities in their order. Each kind of engine
 * time is taken by itself, as one pool without idle moments; within a
 * priority the shortest go first. No policy that serves priorities in order
 * can pass it.
 */
import {type Bundle} from '@gatehead/schema/bundle';
import {
	capacityOf, costOf, type Arrival, type Cost,
} from './arrivals.js';

/** Counts requests that fit into `capacityMs` of one kind of time, priority by priority, shortest first. */
function countFitting(arrivals: readonly Arrival[], costs: ReadonlyMap<Arrival, number>, capacityMs: number): number {
	const ordered = arrivals.toSorted((left, right) => left.caller.priority - right.caller.priority || (costs.get(left) ?? 0) - (costs.get(right) ?? 0));
	let left = capacityMs;
	let fitting = 0;
	for (const arrival of ordered) {
		left -= costs.get(arrival) ?? 0;
		if (left < 0) {
			return fitting;
		}

		fitting += 1;
	}

	return fitting;
}

function costsBy(bundle: Bundle, arrivals: readonly Arrival[], pick: (cost: Cost) => number): ReadonlyMap<Arrival, number> {
	return new Map(arrivals.map(arrival => [arrival, pick(costOf(bundle, arrival))]));
}

/** Most requests of `arrivals` that can be answered in time within `spanMs`. */
export function boundOf(bundle: Bundle, arrivals: readonly Arrival[], spanMs: number): number {
	const {prefillPlaces, decodeSlots} = capacityOf(bundle);
	// The prefix cache may spare a part of any prefill, so prefill time bounds nothing for sure
	const byDecode = countFitting(arrivals, costsBy(bundle, arrivals, each => each.decodeMs + each.transferMs), decodeSlots * spanMs);
	return prefillPlaces === 0 ? 0 : Math.min(arrivals.length, byDecode);
}
