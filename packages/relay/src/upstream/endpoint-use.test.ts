/** Catalogue: when an endpoint counts as full for a request. */
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {EndpointUse} from './endpoint-use.js';

type Case = {
	readonly name: string;
	/** Size of the request that found no room, in tokens, and how long ago, in milliseconds; undefined: none did. */
	readonly refused?: {readonly tokens: number; readonly agoMs: number};
	readonly tokens: number;
	/** Tokens of a request of this host that ended there since; undefined: none did. */
	readonly ended?: number;
	readonly isFull: boolean;
};

const cases: readonly Case[] = [
	{name: 'one that refused nothing is not', tokens: 4000, isFull: false},
	{
		name: 'one that refused as much a moment ago is', refused: {tokens: 4000, agoMs: 10}, tokens: 4000, isFull: true,
	},
	{
		name: 'but not for a smaller request', refused: {tokens: 4000, agoMs: 10}, tokens: 300, isFull: false,
	},
	{
		name: 'nor when an answer has ended there since', refused: {tokens: 4000, agoMs: 10}, tokens: 4000, ended: 500, isFull: false,
	},
	{
		name: 'one that held no memory frees none', refused: {tokens: 4000, agoMs: 10}, tokens: 4000, ended: 0, isFull: true,
	},
	{
		name: 'nor after a while', refused: {tokens: 4000, agoMs: 90}, tokens: 4000, isFull: false,
	},
];

describe('use of an endpoint', () => {
	for (const {
		name, refused, tokens, ended, isFull,
	} of cases) {
		it(name, () => {
			const use = new EndpointUse(ignore);
			const now = 1000;
			const end = use.begin(ended ?? 0, now, ignore);
			if (refused !== undefined) {
				use.noteFull(refused.tokens, now - refused.agoMs);
			}

			if (ended !== undefined) {
				end();
			}

			expect(use.isFull(tokens, now)).toEqual(isFull);
			use.connections.destroy();
		});
	}

	it('work is counted until it ends, once', () => {
		const use = new EndpointUse(ignore);
		const end = use.begin(700, 0, ignore);
		expect([use.open, use.tokens]).toEqual([1, 700]);
		end();
		end();
		expect([use.open, use.tokens]).toEqual([0, 0]);
		use.connections.destroy();
	});
});
