/** When an endpoint counts as full for a request. */
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {EndpointUse} from './endpoint-use.js';

type Case = {
	readonly name: string;
	/** Size of the last refused request, in tokens, and how long ago it was, in milliseconds. */
	readonly refused?: {readonly tokens: number; readonly agoMs: number};
	readonly tokens: number;
	/** Size of a request of this host that ended there since, in tokens. */
	readonly ended?: number;
	readonly isFull: boolean;
};

const cases: readonly Case[] = [
	{name: 'not full without a refusal', tokens: 4000, isFull: false},
	{
		name: 'full after a recent refusal of the same size', refused: {tokens: 4000, agoMs: 10}, tokens: 4000, isFull: true,
	},
	{
		name: 'not full for a smaller request', refused: {tokens: 4000, agoMs: 10}, tokens: 300, isFull: false,
	},
	{
		name: 'not full after a request has freed memory', refused: {tokens: 4000, agoMs: 10}, tokens: 4000, ended: 500, isFull: false,
	},
	{
		name: 'still full after a request without memory has ended', refused: {tokens: 4000, agoMs: 10}, tokens: 4000, ended: 0, isFull: true,
	},
	{
		name: 'not full after the retry time', refused: {tokens: 4000, agoMs: 90}, tokens: 4000, isFull: false,
	},
];

describe('endpoint use', () => {
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

	it('a send is counted until it ends, and ends once', () => {
		const use = new EndpointUse(ignore);
		const end = use.begin(700, 0, ignore);
		expect([use.inFlight, use.tokens]).toEqual([1, 700]);
		end();
		end();
		expect([use.inFlight, use.tokens]).toEqual([0, 0]);
		use.connections.destroy();
	});
});
