/** Catalogue: the adapter's connections to the store, where those that are open die in silence and new ones work. */
import {describe, it} from 'node:test';
import {Store} from '@gatehead/platform/store';
import {expect} from 'earl';
import {startProxy} from '../soak/faulty-proxy.js';
import {startStore} from './store-server.js';

/** Time after which a read is given up, in milliseconds: nothing answers it, however long it gets. */
const giveUpMs = 100;
/** A read that never ends must not hold up the whole run, in milliseconds. */
const hangMs = 20_000;

describe('connections to the store', () => {
	it('a read that is given up takes those that rest with it: the next one is answered', {timeout: hangMs}, async () => {
		const server = await startStore('127.0.0.1:0');
		const proxy = await startProxy(server.address);
		const store = new Store(proxy.address);
		const never = new AbortController().signal;
		try {
			await Promise.all([store.readPosition(never), store.readPosition(never), store.list(never)]);
			proxy.silenceOpen();
			const outcomes: string[] = [];
			for (let read = 0; read < 2; read += 1) {
				const outcome = await store.readPosition(AbortSignal.timeout(giveUpMs)).then(() => 'answered', () => 'given up');
				outcomes.push(outcome);
			}

			expect(outcomes).toEqual(['given up', 'answered']);
		} finally {
			store.close();
			proxy.close();
			await server.kill();
		}
	});
});
