/** Guards against processes that end without a line that says why. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {pathToFileURL} from 'node:url';
import {expect} from 'earl';
import {
	hostMain, makeHostSettings, makeRelaySettings, relayMain, StartedProgram,
} from './started-program.js';
import {until} from './world.js';

const hangMs = 90_000;

const endCode = 5065;
/** Shorter than the time for which lookups list a host, in milliseconds. */
const hostGraceMs = 2000;
/** Grace period of the relay's settings, in milliseconds. */
const relayGraceMs = 8000;

function readLine(text: string): Record<string, unknown> {
	const line: unknown = JSON.parse(text);
	return typeof line === 'object' && line !== null ? {...line} : {};
}

/** Statements that run once a process has started, by the end that they bring. */
const faults: Readonly<Record<string, string>> = {
	uncaughtException: 'setTimeout(() => { throw new Error("broken"); })',
	unhandledRejection: 'Promise.reject(new Error("broken"))',
	unknown: 'process.exit(7)',
};

const programs: Readonly<Record<string, {readonly makeSettings: () => Promise<unknown>; readonly listArguments: (file: string) => string[]; readonly invalidCode: number; readonly graceMs: number}>> = {
	relay: {
		makeSettings: makeRelaySettings, listArguments: () => [relayMain], invalidCode: 1, graceMs: relayGraceMs,
	},
	host: {
		makeSettings: async () => ({...readLine(JSON.stringify(await makeHostSettings())), timing: {graceMs: hostGraceMs}}), listArguments: file => [hostMain, '--settings', file], invalidCode: 2, graceMs: hostGraceMs,
	},
};

/** Runs a statement in a process once it gets SIGUSR2. */
function makeFault(folder: string, statement: string): string[] {
	const file = join(folder, 'fault.mjs');
	writeFileSync(file, `process.on('SIGUSR2', () => { ${statement}; });\n`);
	return ['--import', pathToFileURL(file).href];
}

describe('the last line of a process', () => {
	for (const [name, {makeSettings, listArguments, invalidCode, graceMs}] of Object.entries(programs)) {
		/** Starts the program, does something to it, and returns its last line. */
		async function play(statement: string | undefined, settings: unknown, act: (started: StartedProgram) => Promise<void>): Promise<Record<string, unknown>> {
			const folder = mkdtempSync(join(tmpdir(), 'gatehead-ends-'));
			const settingsFile = join(folder, 'settings.json');
			writeFileSync(settingsFile, JSON.stringify(settings));
			const started = new StartedProgram([...statement === undefined ? [] : makeFault(folder, statement), ...listArguments(settingsFile)], settingsFile);
			try {
				await act(started);
				await started.ended();
				const lines = started.output.split('\n').filter(line => line.includes('"processEnded"'));
				expect(lines.length).toEqual(1);
				const line = readLine(lines[0] ?? '{}');
				expect({code: line.code, exitCode: line.exitCode}).toEqual({code: endCode, exitCode: started.child.exitCode});
				expect([Number(line.uptimeMs) > 0, Number(line.residentBytes) > 0]).toEqual([true, true]);
				return line;
			} finally {
				await started.kill();
				rmSync(folder, {recursive: true});
			}
		}

		const untilStarted = async (started: StartedProgram) => until(() => started.hasEnded || started.hasLogged('started'));

		it(`${name}: a stop has the signal`, {timeout: hangMs}, async () => {
			const {reason, detail, exitCode} = await play(undefined, await makeSettings(), async started => {
				await untilStarted(started);
				started.child.kill('SIGINT');
			});
			expect({reason, detail, exitCode}).toEqual({reason: 'signal', detail: 'SIGINT', exitCode: 0});
		});

		it(`${name}: a stop ends within the grace period`, {timeout: hangMs}, async () => {
			let tookMs = Number.POSITIVE_INFINITY;
			let hasStopped = false;
			const {reason, exitCode} = await play(undefined, await makeSettings(), async started => {
				await untilStarted(started);
				const startedAt = performance.now();
				started.child.kill('SIGTERM');
				await started.ended();
				tookMs = performance.now() - startedAt;
				hasStopped = started.hasLogged('stopped');
			});
			expect({
				reason, exitCode, hasStopped, isInTime: tookMs < graceMs,
			}).toEqual({
				reason: 'signal', exitCode: 0, hasStopped: true, isInTime: true,
			});
		});

		it(`${name}: a failed start has its failure`, {timeout: hangMs}, async () => {
			const {reason, detail, exitCode} = await play(undefined, {}, async () => undefined);
			expect({reason, exitCode}).toEqual({reason: 'failure', exitCode: invalidCode});
			expect(String(detail).startsWith('6001 settingsInvalid')).toEqual(true);
		});

		for (const [expected, statement] of Object.entries(faults)) {
			it(`${name}: ${expected}`, {timeout: hangMs}, async () => {
				const {reason, detail, exitCode} = await play(statement, await makeSettings(), async started => {
					await untilStarted(started);
					started.child.kill('SIGUSR2');
				});
				expect({reason, detail, exitCode}).toEqual(expected === 'unknown' ? {reason: expected, detail: '', exitCode: 7} : {reason: expected, detail: 'broken', exitCode: 1});
			});
		}
	}
});
