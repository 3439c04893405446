/** Reservations must expire, so that a lost or exaggerated report does not block an endpoint. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryReservations} from './memory-reservations.js';

type Case = {
	readonly name: string;
	readonly now: number;
	readonly tokens: number;
};

/** 1,000 tokens reserved from 0 to 3,000 ms, and 500 from 100 ms for a minute, capped at 10,100 ms. */
const cases: readonly Case[] = [
	{name: 'adds up active reservations', now: 200, tokens: 1500},
	{name: 'drops an expired reservation', now: 3000, tokens: 500},
	{name: 'caps the hold time', now: 10_100, tokens: 0},
];

describe('decode memory reservations', () => {
	for (const {name, now, tokens} of cases) {
		it(name, () => {
			const use = new MemoryReservations();
			use.add('a', 1000, 3000, 0);
			use.add('a', 500, 60_000, 100);
			use.add('b', 7000, 60_000, 100);
			expect(use.sum('a', now)).toEqual(tokens);
		});
	}

	it('drops the reservations of a removed endpoint', () => {
		const use = new MemoryReservations();
		use.add('a', 1000, 3000, 0);
		use.forget('a');
		expect(use.sum('a', 1)).toEqual(0);
	});
});
