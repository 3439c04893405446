/** What is known of decode memory that other hosts take. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PeerUse} from './peer-use.js';

type Case = {
	readonly name: string;
	readonly now: number;
	readonly tokens: number;
};

/** 1,000 tokens from 0 to 3,000 ms, 500 from 100 to 10,100 (longer than is believed). */
const cases: readonly Case[] = [
	{name: 'is summed', now: 200, tokens: 1500},
	{name: 'lapses by itself', now: 3000, tokens: 500},
	{name: 'is not believed for ever', now: 10_100, tokens: 0},
];

describe('memory taken by peers', () => {
	for (const {name, now, tokens} of cases) {
		it(name, () => {
			const use = new PeerUse();
			use.add('a', 1000, 3000, 0);
			use.add('a', 500, 60_000, 100);
			use.add('b', 7000, 60_000, 100);
			expect(use.sum('a', now)).toEqual(tokens);
		});
	}

	it('is forgotten with its endpoint', () => {
		const use = new PeerUse();
		use.add('a', 1000, 3000, 0);
		use.forget('a');
		expect(use.sum('a', 1)).toEqual(0);
	});
});
