/**
 * A randomized fault soak: real host processes on the platform's stand-ins,
 * faults injected from outside, and the promises checked from what callers
 * and replicas see. One seed gives one schedule of faults.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {
	jitter, pick, seedRandom, type Random,
} from '@gatehead/policy/utils/random';
import {findPorts} from '../utils/ports.js';
import {sendRequest, type CallerAnswer} from '../wire/client.js';
import {
	startReplica, type ReplicaFault, type ReplicaLog, type StandinReplica,
} from '../wire/replica-server.js';
import {startStore, type StandinStore, type StoreFault} from '../wire/store-server.js';
import {makeConfig, makeEntry, until} from '../wire/world.js';
import {startProxy, type FaultyProxy, type ProxyMode} from './faulty-proxy.js';
import {HostProcess} from './host-process.js';

const anyPort = '127.0.0.1:0';
const firstIp = 11;
const requestGapMs = 12;
const faultGapMs = 260;
const longestFaultMs = 1500;
const spread = 0.5;
const calmMs = 4000;
const stages = [undefined, undefined, undefined, 'prefill', 'prefill', 'decode', 'decode', 'decode'] as const;
const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];
const replicaFaults: readonly ReplicaFault[] = ['full', 'reset', 'silent', 'error', 'foreign', 'unmarked', 'cut', 'doubled', 'emptyPromise', 'unframedReset'];
const storeFaults: readonly StoreFault[] = ['silent', 'busy', 'reset'];
const proxyModes: readonly ProxyMode[] = ['delay', 'silence', 'dropAnswers'];
/** Statuses that promise that a request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What one seed played and found. */
export type SoakReport = {
	readonly seed: number;
	readonly requests: number;
	readonly served: number;
	readonly faults: number;
	readonly folder: string;
	/** Each broken promise, in a sentence. */
	readonly broken: readonly string[];
};

type Sent = {
	readonly id: string;
	readonly path: string;
	readonly answer: CallerAnswer;
};

type Bed = {
	readonly random: Random;
	readonly store: StandinStore;
	readonly storeProxy: FaultyProxy;
	readonly replicas: readonly StandinReplica[];
	readonly proxies: readonly FaultyProxy[];
	readonly hosts: readonly HostProcess[];
	readonly log: ReplicaLog;
	readonly folder: string;
	version: number;
};

async function makeBed(seed: number, hostCount: number): Promise<Bed> {
	const folder = mkdtempSync(join(tmpdir(), `gatehead-soak-${seed}-`));
	const log: ReplicaLog = {
		runs: [], results: new Map(), closed: [], orders: [],
	};
	const store = await startStore(anyPort);
	const storeProxy = await startProxy(store.address);
	const replicas = await Promise.all(stages.map(async (stage, index) => startReplica({
		id: `${stage ?? 'plain'}-${index}`, stage, slots: 16, log,
	}, anyPort)));
	const proxies = await Promise.all(replicas.map(async ({address}) => startProxy(address)));
	const ports = await findPorts(4 * hostCount);
	const seedAddress = `127.0.0.${firstIp}:${ports[2]}`;
	const hosts = Array.from({length: hostCount}, (_, index) => new HostProcess({
		name: `host-${index}`, ip: `127.0.0.${firstIp + index}`, ports: ports.slice(4 * index, (4 * index) + 4), seeds: [seedAddress], store: storeProxy.address, folder,
	}));
	const bed = {
		random: seedRandom(seed), store, storeProxy, replicas, proxies, hosts, log, folder, version: 1,
	};
	store.put('op/config', makeConfig(bed.version));
	for (const [index] of replicas.entries()) {
		publish(bed, index, 'ready');
	}

	for (const host of hosts) {
		host.start();
	}

	return bed;
}

/** Hosts reach a replica through its proxy. */
function publish({store, replicas, proxies}: Bed, index: number, state: 'ready' | 'draining'): void {
	const replica = replicas[index];
	const proxy = proxies[index];
	if (replica !== undefined && proxy !== undefined) {
		const entry = makeEntry(replica, state);
		store.put(`servers/${replica.id}`, {...(typeof entry === 'object' ? entry : {}), address: proxy.address});
	}
}

/** Each fault, with what ends it. */
const faults: Readonly<Record<string, (bed: Bed, lastsMs: number) => Promise<void>>> = {
	async killHost({random, hosts}, lastsMs) {
		const host = pick(random, hosts);
		host?.signal('SIGKILL');
		await host?.ended();
		await pause(lastsMs / 4);
		host?.start();
	},
	async stopHost({random, hosts}) {
		const host = pick(random, hosts);
		host?.signal('SIGTERM');
		await host?.ended();
		host?.start();
	},
	async pauseHost({random, hosts}, lastsMs) {
		const host = pick(random, hosts);
		host?.signal('SIGSTOP');
		await pause(lastsMs);
		host?.signal('SIGCONT');
	},
	async reloadHost({random, hosts}) {
		pick(random, hosts)?.signal('SIGHUP');
	},
	async crashReplica({random, replicas}, lastsMs) {
		const replica = pick(random, replicas);
		await replica?.kill();
		await pause(lastsMs);
		await replica?.revive();
	},
	async spoilReplica({random, replicas}, lastsMs) {
		const replica = pick(random, replicas);
		if (replica !== undefined) {
			replica.fault = pick(random, replicaFaults) ?? 'none';
			await pause(lastsMs);
			replica.fault = 'none';
		}
	},
	async harmPath({random, proxies, storeProxy}, lastsMs) {
		const proxy = pick(random, [...proxies, storeProxy]);
		if (proxy !== undefined) {
			proxy.mode = pick(random, proxyModes) ?? 'pass';
			await pause(lastsMs);
			proxy.mode = 'pass';
			// What was lost on the way is lost for the connection
			proxy.reset();
		}
	},
	async resetPaths({random, proxies}) {
		pick(random, proxies)?.reset();
	},
	async harmStore({random, store}, lastsMs) {
		store.setFault(pick(random, storeFaults) ?? 'none');
		await pause(lastsMs);
		store.setFault('none');
	},
	async forgetHistory({store}) {
		store.compact();
	},
	async configure(bed) {
		bed.version += 1;
		bed.store.put('op/config', makeConfig(bed.version));
	},
	async drainReplica(bed, lastsMs) {
		const index = Math.floor(bed.random.next() * bed.replicas.length);
		publish(bed, index, 'draining');
		await pause(lastsMs);
		publish(bed, index, 'ready');
	},
};

