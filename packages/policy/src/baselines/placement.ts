/**
 * Baseline placement policies for `npm run measure`: each host selects both
 * engines at once, without leases.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {pick, type Random} from '../utils/random.js';

/** What the selecting host knows about an engine. */
export type EngineView = {
	readonly engine: Engine;
	/** Number of requests at the engine, from its last report. */
	readonly reported: number;
	/** Number of requests that the selecting host has at the engine. */
	readonly own: number;
	readonly isHealthy: boolean;
};

/** Names of the selected engines. */
export type Placement = {
	readonly prefill: string;
	readonly decode: string;
};

/** Selects engines for a request; undefined if a role has no healthy engine. */
export type Placer = (views: readonly EngineView[], random: Random) => Placement | undefined;

function selectEngine(views: readonly EngineView[], role: Engine['role'], random: Random, costOf: (view: EngineView) => number): string | undefined {
	const healthy = views.filter(({engine, isHealthy}) => isHealthy && engine.role === role && !engine.leaving);
	let best: EngineView[] = [];
	let bestCost = Number.POSITIVE_INFINITY;
	for (const view of healthy) {
		const cost = costOf(view);
		if (cost < bestCost) {
			best = [];
			bestCost = cost;
		}

		if (cost === bestCost) {
			best.push(view);
		}
	}

	return pick(random, best)?.engine.name;
}

function makePlacer(costOf: (view: EngineView) => number): Placer {
	return (views, random) => {
		const prefill = selectEngine(views, 'prefill', random, costOf);
		const decode = selectEngine(views, 'decode', random, costOf);
		return prefill === undefined || decode === undefined ? undefined : {prefill, decode};
	};
}

export const placers = {
	/** Any healthy engine. */
	random: makePlacer(() => 0),
	/** The engine with the least load in its last report. */
	'least-loaded': makePlacer(({reported, engine}) => reported / engine.slots),
	/** The engine with the least load from the selecting host. */
	thin: makePlacer(({own, engine}) => own / engine.slots),
} as const satisfies Record<string, Placer>;

export type BaselineName = keyof typeof placers;
