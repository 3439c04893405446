/** `npm run silence`: endpoints that fall silent while the configuration changes, one line a seed. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {hazards, playSilence} from './silence.js';

const {hosts, seeds, first, rate, silences, hazard, program} = await yargs(hideBin(process.argv))
	.option('seeds', {type: 'number', default: 1, describe: 'how many seeds'})
	.option('first', {type: 'number', default: 1, describe: 'the first of them'})
	.option('hosts', {type: 'number', default: 4, describe: 'host processes'})
	.option('rate', {type: 'number', default: 200, describe: 'requests a second'})
	.option('silences', {type: 'number', default: 4, describe: 'how often an endpoint falls silent, a seed'})
	.option('hazard', {
		type: 'string', array: true, choices: hazards, default: hazards, describe: 'what comes with the silence; all if absent',
	})
	.option('program', {type: 'string', describe: 'path of the hosts\' program'})
	.strict()
	.parse();
let broken = 0;
for (let seed = first; seed < first + seeds; seed += 1) {
	const report = await playSilence({
		seed, hosts, perSecond: rate, silences, hazards: hazard, program,
	});
	broken += report.broken.length;
	const statuses = [...report.statuses].map(([status, count]) => `${status}: ${count}`).join(', ');
	process.stdout.write(`seed ${seed} (${hazard.join(', ')}; ${hosts} hosts): ${report.attempts} attempts (${statuses}); ${report.servedAfterRejection} of ${report.rejected} rejected ones served elsewhere; untrue ${report.untrue}, doubled ${report.doubled}, lost ${report.lost}; logs in ${report.folder}\n`);
	for (const text of report.broken) {
		process.stdout.write(`  ${text}\n`);
	}
}

// Without it, Node may spin for ever as it cleans up (Environment::CleanupHandles)
process.exit(broken === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit -- the last line of a command
