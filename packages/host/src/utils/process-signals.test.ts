/** Guards against signals that end a process at once and cut its requests: a second one while it stops, or one that arrives before it has started. */
import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'earl';
import {ProcessSignals} from './process-signals.js';

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
