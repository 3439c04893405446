/**
 * Items of the directory that cannot be used, at host processes under the
 * memory limit of production: one that reads the directory and one that is told
 * by it. Guards against processes that end at an item, and against hosts that
 * no longer follow the items behind it.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {Store} from '@gatehead/platform/store';
import {waitUntilServing} from '../soak/bed.js';
import {startProxy} from '../soak/faulty-proxy.js';
import {HostProcess} from '../soak/host-process.js';
import {findPorts, ownNetwork} from '../utils/ports.js';
import {sendRequest} from './client.js';
import {makeReplicaLog, startReplica} from './replica-server.js';
import {startStore, type StandinStore} from './store-server.js';
import {makeConfig, makeEntry, until} from './world.js';

const anyPort = '127.0.0.1:0';
/** As in deploy/system.toml. */
const memoryOptions = ['--max-old-space-size=96', '--max-semi-space-size=2'];
const portsPerHost = 5;
const firstIp = 51;
const followTimeoutMs = 10_000;
const startTimeoutMs = 60_000;
const stages = [undefined, 'prefill', 'decode'] as const;
const paths = ['/once/1', '/resumable/1'] as const;
/** Nesting whose parsed form exceeds the memory limit. */
const levels = 1_500_000;

/** An item that another writer or the store has left. */
type ItemDraft = {
	readonly key: string;
	readonly text: string;
	/** Replaces fields of the item around its value. */
	readonly fields?: Readonly<Record<string, unknown>>;
};

type Case = ItemDraft & {readonly name: string};

const entry = {
	service: 'plain', address: '127.0.0.1:9', zone: 'a', version: 'v1', slots: 4, state: 'draining', coldRemainingMs: 0, callSeq: 4, born: 1,
};

function withText(field: string, text: string): string {
	return JSON.stringify({...entry, [field]: '?'}).replace('"?"', () => text);
}

const nested = `${'['.repeat(levels)}${']'.repeat(levels)}`;

const cases: readonly Case[] = [
	{name: 'an entry nested 1,500,000 deep', key: 'servers/other', text: nested},
	{name: 'an entry with a field nested 1,500,000 deep', key: 'servers/other', text: withText('extra', nested)},
	{name: 'an entry with a million empty objects', key: 'servers/other', text: withText('extra', `[${'{},'.repeat(999_999)}{}]`)},
	{name: 'an entry with a port out of range', key: 'servers/other', text: withText('address', '"127.0.0.1:65536"')},
	{name: 'an entry with a number too large for a double', key: 'servers/other', text: withText('slots', '1e999')},
	{name: 'an entry with a start time of 1e308', key: 'servers/other', text: withText('born', '1e308')},
	{
		name: 'an entry whose revision is no integer', key: 'servers/other', text: JSON.stringify(entry), fields: {revision: 5.5},
	},
	{
		name: 'an entry with a negative revision', key: 'servers/other', text: JSON.stringify(entry), fields: {revision: -1},
	},
	{
		name: 'an entry whose revision is 1e300', key: 'servers/other', text: JSON.stringify(entry), fields: {revision: 1e300},
	},
	{
		name: 'an entry whose creation revision is no integer', key: 'servers/other', text: JSON.stringify(entry), fields: {createRev: 0.5},
	},
	{
		name: 'an entry whose tombstone is a text', key: 'servers/other', text: JSON.stringify(entry), fields: {tombstone: 'no'},
	},
	{
		name: 'an item without a key', key: 'servers/other', text: JSON.stringify(entry), fields: {key: 7},
	},
	{
		name: 'an entry whose value is no text', key: 'servers/other', text: JSON.stringify(entry), fields: {value: {}},
	},
	{
		name: 'a configuration whose revision is no integer', key: 'op/config', text: JSON.stringify(makeConfig(1)), fields: {revision: 5.5},
	},
	{name: 'a configuration nested 1,500,000 deep', key: 'op/config', text: nested},
	{name: 'a configuration with 300,000 invalid routes', key: 'op/config', text: JSON.stringify(makeConfig(1)).replace('"routes":[', () => `"routes":[${'{},'.repeat(300_000)}`)},
	{name: 'a configuration with 500,000 invalid workspaces', key: 'op/config', text: JSON.stringify(makeConfig(1, [])).replace('"tenants":[', () => `"tenants":[${'0,'.repeat(499_999)}0`)},
	{name: 'an entry under a key of 100,000 letters', key: `servers/${'i'.repeat(100_000)}`, text: JSON.stringify(entry)},
];

/** Two host processes: the first reads the directory, the second can be cut off from it. */
type Deployment = {
	readonly store: StandinStore;
	readonly hosts: readonly HostProcess[];
	readonly folder: string;
	/** Cuts the second host off from the directory. */
	readonly cutOff: () => void;
	readonly stop: () => Promise<void>;
};

