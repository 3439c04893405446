#!/usr/bin/env node
/** The `gateheadctl` command-line tool. Its commands only read from hosts; none changes live traffic. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {toFailure} from '@gatehead/schema/failure';
import {
	checkBundle, diffBundles, showBundle, signBundleFile, waitForVersion,
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

const fleetOption = {type: 'string', demandOption: true, describe: 'JSON file with the hosts to query; see docs/OPERATIONS.md'} as const;
const jsonOption = {type: 'boolean', default: false, describe: 'print JSON'} as const;

/** Runs a command and sets the exit code; a thrown failure is printed. */
async function run(command: () => number | Promise<number>): Promise<void> {
	try {
		process.exitCode = await command();
	} catch (error) {
		printFailure(toFailure(error));
		process.exitCode = exitCodes.invalid;
	}
}

// The reader of a pipe, such as `head`, may close it early
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

await yargs(hideBin(process.argv))
	.scriptName('gateheadctl')
	.command('bundle', 'check, sign, compare and track bundles', bundle => bundle
		.command('check <file>', 'validate a bundle, and with --public-key its signature', command => command
			.positional('file', {type: 'string', demandOption: true})
			.option('public-key', {type: 'string', describe: 'PEM file with the public key of the signer'}), async ({file, publicKey}) => run(() => checkBundle(file, publicKey)))
		.command('sign <file>', 'sign a bundle; publish the result under the key "bundle"', command => command
			.positional('file', {type: 'string', demandOption: true})
			.option('key', {type: 'string', demandOption: true, describe: 'PEM file with the private key'})
			.option('name', {type: 'string', default: 'operator', describe: 'name of the key in the hosts\' settings'})
			.option('out', {type: 'string', describe: 'output file; default standard output'}), async ({file, key, name, out}) => run(() => signBundleFile(file, key, name, out)))
		.command('diff <left> <right>', 'compare two signed or unsigned bundles', command => command
			.positional('left', {type: 'string', demandOption: true})
			.positional('right', {type: 'string', demandOption: true})
			.option('json', jsonOption), async ({left, right, json}) => run(() => diffBundles(left, right, json)))
		.command('show <file>', 'show a summary of a bundle', command => command
			.positional('file', {type: 'string', demandOption: true})
			.option('json', jsonOption), async ({file, json}) => run(() => showBundle(file, json)))
		.command('in-force <wanted>', 'wait until a version is in force at all hosts; list the hosts without it', command => command
			.positional('wanted', {type: 'number', demandOption: true, describe: 'version to wait for'})
			.option('fleet', fleetOption)
			.option('wait-ms', {type: 'number', default: defaultWaitMs})
			.option('json', jsonOption), async ({wanted, fleet, waitMs, json}) => run(async () => waitForVersion(readHosts(fleet), wanted, waitMs, json)))
		.demandCommand(1))
	.command(['status', 'relay-status'], 'status of all hosts, disagreements first', command => command
		.option('fleet', fleetOption)
		.option('json', jsonOption), async ({fleet, json}) => run(async () => {
		const file = readFleet(fleet);
		return hasRelay(file) ? showRelayStatus(file, json) : showStatus(file, json);
	}))
	.command('usage', 'usage by member and caller, for audits', command => command
		.option('fleet', fleetOption)
		.option('form', {choices: ['text', 'json', 'csv'] as const, default: 'text' as const}), async ({fleet, form}) => run(async () => showUsage(readHosts(fleet), form)))
	.command('timeline', 'collect the timeline of all hosts', command => command
		.option('fleet', fleetOption)
		.option('request', {type: 'string', describe: 'only requests whose id contains this text'})
		.option('caller', {type: 'string'})
		.option('endpoint', {type: 'string'})
		.option('kind', {type: 'string', describe: 'only this kind of event'})
		.option('since', {type: 'string', describe: 'only events after this timestamp or ISO time'})
		.option('form', {choices: ['text', 'json', 'html'] as const, default: 'text' as const})
		.option('follow', {type: 'boolean', default: false, describe: 'poll until interrupted (text and json)'}), async ({fleet, ...options}) => run(async () => collectTimeline(readHosts(fleet), options)))
	.command('trace <request> [files..]', 'log lines of a request, and the cause of its outcome', command => command
		.positional('request', {type: 'string', demandOption: true, describe: 'id of the request'})
		.positional('files', {
			type: 'string', array: true, default: ['-'], describe: 'log files; - for standard input',
		})
		.option('json', jsonOption), async ({request, files, json}) => run(() => traceRequest(request, files, json)))
	.command('logs [files..]', 'filter log lines', command => command
		.positional('files', {
			type: 'string', array: true, default: ['-'], describe: 'log files; - for standard input',
		})
		.option('code', {type: 'string', describe: 'number or name of a code'})
		.option('host', {type: 'string'})
		.option('endpoint', {type: 'string'})
		.option('workspace', {type: 'string', describe: 'service or caller'})
		.option('content', {type: 'string', describe: 'prefix of a content digest, as in runLost'})
		.option('json', jsonOption), async ({files, json, ...filter}) => run(() => filterLines(files, filter, json)))
	.command('losses [files..]', 'requests not served in time, by time, service and cause', command => command
		.positional('files', {
			type: 'string', array: true, default: ['-'], describe: 'log files; - for standard input',
		})
		.option('every', {type: 'number', default: 2, describe: 'interval of the counts, in seconds'})
		.option('json', jsonOption), async ({files, every, json}) => run(() => showLosses(files, every, json)))
	.command('explain <code>', 'explain a result code', command => command
		.positional('code', {type: 'string', demandOption: true})
		.option('json', jsonOption), async ({code, json}) => run(() => explainCode(code, json)))
	.command('settings <file>', 'validate the settings of a host', command => command
		.positional('file', {type: 'string', demandOption: true}), async ({file}) => run(() => {
		print(`settings of ${readSettings(file).host} are valid`);
		return exitCodes.ok;
	}))
	.command('keys <file>', 'generate a key pair: private key in FILE, public key in FILE.pub', command => command
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
