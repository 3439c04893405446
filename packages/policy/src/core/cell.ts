/**
 * Cells: groups of engines of one model. One host, the cell's keeper, schedules
 * both prefill and decode for all engines of a cell. The engines of a large
 * model are split by hall into cells of bounded size. While hosts disagree on
 * the keeper, two keepers may overcommit a cell; the engines reject the excess.
 */
import {type Bundle, type Engine} from '@gatehead/schema/bundle';
import {rankFirst} from './rendezvous.js';

/** Maximum number of engines in a cell; bounds the keeper's load and the cost of a scheduling decision. */
export const maxCellEngines = 16;

export type Cell = {
	readonly name: string;
	readonly model: string;
	readonly engines: readonly Engine[];
	/** Halls of the cell's engines, in descending order of engine count. */
	readonly halls: readonly string[];
};

function hallsByEngineCount(engines: readonly Engine[]): string[] {
	const counts = new Map<string, number>();
	for (const {hall} of engines) {
		counts.set(hall, (counts.get(hall) ?? 0) + 1);
	}

	return [...counts.keys()].toSorted((left, right) => (counts.get(right) ?? 0) - (counts.get(left) ?? 0) || (left < right ? -1 : 1));
}

function engineId({hall, name}: Engine): string {
	return `${hall}/${name}`;
}

/** Splits engines into groups, keeping engines of one hall together; every group has both prefill and decode engines. */
function distributeEngines(engines: readonly Engine[], groupCount: number): Engine[][] {
	const groups: Engine[][] = Array.from({length: groupCount}, () => []);
	const ordered = engines.toSorted((left, right) => (engineId(left) < engineId(right) ? -1 : 1));
	for (const role of ['prefill', 'decode'] as const) {
		const ofRole = ordered.filter(each => each.role === role);
		for (const [index, each] of ofRole.entries()) {
			groups[Math.floor(index * groupCount / ofRole.length)]?.push(each);
		}
	}

	return groups;
}

function countGroups(engines: readonly Engine[]): number {
	const prefills = engines.filter(each => each.role === 'prefill').length;
	const decodes = engines.length - prefills;
	return Math.max(1, Math.min(Math.ceil(engines.length / maxCellEngines), prefills, decodes));
}

/** Derives the cells of a bundle. Deterministic: all hosts derive the same cells from the same bundle. */
export function deriveCells({models, engines}: Bundle): Cell[] {
	const cells: Cell[] = [];
	for (const {name: model} of models) {
		const modelEngines = engines.filter(each => each.model === model);
		for (const [index, group] of distributeEngines(modelEngines, countGroups(modelEngines)).entries()) {
			cells.push({
				name: `${model}/${index}`, model, engines: group, halls: hallsByEngineCount(group),
			});
		}
	}

	return cells;
}

/** A host that can become the keeper of a cell. */
export type KeeperCandidate = {
	readonly host: string;
	readonly hall: string;
};

/** Selects the cell's keeper: by rendezvous hashing among the candidates of the first of the cell's halls that has any, else among all candidates. */
export function selectKeeper(cell: Cell, candidates: readonly KeeperCandidate[]): string | undefined {
	for (const hall of cell.halls) {
		const near = rankFirst(cell.name, candidates.filter(each => each.hall === hall).map(each => each.host));
		if (near !== undefined) {
			return near;
		}
	}

	return rankFirst(cell.name, candidates.map(each => each.host));
}
