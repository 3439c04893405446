/** Real host processes before replicas of one software version, which replicas of the next one join: for tests of a host that is out of step meanwhile. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {waitUntilServing} from '../soak/bed.js';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {HostProcess} from '../soak/host-process.js';
import {partitionSignal, writePartition} from '../soak/partition.js';
import {findPorts, ownNetwork} from '../utils/ports.js';
import {makeReplicaLog, startReplica, type StandinReplica} from './replica-server.js';
import {startStore, type StandinStore} from './store-server.js';
import {makeConfig, makeEntry} from './world.js';

const anyPort = '127.0.0.1:0';
const program = fileURLToPath(new URL('../soak/partitionable-host.js', import.meta.url));
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;
const lowestIp = 11;
/** Replicas of each software version. */
const stages = ['prefill', 'decode', 'decode', 'decode'] as const;
const slots = 64;
/** Hosts that this process has started; each has an address of its own, since all serve their figures at one port. */
let hostsStarted = 0;

/** A running deployment. */
export type ReleaseBed = {
	readonly store: StandinStore;
	readonly hosts: readonly HostProcess[];
	/** Each host's path to the store. */
	readonly storePaths: readonly FaultyProxy[];
	readonly replicas: StandinReplica[];
	/** Where the logs of the hosts are. */
	readonly folder: string;
	/** Drops all messages between some hosts, by their numbers, and the others; none: all pass. */
	partition(side: readonly number[]): void;
	/** Starts replicas of a software version, which write their entries. */
	join(softwareVersion: string): Promise<void>;
	/** Ends all that was started, and removes the logs. */
	stop(): Promise<void>;
};

/** Starts hosts and replicas of `v1`, and waits until all hosts serve. */
export async function startReleaseBed(hostCount: number, eventGapMs: number): Promise<ReleaseBed> {
	const folder = mkdtempSync(join(tmpdir(), 'gatehead-release-'));
	const log = makeReplicaLog();
	const store = await startStore(anyPort);
	const replicas: StandinReplica[] = [];
	const addReplica = async (id: string, stage: 'prefill' | 'decode' | undefined, softwareVersion?: string) => {
		const replica = await startReplica({
			id, stage, slots, log, eventGapMs, softwareVersion,
		}, anyPort);
		replicas.push(replica);
		store.put(`servers/${id}`, makeEntry(replica, 'ready'));
	};

	const firstIp = lowestIp + hostsStarted;
	hostsStarted += hostCount;
	const storePaths = await Promise.all(Array.from({length: hostCount}, async () => startProxy(store.address)));
	const ports = await findPorts(portsPerHost * hostCount);
	const seeds = [`${ownNetwork}.${firstIp}:${ports[2]}`];
	const hosts = storePaths.map(({address}, index) => new HostProcess({
		name: `host-${index}`, ip: `${ownNetwork}.${firstIp + index}`, ports: ports.slice(portsPerHost * index, portsPerHost * (index + 1)), seeds, store: address, folder, program,
	}));
	const bed: ReleaseBed = {
		store,
		hosts,
		storePaths,
		replicas,
		folder,
		partition(side) {
			for (const [index, host] of hosts.entries()) {
				const isInSide = side.includes(index);
				const others = hosts.filter((_, other) => side.length > 0 && side.includes(other) !== isInSide);
				writePartition(join(folder, `${host.name}.json`), others.map(({name}) => name));
				host.signal(partitionSignal);
			}
		},
		async join(softwareVersion) {
			for (const [index, stage] of stages.entries()) {
				await addReplica(`${stage}-${index}-${softwareVersion}`, stage, softwareVersion);
			}
		},
		async stop() {
			for (const host of hosts) {
				host.signal('SIGKILL');
				await host.ended();
			}

			for (const path of storePaths) {
				path.close();
			}

			await Promise.all(replicas.map(async each => each.kill()));
			await store.kill();
			rmSync(folder, {recursive: true});
		},
	};
	store.put('op/config', makeConfig(1));
	await addReplica('plain', undefined);
	await bed.join('v1');
	for (const host of hosts) {
		host.start();
	}

	await waitUntilServing(bed);
	return bed;
}
