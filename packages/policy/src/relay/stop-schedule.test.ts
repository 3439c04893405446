/** Guards against planned stops that leave no time for a standstill, or none at all for their runs. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {maxStopMs, planStop} from './stop-schedule.js';

type Case = {
	readonly name: string;
	readonly graceMs: number;
	readonly breaksOffMs: number;
	readonly closesMs: number;
	readonly endsMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'eight seconds', graceMs: 8000, breaksOffMs: 6667, closesMs: 7700, endsMs: 7800,
	},
	{
		name: 'a minute', graceMs: 60_000, breaksOffMs: 50_000, closesMs: 59_700, endsMs: 59_800,
	},
	{
		name: 'two seconds', graceMs: 2000, breaksOffMs: 1667, closesMs: 1750, endsMs: 1833,
	},
	{
		name: 'one second', graceMs: 1000, breaksOffMs: 833, closesMs: 875, endsMs: 917,
	},
	{
		name: 'none', graceMs: 0, breaksOffMs: 0, closesMs: 0, endsMs: 0,
	},
];

const startedAt = 1000;

describe('schedule of a planned stop', () => {
	for (const {name, graceMs, breaksOffMs, closesMs, endsMs} of cases) {
		it(`of ${name}`, () => {
			const {breaksOffAt, closesAt} = planStop({seenAt: startedAt, sentAt: startedAt}, graceMs);
			expect([breaksOffAt, closesAt].map(at => Math.round(at - startedAt))).toEqual([breaksOffMs, closesMs]);
			expect(Math.round(maxStopMs(graceMs))).toEqual(endsMs);
		});
	}

	for (const graceMs of [1, 50, 600, 1000, 1199, 1200, 1800, 3000, 8000, 3_600_000]) {
		it(`of ${graceMs} ms: runs end, then connections close, then the process is left`, () => {
			const {breaksOffAt, closesAt} = planStop({seenAt: 0, sentAt: 0}, graceMs);
			const times = [0, breaksOffAt, closesAt, maxStopMs(graceMs), graceMs];
			expect(times.filter((time, index) => index > 0 && time <= (times[index - 1] ?? 0))).toEqual([]);
		});
	}

	const delays: ReadonlyArray<{readonly seenMs: number; readonly breaksOffMs: number}> = [{seenMs: 100, breaksOffMs: 6767}, {seenMs: 600, breaksOffMs: 7267}, {seenMs: 1500, breaksOffMs: 7600}];
	for (const {seenMs, breaksOffMs} of delays) {
		it(`a signal that is seen ${seenMs} ms late shortens no run and moves no close`, () => {
			const {breaksOffAt, closesAt} = planStop({seenAt: startedAt + seenMs, sentAt: startedAt}, 8000);
			expect([breaksOffAt, closesAt].map(at => Math.round(at - startedAt))).toEqual([breaksOffMs, 7700]);
		});
	}
});
