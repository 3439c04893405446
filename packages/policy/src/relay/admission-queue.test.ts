/** Catalogue: who waits for memory, who is refused, and who goes first. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seedRandom} from '../utils/random.js';
import {AdmissionQueue, type Waiter} from './admission-queue.js';

function waiter(arrivedAt: number, stage: Waiter['stage'] = 'first'): Waiter {
	return {
		since: arrivedAt, arrivedAt, targetMs: 900, deadlineAt: arrivedAt + 14_000, priorities: [0, 0], stage,
	};
}

const startMs = 300;

type Case = {
	readonly name: string;
	readonly waiters: readonly Waiter[];
	readonly now: number;
	readonly elsewhere: number;
	readonly releasesPerS: number;
	/** Arrivals of those refused. */
	readonly refused: readonly number[];
};

const cases: readonly Case[] = [
	{
		name: 'a place that comes in time is waited for', waiters: [waiter(0)], now: 120, elsewhere: 0, releasesPerS: 10, refused: [],
	},
	{
		name: 'one that comes too late is not', waiters: [waiter(0)], now: 0, elsewhere: 0, releasesPerS: 0.9, refused: [0],
	},
	{
		name: 'as long as the first event can be in time a place is waited for', waiters: [waiter(0)], now: 530, elsewhere: 0, releasesPerS: 10, refused: [],
	},
	{
		name: 'who cannot be in time any more is refused', waiters: [waiter(0)], now: 610, elsewhere: 0, releasesPerS: 1000, refused: [0],
	},
	{
		name: 'requests at other hosts count', waiters: [waiter(0)], now: 120, elsewhere: 13, releasesPerS: 10, refused: [0],
	},
	{
		name: 'those behind are refused before those in front', waiters: [waiter(0), waiter(1), waiter(2), waiter(3), waiter(4)], now: 120, elsewhere: 0, releasesPerS: 3, refused: [2, 3, 4],
	},
	{
		name: 'a second try is not refused early', waiters: [waiter(0, 'returned')], now: 120, elsewhere: 10, releasesPerS: 1, refused: [],
	},
	{
		name: 'nobody waits beyond its caller\'s patience', waiters: [waiter(0, 'returned')], now: 2900, elsewhere: 0, releasesPerS: 10, refused: [0],
	},
];

const yields = [
	{
		name: 'a returned caller while timely ones wait elsewhere', stage: 'returned', now: 500, elsewhere: 1, doesYield: true,
	},
	{
		name: 'a returned caller while none does', stage: 'returned', now: 500, elsewhere: 0, doesYield: false,
	},
	{
		name: 'a returned caller that has waited long', stage: 'returned', now: 1100, elsewhere: 1, doesYield: false,
	},
	{
		name: 'a caller that lost its stream', stage: 'resumed', now: 500, elsewhere: 1, doesYield: false,
	},
	{
		name: 'a first try in time', stage: 'first', now: 500, elsewhere: 1, doesYield: false,
	},
] as const;

describe('wait line', () => {
	for (const {name, waiters, now, elsewhere, releasesPerS, refused} of cases) {
		it(name, () => {
			const line = new AdmissionQueue();
			for (const each of waiters) {
				line.add(each);
			}

			expect(line.findHopeless(now, {elsewhere, releasesPerS, startMs}).map(({waiter: {arrivedAt}}) => arrivedAt)).toEqual([...refused]);
		});
	}

	it('those that can be in time go before the late ones', () => {
		const line = new AdmissionQueue();
		line.add(waiter(0));
		line.add(waiter(500));
		expect(line.order(650, startMs).map(({arrivedAt}) => arrivedAt)).toEqual([500, 0]);
		expect(line.order(650, 200).map(({arrivedAt}) => arrivedAt)).toEqual([0, 500]);
	});

	it('who lost a stream takes its turn among the first tries', () => {
		const line = new AdmissionQueue();
		line.add(waiter(20));
		line.add(waiter(10, 'resumed'));
		line.add(waiter(0, 'returned'));
		expect(line.order(30, startMs).map(({stage}) => stage)).toEqual(['resumed', 'first', 'returned']);
		expect(line.findHopeless(700, {elsewhere: 0, releasesPerS: 10, startMs}).map(({waiter: {stage}}) => stage)).toEqual(['first']);
	});

	it('streams that continue go first, returned callers last', () => {
		const line = new AdmissionQueue();
		line.add(waiter(0, 'returned'));
		line.add(waiter(10));
		line.add(waiter(20, 'started'));
		expect(line.order(30, startMs).map(({stage}) => stage)).toEqual(['started', 'first', 'returned']);
		expect(line.countTimely(30, startMs)).toEqual(2);
	});

	for (const {name: which, stage, now, elsewhere, doesYield} of yields) {
		it(`${which} ${doesYield ? 'leaves' : 'takes'} its turn`, () => {
			expect(new AdmissionQueue().doesYield(waiter(0, stage), now, {elsewhere, releasesPerS: 10, startMs})).toEqual(doesYield);
		});
	}

	it('callers come back spread, later the longer the queue is', () => {
		const random = seedRandom(5);
		const line = new AdmissionQueue();
		const middle = {next: () => 0.5};
		const refused = waiter(0);
		expect(line.comeBackMs(refused, 0, {elsewhere: 0, releasesPerS: 10, startMs}, middle)).toEqual(4000);
		expect(line.comeBackMs(refused, 0, {elsewhere: 4, releasesPerS: 10, startMs}, middle)).toEqual(4400);
		expect(line.comeBackMs(refused, 0, {elsewhere: 200, releasesPerS: 10, startMs}, middle)).toEqual(4600);
		const spread = Array.from({length: 50}, () => line.comeBackMs(refused, 0, {elsewhere: 0, releasesPerS: 10, startMs}, random));
		expect(Math.min(...spread) >= 3600 && Math.min(...spread) < 3700).toEqual(true);
		expect(Math.max(...spread) <= 4400 && Math.max(...spread) > 4300).toEqual(true);
	});

	it('no caller is asked to wait for longer than it heeds', () => {
		const line = new AdmissionQueue();
		const middle = {next: () => 0.5};
		expect(line.comeBackMs(waiter(0), 11_000, {elsewhere: 0, releasesPerS: 10, startMs}, middle)).toEqual(990);
		expect(line.comeBackMs(waiter(0), 15_000, {elsewhere: 0, releasesPerS: 10, startMs}, middle)).toEqual(0);
	});
});
