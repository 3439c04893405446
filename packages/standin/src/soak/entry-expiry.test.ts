/** Guards against directory entries that never expire after a restore from a backup: they kept the replica at their address from being queried after a restart of all hosts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {startStore, type StandinStore} from '../wire/store-server.js';
import {expireEntries} from './entry-expiry.js';

type Case = {
	readonly name: string;
	/** Writes between the copy and the store's return. */
	readonly before: (store: StandinStore) => void;
	/** Writes since. */
	readonly after?: (store: StandinStore) => void;
	readonly expired: readonly string[];
	readonly left: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'none of replicas that still write theirs', before(store) {
			store.put('servers/a', {state: 'draining'});
		}, expired: [], left: ['op/config', 'servers/a', 'servers/b'],
	},
	{
		name: 'that of a replica that ended before the return', before(store) {
			store.remove('servers/a');
			store.put('servers/a-v2', {state: 'ready'});
		}, after(store) {
			store.put('servers/a-v2', {state: 'ready'});
		}, expired: ['servers/a'], left: ['op/config', 'servers/a-v2', 'servers/b'],
	},
	{
		name: 'none of a replica that ended after the return', before() {
			// As it was
		}, after(store) {
			store.remove('servers/b');
		}, expired: [], left: ['op/config', 'servers/a'],
	},
	{
		name: 'no other items', before(store) {
			store.remove('op/config');
		}, expired: [], left: ['op/config', 'servers/a', 'servers/b'],
	},
];

describe('entries behind a return from a copy', () => {
	for (const {name, before, after, expired, left} of cases) {
		it(name, async () => {
			const store = await startStore('127.0.0.1:0');
			for (const key of ['op/config', 'servers/a', 'servers/b']) {
				store.put(key, {state: 'ready'});
			}

			const copy = store.copy();
			before(store);
			store.restore(copy);
			after?.(store);
			expect(expireEntries(store, copy)).toEqual([...expired]);
			expect([...store.copy().items.keys()].toSorted()).toEqual([...left]);
			await store.kill();
		});
	}
});
