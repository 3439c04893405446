/** Guards against signals that end a process at once and cut its requests: a second one while it stops, or one that arrives before it has started. */
import {EventEmitter} from 'node:events';
import process from 'node:process';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn, setTimeout as pause} from 'node:timers/promises';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {ProcessSignals, type StopOutcome} from './process-signals.js';

/** A process that never stops must not hold up the whole run, in milliseconds. */
const hangMs = 10_000;

type Case = {
	readonly name: string;
	/** Signals that arrive before, during and after the start. */
	readonly before?: readonly string[];
	readonly during?: readonly string[];
	readonly after?: readonly string[];
	/** What the process does, in order. */
	readonly steps: readonly string[];
	readonly isEnded: boolean;
};

const cases: readonly Case[] = [
	{name: 'no signal', steps: ['start'], isEnded: false},
	{
		name: 'one stop signal', after: ['SIGTERM'], steps: ['start', 'stop'], isEnded: true,
	},
	{
		name: 'two of the same', after: ['SIGTERM', 'SIGTERM'], steps: ['start', 'stop'], isEnded: true,
	},
	{
		name: 'two different ones', after: ['SIGTERM', 'SIGINT', 'SIGINT'], steps: ['start', 'stop'], isEnded: true,
	},
	{
		name: 'a stop signal before the start', before: ['SIGTERM'], steps: [], isEnded: true,
	},
	{
		name: 'a reload and a stop before the start', before: ['SIGHUP', 'SIGINT'], steps: [], isEnded: true,
	},
	{
		name: 'a stop signal during the start', during: ['SIGTERM'], steps: ['start', 'stop'], isEnded: true,
	},
	{
		name: 'a reload and a stop during the start', during: ['SIGHUP', 'SIGTERM'], steps: ['start', 'stop'], isEnded: true,
	},
	{
		name: 'a reload before the start', before: ['SIGHUP'], steps: ['start', 'reload'], isEnded: false,
	},
	{
		name: 'reloads before and during the start', before: ['SIGHUP', 'SIGHUP'], during: ['SIGHUP'], steps: ['start', 'reload'], isEnded: false,
	},
	{
		name: 'reloads before, during and after the start', before: ['SIGHUP'], during: ['SIGHUP'], after: ['SIGHUP', 'SIGHUP'], steps: ['start', 'reload', 'reload', 'reload'], isEnded: false,
	},
	{
		name: 'a stop and a reload after the start', after: ['SIGTERM', 'SIGHUP'], steps: ['start', 'stop'], isEnded: true,
	},
];

async function until(isSo: () => boolean): Promise<void> {
	do {
		await nextTurn();
	} while (!isSo());
}

/** Time that a stop may take in these cases, in milliseconds. */
const maxStopMs = 50;

type Stall = {
	readonly name: string;
	readonly start: () => Promise<void>;
	readonly stop: () => Promise<void>;
	readonly outcome: StopOutcome;
};

async function stall(): Promise<void> {
	await new Promise(ignore);
}

async function standStill(): Promise<void> {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, 2 * maxStopMs);
	await nextTurn();
}

const nothing = async () => undefined;
const stalls: readonly Stall[] = [
	{
		name: 'a stop that ends', start: nothing, stop: nothing, outcome: 'complete',
	},
	{
		name: 'a stop that ends right after a standstill', start: nothing, stop: standStill, outcome: 'complete',
	},
	{
		name: 'a step of the stop that does not end', start: nothing, stop: stall, outcome: 'overdue',
	},
	{
		name: 'a start that does not end', start: stall, stop: nothing, outcome: 'overdue',
	},
];

describe('a process ends in time', () => {
	for (const {name, start, stop, outcome} of stalls) {
		it(`${name}: ${outcome}`, {timeout: hangMs}, async () => {
			const source = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the process is one
			const signals = new ProcessSignals(source);
			const running = signals.run({start, stop, maxStopMs});
			await nextTurn();
			await nextTurn();
			await nextTurn();
			source.emit('SIGTERM');
			expect(await running).toEqual(outcome);
		});
	}
});

const busyMs = 300;

/** What delays the begin of a stop by `busyMs`. */
const delays: ReadonlyArray<{readonly name: string; readonly start: () => Promise<void>; readonly act: () => void}> = [
	{
		name: 'a start that is not complete', async start() {
			await pause(busyMs);
		}, act: ignore,
	},
	{
		name: 'a standstill in which the signal arrives', start: nothing, act() {
			Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, busyMs);
		},
	},
];

// The stop planned its steps for a whole grace period, and SIGKILL ended the process
describe('a stop knows how much of its time has passed', () => {
	for (const {name, start, act} of delays) {
		it(`before it began, behind ${name}`, {timeout: hangMs}, async () => {
			const source = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the process is one
			process.once('SIGTERM', () => {
				source.emit('SIGTERM');
			});
			const signals = new ProcessSignals(source);
			// A server keeps its process alive
			const alive = setInterval(ignore, hangMs);
			let elapsedMs = 0;
			const running = signals.run({
				start, async stop({sinceSentMs}) {
					elapsedMs = sinceSentMs;
				},
			});
			// The loop has turned, as it has in a process that serves
			await pause(busyMs / 3);
			process.kill(process.pid, 'SIGTERM');
			act();
			await running;
			clearInterval(alive);
			expect(elapsedMs).toBeGreaterThanOrEqual(busyMs / 2);
		});
	}
});

describe('signals of a process', () => {
	for (const {name, before = [], during = [], after = [], steps, isEnded} of cases) {
		it(`${name}: ${steps.join(', ') || 'nothing'}, and every signal is handled`, {timeout: hangMs}, async () => {
			const source = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the process is one
			const signals = new ProcessSignals(source);
			const seen: string[] = [];
			const areHandled: boolean[] = [];
			const send = (sent: readonly string[]) => {
				areHandled.push(...sent.map(signal => source.emit(signal)));
			};

			let hasStarted = false;
			let hasEnded = false;
			const run = async () => {
				await signals.run({
					async start() {
						seen.push('start');
						send(during);
						await nextTurn();
						hasStarted = true;
					},
					reload() {
						seen.push('reload');
					},
					async stop() {
						seen.push('stop');
					},
				});
				hasEnded = true;
			};

			send(before);
			const running = run();
			if (after.length > 0) {
				await until(() => hasStarted);
			}

			send(after);
			await (isEnded ? running : until(() => seen.length >= steps.length));
			expect({seen, hasEnded, areHandled}).toEqual({seen: [...steps], hasEnded: isEnded, areHandled: [...before, ...during, ...after].map(() => true)});
		});
	}
});
