/** `npm run soak`: plays seeds of the fault soak one after the other and prints a line a seed. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {buildProgram} from '../wire/memory-bed.js';
import {faultNames, playSoak} from './soak.js';

const {seeds, first, seconds, hosts, kinds, managed, long, fault, gap, memory} = await yargs(hideBin(process.argv))
	.option('seeds', {type: 'number', default: 5, describe: 'how many seeds'})
	.option('first', {type: 'number', default: 1, describe: 'the first of them'})
	.option('seconds', {type: 'number', default: 5, describe: 'how long faults are injected, a seed'})
	.option('hosts', {type: 'number', default: 3, describe: 'host processes'})
	.option('managed', {type: 'boolean', default: false, describe: 'with engines whose outputs are so long that hosts manage their load'})
	.option('long', {type: 'boolean', default: false, describe: 'with runs that take as long as a planned stop'})
	.option('kinds', {type: 'number', describe: 'how many kinds of fault, from the first on; all of them if absent'})
	.option('gap', {type: 'number', describe: 'mean time between two faults, in milliseconds'})
	.option('memory', {type: 'number', describe: 'memory of a host\'s machine, in megabytes; 200 if absent'})
	.option('fault', {
		type: 'string', array: true, choices: faultNames, describe: 'the only faults; all of the kinds if absent',
	})
	.strict()
	.parse();
const {program, remove} = buildProgram();
let failed = 0;
for (let seed = first; seed < first + seeds; seed += 1) {
	const {
		requests, served, faults, folder, streams, exits, peaksMb, broken,
	} = await playSoak({
		seed, seconds, hosts, kinds, only: fault, gapMs: gap, isLoadManaged: managed, hasLongRuns: long, program, memoryMb: memory,
	});
	process.stdout.write(`seed ${seed}: ${served} of ${requests} served, ${faults} faults, ${streams.goneOn} of ${streams.resumed} resumed attempts of ${streams.streams} streams went on, highest peak ${Math.max(...peaksMb)} MB, ${exits.unasked} ends unasked, ${exits.beforeHandlers} before handlers, ${exits.overdue} overdue, ${exits.expected} expected, ${broken.length} promises broken, logs in ${folder}\n`);
	process.stdout.write(`  peaks, host by host: ${peaksMb.join(' ')} MB\n`);
	for (const text of broken) {
		process.stdout.write(`  ${text}\n`);
	}

	failed += Number(broken.length > 0);
}

remove();
process.stdout.write(`soak: ${seeds - failed} of ${seeds} seeds kept every promise\n`);
// Without it, Node may spin for ever as it cleans up (Environment::CleanupHandles)
process.exit(failed === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit -- the last line of a command
