/** Cells and results in words. */
import {type Cell, type CellResult} from './matrix.js';
import {type Failed} from './players.js';

/** A cell's name. */
export function nameOf({step, faults}: Cell): string {
	return `${step} × ${faults.length === 0 ? 'no fault' : faults.join(' + ')}`;
}

/** What went wrong in a cell, a line each. */
export function describe(result: CellResult | Failed): string[] {
	return 'error' in result ? [`${nameOf(result.cell)}: ${result.error}`] : result.broken.map(({promise, detail}) => `${nameOf(result.cell)}: ${promise}: ${detail}`);
}

