/** Catalogue: who waits for memory, who is refused, and who goes first. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seedRandom} from '../utils/random.js';
import {WaitLine, type Waiter} from './wait-line.js';

function waiter(arrivedAt: number, isKept = false): Waiter {
	return {
		since: arrivedAt, arrivedAt, targetMs: 900, deadlineAt: arrivedAt + 14_000, isKept,
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
		name: 'a second try is not refused early', waiters: [waiter(0, true)], now: 120, elsewhere: 10, releasesPerS: 1, refused: [],
	},
	{
		name: 'nobody waits beyond its caller\'s patience', waiters: [waiter(0, true)], now: 2400, elsewhere: 0, releasesPerS: 10, refused: [0],
	},
];

describe('wait line', () => {
	for (const {name, waiters, now, elsewhere, releasesPerS, refused} of cases) {
		it(name, () => {
			const line = new WaitLine();
			for (const each of waiters) {
				line.add(each);
			}

			expect(line.findHopeless(now, {elsewhere, releasesPerS, startMs}).map(({waiter: {arrivedAt}}) => arrivedAt)).toEqual([...refused]);
		});
	}

	it('those that can be in time go before the late ones', () => {
		const line = new WaitLine();
		line.add(waiter(0));
		line.add(waiter(500));
		expect(line.order(650, startMs).map(({arrivedAt}) => arrivedAt)).toEqual([500, 0]);
		expect(line.order(650, 200).map(({arrivedAt}) => arrivedAt)).toEqual([0, 500]);
	});

	it('callers come back spread, later the longer the line is', () => {
		const random = seedRandom(5);
		const line = new WaitLine();
		const middle = {next: () => 0.5};
		expect(line.comeBackMs({elsewhere: 0, releasesPerS: 10, startMs}, middle)).toEqual(3000);
		expect(line.comeBackMs({elsewhere: 4, releasesPerS: 10, startMs}, middle)).toEqual(3400);
		expect(line.comeBackMs({elsewhere: 200, releasesPerS: 10, startMs}, middle)).toEqual(3800);
		const spread = Array.from({length: 50}, () => line.comeBackMs({elsewhere: 0, releasesPerS: 10, startMs}, random));
		expect(Math.min(...spread) >= 2400 && Math.min(...spread) < 2600).toEqual(true);
		expect(Math.max(...spread) <= 3600 && Math.max(...spread) > 3400).toEqual(true);
	});
});
