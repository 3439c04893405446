/** `npm run matrix`: plays every cell and closes with the count. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {leftOut, listCells} from './matrix.js';
import {playCells} from './players.js';
import {describe} from './report.js';

async function main(): Promise<void> {
	const {step, fault, mutant} = await yargs(hideBin(process.argv))
		.option('step', {type: 'string', describe: 'only this step'})
		.option('fault', {type: 'string', describe: 'only cells with this fault'})
		.option('mutant', {type: 'string', default: '', describe: 'take out this mechanism'})
		.strict()
		.parse();
	const cells = listCells().filter(each => (step === undefined || each.step === step) && (fault === undefined || each.faults.includes(fault)));
	const results = await playCells(cells, mutant);
	const faulty = results.filter(each => describe(each).length > 0);
	for (const line of faulty.flatMap(each => describe(each))) {
		process.stdout.write(`${line}\n`);
	}

	for (const {step: left, fault: without, why} of leftOut) {
		process.stdout.write(`left out: ${left} × ${without}: ${why}\n`);
	}

	process.stdout.write(`matrix: ${results.length} cases, ${results.length - faulty.length} held, ${faulty.length} broken\n`);
	process.exitCode = faulty.length === 0 ? 0 : 1;
}

await main();
