/** `npm run demo`: both deployments on loopback under a mixed burst, with every answer checked. */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {seedRandom} from '@gatehead/policy/utils/random';
import {sendBurst, type BurstSummary} from './burst.js';
import {
	adminToken, readExample, startDeployment, writeFleet, type Deployment,
} from './deployment.js';
import {showPlatform} from './platform-demo.js';
import {waitUntilServing} from './readiness.js';

const hostsPerDeployment = 4;
const mostPageBytes = 64_000_000;
const control = fileURLToPath(new URL('../../../control/dist/main.js', import.meta.url));
const steps = [{rate: 12, seconds: 4}, {rate: 45, seconds: 8}, {rate: 12, seconds: 3}];

function percent(part: number, whole: number): string {
	return whole === 0 ? '0.0' : (100 * part / whole).toFixed(1);
}

function printSummary({deployment, kinds, held}: BurstSummary): void {
	process.stdout.write(`\n${deployment}\n${'kind'.padEnd(20)}${['offered', 'whole', 'refused', 'in time', 'TTFT p95 ms'].map(each => each.padStart(13)).join('')}\n`);
	for (const {kind, offered, whole, refused, goodput, ttftP95Ms} of kinds) {
		const cells = [offered, whole, refused, goodput, Math.round(ttftP95Ms)].map(each => String(each).padStart(13));
		process.stdout.write(`${kind.padEnd(20)}${cells.join('')}\n`);
	}

	process.stdout.write(`engine memory still held at the end: ${held}\n`);
}

function sum(summaries: readonly BurstSummary[], field: 'accepted' | 'whole' | 'twice' | 'crossed' | 'untrue' | 'held' | 'modelOffered' | 'modelGoodput' | 'prefillDoneMs' | 'prefillUsedMs'): number {
	return summaries.reduce((total, each) => total + each[field], 0);
}

function printVerdict(summaries: readonly BurstSummary[]): boolean {
	const accepted = sum(summaries, 'accepted');
	const whole = sum(summaries, 'whole');
	const twice = sum(summaries, 'twice');
	const crossed = sum(summaries, 'crossed');
	const untrue = sum(summaries, 'untrue');
	const done = sum(summaries, 'prefillDoneMs');
	const goodput = percent(sum(summaries, 'modelGoodput'), sum(summaries, 'modelOffered'));
	const wasted = percent(done - sum(summaries, 'prefillUsedMs'), done);
	process.stdout.write(`\ntold "not run" and run all the same: ${untrue}\n`);
	process.stdout.write(`demo: ${whole} of ${accepted} answers whole, ${twice} twice, ${crossed} crossed, goodput ${goodput}%, wasted prefill ${wasted}%\n`);
	return whole === accepted && twice + crossed + untrue + sum(summaries, 'held') === 0;
}

function printCommands(deployments: readonly Deployment[]): void {
	for (const {name, hosts, bundle} of deployments) {
		const host = hosts[0];
		const caller = bundle.callers[0]?.name ?? '';
		const model = bundle.models[0]?.name ?? '';
		process.stdout.write(`\n# ${name}\ncurl -s -H 'Authorization: Bearer demo-${caller}' http://${host?.callerAddress}/v1/hosts\n`);
		process.stdout.write(`curl -sN -H 'Authorization: Bearer demo-${caller}' -d '{"model":"${model}","prompt":"Which bodegas are near?","max_tokens":30,"stream":true}' http://${host?.callerAddress}/v1/completions\n`);
		process.stdout.write(`curl -s -H 'Authorization: Bearer ${adminToken}' http://${host?.adminAddress}/v1/status\n`);
	}

	process.stdout.write('\nCtrl-C ends everything.\n');
}

/** Collects the time line of a deployment into a page, as an operator would. */
function writeTimeline({name, hosts}: Deployment, folder: string): void {
	const fleet = join(folder, `${name}-fleet.json`);
	const page = join(folder, `${name}-timeline.html`);
	writeFleet(hosts, fleet);
	const {stdout} = spawnSync(process.execPath, [control, 'timeline', '--fleet', fleet, '--form', 'html'], {
		encoding: 'utf8', env: {...process.env, GATEHEAD_TOKEN: adminToken}, maxBuffer: mostPageBytes,
	});
	writeFileSync(page, stdout);
	process.stdout.write(`time line: ${page}\n`);
}

async function stayUntilInterrupted(deployments: readonly Deployment[]): Promise<void> {
	printCommands(deployments);
	await new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

async function main(): Promise<void> {
	const {stay, seed, platform} = await yargs(hideBin(process.argv))
		.option('stay', {type: 'boolean', default: false, describe: 'stay up and print commands to try'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of the burst'})
		.option('platform', {type: 'boolean', default: false, describe: 'show the relay on the platform\'s stand-ins instead'})
		.strict()
		.parse();
	if (platform) {
		process.exitCode = await showPlatform(seed) ? 0 : 1;
		return;
	}

	const folder = mkdtempSync(join(tmpdir(), 'gatehead-demo-'));
	process.stdout.write(`settings and logs: ${folder}\n`);
	const deployments: Deployment[] = [];
	try {
		for (const name of ['tour', 'buoy']) {
			deployments.push(await startDeployment({example: readExample(name), hostCount: hostsPerDeployment, folder: join(folder, name)}));
		}

		await Promise.all(deployments.map(async each => waitUntilServing(each)));
		if (stay) {
			for (const each of deployments) {
				writeFleet(each.hosts, join(folder, `${each.name}-fleet.json`));
			}

			await stayUntilInterrupted(deployments);
			return;
		}

		const summaries = await Promise.all(deployments.map(async (each, index) => sendBurst(each, {steps, random: seedRandom(seed + index)})));
		for (const summary of summaries) {
			printSummary(summary);
		}

		for (const deployment of deployments) {
			writeTimeline(deployment, folder);
		}

		process.exitCode = printVerdict(summaries) ? 0 : 1;
	} finally {
		await Promise.all(deployments.map(async each => each.stop()));
	}
}

await main();
