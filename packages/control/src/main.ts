#!/usr/bin/env node
/** The `gateheadctl` binary, for operators. It reads; it has no verb that steers live traffic. Neither safety nor efficiency rests here. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {toFailure} from '@gatehead/schema/failure';
import {
	checkBundle, diffBundles, showBundle, signFile, waitInForce,
} from './commands/bundle.js';
import {explainCode} from './commands/explain.js';
import {showLosses} from './commands/losses.js';
import {showRelayStatus} from './commands/relay-status.js';
import {showStatus, showUsage} from './commands/status.js';
import {collectTimeline} from './commands/timeline.js';
import {filterLines, traceRequest} from './commands/trace.js';
import {readFleet, readSettings, writeKeyPair} from './utils/files.js';
import {hasRelay, readHosts} from './utils/fleet.js';
import {exitCodes, print, printFailure} from './utils/output.js';

const version = '0.1.0';
const defaultWaitMs = 30_000;

const fleetOption = {type: 'string', demandOption: true, describe: 'JSON file with the hosts to ask; see docs/OPERATIONS.md'} as const;
const jsonOption = {type: 'boolean', default: false, describe: 'print JSON'} as const;

/** Runs a command and turns its outcome into the exit code. */
async function run(command: () => number | Promise<number>): Promise<void> {
	try {
		process.exitCode = await command();
	} catch (error) {
		printFailure(toFailure(error));
		process.exitCode = exitCodes.invalid;
	}
}

// A reader such as `head` that has seen enough is no fault
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

await yargs(hideBin(process.argv))
	.scriptName('gateheadctl')
	.command('bundle', 'check, sign, compare and follow bundles', bundle => bundle
		.command('check <file>', 'check a bundle, and with --public-key its signature', command => command
			.positional('file', {type: 'string', demandOption: true})
			.option('public-key', {type: 'string', describe: 'PEM file of the signer'}), async ({file, publicKey}) => run(() => checkBundle(file, publicKey)))
		.command('sign <file>', 'sign off a bundle; publish the result under the key "bundle"', command => command
			.positional('file', {type: 'string', demandOption: true})
			.option('key', {type: 'string', demandOption: true, describe: 'PEM file of the private key'})
			.option('name', {type: 'string', default: 'operator', describe: 'name of the key in the hosts\' settings'})
			.option('out', {type: 'string', describe: 'file to write; standard output without it'}), async ({file, key, name, out}) => run(() => signFile(file, key, name, out)))
		.command('diff <left> <right>', 'compare two bundles, signed or not', command => command
			.positional('left', {type: 'string', demandOption: true})
			.positional('right', {type: 'string', demandOption: true})
			.option('json', jsonOption), async ({left, right, json}) => run(() => diffBundles(left, right, json)))
		.command('show <file>', 'show a bundle in short', command => command
			.positional('file', {type: 'string', demandOption: true})
			.option('json', jsonOption), async ({file, json}) => run(() => showBundle(file, json)))
		.command('in-force <wanted>', 'wait until a version is in force everywhere; name who lacks it', command => command
			.positional('wanted', {type: 'number', demandOption: true, describe: 'version that must be in force'})
			.option('fleet', fleetOption)
			.option('wait-ms', {type: 'number', default: defaultWaitMs})
			.option('json', jsonOption), async ({wanted, fleet, waitMs, json}) => run(async () => waitInForce(readHosts(fleet), wanted, waitMs, json)))
		.demandCommand(1))
	.command('status', 'all hosts side by side, disagreements first', command => command
		.option('fleet', fleetOption)
		.option('json', jsonOption), async ({fleet, json}) => run(async () => {
		const file = readFleet(fleet);
		return hasRelay(file) ? showRelayStatus(file, json) : showStatus(file, json);
	}))
	.command('usage', 'use by member and caller, for audit', command => command
		.option('fleet', fleetOption)
		.option('form', {choices: ['text', 'json', 'csv'] as const, default: 'text' as const}), async ({fleet, form}) => run(async () => showUsage(readHosts(fleet), form)))
	.command('timeline', 'collect the time line of all hosts', command => command
		.option('fleet', fleetOption)
		.option('request', {type: 'string', describe: 'only this request (a part of its id)'})
		.option('caller', {type: 'string'})
		.option('endpoint', {type: 'string'})
		.option('kind', {type: 'string', describe: 'only this kind of event'})
		.option('since', {type: 'string', describe: 'only events after this stamp or ISO time'})
		.option('form', {choices: ['text', 'json', 'html'] as const, default: 'text' as const})
		.option('follow', {type: 'boolean', default: false, describe: 'go on until interrupted (text and json)'}), async ({fleet, ...wish}) => run(async () => collectTimeline(readHosts(fleet), wish)))
	.command('trace <request> [files..]', 'one request\'s life in the hosts\' logs, and why it ended so', command => command
		.positional('request', {type: 'string', demandOption: true, describe: 'the request\'s id'})
		.positional('files', {
			type: 'string', array: true, default: ['-'], describe: 'log files; - for standard input',
		})
		.option('json', jsonOption), async ({request, files, json}) => run(() => traceRequest(request, files, json)))
	.command('logs [files..]', 'log lines by what they concern', command => command
		.positional('files', {
			type: 'string', array: true, default: ['-'], describe: 'log files; - for standard input',
		})
		.option('code', {type: 'string', describe: 'number or name of a code'})
		.option('host', {type: 'string'})
		.option('endpoint', {type: 'string'})
		.option('workspace', {type: 'string', describe: 'service or caller'})
		.option('content', {type: 'string', describe: 'beginning of a content\'s name, as in runLost'})
		.option('json', jsonOption), async ({files, json, ...wish}) => run(() => filterLines(files, wish, json)))
	.command('losses [files..]', 'requests not served in time, by moment, service and cause', command => command
		.positional('files', {
			type: 'string', array: true, default: ['-'], describe: 'log files; - for standard input',
		})
		.option('every', {type: 'number', default: 2, describe: 'seconds counted together'})
		.option('json', jsonOption), async ({files, every, json}) => run(() => showLosses(files, every, json)))
	.command('explain <code>', 'explain a result code', command => command
		.positional('code', {type: 'string', demandOption: true})
		.option('json', jsonOption), async ({code, json}) => run(() => explainCode(code, json)))
	.command('settings <file>', 'check settings of a host', command => command
		.positional('file', {type: 'string', demandOption: true}), async ({file}) => run(() => {
		print(`settings of ${readSettings(file).host} are valid`);
		return exitCodes.ok;
	}))
	.command('keys <file>', 'make a key pair: FILE for the signer alone, FILE.pub for the hosts', command => command
		.positional('file', {type: 'string', demandOption: true}), async ({file}) => run(() => {
		writeKeyPair(file);
		print(`private key in ${file}, public key in ${file}.pub`);
		return exitCodes.ok;
	}))
	.completion()
	.demandCommand(1)
	.strict()
	.version(version)
	.help()
	.parseAsync();
