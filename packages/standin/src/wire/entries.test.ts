/**
 * Entries of another writer in the directory.
 *
 * An entry that does not fit the pages names no replica to use, and the others
 * hold. What was wrong: an entry that turned unreadable was used as before, in
 * a list it was taken for a replica that had left; some that pass here are
 * refused by peers, with all that is told beside them.
 */
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {toChange, type StoreItem} from '@gatehead/platform/items';
import {listedEndpoint} from '@gatehead/schema/routing';
import fc from 'fast-check';
import {expect} from 'earl';
import {
	makeEntry, startWorld, until, type World,
} from './world.js';

const good = {
	service: 'model', address: '127.0.0.1:8080', zone: 'a', version: 'v1', slots: 64, state: 'ready', stage: 'decode', coldRemainingMs: 0, callSeq: 4, born: 1_780_000_000_000,
};

function toItem(value: unknown, key = 'servers/i-1'): StoreItem {
	return {key, value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), revision: 7};
}

type Case = {
	readonly name: string;
	readonly value: unknown;
	readonly key?: string;
	/** Whether it names a replica to use. */
	readonly isUsed: boolean;
};

const cases: readonly Case[] = [
	{name: 'as on the pages', value: good, isUsed: true},
	{name: 'a field more', value: {...good, other: {deep: [1]}}, isUsed: true},
	{name: 'an instant that is a text', value: {...good, born: '1780000000000'}, isUsed: true},
	{name: 'an instant beyond what numbers hold', value: JSON.stringify(good).replace('1780000000000', '9007199254740993'), isUsed: true},
	{name: 'no service', value: {...good, service: undefined}, isUsed: false},
	{name: 'an empty service', value: {...good, service: ''}, isUsed: false},
	{name: 'a service of a thousand letters', value: {...good, service: 's'.repeat(1000)}, isUsed: false},
	{name: 'a state that nobody named', value: {...good, state: 'resting'}, isUsed: false},
	{name: 'a state that is an inherited name', value: {...good, state: 'constructor'}, isUsed: false},
	{name: 'a part that is an inherited name', value: {...good, stage: 'constructor'}, isUsed: false},
	{name: 'an address without a port', value: {...good, address: '10.0.0.1'}, isUsed: false},
	{name: 'an address by name', value: {...good, address: 'replica.example:80'}, isUsed: false},
	{name: 'an address of another type', value: {...good, address: 80}, isUsed: false},
	...['version', 'slots', 'coldRemainingMs', 'callSeq'].flatMap(field => [
		{name: `no ${field}`, value: {...good, [field]: undefined}, isUsed: false},
		{name: `${field} that is null`, value: {...good, [field]: null}, isUsed: false},
		{name: `${field} of another type`, value: {...good, [field]: [1]}, isUsed: false},
	]),
	{name: 'slots below none', value: {...good, slots: -1}, isUsed: false},
	{name: 'half a slot', value: {...good, slots: 0.5}, isUsed: false},
	{
		name: 'an id without letters', value: good, key: 'servers/', isUsed: false,
	},
	{name: 'bytes that are no JSON', value: '{"service":', isUsed: false},
	{name: 'nothing', value: '', isUsed: false},
	{name: 'a list', value: [good], isUsed: false},
	{name: 'nested ten thousand deep', value: `${'['.repeat(10_000)}${']'.repeat(10_000)}`, isUsed: false},
	{name: 'a megabyte of text', value: 'x'.repeat(1_000_000), isUsed: false},
];

describe('entries of another writer, as the adapter reads them', () => {
	for (const {name, value, key, isUsed} of cases) {
		it(`${name}: ${isUsed ? 'used' : 'not used'}`, () => {
			const change = toChange(toItem(value, key));
			expect(change?.kind === 'endpoint' && change.endpoint.state === 'ready').toEqual(isUsed);
			expect(JSON.stringify(change).length).toBeLessThan(2000);
		});
	}

	it('any bytes, and a good entry with one field changed, are read without a fault, and what is used peers take too', () => {
		const oneChanged = fc.tuple(fc.constantFrom(...Object.keys(good)), fc.jsonValue()).map(([field, value]) => JSON.stringify({...good, [field]: value}));
		const bytes = fc.uint8Array({maxLength: 200}).map(each => Buffer.from(each).toString('base64'));
		const items = fc.oneof(oneChanged.map(text => toItem(text)), bytes.map(value => ({key: 'servers/i-1', value, revision: 7})), fc.json().map(text => toItem(text)));
		fc.assert(fc.property(items, item => {
			const change = toChange(item);
			if (change?.kind === 'endpoint') {
				expect(listedEndpoint.safeParse({revision: change.revision, endpoint: change.endpoint}).success).toEqual(true);
			} else {
				expect(change?.kind).toEqual('endpointUnreadable');
			}
		}), {numRuns: 5000, seed: 32});
	});
});

describe('an entry in use that turns unreadable', () => {
	const parts = {
		hosts: 2, plain: 3, prefill: 0, decode: 0, slots: 8,
	};
	const isReady = (world: World, id: string) => world.relays.map(({relay}) => relay.endpoints.book.isReady(id));

	it('gets nothing new until it can be read again, and the others hold; it is not taken for one that left', {timeout: 20_000}, async () => {
		const world = await startWorld(parts);
		try {
			const [first] = world.replicas;
			if (first === undefined) {
				return;
			}

			const ids = world.relays[0]?.relay.endpoints.book.listReady('plain').map(({id}) => id) ?? [];
			const id = ids.find(each => each.startsWith(first.id)) ?? '';
			world.store.put(`servers/${first.id}`, {service: 7});
			await until(() => world.relays.every(({name}) => world.lines.some(({host, code}) => host === name && code === 'directoryUnreadable')));
			expect(isReady(world, id)).toEqual([false, false]);
			expect(world.relays.map(({relay}) => relay.endpoints.book.listReady('plain').length)).toEqual([2, 2]);
			// A list must say the same as the watch did
			world.store.compact();
			world.store.put(`servers/${world.replicas[1]?.id}`, {...makeEntry(world.replicas[1] ?? first, 'ready') as Record<string, unknown>, slots: 9}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- an entry is an object
			await until(() => world.relays.every(({relay}) => relay.endpoints.book.list().some(({endpoint}) => endpoint.slots === 9)));
			expect(world.lines.filter(({facts}) => facts.endpoint === id && ['leaving', 'gone', 'vanished'].includes(String(facts.change)))).toEqual([]);
			world.publish(first, 'ready');
			await until(() => isReady(world, id).every(Boolean));
		} finally {
			await world.stop();
		}
	});
});
