/** `npm run slopes`: what control costs a host, from real processes in growing numbers; docs/CAPACITY.md is worked out from its table. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {type SettingsDraft} from '@gatehead/schema/settings';
import {bundleStatus} from '@gatehead/schema/admin-protocol';
import {spawnHost, startDeployment, type Deployment} from '../demo/deployment.js';
import {waitUntilServing} from '../demo/readiness.js';
import {synthesizeBundle} from './fleet.js';
import {measureMessages} from './messages.js';
import {
	rateOf, readAdmin, takeSample, type Rate, type Sample,
} from './sample.js';

/** Time for a process to settle; idle is measured last, when the code that it runs has long been compiled. */
const settleMs = 10_000;
/** Idle is measured longer, so that one collection of garbage does not weigh too much. */
const idleWindows = 5;
const changePauseMs = 500;
const pollMs = 20;
const longestMs = 20_000;

type Row = {
	readonly hosts: number;
	readonly engines: number;
	readonly state: string;
	readonly rate: Rate;
	/** Milliseconds until a change was in force at every host, the slowest of the window. */
	readonly inForceMs: number;
};

async function sampleAll({hosts}: Deployment): Promise<Sample[]> {
	return Promise.all(hosts.map(async each => takeSample(each)));
}

async function measureWindow(deployment: Deployment, windowMs: number, during: () => Promise<number>): Promise<{readonly rate: Rate; readonly inForceMs: number}> {
	const before = await sampleAll(deployment);
	const end = performance.now() + windowMs;
	const inForceMs = await during();
	await pause(Math.max(0, end - performance.now()));
	return {rate: rateOf(before, await sampleAll(deployment)), inForceMs};
}

async function isInForce({adminAddress}: Deployment['hosts'][number], version: number): Promise<boolean> {
	return bundleStatus.parse(await readAdmin(adminAddress, '/v1/bundle')).version >= version;
}

/** Publishes a version and waits until it is in force everywhere. */
async function rollOnce(deployment: Deployment, version: number): Promise<number> {
	const start = performance.now();
	deployment.publish({...deployment.bundle, version, rules: {...deployment.bundle.rules, attempts: 3 + (version % 3)}});
	for (const host of deployment.hosts) {
		while (!await isInForce(host, version)) {
			if (performance.now() - start > longestMs) {
				return longestMs;
			}

			await pause(pollMs);
		}
	}

	return performance.now() - start;
}

/** Rolls versions as long as the window lasts. */
async function roll(deployment: Deployment, windowMs: number): Promise<number> {
	const end = performance.now() + windowMs;
	let slowest = 0;
	let {version} = deployment.bundle;
	while (performance.now() < end) {
		version += 1;
		slowest = Math.max(slowest, await rollOnce(deployment, version));
		await pause(changePauseMs);
	}

	return slowest;
}

/** Replaces the last host again and again. */
async function replace({hosts}: Deployment, windowMs: number): Promise<number> {
	const last = hosts.at(-1);
	if (last === undefined) {
		return 0;
	}

	const end = performance.now() + windowMs;
	while (performance.now() < end) {
		last.child.kill('SIGKILL');
		await pause(changePauseMs);
		last.child = spawnHost(last.settingsFile, last.logFile);
		await pause(changePauseMs * 4);
	}

	return 0;
}

type SizePlan = {
	readonly hosts: number;
	readonly enginesPerHost: number;
	readonly windowMs: number;
	readonly quick: boolean;
	readonly timing: SettingsDraft['timing'];
};

async function measureSize({hosts, enginesPerHost, windowMs, quick, timing}: SizePlan): Promise<Row[]> {
	const engines = Math.max(6, Math.round(hosts * enginesPerHost));
	const deployment = await startDeployment({
		example: synthesizeBundle({engines, models: Math.max(1, Math.min(11, Math.floor(engines / 6))), callers: 690}), hostCount: hosts, folder: join(mkdtempSync(join(tmpdir(), 'gatehead-slopes-')), String(hosts)), timing,
	});
	try {
		await waitUntilServing({...deployment, bundle: {...deployment.bundle, callers: deployment.bundle.callers.slice(0, 1)}});
		await pause(quick ? settleMs / 5 : settleMs);
		const rows: Row[] = [];
		const changes = await measureWindow(deployment, windowMs, async () => roll(deployment, windowMs));
		rows.push({
			hosts, engines, state: 'bundle changes', ...changes,
		});
		const others = {...deployment, hosts: deployment.hosts.slice(0, -1)};
		const members = await measureWindow(others, windowMs, async () => replace(deployment, windowMs));
		rows.push({
			hosts, engines, state: 'member changes', ...members,
		});
		await pause(quick ? settleMs / 5 : settleMs);
		const idle = await measureWindow(deployment, quick ? windowMs : windowMs * idleWindows, async () => 0);
		rows.push({
			hosts, engines, state: 'idle', ...idle,
		});
		return rows;
	} finally {
		await deployment.stop();
	}
}

function print({hosts, engines, state, rate, inForceMs}: Row): void {
	const cells = [hosts, engines, state, rate.cpuMs.toFixed(1), rate.mostCpuMs.toFixed(1), rate.residentMb.toFixed(0), rate.messages.toFixed(1), rate.bytes.toFixed(0), rate.reads.toFixed(2), inForceMs === 0 ? '' : inForceMs.toFixed(0)];
	process.stdout.write(`${cells.map(cell => String(cell).padStart(14)).join('')}\n`);
}

async function main(): Promise<void> {
	const {quick, messages, sizes, enginesPerHost, seconds, tickMs, reportMs} = await yargs(hideBin(process.argv))
		.option('quick', {type: 'boolean', default: false, describe: 'two small sizes, in under a minute'})
		.option('messages', {type: 'boolean', default: false, describe: 'only what one message between hosts costs'})
		.option('sizes', {type: 'string', default: '4,8,16,32,64', describe: 'numbers of hosts'})
		.option('engines-per-host', {type: 'number', default: 4.6, describe: 'replicas for each host'})
		.option('tick-ms', {type: 'number', default: 1000, describe: 'timing.tickMs of the hosts; suspicion after three'})
		.option('report-ms', {type: 'number', default: 1000, describe: 'timing.reportMs of the hosts'})
		.option('seconds', {type: 'number', default: 8, describe: 'length of each window'})
		.strict()
		.parse();
	if (messages) {
		await measureMessages();
		return;
	}

	const chosen = quick ? [4, 8] : sizes.split(',').map(Number);
	process.stdout.write(`${['hosts', 'engines', 'state', 'cpu ms/s', 'most cpu ms/s', 'memory MB', 'messages/s', 'bytes/s', 'reads/s', 'in force ms'].map(each => each.padStart(14)).join('')}\n`);
	for (const size of chosen) {
		for (const row of await measureSize({
			hosts: size, enginesPerHost, windowMs: (quick ? 4 : seconds) * 1000, quick, timing: {tickMs, suspectMs: tickMs * 3, reportMs},
		})) {
			print(row);
		}
	}
}

await main();
