/**
 * Endpoints that fall silent while the configuration changes: host processes
 * and endpoint processes, the latter stopped and woken, and the promises
 * checked from what callers and endpoints saw.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {
	pick, seedRandom, shuffle, type Random,
} from '@gatehead/policy/utils/random';
import {waitUntilServing} from '../../soak/bed.js';
import {HostProcess} from '../../soak/host-process.js';
import {findPorts, ownNetwork} from '../../utils/ports.js';
import {startStore, type StandinStore} from '../store-server.js';
import {
	promises, CallerPool, sendUntil, type Attempt, type CallerPlan,
} from './callers.js';
import {EndpointProcess, type EndpointParts, type RequestEvent} from './endpoint-process.js';

const anyPort = '127.0.0.1:0';
const firstIp = 11;
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;
const halls = ['a', 'b', 'c', 'd'] as const;
const silenceMs = 1200;
/** Time from a change of the configuration to the stop that follows it, in milliseconds. */
const changeLeadMs = 600;
const mostHostStopMs = 1500;
const idleTimeouts = [1500, 2500, 4000, 8000] as const;
const routeTimeouts = [900, 1100, 1300, 2000] as const;
const paths = ['/once/', '/once/', '/once/', '/repeatable/', '/moving/', '/passing/'];

/** What makes silence richer than a pause; each adds to what endpoints, callers or hosts do. */
export type Hazard = 'plain' | 'smallBacklog' | 'idleOnWaking' | 'staggered' | 'together' | 'crowded' | 'lateRejections' | 'surplus' | 'hostStops' | 'shedsBeforeBody' | 'longBodies' | 'rejections' | 'closing';

type Setting = {
	readonly endpoint?: Partial<EndpointParts>;
	readonly caller?: Partial<Pick<CallerPlan, 'longBodyShare' | 'leavingShare'>>;
	/** Whether the next endpoint stops as one wakes. */
	readonly isStaggered?: boolean;
	readonly stopsHosts?: boolean;
	/** Whether all endpoints of the service stop at once. */
	readonly stopsAll?: boolean;
};

const settings: Readonly<Record<Hazard, Setting>> = {
	plain: {},
	/** Connects time out or stay half open while the process stands still. */
	smallBacklog: {endpoint: {backlog: 1, mostConnections: 60, closingShare: 0.3}},
	/** Idle timers fire on waking, before the requests that have arrived are read. */
	idleOnWaking: {endpoint: {idleS: 2}},
	/** Rejections and late responses come at the moment at which the next endpoint stops. */
	staggered: {isStaggered: true},
	/** All endpoints of the service fall silent, so that hosts lose their links and forward to each other. */
	together: {stopsAll: true},
	/** Queues are full while another endpoint is silent, and hold expired requests on waking. */
	crowded: {endpoint: {slots: 1, workMs: 28, queue: 8}},
	/** A rejection leaves no time for a second attempt. */
	lateRejections: {endpoint: {lateRejectionShare: 0.1}},
	surplus: {endpoint: {surplusShare: 0.3}},
	hostStops: {stopsHosts: true},
	shedsBeforeBody: {endpoint: {shedsBeforeBody: true, rejectedShare: 0.1}, caller: {longBodyShare: 0.2}},
	longBodies: {caller: {longBodyShare: 0.3}},
	rejections: {endpoint: {rejectedShare: 0.3}},
	closing: {endpoint: {closingShare: 0.3}},
};

