/** Command line of `gatehead`, the router process of a host. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {systemClock} from '@gatehead/policy/utils/clock';
import {systemRandom} from '@gatehead/policy/utils/random';
import {checkJson} from '@gatehead/schema/check';
import {fail, toFailure} from '@gatehead/schema/failure';
import {settings, type Settings} from '@gatehead/schema/settings';
import {Host} from './host.js';
import {createLog} from './utils/log.js';
import {type ProcessSignals} from './utils/process-signals.js';

const version = '0.1.0';
const exitInvalid = 2;
const exitFailure = 1;

function readSettings(path: string): Settings {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (error) {
		fail('fileUnreadable', {detail: path, cause: error});
	}

	return checkJson(settings, text, 'settingsInvalid');
}

async function run(checked: Settings, signals: ProcessSignals): Promise<void> {
	const host = new Host({
		settings: checked, clock: systemClock, random: systemRandom, wall: () => Date.now(), log: createLog(checked),
	});
	await signals.run({
		start: async () => host.start(),
		stop: async () => host.stop(),
	});
	process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the command's own process
}

async function main(signals: ProcessSignals): Promise<void> {
	const {settings: path, check: isCheckOnly} = await yargs(hideBin(process.argv))
		.scriptName('gatehead')
		.usage('$0 --settings FILE\n\nRoutes model requests to prefill and decode pools. One process runs on each entry host.')
		.option('settings', {type: 'string', demandOption: true, describe: 'settings in JSON; docs/CONFIGURATION.md lists them'})
		.option('check', {type: 'boolean', default: false, describe: 'check the settings and exit'})
		.strict()
		.version(version)
		.help()
		.parse();
	const checked = readSettings(path);
	if (isCheckOnly) {
		process.stdout.write(`settings of ${checked.host} are valid\n`);
		return;
	}

	await run(checked, signals);
}

/** Runs the command. If it fails, prints the error to standard error and ends the process, part of which may be listening. */
export async function runProcess(signals: ProcessSignals): Promise<void> {
	try {
		await main(signals);
	} catch (error) {
		const failure = toFailure(error);
		process.stderr.write(`${failure.message.replaceAll('; ', '\n  ')}\n`);
		process.exit(failure.code === 'settingsInvalid' || failure.code === 'fileUnreadable' ? exitInvalid : exitFailure); // eslint-disable-line unicorn/no-process-exit -- the command's own process
	}
}
