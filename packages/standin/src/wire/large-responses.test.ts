/**
 * Responses of the store that hold more than a host keeps in memory: pages and
 * watches with large entries of other writers. Guards against reads that fail
 * each time, so that a host never hears of what follows, and against processes
 * that exceed their memory.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Store} from '@gatehead/platform/store';
import {type Change} from '@gatehead/relay/core/directory';
import {HostProcess} from '../soak/host-process.js';
import {findPorts, ownNetwork} from '../utils/ports.js';
import {sendRequest} from './client.js';
import {makeReplicaLog, startReplica} from './replica-server.js';
import {startStore, type StandinStore} from './store-server.js';
import {makeConfig, makeEntry, until} from './world.js';

const anyPort = '127.0.0.1:0';
/** Longest value that the platform's store takes, in bytes. */
const valueBytes = 1_048_576;
/** Longer than what a host keeps of one item. */
const hugeBytes = 12_000_000;
/** Entries of a list that a host reads. */
const maxEntries = 10_000;
/** As in deploy/system.toml. */
const memoryOptions = ['--max-old-space-size=96', '--max-semi-space-size=2'];
const portsPerHost = 5;
const firstIp = 55;
const processTimeoutMs = 60_000;

const entry = {
	service: 'plain', address: '127.0.0.1:9', zone: 'a', version: 'v1', slots: 4, state: 'ready', coldRemainingMs: 0, callSeq: 4, born: 1,
};
const large = 'x'.repeat(valueBytes);

/** Writes values of the largest size under keys with a prefix. */
function putLarge(store: StandinStore, prefix: string, count: number): void {
	for (let index = 0; index < count; index += 1) {
		store.putText(`${prefix}${index}`, large);
	}
}

type Case = {
	readonly name: string;
	/** Writes what stands before the entry that has to be read. */
	readonly write: (store: StandinStore) => void;
	/** Kinds of the changes read, by number. */
	readonly kinds: Partial<Record<Change['kind'], number>>;
};

const cases: readonly Case[] = [
	{
		name: 'twenty large values of another writer among the entries', kinds: {endpointUnreadable: 20, endpoint: 1}, write(store) {
			putLarge(store, 'servers/large-', 20);
		},
	},
	{
		name: 'twenty large values of another writer elsewhere', kinds: {endpoint: 1}, write(store) {
			putLarge(store, 'other/large-', 20);
		},
	},
	{
		name: 'an entry that is too large to be kept', kinds: {endpointUnreadable: 1, endpoint: 1}, write(store) {
			store.putText('servers/huge', 'x'.repeat(hugeBytes));
		},
	},
	{
		name: 'a value elsewhere that is too large to be kept', kinds: {endpoint: 1}, write(store) {
			store.putText('other/huge', 'x'.repeat(hugeBytes));
		},
	},
	{
		name: 'a configuration that is too large to be kept', kinds: {routingUnreadable: 1, endpoint: 1}, write(store) {
			store.putText('op/config', 'x'.repeat(hugeBytes));
		},
	},
	{
		name: 'an entry with a field around its value that is too large to be kept', kinds: {unreadable: 1, endpoint: 1}, write(store) {
			store.putText('servers/other', '{}', {extra: Array.from({length: 3_000_000}, () => 100)});
		},
	},
	{
		name: '1,599 replicas and a large value after each fortieth', kinds: {endpointUnreadable: 39, endpoint: 1600}, write(store) {
			for (let index = 1; index < 1600; index += 1) {
				store.put(`servers/${10_000 + index}`, entry);
				if (index % 40 === 0) {
					store.putText(`servers/${10_000 + index}-large`, large);
				}
			}
		},
	},
];

function countKinds(changes: readonly Change[]): Case['kinds'] {
	const kinds: Partial<Record<Change['kind'], number>> = {};
	for (const {kind} of changes) {
		kinds[kind] = (kinds[kind] ?? 0) + 1;
	}

	return kinds;
}

describe('large items in responses of the store', () => {
	for (const {name, write, kinds} of cases) {
		for (const read of ['list', 'watch'] as const) {
			it(`${name}: a ${read} brings all that can be read, with the position of the store`, {timeout: processTimeoutMs}, async () => {
				const store = await startStore(anyPort);
				const directory = new Store(store.address);
				const {signal} = new AbortController();
				try {
					write(store);
					store.put('servers/zz-last', entry);
					const {changes, position} = await (read === 'list' ? directory.list(signal) : directory.watch(0, 1, signal));
					const {revision} = store.copy();
					const last = changes.at(-1);
					expect(countKinds(changes)).toEqual(kinds);
					expect(last?.kind === 'endpoint' ? [last.endpoint.instance, last.revision] : last).toEqual(['zz-last', revision]);
					expect(changes.every(change => !('revision' in change) || change.revision <= revision)).toEqual(true);
					expect(position.revision).toEqual(revision);
				} finally {
					directory.close();
					await store.kill();
				}
			});
		}
	}
});

