/** A replica that is changing its stage must not receive a second order. */
import {describe, it} from 'node:test';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {PendingStageChanges} from './pending-stage-changes.js';

const decode: Endpoint = {
	id: 'r', service: 'model', address: '10.0.0.1:80', hall: 'h', state: 'ready', stage: 'decode', slots: 64,
};
const prefill: Endpoint = {...decode, stage: 'prefill'};

type Case = {
	readonly name: string;
	/** When the replica was ordered to change to prefill, in milliseconds; undefined if never. */
	readonly orderedAt: number | undefined;
	readonly hasFailed?: boolean;
	readonly published: Endpoint;
	readonly now: number;
	readonly stage: Endpoint['stage'];
};

const cases: readonly Case[] = [
	{
		name: 'keeps the published stage without an order', orderedAt: undefined, published: decode, now: 0, stage: 'decode',
	},
	{
		name: 'applies a pending order', orderedAt: 0, published: decode, now: 12_000, stage: 'prefill',
	},
	{
		name: 'drops a refused order', orderedAt: 0, hasFailed: true, published: decode, now: 10, stage: 'decode',
	},
	{
		name: 'drops an expired order', orderedAt: 0, published: decode, now: 21_000, stage: 'decode',
	},
	{
		name: 'keeps the published stage once the change is complete', orderedAt: 0, published: prefill, now: 7000, stage: 'prefill',
	},
];

describe('pending stage changes', () => {
	for (const {name, orderedAt, hasFailed = false, published, now, stage} of cases) {
		it(name, () => {
			const orders = new PendingStageChanges();
			if (orderedAt !== undefined) {
				orders.add('r', 'prefill', orderedAt);
			}

			if (hasFailed) {
				orders.remove('r');
			}

			expect(orders.apply([published], now).map(each => each.stage)).toEqual([stage]);
		});
	}

	it('does not reapply a completed order after the replica changes back', () => {
		const orders = new PendingStageChanges();
		orders.add('r', 'prefill', 0);
		orders.apply([prefill], 7000);
		expect(orders.apply([decode], 9000)).toEqual([decode]);
	});
});
