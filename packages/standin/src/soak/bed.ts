/** A deployment of real host processes on the platform's stand-ins, each replica and the store behind a proxy. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {seedRandom, type Random} from '@gatehead/policy/utils/random';
import {fail} from '@gatehead/schema/failure';
import {findPorts, ownNetwork} from '../utils/ports.js';
import {sendRequest} from '../wire/client.js';
import {
	makeReplicaLog, startReplica, type ReplicaLog, type StandinReplica,
} from '../wire/replica-server.js';
import {startStore, type StandinStore} from '../wire/store-server.js';
import {
	makeConfig, makeEntry, platformTimes, type ConfigurationDraft, type EngineDraft,
} from '../wire/world.js';
import {LinkProxy} from '../wire/link-proxy.js';
import {EventLog} from './event-log.js';
import {startProxy, type FaultyProxy} from './faulty-proxy.js';
import {HostProcess, type HostParts} from './host-process.js';
import {type Circumstances} from './lost-requests.js';
import {startStoreView, type StoreView} from './store-view.js';

const anyPort = '127.0.0.1:0';
/** Each host has an address of its own, since all serve their figures at one port. */
const firstIp = 11;
const readyPollMs = 200;
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;
const stages = [undefined, undefined, undefined, 'prefill', 'prefill', 'decode', 'decode', 'decode'] as const;

/** A running deployment. */
export type Bed = {
	readonly random: Random;
	readonly store: StandinStore;
	readonly storeProxy: FaultyProxy;
	readonly replicas: readonly StandinReplica[];
	readonly proxies: readonly FaultyProxy[];
	readonly hosts: readonly HostProcess[];
	/** The links of each host to the replicas. */
	readonly links: readonly LinkProxy[];
	readonly views: readonly StoreView[];
	readonly log: ReplicaLog;
	readonly events: EventLog;
	readonly folder: string;
	/** Called at the moment at which a caller has the first event of a stream, with the host that sent it. */
	readonly firstEventListeners: Array<(host: HostProcess) => void>;
	/** What configurations state of the engines. */
	readonly engine: EngineDraft;
	/** What configurations state beside that. */
	draft: ConfigurationDraft;
	readonly breaks: Array<Circumstances['breaks'][number]>;
	readonly timeouts: Array<Circumstances['timeouts'][number]>;
	version: number;
	/** Number of the latest software version of the engines. */
	release: number;
};

/** Engines with outputs so long that hosts manage their load. */
const longOutputs: EngineDraft = {slots: 16, stride: 40};

export type BedOptions = {
	/** Time between two events of a stream, in milliseconds. */
	readonly eventGapMs?: number | undefined;
	/** Whether the configuration calls for load management. */
	readonly isLoadManaged?: boolean | undefined;
	/** What the hosts run, and with which memory; absent: the program built here, with Node's own limits. */
	readonly run?: Pick<HostParts, 'program' | 'nodeOptions' | 'memoryMb'> | undefined;
};

/** Starts a deployment; its hosts may not serve yet. */
export async function makeBed(seed: number, hostCount: number, {eventGapMs, isLoadManaged = false, run = {}}: BedOptions = {}): Promise<Bed> {
	const folder = mkdtempSync(join(tmpdir(), `gatehead-soak-${seed}-`));
	const log = makeReplicaLog();
	const store = await startStore(anyPort);
	const storeProxy = await startProxy(store.address);
	const replicas = await Promise.all(stages.map(async (stage, index) => startReplica({
		id: `${stage ?? 'plain'}-${index}`, stage, slots: 16, log, eventGapMs, softwareVersion: stage === undefined ? undefined : 'v1',
	}, anyPort)));
	const proxies = await Promise.all(replicas.map(async ({address}) => startProxy(address)));
	const published = proxies.map(({address}) => address);
	const links = await Promise.all(Array.from({length: hostCount}, async () => LinkProxy.start(published)));
	const views = await Promise.all(links.map(async ({addresses}) => startStoreView(storeProxy.address, new Map(published.map((address, index) => [address, addresses[index] ?? address])))));
	const ports = await findPorts(portsPerHost * hostCount);
	const seedAddress = `${ownNetwork}.${firstIp}:${ports[2]}`;
	const hosts = Array.from({length: hostCount}, (_, index) => new HostProcess({
		name: `host-${index}`, ip: `${ownNetwork}.${firstIp + index}`, ports: ports.slice(portsPerHost * index, portsPerHost * (index + 1)), seeds: [seedAddress], store: views[index]?.address ?? storeProxy.address, folder, ...run,
	}));
	const bed = {
		random: seedRandom(seed), store, storeProxy, replicas, proxies, hosts, links, views, log, events: new EventLog(folder), folder, firstEventListeners: [], engine: isLoadManaged ? longOutputs : {}, draft: {}, breaks: [], timeouts: [], version: 1, release: 1,
	};
	configure(bed);
	for (const [index] of replicas.entries()) {
		publish(bed, index, 'ready');
	}

	for (const host of hosts) {
		host.start();
	}

	return bed;
}

/** Publishes the bed's configuration in its latest version. */
export function configure({store, version, engine, draft, timeouts}: Pick<Bed, 'store' | 'version' | 'engine' | 'draft' | 'timeouts'>): void {
	timeouts.push({at: performance.now(), timeoutMs: (draft.routeTimes ?? platformTimes).timeoutMs});
	store.put('op/config', makeConfig(version, undefined, draft.added, draft.routeTimes, engine, draft));
}

/** Hosts reach a replica through its proxy. */
export function publish({store, replicas, proxies, events}: Bed, index: number, state: 'ready' | 'draining'): void {
	const replica = replicas[index];
	const proxy = proxies[index];
	if (replica !== undefined && proxy !== undefined) {
		const entry = makeEntry(replica, state);
		store.put(`servers/${replica.id}`, {...(typeof entry === 'object' ? entry : {}), address: proxy.address});
		events.add({
			event: 'published', endpoint: replica.id, state, address: proxy.address, softwareVersion: replica.softwareVersion,
		});
	}
}

/** Waits until every host serves; a host that ends instead would be waited for without end. */
export async function waitUntilServing({hosts, folder}: Pick<Bed, 'folder'> & {readonly hosts: ReadonlyArray<Pick<HostProcess, 'caller' | 'isRunning' | 'name'>>}): Promise<void> {
	for (let isReady = false; !isReady;) {
		const ended = hosts.find(({isRunning}) => !isRunning);
		if (ended !== undefined) {
			fail('internal', {detail: `${ended.name} ended before it served; its log is in ${folder}`});
		}

		const answers = await Promise.all(hosts.map(async ({caller}) => sendRequest({address: caller, id: 'ready', path: '/repeatable/1'})));
		isReady = answers.every(({status}) => status === 200);
		await pause(readyPollMs);
	}
}

/** Ends all that was started. */
export async function endBed({hosts, replicas, proxies, links, views, storeProxy, store, events}: Bed): Promise<void> {
	for (const host of hosts) {
		host.signal('SIGKILL');
		await host.ended();
	}

	for (const proxy of [...proxies, storeProxy]) {
		proxy.close();
	}

	await Promise.all(links.map(async link => link.close()));
	for (const view of views) {
		view.close();
	}

	await Promise.all(replicas.map(async each => each.kill()));
	await store.kill();
	events.close();
}
