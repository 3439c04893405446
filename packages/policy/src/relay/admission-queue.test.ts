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
	readonly remoteWaiting: number;
	readonly releasesPerS: number;
	/** Arrival times of the rejected requests. */
	readonly refused: readonly number[];
};

const cases: readonly Case[] = [
	{
		name: 'a request waits for a slot that is released in time', waiters: [waiter(0)], now: 120, remoteWaiting: 0, releasesPerS: 10, refused: [],
	},
	{
		name: 'a request is rejected when the next slot is released too late', waiters: [waiter(0)], now: 0, remoteWaiting: 0, releasesPerS: 0.9, refused: [0],
	},
	{
		name: 'a request waits as long as its first event can be in time', waiters: [waiter(0)], now: 530, remoteWaiting: 0, releasesPerS: 10, refused: [],
	},
	{
		name: 'a request that can no longer be in time is rejected', waiters: [waiter(0)], now: 610, remoteWaiting: 0, releasesPerS: 1000, refused: [0],
	},
	{
		name: 'requests queued at other hosts count as ahead', waiters: [waiter(0)], now: 120, remoteWaiting: 13, releasesPerS: 10, refused: [0],
	},
	{
		name: 'requests at the end of the queue are rejected first', waiters: [waiter(0), waiter(1), waiter(2), waiter(3), waiter(4)], now: 120, remoteWaiting: 0, releasesPerS: 3, refused: [2, 3, 4],
	},
	{
		name: 'a retry is not rejected early', waiters: [waiter(0, 'returned')], now: 120, remoteWaiting: 10, releasesPerS: 1, refused: [],
	},
	{
		name: 'a retry is rejected after the longest wait', waiters: [waiter(0, 'returned')], now: 2900, remoteWaiting: 0, releasesPerS: 10, refused: [0],
	},
];

const yieldCases = [
	{
		name: 'a retry while timely requests wait at other hosts', stage: 'returned', now: 500, remoteWaiting: 1, yields: true,
	},
	{
		name: 'a retry while none waits at other hosts', stage: 'returned', now: 500, remoteWaiting: 0, yields: false,
	},
	{
		name: 'a retry that has waited long', stage: 'returned', now: 1100, remoteWaiting: 1, yields: false,
	},
	{
		name: 'a resumed stream', stage: 'resumed', now: 500, remoteWaiting: 1, yields: false,
	},
	{
		name: 'a timely first attempt', stage: 'first', now: 500, remoteWaiting: 1, yields: false,
	},
] as const;

describe('admission queue', () => {
	for (const {name, waiters, now, remoteWaiting, releasesPerS, refused} of cases) {
		it(name, () => {
			const queue = new AdmissionQueue();
			for (const each of waiters) {
				queue.add(each);
			}

			expect(queue.findRejections(now, {remoteWaiting, releasesPerS, startMs}).map(({waiter: {arrivedAt}}) => arrivedAt)).toEqual([...refused]);
		});
	}

	it('timely requests go before late ones', () => {
		const queue = new AdmissionQueue();
		queue.add(waiter(0));
		queue.add(waiter(500));
		expect(queue.order(650, startMs).map(({arrivedAt}) => arrivedAt)).toEqual([500, 0]);
		expect(queue.order(650, 200).map(({arrivedAt}) => arrivedAt)).toEqual([0, 500]);
	});

	it('a resumed stream is ordered like a first attempt but not rejected early', () => {
		const queue = new AdmissionQueue();
		queue.add(waiter(20));
		queue.add(waiter(10, 'resumed'));
		queue.add(waiter(0, 'returned'));
		expect(queue.order(30, startMs).map(({stage}) => stage)).toEqual(['resumed', 'first', 'returned']);
		expect(queue.findRejections(700, {remoteWaiting: 0, releasesPerS: 10, startMs}).map(({waiter: {stage}}) => stage)).toEqual(['first']);
	});

	it('started streams go first, retries last', () => {
		const queue = new AdmissionQueue();
		queue.add(waiter(0, 'returned'));
		queue.add(waiter(10));
		queue.add(waiter(20, 'started'));
		expect(queue.order(30, startMs).map(({stage}) => stage)).toEqual(['started', 'first', 'returned']);
		expect(queue.countTimely(30, startMs)).toEqual(2);
	});

	for (const {name: which, stage, now, remoteWaiting, yields} of yieldCases) {
		it(`${which} ${yields ? 'yields' : 'does not yield'}`, () => {
			expect(new AdmissionQueue().shouldYield(waiter(0, stage), now, {remoteWaiting, releasesPerS: 10, startMs})).toEqual(yields);
		});
	}

	it('the retry delay is jittered and grows with the queue', () => {
		const random = seedRandom(5);
		const queue = new AdmissionQueue();
		const middle = {next: () => 0.5};
		const refused = waiter(0);
		expect(queue.retryDelayMs(refused, 0, {remoteWaiting: 0, releasesPerS: 10, startMs}, middle)).toEqual(4000);
		expect(queue.retryDelayMs(refused, 0, {remoteWaiting: 4, releasesPerS: 10, startMs}, middle)).toEqual(4400);
		expect(queue.retryDelayMs(refused, 0, {remoteWaiting: 200, releasesPerS: 10, startMs}, middle)).toEqual(4600);
		const spread = Array.from({length: 50}, () => queue.retryDelayMs(refused, 0, {remoteWaiting: 0, releasesPerS: 10, startMs}, random));
		expect(Math.min(...spread) >= 3600 && Math.min(...spread) < 3700).toEqual(true);
		expect(Math.max(...spread) <= 4400 && Math.max(...spread) > 4300).toEqual(true);
	});

	it('the retry delay is bounded by the caller\'s deadline', () => {
		const queue = new AdmissionQueue();
		const middle = {next: () => 0.5};
		expect(queue.retryDelayMs(waiter(0), 11_000, {remoteWaiting: 0, releasesPerS: 10, startMs}, middle)).toEqual(990);
		expect(queue.retryDelayMs(waiter(0), 15_000, {remoteWaiting: 0, releasesPerS: 10, startMs}, middle)).toEqual(0);
	});
});
