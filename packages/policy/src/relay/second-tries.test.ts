/** First and second tries by the patience that callers say. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SecondTries} from './second-tries.js';

type Case = {
	readonly name: string;
	readonly patience: readonly number[];
	/** Whether the last one is a second try. */
	readonly isSecond: boolean;
};

const cases: readonly Case[] = [
	{name: 'the first caller', patience: [14_000], isSecond: false},
	{name: 'a new connection to the own hall', patience: [14_000, 13_986], isSecond: false},
	{name: 'a new connection to another hall', patience: [14_000, 13_977], isSecond: false},
	{name: 'a caller that was refused and came back', patience: [13_986, 14_000, 12_459], isSecond: true},
	{name: 'one that came back at once', patience: [2500, 2299], isSecond: true},
	{name: 'one caller with much more patience is forgotten', patience: [60_000, ...Array.from({length: 400}, () => 14_000)], isSecond: false},
	{name: 'a first try\'s patience is not', patience: [...Array.from({length: 399}, () => 14_000), 12_459], isSecond: true},
	{name: 'a first try behind a second one', patience: [12_459, 13_986], isSecond: false},
];

describe('second tries', () => {
	for (const {name, patience, isSecond} of cases) {
		it(name, () => {
			const tries = new SecondTries();
			let last = false;
			for (const patienceMs of patience) {
				last = tries.note('route', patienceMs);
			}

			expect(last).toEqual(isSecond);
		});
	}

	it('routes do not mix', () => {
		const tries = new SecondTries();
		tries.note('patient', 60_000);
		expect(tries.note('other', 14_000)).toEqual(false);
	});
});