/** A configuration of nearly the longest value. */
function makeLargeConfig(version: number): unknown {
	return makeConfig(version, undefined, Array.from({length: 5000}, (_, index) => ({pathPrefix: `/route-${index}/`, service: 'plain'})));
}

describe('a list with more entries than a host keeps', () => {
	// Guards against a process that exceeds its memory because a list has pages without end
	it('is rejected; one with as many as hosts pass on to each other is read', {timeout: processTimeoutMs}, async () => {
		const store = await startStore(anyPort);
		const directory = new Store(store.address);
		const {signal} = new AbortController();
		try {
			for (let index = 0; index < maxEntries; index += 1) {
				store.put(`servers/${index}`, entry);
			}

			const {changes} = await directory.list(signal);
			expect(changes.length).toEqual(maxEntries);
			store.put('servers/further', entry);
			await expect(directory.list(signal)).toBeRejectedWith(`response has more than ${maxEntries} items`);
		} finally {
			directory.close();
			await store.kill();
		}
	});
});

type ProcessCase = {
	readonly name: string;
	/** Writes what the host does not read before it goes on; returns the version of the configuration that it has to adopt. */
	readonly write: (store: StandinStore) => number;
};

const processCases: readonly ProcessCase[] = [
	{
		name: 'sixty large values and a configuration', write(store) {
			putLarge(store, 'servers/large-', 60);
			store.put('op/config', makeConfig(2));
			return 2;
		},
	},
	{
		name: 'entries with two million empty lists around their values', write(store) {
			const extra = Array.from({length: 2_000_000}, () => []);
			for (let index = 0; index < 3; index += 1) {
				store.putText(`servers/other-${index}`, '{}', {extra});
			}

			store.put('op/config', makeConfig(2));
			return 2;
		},
	},
	{
		name: 'forty configurations with 5,000 routes', write(store) {
			for (let version = 2; version < 42; version += 1) {
				store.put('op/config', makeLargeConfig(version));
			}

			return 41;
		},
	},
	{
		name: '1,600 replicas, each of them twenty times, and a configuration with 5,000 routes', write(store) {
			for (let index = 0; index < 32_000; index += 1) {
				store.put(`servers/replica-${index % 1600}`, {...entry, service: 'other', callSeq: index});
			}

			store.put('op/config', makeLargeConfig(2));
			return 2;
		},
	},
];

describe('a host process under the memory limit of production', () => {
	for (const [index, {name, write}] of processCases.entries()) {
		// Guards against a watch that fails each time because its response only gets longer, and against a process that exceeds its memory
		it(`stands still while these are written: ${name}; adopts the last configuration, and starts again with all of them in the history`, {timeout: processTimeoutMs}, async () => {
			const folder = mkdtempSync(join(tmpdir(), 'gatehead-large-'));
			const store = await startStore(anyPort);
			const log = makeReplicaLog();
			const replica = await startReplica({
				id: 'plain-0', stage: undefined, slots: 8, log, softwareVersion: 'v1',
			}, anyPort);
			store.put('op/config', makeConfig(1));
			store.put(`servers/${replica.id}`, makeEntry(replica, 'ready'));
			const ports = await findPorts(portsPerHost);
			const ip = `${ownNetwork}.${firstIp + index}`;
			const host = new HostProcess({
				name: 'host-0', ip, ports, seeds: [`${ip}:${ports[2]}`], store: store.address, folder, nodeOptions: memoryOptions,
			});
			const hasAdopted = (version: number) => host.readLog().split('\n').some(line => line.includes('"routingAdopted"') && line.includes(`"version":${version}}`));
			try {
				host.start();
				await until(() => hasAdopted(1));
				host.signal('SIGSTOP');
				const version = write(store);
				host.signal('SIGCONT');
				await until(() => hasAdopted(version) || !host.isRunning);
				expect(host.isRunning).toEqual(true);
				host.signal('SIGKILL');
				await host.ended();
				store.put('op/config', makeLargeConfig(version + 1));
				host.start();
				await until(() => hasAdopted(version + 1) || !host.isRunning);
				expect(host.isRunning).toEqual(true);
				const {status, isWhole} = await sendRequest({address: host.caller, id: 'request', path: '/once/1'});
				expect([status, isWhole]).toEqual([200, true]);
			} finally {
				host.signal('SIGKILL');
				await host.ended();
				await replica.kill();
				await store.kill();
			}
		});
	}
});
