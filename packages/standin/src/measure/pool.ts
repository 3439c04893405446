/** Runs rows on a few threads; the order of the results is the order of the plan, whatever thread ends first. */
import {availableParallelism} from 'node:os';
import {isMainThread, parentPort, Worker} from 'node:worker_threads';
import {readExample} from '../demo/deployment.js';
import {runRow, type Row, type RunPlan} from './run.js';

const mostThreads = 4;

/** A row to run, with the deployment's name in place of its bundle. */
export type RowPlan = Omit<RunPlan, 'bundle'> & {readonly deployment: string};

type Finished = {readonly index: number; readonly row: Row};

/** Runs all rows. */
export async function runRows(plans: readonly RowPlan[]): Promise<Row[]> {
	const rows: Row[] = [];
	let next = 0;
	const work = async () => new Promise<void>((resolve, reject) => {
		const worker = new Worker(new URL(import.meta.url));
		const give = () => {
			const plan = plans[next];
			if (plan === undefined) {
				void worker.terminate();
				resolve();
				return;
			}

			worker.postMessage({index: next, plan});
			next += 1;
		};

		worker.on('message', ({index, row}: Finished) => {
			rows[index] = row;
			give();
		});
		worker.once('error', reject);
		give();
	});
	await Promise.all(Array.from({length: Math.min(mostThreads, availableParallelism(), plans.length)}, work));
	return rows;
}

if (!isMainThread) {
	parentPort?.on('message', ({index, plan}: {readonly index: number; readonly plan: RowPlan}) => {
		parentPort?.postMessage({index, row: runRow({...plan, bundle: readExample(plan.deployment)})});
	});
}
