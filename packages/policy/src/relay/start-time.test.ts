/** Catalogue: how long a reserved request takes to its first event. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seedRandom} from '../utils/random.js';
import {StartTime} from './start-time.js';

type Case = {
	readonly name: string;
	/** Shortest and longest time seen, in milliseconds; evenly spread. */
	readonly from: number;
	readonly to: number;
	readonly expected: number;
};

const cases: readonly Case[] = [
	{
		name: 'four in five stay below the value', from: 100, to: 600, expected: 500,
	},
	{
		name: 'a faster deployment is followed', from: 50, to: 100, expected: 90,
	},
	{
		name: 'a slower one too', from: 1000, to: 3000, expected: 2600,
	},
];

describe('start time', () => {
	for (const {name, from, to, expected} of cases) {
		it(name, () => {
			const random = seedRandom(3);
			const time = new StartTime();
			let sum = 0;
			for (let count = 0; count < 2000; count += 1) {
				time.note(from + (random.next() * (to - from)));
				sum += count < 1000 ? 0 : time.valueMs;
			}

			const mean = sum / 1000;
			expect(Math.abs(mean - expected) < 0.1 * expected).toEqual(true);
		});
	}

	it('the first request replaces what was supposed', () => {
		const time = new StartTime();
		time.note(40);
		expect(time.valueMs).toEqual(40);
	});
});
