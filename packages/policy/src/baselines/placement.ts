/**
 * Placements that `npm run measure` compares with: each deciding host picks
 * both engines at once, without leases. Efficiency only.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {pick, type Random} from '../utils/random.js';

/** What a deciding host knows of an engine. */
export type EngineView = {
	readonly engine: Engine;
	/** Requests at the engine as its last report said. */
	readonly reported: number;
	/** Requests that this host itself has there. */
	readonly own: number;
	readonly isHealthy: boolean;
};

/** A choice of both engines by name. */
export type Placement = {
	readonly prefill: string;
	readonly decode: string;
};

/** Picks engines for a request, or undefined where none is healthy. */
export type Placer = (views: readonly EngineView[], random: Random) => Placement | undefined;

function choose(views: readonly EngineView[], role: Engine['role'], random: Random, costOf: (view: EngineView) => number): string | undefined {
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
		const prefill = choose(views, 'prefill', random, costOf);
		const decode = choose(views, 'decode', random, costOf);
		return prefill === undefined || decode === undefined ? undefined : {prefill, decode};
	};
}

/** Baselines by name. */
export const placers = {
	/** Any healthy engine. */
	random: makePlacer(() => 0),
	/** The engine whose last report shows least load. */
	'least-loaded': makePlacer(({reported, engine}) => reported / engine.slots),
	/** The first version of this repository: the engine where this host itself has least. */
	thin: makePlacer(({own, engine}) => own / engine.slots),
} as const satisfies Record<string, Placer>;

/** A baseline's name. */
export type BaselineName = keyof typeof placers;
