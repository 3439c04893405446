/** Guards against a system clock that misses a suspend, follows a step of the wall clock, or decreases. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {makeSystemClock, systemClock, type ClockSources} from './clock.js';

/** Clocks that the test controls. */
class FakeSystem implements ClockSources {
	monotonicMs = 1000;
	wallMs = 1_780_000_000_000;
	uptimeMs = 50_000;
	isUptimeReadable = true;
	/** Rate of the uptime relative to real time. */
	uptimeRate = 1;
	/** Rate of the wall clock relative to real time. */
	wallRate = 1;

	monotonic(): number {
		return this.monotonicMs;
	}

	wall(): number {
		return Math.floor(this.wallMs);
	}

	uptime(): number {
		if (!this.isUptimeReadable) {
			throw new Error('no such file');
		}

		// The system reports hundredths of a second
		return Math.floor(this.uptimeMs / 10) * 10;
	}

	run(milliseconds: number): void {
		this.monotonicMs += milliseconds;
		this.wallMs += milliseconds * this.wallRate;
		this.uptimeMs += milliseconds * this.uptimeRate;
	}

	suspend(milliseconds: number): void {
		this.wallMs += milliseconds;
		this.uptimeMs += milliseconds * this.uptimeRate;
	}

	step(milliseconds: number): void {
		this.wallMs += milliseconds;
	}
}

type Case = {
	readonly name: string;
	readonly prepare?: (system: FakeSystem) => void;
	readonly act: (system: FakeSystem) => void;
	/** Expected lead over the monotonic clock, in milliseconds. */
	readonly aheadMs: number;
};

const unreadable = (system: FakeSystem) => {
	system.isUptimeReadable = false;
};

const halfRate = (system: FakeSystem) => {
	system.uptimeRate = 0.5;
};

const cases: readonly Case[] = [
	{
		name: 'no event', act(system) {
			system.run(10_000);
		}, aheadMs: 0,
	},
	{
		name: 'a suspend', act(system) {
			system.suspend(4000);
		}, aheadMs: 4000,
	},
	{
		name: 'two suspends', act(system) {
			system.suspend(4000);
			system.run(700);
			system.suspend(300);
		}, aheadMs: 4300,
	},
	{
		name: 'a forward step of the wall clock', act(system) {
			system.step(2400);
		}, aheadMs: 0,
	},
	{
		name: 'a backward step of the wall clock', act(system) {
			system.step(-2400);
		}, aheadMs: 0,
	},
	{
		name: 'a backward step shorter than the suspend before it', act(system) {
			system.suspend(4000);
			system.step(-3000);
		}, aheadMs: 4000,
	},
	{
		name: 'a backward step longer than the suspend before it', act(system) {
			system.suspend(1000);
			system.step(-3000);
		}, aheadMs: 1000,
	},
	{
		name: 'a slewed wall clock', prepare(system) {
			system.wallRate = 1.0005;
		}, act(system) {
			for (let count = 0; count < 1000; count += 1) {
				system.run(100);
			}
		}, aheadMs: 0,
	},
	{
		name: 'a suspend with unreadable uptime', prepare: unreadable, act(system) {
			system.suspend(4000);
		}, aheadMs: 4000,
	},
	{
		name: 'a backward step with unreadable uptime', prepare: unreadable, act(system) {
			system.step(-4000);
		}, aheadMs: 0,
	},
	{
		name: 'a suspend with unreliable uptime', prepare: halfRate, act(system) {
			system.suspend(4000);
		}, aheadMs: 4000,
	},
	{
		name: 'no event with unreliable uptime', prepare: halfRate, act(system) {
			system.run(10_000);
		}, aheadMs: 0,
	},
];

const toleranceMs = 20;

describe('system clock', () => {
	for (const {name, prepare, act, aheadMs} of cases) {
		it(`${name}: ${aheadMs} ms ahead of the monotonic clock, never decreasing`, () => {
			const system = new FakeSystem();
			prepare?.(system);
			const clock = makeSystemClock(system);
			let last = clock.now();
			const check = () => {
				const now = clock.now();
				expect(now).toBeGreaterThanOrEqual(last);
				last = now;
			};

			for (let count = 0; count < 20; count += 1) {
				system.run(100);
				check();
			}

			act(system);
			check();
			system.run(1000);
			check();
			expect(Math.abs(last - system.monotonicMs - aheadMs)).toBeLessThan(toleranceMs);
		});
	}
});

const longestTimerMs = (2 ** 31) - 1;
/** Time after which a timer that does not fit has run, in milliseconds. */
const nodeOverflowMs = 20;

describe('timers', () => {
	// Guards against requests that time out at once: Node runs a timer with a longer delay after a millisecond
	for (const delayMs of [longestTimerMs + 1, 2 ** 32, Number.MAX_VALUE, Number.POSITIVE_INFINITY]) {
		it(`${delayMs} ms: does not run at once`, async () => {
			let runs = 0;
			const timer = systemClock.after(delayMs, () => {
				runs += 1;
			});
			await pause(nodeOverflowMs);
			timer.stop();
			expect(runs).toEqual(0);
		});
	}

	for (const delayMs of [0, 1, longestTimerMs, longestTimerMs + 1, 10 * longestTimerMs]) {
		it(`${delayMs} ms: runs then, and not before`, ({mock: {timers}}) => {
			timers.enable({apis: ['setTimeout']});
			let runs = 0;
			systemClock.after(delayMs, () => {
				runs += 1;
			});
			for (let leftMs = Math.max(0, delayMs - 1); leftMs > 0; leftMs -= longestTimerMs) {
				timers.tick(Math.min(leftMs, longestTimerMs));
			}

			expect(runs).toEqual(0);
			timers.tick(1);
			expect(runs).toEqual(1);
		});
	}

	it('one that is stopped in a later step does not run', ({mock: {timers}}) => {
		timers.enable({apis: ['setTimeout']});
		let runs = 0;
		const timer = systemClock.after(2 * longestTimerMs, () => {
			runs += 1;
		});
		timers.tick(longestTimerMs);
		timer.stop();
		timers.tick(longestTimerMs);
		expect(runs).toEqual(0);
	});
});