async function startDeployment(items: readonly ItemDraft[]): Promise<Deployment> {
	const folder = mkdtempSync(join(tmpdir(), 'gatehead-items-'));
	const store = await startStore(anyPort);
	const path = await startProxy(store.address);
	const log = makeReplicaLog();
	const replicas = await Promise.all(stages.map(async (stage, index) => startReplica({
		id: `${stage ?? 'plain'}-${index}`, stage, slots: 8, log, softwareVersion: 'v1',
	}, anyPort)));
	store.put('op/config', makeConfig(1));
	for (const replica of replicas) {
		store.put(`servers/${replica.id}`, makeEntry(replica, 'ready'));
	}

	for (const {key, text, fields} of items) {
		store.putText(key, text, fields);
	}

	const ports = await findPorts(portsPerHost * 2);
	const hosts = [0, 1].map(index => new HostProcess({
		name: `host-${index}`, ip: `${ownNetwork}.${firstIp + index}`, ports: ports.slice(portsPerHost * index, portsPerHost * (index + 1)), seeds: [`${ownNetwork}.${firstIp}:${ports[2]}`], store: index === 0 ? store.address : path.address, folder, nodeOptions: memoryOptions,
	}));
	for (const host of hosts) {
		host.start();
	}

	return {
		store,
		hosts,
		folder,
		cutOff() {
			path.reset();
			path.mode = 'silence';
		},
		async stop() {
			for (const host of hosts) {
				host.signal('SIGKILL');
				await host.ended();
			}

			path.close();
			await Promise.all(replicas.map(async each => each.kill()));
			await store.kill();
		},
	};
}

/** Whether a host has taken a version of the configuration into use. */
function hasAdopted(host: HostProcess, version: number): boolean {
	return host.readLog().split('\n').some(line => line.includes('"routingAdopted"') && line.includes(`"version":${version}}`));
}

/** Waits until all hosts use a version, or one has ended. */
async function untilAdopted(hosts: readonly HostProcess[], version: number): Promise<void> {
	await until(() => hosts.every(host => hasAdopted(host, version)) || hosts.some(({isRunning}) => !isRunning));
}

/** What each host has made of a request of each kind. */
async function ask(hosts: readonly HostProcess[], id: string): Promise<number[]> {
	const answers = await Promise.all(hosts.flatMap(({caller}) => paths.map(async path => sendRequest({address: caller, id: `${id}-${path}`, path}))));
	return answers.map(({status, isWhole}) => isWhole ? status : 0);
}

const served = [200, 200, 200, 200];

describe('a malformed item, read by a watch at one host and told to another', () => {
	let deployment: Deployment;
	let version = 1;
	const play = async ({key, text, fields}: ItemDraft) => {
		const {store, hosts} = deployment;
		store.putText(key, text, fields);
		version += 1;
		store.put('op/config', makeConfig(version));
		await untilAdopted(hosts, version);
		expect(hosts.map(({isRunning}) => isRunning)).toEqual([true, true]);
		expect(await ask(hosts, `watch-${version}`)).toEqual(served);
	};

	before(async () => {
		deployment = await startDeployment([]);
		await waitUntilServing(deployment);
		deployment.cutOff();
	});
	after(async () => {
		await deployment.stop();
	});
	// A process that an item ended must not fail the cases behind it
	afterEach(async () => {
		const {store, hosts} = deployment;
		if (hosts.every(({isRunning}) => isRunning)) {
			return;
		}

		store.remove('servers/other');
		version += 1;
		store.put('op/config', makeConfig(version));
		for (const host of hosts) {
			host.start();
		}

		await waitUntilServing(deployment);
	});
	for (const {name, ...draft} of cases) {
		it(`${name}: both processes go on, serve, and use the next configuration`, {timeout: followTimeoutMs}, async () => {
			await play(draft);
		});
	}
});

describe('malformed items in the lists of hosts that start', () => {
	it('all hosts start, start again, serve, and use the next configuration', {timeout: startTimeoutMs}, async () => {
		const items = cases.filter(({key}) => key !== 'op/config').map((item, index) => ({...item, key: `${item.key}-${index}`}));
		const {store, hosts, folder, stop} = await startDeployment(items);
		try {
			await waitUntilServing({hosts, folder});
			expect(await ask(hosts, 'first')).toEqual(served);
			for (const host of hosts) {
				host.signal('SIGKILL');
				await host.ended();
			}

			for (const host of hosts) {
				host.start();
			}

			await waitUntilServing({hosts, folder});
			store.put('op/config', makeConfig(2));
			await untilAdopted(hosts, 2);
			expect(hosts.map(({isRunning}) => isRunning)).toEqual([true, true]);
			expect(await ask(hosts, 'second')).toEqual(served);
		} finally {
			await stop();
		}
	});
});

describe('a list in pages', () => {
	it('a page whose last item has no key: the items of the next page are read', async () => {
		const store = await startStore(anyPort);
		const directory = new Store(store.address);
		try {
			for (let index = 100; index < 600; index += 1) {
				store.putText(`servers/${index}`, JSON.stringify(entry), index === 599 ? {key: 7} : {});
			}

			store.putText('servers/last', JSON.stringify(entry));
			const {changes} = await directory.list(new AbortController().signal);
			expect(changes.some(change => change.kind === 'endpoint' && change.endpoint.instance === 'last')).toEqual(true);
		} finally {
			directory.close();
			await store.kill();
		}
	});
});
