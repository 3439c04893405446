/** Command line of `gatehead`, the router process of a host. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {maxStopMs} from '@gatehead/policy/relay/stop-schedule';
import {systemClock} from '@gatehead/policy/utils/clock';
import {systemRandom} from '@gatehead/policy/utils/random';
import {check} from '@gatehead/schema/check';
import {type Failure, toFailure} from '@gatehead/schema/failure';
import {settings, type Settings} from '@gatehead/schema/settings';
import {Host} from './host.js';
import {EventLoopMonitor} from './utils/event-loop-monitor.js';
import {createLog, type Log} from './utils/log.js';
import {ProcessEnd} from './utils/process-end.js';
import {createProcessLog} from './utils/process-log.js';
import {type ProcessSignals, type StopOutcome} from './utils/process-signals.js';
import {canBeWritten, readJsonFile, settingsWaitMs} from './utils/settings-file.js';
import {StartWait} from './utils/start-wait.js';

const version = '0.1.0';
const exitInvalid = 2;
const exitFailure = 1;

/** Maximum time in milliseconds for which a start waits for an address; a predecessor that stops holds it until lookup responses have expired and its requests have ended. */
const addressWaitMs = 60_000;

function readSettings(path: string): Settings {
	return check(settings, readJsonFile(path), 'settingsInvalid');
}

function exitCodeOf({code}: Failure): number {
	return code === 'settingsInvalid' || code === 'fileUnreadable' ? exitInvalid : exitFailure;
}

function printFailure({message}: Failure): void {
	process.stderr.write(`${message.replaceAll('; ', '\n  ')}\n`);
}

/** How a host has stopped, and the rest of its grace period in milliseconds. */
type ServeEnd = {
	readonly outcome: StopOutcome;
	readonly leftMs: number;
};

/** Runs a host until it has stopped. */
async function serve(path: string, signals: ProcessSignals, processLog: Log): Promise<ServeEnd> {
	const {stopping} = signals;
	const settingsWait = new StartWait({
		clock: systemClock, log: processLog, maxMs: settingsWaitMs, stopping,
	});
	const checked = await settingsWait.retry(path, () => readSettings(path), canBeWritten);
	const log = createLog(checked);
	const startWait = new StartWait({
		clock: systemClock, log, maxMs: addressWaitMs, stopping,
	});
	const host = new Host({
		settings: checked, clock: systemClock, random: systemRandom, wall: () => Date.now(), log, startWait,
	});
	const monitor = new EventLoopMonitor({clock: systemClock, log});
	monitor.start();
	const maxMs = maxStopMs(checked.timing.graceMs);
	const outcome = await signals.run({
		start: async () => host.start(),
		stop: async () => host.stop(),
		maxStopMs: maxMs,
	});
	return {outcome, leftMs: maxMs - signals.stoppingForMs};
}

/** Runs a host and ends the process. */
async function run(path: string, signals: ProcessSignals): Promise<never> {
	const processLog = createProcessLog(process.stderr);
	const end = new ProcessEnd(processLog, process.stderr);
	try {
		const {outcome, leftMs} = await serve(path, signals, processLog);
		return await end.exit(0, outcome === 'complete' ? 'signal' : 'overdue', signals.stopSignal, leftMs);
	} catch (error) {
		if (error !== signals.stopping.reason) {
			const failure = toFailure(error);
			printFailure(failure);
			return end.exit(exitCodeOf(failure), 'failure', failure.message);
		}
	}

	return end.exit(0, 'signal', signals.stopSignal);
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
	if (isCheckOnly) {
		process.stdout.write(`settings of ${readSettings(path).host} are valid\n`);
		return;
	}

	await run(path, signals);
}

/** Runs the command. If it fails, prints the error to standard error and ends the process, part of which may be listening. */
export async function runProcess(signals: ProcessSignals): Promise<void> {
	try {
		await main(signals);
	} catch (error) {
		const failure = toFailure(error);
		printFailure(failure);
		process.exit(exitCodeOf(failure)); // eslint-disable-line unicorn/no-process-exit -- the command's own process
	}
}
