/** Guards against planned stops that a standstill of the process takes beyond the grace period: SIGKILL then cuts responses that endpoints have delivered, and the last lines are missing. */
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {seedRandom} from '@gatehead/policy/utils/random';
import {expect} from 'earl';
import {buildProgram, readNodeOptions, type BuiltProgram} from '../wire/memory-bed.js';
import {
	configure, endBed, makeBed, waitUntilServing, type Bed,
} from './bed.js';
import {type Standstill} from './host-exit.js';
import {stopAsPlanned} from './planned-stop.js';
import {findLost, graceMs, sendUntilGone} from './stop-traffic.js';
import {varyRuns} from './varied-runs.js';

const seed = 1;
const memoryMb = 350;
const perSecond = 16;
const warmUpMs = 4000;
/** The longest ones outlast a stop, so that each stop waits for them to its end. */
const slowRuns = {share: 0.25, mostMs: 8900};
/** Hosts that stay. */
const staying = 2;

type Case = {
	readonly name: string;
	/** Hosts that stop at once, each with its standstill. */
	readonly standstills: ReadonlyArray<Standstill | undefined>;
};

const second = 1000;
const cases: readonly Case[] = [
	{name: 'none', standstills: [undefined, undefined]},
	{name: 'one second in its first part', standstills: [0, 1500, 3000, 4500].map(atMs => ({atMs, lastsMs: second}))},
	{name: 'one second in its last part', standstills: [5500, 6000, 6400, 6600, 6800, 7000, 7200].map(atMs => ({atMs, lastsMs: second}))},
	{name: 'half a second near its end', standstills: [6200, 6600, 7000, 7400].map(atMs => ({atMs, lastsMs: second / 2}))},
];

/** Stops hosts beside callers of theirs; returns what is wrong. */
async function play(bed: Bed, standstills: Case['standstills'], report: (text: string) => void): Promise<string[]> {
	const stopping = bed.hosts.slice(staying);
	const gone = new Set<string>();
	const sending = stopping.map(async (host, index) => sendUntilGone({
		address: host.caller, perSecond, isGone: () => gone.has(host.name), random: seedRandom(seed + index), prefix: `${host.name}-`,
	}));
	// Durations that the hosts judge later requests by
	await pause(warmUpMs);
	const ends = await Promise.all(stopping.map(async (host, index) => {
		const end = await stopAsPlanned(host, standstills[index]);
		gone.add(host.name);
		return end;
	}));
	const wrong: string[] = [];
	for (const [index, end] of ends.entries()) {
		const {tookMs, exitCode, missing, stoppedAt} = end;
		const lost = findLost(await sending[index] ?? [], bed.log, stoppedAt);
		const name = `standstill at ${standstills[index]?.atMs ?? 'none'}`;
		report(`${name}: ended after ${Math.round(tookMs)} ms`);
		wrong.push(
			...exitCode === 0 && tookMs < graceMs ? [] : [`${name}: ended after ${Math.round(tookMs)} ms with ${exitCode ?? 'SIGKILL'}`],
			...missing.map(line => `${name}: no line ${line}`),
			...lost.map(({id, path, status, sentAt, endedAt}) => `${name}: ${id} ${path}, sent after ${Math.round(sentAt - stoppedAt)} ms, ended after ${Math.round(endedAt - stoppedAt)} ms, status ${status}`),
		);
	}

	return wrong;
}

describe('a planned stop ends by itself in time, with its lines and all responses that were delivered, while its process stands still', () => {
	const built: BuiltProgram[] = [];
	before(() => {
		built.push(buildProgram());
	});
	after(() => {
		for (const {remove} of built) {
			remove();
		}
	});
	for (const {name, standstills} of cases) {
		it(name, {timeout: 120_000}, async context => {
			const bed = await makeBed(seed, staying + standstills.length, {run: {program: built[0]?.program ?? '', memoryMb, nodeOptions: readNodeOptions(memoryMb)}});
			const stopVarying = varyRuns(bed, slowRuns);
			try {
				bed.draft = {routeTimes: {timeoutMs: 9000, targetLatencyMs: 6000}};
				bed.version += 1;
				configure(bed);
				await waitUntilServing(bed);
				expect(await play(bed, standstills, text => {
					context.diagnostic(text);
				})).toEqual([]);
			} finally {
				stopVarying();
				await endBed(bed);
			}
		});
	}
});
