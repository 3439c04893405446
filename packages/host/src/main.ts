#!/usr/bin/env node
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
import {onStopSignal} from './utils/stop-signals.js';
import {Host} from './host.js';
import {createLog} from './utils/log.js';

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

async function run(checked: Settings): Promise<void> {
	const host = new Host({
		settings: checked, clock: systemClock, random: systemRandom, wall: () => Date.now(), log: createLog(checked),
	});
	const stop = async () => {
		await host.stop();
		process.exit(0);
	};

	onStopSignal(process, () => {
		void stop();
	});

	await host.start();
}

async function main(): Promise<void> {
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

	await run(checked);
}

try {
	await main();
} catch (error) {
	const failure = toFailure(error);
	process.stderr.write(`${failure.message.replaceAll('; ', '\n  ')}\n`);
	process.exitCode = failure.code === 'settingsInvalid' || failure.code === 'fileUnreadable' ? exitInvalid : exitFailure;
}
