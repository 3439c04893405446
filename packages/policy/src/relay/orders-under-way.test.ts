/** Catalogue: which part a replica counts for while it changes. */
import {describe, it} from 'node:test';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {OrdersUnderWay} from './orders-under-way.js';

const decode: Endpoint = {
	id: 'r', service: 'model', address: '10.0.0.1:80', hall: 'h', state: 'ready', stage: 'decode', slots: 64,
};
const prefill: Endpoint = {...decode, stage: 'prefill'};

type Case = {
	readonly name: string;
	/** When the replica was ordered to read prompts; undefined: never. */
	readonly orderedAt: number | undefined;
	readonly hasFailed?: boolean;
	readonly published: Endpoint;
	readonly now: number;
	readonly stage: Endpoint['stage'];
};

const cases: readonly Case[] = [
	{
		name: 'a replica without an order counts as published', orderedAt: undefined, published: decode, now: 0, stage: 'decode',
	},
	{
		name: 'one that changes counts as changed', orderedAt: 0, published: decode, now: 12_000, stage: 'prefill',
	},
	{
		name: 'one that refused the order does not', orderedAt: 0, hasFailed: true, published: decode, now: 10, stage: 'decode',
	},
	{
		name: 'an order that came to nothing is forgotten', orderedAt: 0, published: decode, now: 21_000, stage: 'decode',
	},
	{
		name: 'one that has changed counts as published', orderedAt: 0, published: prefill, now: 7000, stage: 'prefill',
	},
];

describe('orders under way', () => {
	for (const {name, orderedAt, hasFailed = false, published, now, stage} of cases) {
		it(name, () => {
			const orders = new OrdersUnderWay();
			if (orderedAt !== undefined) {
				orders.begin('r', 'prefill', orderedAt);
			}

			if (hasFailed) {
				orders.fail('r');
			}

			expect(orders.apply([published], now).map(each => each.stage)).toEqual([stage]);
		});
	}

	it('a replica that changed back later is not taken for one that changes', () => {
		const orders = new OrdersUnderWay();
		orders.begin('r', 'prefill', 0);
		orders.apply([prefill], 7000);
		expect(orders.apply([decode], 9000)).toEqual([decode]);
	});
});
