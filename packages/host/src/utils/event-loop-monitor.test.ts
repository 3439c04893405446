/** Guards against standstills of a process that leave no line and no figure. */
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {EventLoopMonitor} from './event-loop-monitor.js';
import {type LogFields} from './log.js';

type Case = {
	readonly name: string;
	/** Standstills with one second between them, in milliseconds, and the processor time that each takes. */
	readonly standstills: ReadonlyArray<{readonly lastsMs: number; readonly processorMs: number}>;
	readonly lines: readonly LogFields[];
	readonly longestDelayMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'none', standstills: [], lines: [], longestDelayMs: 0,
	},
	{
		name: 'a short one', standstills: [{lastsMs: 200, processorMs: 200}], lines: [], longestDelayMs: 200,
	},
	{
		name: 'a busy process', standstills: [{lastsMs: 900, processorMs: 880}], lines: [{delayMs: 900, processorMs: 880}], longestDelayMs: 900,
	},
	{
		name: 'a process that is held', standstills: [{lastsMs: 900, processorMs: 1}, {lastsMs: 300, processorMs: 0}], lines: [{delayMs: 900, processorMs: 1}, {delayMs: 300, processorMs: 0}], longestDelayMs: 900,
	},
];

const secondMs = 1000;
const minuteMs = 60_000;

describe('event loop monitor', () => {
	for (const {name, standstills, lines, longestDelayMs} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const logged: LogFields[] = [];
			const reported: number[] = [];
			let processorMs = 0;
			const monitor = new EventLoopMonitor({
				clock, log(_code, fields = {}) {
					logged.push(fields);
				}, onMeasured(longest) {
					reported.push(longest);
				}, readProcessorMs: () => processorMs,
			});
			monitor.start();
			clock.advance(secondMs);
			for (const standstill of standstills) {
				processorMs += standstill.processorMs;
				// Behind the timer that is due at the end of each second
				clock.freeze(standstill.lastsMs + 100);
				clock.advance(secondMs);
			}

			expect(logged).toEqual([...lines]);
			expect(reported.at(-1)).toEqual(longestDelayMs);
			clock.advance(2 * minuteMs);
			expect(reported.at(-1)).toEqual(0);
			monitor.stop();
			expect(clock.nextAt()).toEqual(undefined);
		});
	}
});