async function injectFaults(bed: Bed, endsAt: number): Promise<number> {
	const running: Array<Promise<void>> = [];
	while (performance.now() < endsAt) {
		await pause(jitter(bed.random, faultGapMs, spread));
		const fault = pick(bed.random, Object.keys(faults));
		running.push(faults[fault ?? '']?.(bed, bed.random.next() * longestFaultMs) ?? Promise.resolve());
	}

	await Promise.all(running);
	return running.length;
}

async function send({hosts, random}: Bed, id: string): Promise<Sent> {
	const path = pick(random, paths) ?? '';
	const address = pick(random, hosts)?.caller ?? '';
	return {id, path, answer: await sendRequest({address, id, path})};
}

async function sendUntil(bed: Bed, isOver: () => boolean): Promise<Sent[]> {
	const sent: Array<Promise<Sent>> = [];
	while (!isOver()) {
		sent.push(send(bed, `r${sent.length}`));
		await pause(jitter(bed.random, requestGapMs, spread));
	}

	return Promise.all(sent);
}

/** Whether a whole stream has each event once, in order. */
function isInOrder(body: string): boolean {
	const ids = [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id));
	return ids.length === 6 && ids.every((id, index) => id === index + 1);
}

/** What is wrong with one request, if anything. */
function judge({id, path, answer}: Sent, runs: number): string | undefined {
	const {status, isWhole, body, headers} = answer;
	const isOnce = path === '/once/1' || path === '/stream/1';
	const isPlain = path === '/once/1' || path === '/repeatable/1';
	const isServed = status === 200 && isWhole;
	const rules: ReadonlyArray<readonly [boolean, string]> = [
		[isOnce && runs > 1, `ran ${runs} times`],
		[isOnce && runs > 0 && promises.has(status), `ran and was answered ${status}`],
		[isServed && headers['request-id'] !== id, 'has the answer of another request'],
		[isServed && isPlain && body !== `whole answer to ${id}`, `has a wrong body: ${body}`],
		[isServed && !isPlain && !isInOrder(body) && !body.includes('data: x'), `has lost or doubled events: ${body}`],
		[status >= 300 && status < 500 && !promises.has(status), `was answered ${status}`],
	];
	for (const [isBroken, text] of rules) {
		if (isBroken) {
			return `${id} ${path} ${text}`;
		}
	}

	return undefined;
}

/** After the last fault every host serves again. */
async function findUnserved(bed: Bed): Promise<string[]> {
	const unserved: string[] = [];
	for (const host of bed.hosts) {
		const endsAt = performance.now() + (3 * calmMs);
		let isServed = false;
		for (let tries = 0; !isServed && performance.now() < endsAt; tries += 1) {
			const {status, isWhole} = await sendRequest({address: host.caller, id: `calm-${host.name}-${tries}`, path: '/repeatable/1'});
			isServed = status === 200 && isWhole;
			await pause(faultGapMs);
		}

		if (!isServed) {
			unserved.push(`${host.name} does not serve after the last fault`);
		}
	}

	return unserved;
}

async function endBed({hosts, replicas, proxies, storeProxy, store}: Bed): Promise<void> {
	for (const host of hosts) {
		host.signal('SIGKILL');
		await host.ended();
	}

	for (const proxy of [...proxies, storeProxy]) {
		proxy.close();
	}

	await Promise.all(replicas.map(async each => each.kill()));
	await store.kill();
}

/** Plays one seed. */
export async function playSoak(seed: number, seconds: number, hostCount = 3): Promise<SoakReport> {
	const bed = await makeBed(seed, hostCount);
	try {
		let isReady = false;
		while (!isReady) {
			const answers = await Promise.all(bed.hosts.map(async ({caller}) => sendRequest({address: caller, id: 'ready', path: '/repeatable/1'})));
			isReady = answers.every(({status}) => status === 200);
			await pause(faultGapMs);
		}

		let isOver = false;
		const sending = sendUntil(bed, () => isOver);
		const faultCount = await injectFaults(bed, performance.now() + (seconds * 1000));
		isOver = true;
		const sent = await sending;
		await until(() => bed.hosts.every(({isRunning}) => isRunning));
		const unserved = await findUnserved(bed);
		const runs = new Map<string, number>();
		for (const {request} of bed.log.runs) {
			runs.set(request, (runs.get(request) ?? 0) + 1);
		}

		const broken = sent.map(each => judge(each, runs.get(each.id) ?? 0)).filter(text => text !== undefined);
		return {
			seed, requests: sent.length, served: sent.filter(({answer}) => answer.status === 200 && answer.isWhole).length, faults: faultCount, folder: bed.folder, broken: [...broken, ...unserved],
		};
	} finally {
		await endBed(bed);
	}
}
