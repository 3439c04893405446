/**
 * A cell: engines of one model that one keeper looks after together, so that
 * prefill and decode are chosen in one place. A large model is split into
 * cells of bounded size, hall by hall. Efficiency: two keepers of one
 * cell may overcommit for a while; the engines then refuse.
 */
import {type Bundle, type Engine} from '@gatehead/schema/bundle';
import {rankFirst} from './rendezvous.js';

/** Most engines of one cell; bounds a keeper's work and a decision's cost. */
export const mostCellEngines = 16;

/** Engines that are kept together. */
export type Cell = {
	readonly name: string;
	readonly model: string;
	readonly engines: readonly Engine[];
	/** Halls in which the cell has engines, the one with most engines first. */
	readonly halls: readonly string[];
};

function hallsOf(engines: readonly Engine[]): string[] {
	const counts = new Map<string, number>();
	for (const {hall} of engines) {
		counts.set(hall, (counts.get(hall) ?? 0) + 1);
	}

	return [...counts.keys()].toSorted((left, right) => (counts.get(right) ?? 0) - (counts.get(left) ?? 0) || (left < right ? -1 : 1));
}

function placeOf({hall, name}: Engine): string {
	return `${hall}/${name}`;
}

/** Deals prefill and decode engines round, hall by hall, so that each part has both kinds. */
function deal(engines: readonly Engine[], parts: number): Engine[][] {
	const dealt: Engine[][] = Array.from({length: parts}, () => []);
	const ordered = engines.toSorted((left, right) => (placeOf(left) < placeOf(right) ? -1 : 1));
	for (const role of ['prefill', 'decode'] as const) {
		const ofRole = ordered.filter(each => each.role === role);
		for (const [index, each] of ofRole.entries()) {
			dealt[Math.floor(index * parts / ofRole.length)]?.push(each);
		}
	}

	return dealt;
}

function countParts(engines: readonly Engine[]): number {
	const prefills = engines.filter(each => each.role === 'prefill').length;
	const decodes = engines.length - prefills;
	return Math.max(1, Math.min(Math.ceil(engines.length / mostCellEngines), prefills, decodes));
}

/** Cells of a bundle. Every host derives the same ones from the same bundle. */
export function cellsOf({models, engines}: Bundle): Cell[] {
	const cells: Cell[] = [];
	for (const {name: model} of models) {
		const served = engines.filter(each => each.model === model);
		for (const [index, part] of deal(served, countParts(served)).entries()) {
			cells.push({
				name: `${model}/${index}`, model, engines: part, halls: hallsOf(part),
			});
		}
	}

	return cells;
}

/** What keeper choice needs to know of a host. */
export type KeeperCandidate = {
	readonly host: string;
	readonly hall: string;
};

/** The cell's keeper among living hosts: one in the cell's main hall if there is any, else any. */
export function keeperOf(cell: Cell, candidates: readonly KeeperCandidate[]): string | undefined {
	for (const hall of cell.halls) {
		const near = rankFirst(cell.name, candidates.filter(each => each.hall === hall).map(each => each.host));
		if (near !== undefined) {
			return near;
		}
	}

	return rankFirst(cell.name, candidates.map(each => each.host));
}