export const hazards = Object.keys(settings) as Hazard[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table's own keys

export type SilencePlan = {
	readonly seed: number;
	readonly hosts: number;
	readonly perSecond: number;
	/** How often the configuration changes and an endpoint falls silent. */
	readonly silences: number;
	readonly hazards: readonly Hazard[];
	/** Path of the hosts' program; absent: the one built here. */
	readonly program?: string | undefined;
};

export type SilenceReport = {
	readonly folder: string;
	readonly attempts: number;
	/** Attempts by status; 0: none. */
	readonly statuses: ReadonlyMap<number, number>;
	/** Attempts that an endpoint rejected, and that were served by another one. */
	readonly servedAfterRejection: number;
	/** Attempts that an endpoint rejected. */
	readonly rejected: number;
	/** Attempts whose caller saw its connection end without a response. */
	readonly lost: number;
	readonly untrue: number;
	readonly doubled: number;
	/** Broken promises, each with the events at endpoints. */
	readonly broken: readonly string[];
};

type Configuration = {
	version: number;
	idleTimeoutMs: number;
	timeoutMs: number;
	movingService: string;
	hasPassing: boolean;
};

function writeConfiguration({version, idleTimeoutMs, timeoutMs, movingService, hasPassing}: Configuration): unknown {
	const route = {
		host: 'calls.example', timeoutMs, targetLatencyMs: 400, priority: 1, sticky: false, maxAttempts: 3,
	};
	return {
		version,
		routes: [
			{
				...route, name: 'once', pathPrefix: '/once/', kind: 'non_idempotent', service: 'plain',
			},
			{
				...route, name: 'repeatable', pathPrefix: '/repeatable/', kind: 'idempotent', service: 'plain',
			},
			{
				...route, name: 'moving', pathPrefix: '/moving/', kind: 'non_idempotent', service: movingService,
			},
			...hasPassing
				? [{
					...route, name: 'passing', pathPrefix: '/passing/', kind: 'non_idempotent', service: 'plain',
				}]
				: [],
		],
		services: [{name: 'plain', healthPath: '/health', maxConns: 100}, {name: 'other', healthPath: '/health', maxConns: 100}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs,
		},
	};
}

const changes: ReadonlyArray<(configuration: Configuration, random: Random) => void> = [
	(configuration, random) => {
		configuration.idleTimeoutMs = pick(random, idleTimeouts) ?? configuration.idleTimeoutMs;
	},
	(configuration, random) => {
		configuration.timeoutMs = pick(random, routeTimeouts) ?? configuration.timeoutMs;
	},
	configuration => {
		configuration.movingService = configuration.movingService === 'plain' ? 'other' : 'plain';
	},
	configuration => {
		configuration.hasPassing = !configuration.hasPassing;
	},
];

type Bed = {
	readonly random: Random;
	readonly store: StandinStore;
	readonly endpoints: readonly EndpointProcess[];
	readonly hosts: readonly HostProcess[];
	readonly connections: CallerPool;
	readonly configuration: Configuration;
};

function change({store, random, configuration, connections}: Bed): void {
	configuration.version += 1;
	pick(random, changes)?.(configuration, random);
	store.put('op/config', writeConfiguration(configuration));
	connections.idleTimeoutMs = configuration.idleTimeoutMs;
}

async function stopHosts({hosts, random}: Bed): Promise<void> {
	const stopped = shuffle(random, hosts).slice(0, Math.ceil(hosts.length / 4));
	await Promise.all(stopped.map(async host => {
		await pause(random.next() * silenceMs);
		host.signal('SIGSTOP');
		await pause(random.next() * mostHostStopMs);
		host.signal('SIGCONT');
	}));
}

/** Endpoints fall silent one after the other, each behind a change. */
async function silence(bed: Bed, silences: number, {isStaggered = false, stopsHosts: areHostsStopped = false, stopsAll = false}: Setting): Promise<void> {
	const order = shuffle(bed.random, bed.endpoints.slice(0, halls.length));
	const stops: Array<Promise<void>> = [];
	for (let index = 0; index < silences; index += 1) {
		const silent = stopsAll ? order : order.slice(index % order.length, (index % order.length) + 1);
		if (!isStaggered || index === 0) {
			change(bed);
			await pause(changeLeadMs);
		}

		for (const endpoint of silent) {
			endpoint.stop();
		}

		if (areHostsStopped) {
			stops.push(stopHosts(bed));
		}

		await pause(silenceMs - changeLeadMs);
		if (isStaggered) {
			change(bed);
		}

		await pause(changeLeadMs);
		for (const endpoint of silent) {
			endpoint.wake();
		}
	}

	await Promise.all(stops);
	await pause(changeLeadMs);
}

function describe({id, status, host, sentAt, endedAt, isKeptConnection, hasLeft}: Attempt, events: readonly RequestEvent[]): string {
	const seen = events.map(({kind, endpoint, connection, status, at}) => `${kind} ${status} at ${endpoint}#${connection} +${at - sentAt}`);
	return `${id} at ${host}: ${hasLeft ? 'left' : status} after ${endedAt - sentAt} ms${isKeptConnection ? ', kept connection' : ''}: ${seen.join('; ')}`;
}

function judge(attempts: readonly Attempt[], events: ReadonlyMap<string, readonly RequestEvent[]>): Pick<SilenceReport, 'lost' | 'untrue' | 'doubled' | 'broken' | 'rejected' | 'servedAfterRejection'> {
	const count = {
		lost: 0, untrue: 0, doubled: 0, rejected: 0, servedAfterRejection: 0,
	};
	const broken: string[] = [];
	for (const attempt of attempts) {
		const seen = events.get(attempt.id) ?? [];
		const runs = seen.filter(({kind}) => kind === 'began').length;
		const isUntrue = attempt.isOnce && promises.has(attempt.status) && runs > 0;
		const isDoubled = attempt.isOnce && runs > 1;
		// No host ends or stops in these cases, so that no request crosses an announced close
		const isLost = attempt.hasGivenUp || (attempt.status === 0 && !attempt.hasLeft);
		const isForeign = attempt.status === 200 && attempt.body !== `200 of ${attempt.id}`;
		const isRejected = seen.some(({status}) => status === 503);
		count.untrue += Number(isUntrue);
		count.doubled += Number(isDoubled);
		count.lost += Number(isLost);
		count.rejected += Number(isRejected);
		count.servedAfterRejection += Number(isRejected && attempt.status === 200);
		const rules: ReadonlyArray<readonly [boolean, string]> = [[isUntrue, 'ran although rejected'], [isDoubled, 'ran twice'], [isLost, 'has no response'], [isForeign, 'has another response']];
		for (const [isBroken, text] of rules) {
			if (isBroken) {
				broken.push(`${text}: ${describe(attempt, seen)}`);
			}
		}
	}

	return {...count, broken};
}

async function startBed({seed, hosts: hostCount, program}: SilencePlan, parts: Partial<EndpointParts>, onEvent: (event: RequestEvent) => void, folder: string): Promise<Bed> {
	const store = await startStore(anyPort);
	const configuration: Configuration = {
		version: 1, idleTimeoutMs: 4000, timeoutMs: 1100, movingService: 'plain', hasPassing: true,
	};
	store.put('op/config', writeConfiguration(configuration));
	const endpoints = await Promise.all([...halls, 'a'].map(async (hall, index) => {
		const service = index < halls.length ? 'plain' : 'other';
		const all: EndpointParts = {
			id: `${service}-${hall}`, seed: seed + index, slots: 6, queue: 24, workMs: 17, backlog: 511, mostConnections: 400, idleS: 5, surplusShare: 0, closingShare: 0, bareHeadShare: 0, rejectedShare: 0, lateRejectionShare: 0, shedsBeforeBody: false, ...parts,
		};
		const endpoint = await EndpointProcess.start(all, onEvent);
		store.put(`servers/${endpoint.id}`, {
			service, address: endpoint.address, zone: hall, version: 'v1', slots: all.slots, state: 'ready', coldRemainingMs: 0, callSeq: 0,
		});
		return endpoint;
	}));
	const ports = await findPorts(portsPerHost * hostCount);
	const seeds = Array.from({length: Math.min(4, hostCount)}, (_, index) => `${ownNetwork}.${firstIp + index}:${ports[(portsPerHost * index) + 2]}`);
	const hosts = Array.from({length: hostCount}, (_, index) => new HostProcess({
		name: `host-${index}`, hall: halls[index % halls.length] ?? 'a', ip: `${ownNetwork}.${firstIp + index}`, ports: ports.slice(portsPerHost * index, portsPerHost * (index + 1)), seeds, store: store.address, folder, program,
	}));
	for (const host of hosts) {
		host.start();
	}

	return {
		random: seedRandom(seed), store, endpoints, hosts, configuration, connections: new CallerPool(configuration.idleTimeoutMs),
	};
}

async function endBed({hosts, endpoints, connections, store}: Bed): Promise<void> {
	connections.destroy();
	for (const host of hosts) {
		host.signal('SIGKILL');
	}

	await Promise.all(hosts.map(async host => host.ended()));
	await Promise.all(endpoints.map(async endpoint => endpoint.end()));
	await store.kill();
}

function combine(chosen: readonly Hazard[]): Setting {
	let combined: Setting = {};
	for (const hazard of chosen) {
		const setting = settings[hazard];
		combined = {
			...combined, ...setting, endpoint: {...combined.endpoint, ...setting.endpoint}, caller: {...combined.caller, ...setting.caller},
		};
	}

	return combined;
}

/** Plays one case. */
export async function playSilence(plan: SilencePlan): Promise<SilenceReport> {
	const setting = combine(plan.hazards);
	const folder = mkdtempSync(join(tmpdir(), `gatehead-silence-${plan.seed}-`));
	const events = new Map<string, RequestEvent[]>();
	const bed = await startBed(plan, setting.endpoint ?? {}, event => {
		const known = events.get(event.id);
		if (known === undefined) {
			events.set(event.id, [event]);
		} else {
			known.push(event);
		}
	}, folder);
	try {
		// Endpoints may reject at any time, so that all hosts are never served at once
		await Promise.all(bed.hosts.map(async host => waitUntilServing({hosts: [host], folder})));
		const callers: CallerPlan = {
			// The schedule of changes and stops does not depend on how many requests there are
			random: seedRandom(plan.seed + 1), hosts: bed.hosts.map(({caller}) => caller), connections: bed.connections, longBodyBytes: 200_000, longBodyShare: 0, leavingShare: 0.3, paths, ...setting.caller,
		};
		let isOver = false;
		const sending = sendUntil(callers, plan.perSecond, () => isOver);
		await pause(changeLeadMs);
		await silence(bed, plan.silences, setting);
		isOver = true;
		const attempts = await sending;
		// Runs of requests whose callers have left may still begin
		await pause(changeLeadMs);
		const statuses = new Map<number, number>();
		for (const {status} of attempts) {
			statuses.set(status, (statuses.get(status) ?? 0) + 1);
		}

		return {
			folder, attempts: attempts.length, statuses, ...judge(attempts, events),
		};
	} finally {
		await endBed(bed);
	}
}
