/** `npm run load`: real processes under seeded open-loop arrivals, with HDR histograms of what callers saw. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {seedRandom} from '@gatehead/policy/utils/random';
import {callAll, type BurstPlan} from '../demo/burst.js';
import {readExample, startDeployment} from '../demo/deployment.js';
import {waitUntilServing} from '../demo/readiness.js';
import {findFullRate} from '../measure/arrivals.js';
import {trafficKinds} from '../utils/traffic.js';
import {type Verdict} from '../utils/session.js';

const percentiles = [50, 95, 99] as const;

function describe(name: string, verdicts: readonly Verdict[]): string {
	const ttft = build({useWebAssembly: false});
	const token = build({useWebAssembly: false});
	const whole = verdicts.filter(each => each.kind === 'whole');
	for (const {ttftMs, tokenMs} of whole) {
		ttft.recordValue(Math.round(ttftMs));
		token.recordValue(Math.round(tokenMs));
	}

	const cells = [verdicts.length, whole.length, verdicts.filter(each => each.kind === 'refused').length, verdicts.filter(each => each.isGoodput).length, percentiles.map(each => ttft.getValueAtPercentile(each)).join('/'), percentiles.map(each => token.getValueAtPercentile(each)).join('/')];
	return `${name.padEnd(22)}${cells.map(cell => String(cell).padStart(16)).join('')}`;
}

/** Calls a second that bring the model requests among them to a multiple of the engines' capacity. */
function rateFor(name: string, fullRate: number, load: number): number {
	const kinds = trafficKinds[name] ?? [];
	const all = kinds.reduce((sum, {weight}) => sum + weight, 0);
	const models = kinds.filter(each => each.model !== undefined).reduce((sum, {weight}) => sum + weight, 0);
	return fullRate * load * all / Math.max(1, models);
}

async function main(): Promise<void> {
	const {deployment: name, load, seconds, seed, hosts} = await yargs(hideBin(process.argv))
		.option('deployment', {choices: ['tour', 'buoy'] as const, default: 'tour' as const})
		.option('load', {type: 'number', default: 1, describe: 'multiple of the engines\' capacity'})
		.option('seconds', {type: 'number', default: 20})
		.option('seed', {type: 'number', default: 1})
		.option('hosts', {type: 'number', default: 4, describe: 'gatehead processes'})
		.strict()
		.parse();
	const example = readExample(name);
	const deployment = await startDeployment({example, hostCount: hosts, folder: mkdtempSync(join(tmpdir(), 'gatehead-load-'))});
	try {
		await waitUntilServing(deployment);
		const plan: BurstPlan = {steps: [{rate: rateFor(name, findFullRate(example), load), seconds}], random: seedRandom(seed)};
		const verdicts = await callAll(deployment, plan);
		process.stdout.write(`${'kind'.padEnd(22)}${['offered', 'whole', 'refused', 'in time', 'TTFT ms', 'ms/token'].map(each => each.padStart(16)).join('')}\n`);
		for (const kind of trafficKinds[name] ?? []) {
			process.stdout.write(`${describe(kind.name, verdicts.filter(each => each.call.kind === kind))}\n`);
		}

		const models = verdicts.filter(each => each.call.expected !== undefined);
		const works = deployment.engines.map(each => each.prefill.work);
		const done = works.reduce((sum, {doneMs}) => sum + doneMs, 0);
		const used = works.reduce((sum, {usedMs}) => sum + usedMs, 0);
		process.stdout.write(`load ${load}: goodput ${(models.filter(each => each.isGoodput).length / seconds).toFixed(2)} requests/s of ${(models.length / seconds).toFixed(2)} offered, wasted prefill ${done === 0 ? '0.0' : (100 * (done - used) / done).toFixed(1)}%\n`);
	} finally {
		await deployment.stop();
	}
}

await main();
