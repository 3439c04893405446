/** `npm run measure`: the decisions under load and faults, on fakes under an injected clock. Two runs with one seed print the same bytes. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runRows} from './pool.js';
import {faults, loads, type Row} from './run.js';
import {type PolicyName} from './policies.js';

const policies: readonly PolicyName[] = ['random', 'least-loaded', 'thin', 'current'];
const faultLoad = '2.0';

type Choice = {
	readonly deployment: string | undefined;
	readonly load: string | undefined;
	readonly fault: string | undefined;
	readonly policy: string | undefined;
	readonly seed: number;
};

function normalizeLoad(load: string | undefined): string | undefined {
	return load === undefined || load in loads ? load : Number(load).toFixed(1);
}

/** Every load without a fault, and every fault at twice the capacity. */
function planRows({deployment, load, fault, policy}: Choice): Array<Pick<Row, 'deployment' | 'load' | 'fault' | 'policy'>> {
	const rows: Array<Pick<Row, 'deployment' | 'load' | 'fault' | 'policy'>> = [];
	for (const name of deployment === undefined ? ['tour', 'buoy'] : [deployment]) {
		for (const faultName of fault === undefined ? Object.keys(faults) : [fault]) {
			const wanted = normalizeLoad(load);
			const loadNames = faultName === 'none' || wanted !== undefined ? Object.keys(loads) : [faultLoad];
			for (const loadName of wanted === undefined ? loadNames : [wanted]) {
				for (const policyName of policies) {
					if (policy === undefined || policy === policyName) {
						rows.push({
							deployment: name, load: loadName, fault: faultName, policy: policyName,
						});
					}
				}
			}
		}
	}

	return rows;
}

const columns = ['deployment', 'load', 'fault', 'policy', 'offered', 'accepted', 'refused', 'goodput', 'goodputOfBound', 'wastedPrefill', 'ttftP95Ms', 'tokenP95Ms', 'fairness', 'slotUse'] as const;

function printTable(rows: readonly Row[]): void {
	const cells = [columns.map(String), ...rows.map(row => columns.map(column => String(row[column])))];
	const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)));
	for (const line of cells) {
		process.stdout.write(`${line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()}\n`);
	}
}

function printPriorities(rows: readonly Row[]): void {
	process.stdout.write('\nTTFT and time per token in ms (p50/p95/p99) of answered requests by priority, policy current\n');
	for (const {deployment, load, fault, policy, byPriority} of rows) {
		if (policy !== 'current') {
			continue;
		}

		const parts = Object.entries(byPriority).map(([priority, {answered, ttftMs, tokenMs}]) => `p${priority}: ${answered} answered, TTFT ${ttftMs.join('/')}, token ${tokenMs.join('/')}`);
		process.stdout.write(`${deployment} ${load} ${fault}  ${parts.join('  ')}\n`);
	}
}

async function main(): Promise<void> {
	const {json, ...choice} = await yargs(hideBin(process.argv))
		.option('json', {type: 'boolean', default: false, describe: 'print JSON'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of arrivals and choices'})
		.option('deployment', {choices: ['tour', 'buoy'], describe: 'only this deployment'})
		.option('load', {type: 'string', describe: 'only this load: a multiple of the capacity, or step'})
		.option('fault', {choices: Object.keys(faults), describe: 'only this fault'})
		.option('policy', {choices: policies, describe: 'only this policy'})
		.strict()
		.parse();
	const rows = await runRows(planRows(choice).map(row => ({...row, seed: choice.seed})));
	if (json) {
		process.stdout.write(`${JSON.stringify(rows, null, '\t')}\n`);
		return;
	}

	printTable(rows);
	printPriorities(rows);
}

await main();
