/** `npm run faults`: real `gatehead` processes killed, paused and stopped under load; the promises are counted at the stand-ins. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {seedRandom} from '@gatehead/policy/utils/random';
import {sendBurst} from '../demo/burst.js';
import {
	readExample, spawnHost, startDeployment, type Deployment, type HostProcess,
} from '../demo/deployment.js';
import {waitUntilServing} from '../demo/readiness.js';

const hostCount = 5;
const rate = 14;
const burstSeconds = 24;
const betweenMs = 3000;
const pausedMs = 4000;
const lookupTtlMs = 1500;

/** What happens to the processes, one after the other, while callers call. */
const strikes: ReadonlyArray<{readonly name: string; readonly strike: (hosts: readonly HostProcess[]) => Promise<void>}> = [
	{
		name: 'killed and started again', async strike(hosts) {
			await replace(hosts[0], 'SIGKILL');
		},
	},
	{
		name: 'paused for 4 s', async strike(hosts) {
			hosts[1]?.child.kill('SIGSTOP');
			await pause(pausedMs);
			hosts[1]?.child.kill('SIGCONT');
		},
	},
	{
		name: 'two killed at once and started again', async strike(hosts) {
			await Promise.all([replace(hosts[2], 'SIGKILL'), replace(hosts[3], 'SIGKILL')]);
		},
	},
	{
		name: 'stopped as planned', async strike(hosts) {
			hosts[4]?.child.kill('SIGTERM');
		},
	},
];

async function replace(host: HostProcess | undefined, signal: NodeJS.Signals): Promise<void> {
	if (host === undefined) {
		return;
	}

	host.child.kill(signal);
	await pause(1000);
	host.child = spawnHost(host.settingsFile, host.logFile);
}

async function strikeAll({hosts}: Deployment): Promise<void> {
	for (const {name, strike} of strikes) {
		await pause(betweenMs);
		process.stdout.write(`host ${name}\n`);
		await strike(hosts);
	}
}

async function main(): Promise<void> {
	const example = readExample('tour');
	const folder = mkdtempSync(join(tmpdir(), 'gatehead-faults-'));
	process.stdout.write(`settings and logs: ${folder}\n`);
	const deployment = await startDeployment({example: {...example, rules: {...example.rules, lookupTtlMs}}, hostCount, folder});
	try {
		await waitUntilServing(deployment);
		const [summary] = await Promise.all([sendBurst(deployment, {steps: [{rate, seconds: burstSeconds}], random: seedRandom(1), settleMs: 20_000}), strikeAll(deployment)]);
		const stopped = deployment.hosts[4]?.child;
		const isStopped = stopped?.exitCode === 0;
		const {accepted, whole, twice, crossed, untrue, held} = summary;
		process.stdout.write(`planned stop ended by itself: ${isStopped ? 'yes' : 'no'}\n`);
		process.stdout.write(`faults: ${whole} of ${accepted} answers whole, ${twice} twice, ${crossed} crossed, ${untrue} untrue refusals, ${held} pieces of engine memory held\n`);
		process.exitCode = twice + crossed + untrue + held === 0 && isStopped ? 0 : 1;
	} finally {
		await deployment.stop();
	}
}

await main();
