/** Plays cells on a few threads; a thread can have one mechanism taken out. */
import {
	isMainThread, parentPort, Worker, workerData,
} from 'node:worker_threads';
import {runCell, type Cell, type CellResult} from './matrix.js';
import {disable} from './mutants.js';

const threads = 4;

/** A cell whose play itself failed. */
export type Failed = {readonly cell: Cell; readonly error: string};

/** Plays cells on threads; `mutant` names a mechanism that is taken out. */
export async function playCells(cells: readonly Cell[], mutant = ''): Promise<Array<CellResult | Failed>> {
	const results: Array<CellResult | Failed> = [];
	let next = 0;
	const work = async () => new Promise<void>((resolve, reject) => {
		const worker = new Worker(new URL(import.meta.url), {workerData: {mutant}});
		const give = () => {
			const cell = cells[next];
			if (cell === undefined) {
				void worker.terminate();
				resolve();
				return;
			}

			next += 1;
			worker.postMessage(cell);
		};

		worker.on('message', (result: CellResult | Failed) => {
			results.push(result);
			give();
		});
		worker.once('error', reject);
		give();
	});
	await Promise.all(Array.from({length: Math.min(threads, cells.length)}, work));
	return results;
}

async function answer(cell: Cell): Promise<void> {
	try {
		parentPort?.postMessage(await runCell(cell));
	} catch (error) {
		parentPort?.postMessage({cell, error: error instanceof Error ? error.stack : String(error)});
	}
}

if (!isMainThread) {
	const {mutant} = workerData as {mutant: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- given above
	disable(mutant);
	parentPort?.on('message', (cell: Cell) => {
		void answer(cell);
	});
}
