/** A whole deployment on the platform's stand-ins: a store, replicas, and relays in this process. */
import {setTimeout as pause} from 'node:timers/promises';
import {parseBootSettings} from '@gatehead/platform/boot-settings';
import {Store} from '@gatehead/platform/store';
import {wireDialect} from '@gatehead/platform/wire-dialect';
import {systemClock, type Clock} from '@gatehead/policy/utils/clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {type Changes, type Directory} from '@gatehead/relay/core/directory';
import {type LoadManagement} from '@gatehead/schema/relay-settings';
import {Relay} from '@gatehead/relay/relay';
import {Metrics} from '@gatehead/relay/utils/metrics';
import {type LogFields} from '@gatehead/host/utils/log';
import {type Code} from '@gatehead/schema/codes';
import {findPorts, ownAddress} from '../utils/ports.js';
import {
	makeReplicaLog, startReplica, type ReplicaLog, type StandinReplica,
} from './replica-server.js';
import {startStore, type StandinStore} from './store-server.js';

const anyPort = '127.0.0.1:0';
const readyPollMs = 10;
/** Callers, readiness, peers, lookups, forwarded requests. */
const portsPerHost = 5;

/** A line of a relay's log. */
export type LoggedLine = {
	readonly host: string;
	readonly code: Code;
	readonly facts: LogFields;
	/** On the process's steady clock, in milliseconds. */
	readonly at: number;
};

/** A running relay and its addresses. */
export type RunningRelay = {
	readonly relay: Relay;
	readonly name: string;
	readonly caller: string;
	readonly ready: string;
	readonly lookup: string;
};

/** What a deployment is made from. */
export type WorldParts = {
	readonly hosts: number;
	readonly plain: number;
	readonly prefill: number;
	readonly decode: number;
	readonly slots: number;
	/** Second sends that the fleet may make in one window, whatever is asked; absent: as the platform says. */
	readonly retryAllowance?: number;
	/** Longest wait of a watch, in milliseconds; absent: as in production. */
	readonly watchMs?: number;
	/** Workspaces as the platform writes them; absent: no request needs a key. */
	readonly tenants?: readonly StandinTenant[];
	/** Time after which a key that was taken away is refused everywhere, in milliseconds; absent: no such bound. */
	readonly revokeMs?: number;
	/** A request with this body ends each replica that begins to run it; absent: none does. */
	readonly crashingBody?: string;
	/** Ids of prompt parts that end each decode replica that begins to run them; absent: none do. */
	readonly crashingParts?: readonly string[];
	/** Events that are out before such a part ends its replica; absent: none. */
	readonly eventsBeforeCrash?: number;
	/** Software versions of the engines, which the replicas of each stage have by turns; absent: all have one. */
	readonly softwareVersions?: readonly string[];
	/** Time between two events of a stream, in milliseconds; absent: as the replica's own. */
	readonly eventGapMs?: number;
	/** Times of all routes; absent: as a platform's. */
	readonly routeTimes?: RouteTimes;
	/** Attempts of the resumable route; absent: two. */
	readonly streamAttempts?: number;
	/** Whether hosts manage the load; absent: as the configuration calls for. */
	readonly loadManagement?: LoadManagement;
	/** The hosts' clock; absent: the machine's own. */
	readonly clock?: Clock;
	/** Where a host, by its number, reaches the store, given the store's own address; absent: there. */
	readonly storePath?: (store: string, host: number) => Promise<string>;
	/** Where a host reaches the endpoints, given their own addresses; called for one host after the other. Absent: there. */
	readonly endpointPaths?: (endpoints: readonly string[]) => Promise<readonly string[]>;
	/** Where other hosts reach one, given its own address; absent: there. */
	readonly peerPath?: (peer: string, host: number) => Promise<string>;
};

/** Longest time and target of a request, in milliseconds. */
export type RouteTimes = {
	readonly timeoutMs: number;
	readonly targetLatencyMs: number;
};

/** Times of all routes where nothing else is stated. */
export const platformTimes: RouteTimes = {timeoutMs: 3000, targetLatencyMs: 900};

/** Times for tests whose checks do not depend on them: longer than the event loop that hosts, endpoints and callers share stands still on a busy machine. */
export const patientTimes: RouteTimes = {timeoutMs: 25_000, targetLatencyMs: 20_000};

/** A workspace as the platform writes it. */
export type StandinTenant = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	readonly priority?: number;
	readonly unit?: string;
	readonly plainTokens?: number;
	readonly ratePerS?: number;
	readonly burst?: number;
};

/** A running deployment. */
export type World = {
	readonly store: StandinStore;
	readonly replicas: readonly StandinReplica[];
	readonly relays: readonly RunningRelay[];
	readonly log: ReplicaLog;
	readonly lines: LoggedLine[];
	publish(replica: StandinReplica, state: 'ready' | 'draining'): void;
	/** Ends a host at once and starts it again, with nothing in memory. */
	restart(index: number): Promise<void>;
	/** Ends all hosts at once and starts them again, with nothing in memory; something else may happen while there is none. They start one after the other if there is a time between two starts, in milliseconds. */
	restartAll(meanwhile?: () => Promise<void>, gapMs?: number): Promise<void>;
	stop(): Promise<void>;
};

/** The settings file as the platform writes it. */
export function makeBoot({name, hall = 'a', ip, ports, seeds, store, retryAllowance, revokeMs, isFirstStart, memoryMb}: {readonly name: string; readonly memoryMb?: number | undefined; readonly hall?: string; readonly isFirstStart?: boolean | undefined; readonly ip: string; readonly ports: readonly number[]; readonly seeds: readonly string[]; readonly store: string; readonly retryAllowance?: number | undefined; readonly revokeMs?: number | undefined}): unknown {
	const [front, ready, control, directory, forward] = ports.map(port => `${ip}:${port}`);
	return {
		nodeName: name,
		role: 'gatehead',
		ip,
		zone: hall,
		region: 'r',
		listen: {
			front, ready, control, directory,
		},
		seeds,
		...(isFirstStart === undefined ? {} : {bootstrap: isFirstStart}),
		internalPorts: forward === undefined ? [] : [Number(forward.split(':').at(-1)), Number(forward.split(':').at(-1))],
		limits: {maxFds: 4100, ...(memoryMb === undefined ? {} : {memoryMb})},
		bounds: {
			graceS: 8, retryBudgetRatio: retryAllowance === undefined ? 0.2 : 0, budgetSlack: retryAllowance ?? 58, budgetWindowS: 10, ttl_max_s: 5, configApplyMs: 2000, ...(revokeMs === undefined
				? {}
				: {
					revokeStrict: true, revokeMs, quotaOvershoot: 0.25, quotaSlack: 0, quotaWindowS: 8,
				}),
		},
		platform: {address: store},
		unknownField: {passed: 'over'},
	};
}

/** A route of one test's own. */
export type AddedRoute = {readonly pathPrefix: string; readonly service: string};

/** What the platform states of a model's engines beside its memory: requests at once, and output tokens of an event. */
export type EngineDraft = {readonly slots?: number; readonly stride?: number};

/** What else a configuration states; absent: as in all tests. */
export type ConfigurationDraft = {
	readonly routeTimes?: RouteTimes;
	readonly added?: readonly AddedRoute[];
	/** Services without endpoints, to which routes give no weight. */
	readonly spareServices?: readonly string[];
	readonly limits?: Readonly<Record<string, number>>;
	/** Attempts of the resumable route. */
	readonly streamAttempts?: number;
};

/** The configuration of all tests: a stream that may continue, one that may not, and two kinds of plain calls, one of them on a public route too. */
export function makeConfig(version: number, tenants?: readonly StandinTenant[], added: readonly AddedRoute[] = [], {timeoutMs, targetLatencyMs}: RouteTimes = platformTimes, engine: EngineDraft = {}, {spareServices = [], limits = {}, streamAttempts = 2}: ConfigurationDraft = {}): unknown {
	const route = {
		host: 'calls.example', timeoutMs, targetLatencyMs, priority: 1, sticky: false,
	};
	return {
		version,
		routes: [
			{
				...route, name: 'resumable', pathPrefix: '/resumable/', kind: 'streaming', service: 'model', maxAttempts: streamAttempts, resumable: true,
			},
			{
				...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', service: 'model', maxAttempts: 1, resumable: false,
			},
			{
				...route, name: 'once', pathPrefix: '/once/', kind: 'non_idempotent', service: 'plain', maxAttempts: 1,
			},
			{
				...route, name: 'repeatable', pathPrefix: '/repeatable/', kind: 'idempotent', trafficSplit: [{service: 'plain', weight: 1}, ...spareServices.map(service => ({service, weight: 0}))], maxAttempts: 2,
			},
			{
				...route, name: 'public', pathPrefix: '/public/', kind: 'idempotent', service: 'plain', maxAttempts: 2, public: true,
			},
			...added.map(({pathPrefix, service}) => ({
				...route, name: pathPrefix, pathPrefix, kind: 'idempotent', service, maxAttempts: 2,
			})),
		],
		services: [
			{
				name: 'model', healthPath: '/health', maxConns: 100, engine: {
					kvCapacityTokens: 10_000, handleTtlS: 0.5, holdMs: 2000, ...engine,
				},
			},
			{name: 'plain', healthPath: '/health', maxConns: 100},
			...spareServices.map(name => ({name, healthPath: '/health', maxConns: 100})),
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits,
		},
		...(tenants === undefined ? {} : {tenants}),
	};
}

/** What a replica writes under its id. */
export function makeEntry({address, stage, slots, born, softwareVersion}: Pick<StandinReplica, 'address' | 'stage' | 'slots' | 'born' | 'softwareVersion'>, state: 'ready' | 'draining'): unknown {
	return {
		...(born === undefined ? {} : {born}), service: stage === undefined ? 'plain' : 'model', address, zone: 'a', version: softwareVersion ?? 'v1', slots, state, coldRemainingMs: 0, callSeq: 0, ...(stage === undefined ? {} : {stage}),
	};
}

/** What one relay is made from. */
type RelayStart = {
	readonly index: number;
	readonly store: string;
	readonly ports: readonly number[];
	readonly seeds: readonly string[];
	readonly lines: LoggedLine[];
	readonly retryAllowance: number | undefined;
	readonly watchMs: number | undefined;
	readonly revokeMs: number | undefined;
	readonly loadManagement: LoadManagement | undefined;
	readonly clock: Clock | undefined;
	readonly advertisedPeer: string | undefined;
	readonly isFirstStart: boolean;
	/** Addresses of this host's own paths to endpoints, by the endpoints' addresses. */
	readonly endpointPaths: ReadonlyMap<string, string>;
};

/** A directory in which one host finds its own paths to endpoints. */
function withPaths(directory: Directory, paths: ReadonlyMap<string, string>): Directory {
	const translate = ({position, changes}: Changes): Changes => ({
		position,
		changes: changes.map(change => change.kind === 'endpoint' ? {...change, endpoint: {...change.endpoint, address: paths.get(change.endpoint.address) ?? change.endpoint.address}} : change),
	});
	return {
		list: async (signal, onProgress) => translate(await directory.list(signal, onProgress)),
		watch: async (after, waitMs, signal, onProgress) => translate(await directory.watch(after, waitMs, signal, onProgress)),
		readPosition: async signal => directory.readPosition(signal),
		close() {
			directory.close();
		},
	};
}

async function startRelay({index, store, ports, seeds, lines, retryAllowance, watchMs, revokeMs, loadManagement, clock, advertisedPeer, endpointPaths, isFirstStart}: RelayStart): Promise<RunningRelay> {
	const name = `host-${index}`;
	const {settings} = parseBootSettings(makeBoot({
		name, ip: ownAddress, ports, seeds, store, retryAllowance, revokeMs, isFirstStart,
	}));
	const relay = new Relay({
		settings: {
			...settings, load: {management: loadManagement ?? settings.load.management, callLimits: loadManagement === 'on'}, listen: {...settings.listen, metrics: undefined, advertisedPeer}, timing: {...settings.timing, watchMs: watchMs ?? settings.timing.watchMs},
		},
		clock: clock ?? systemClock,
		random: seedRandom(index),
		wall: () => Date.now(),
		log(code, facts = {}) {
			lines.push({
				host: name, code, facts, at: performance.now(),
			});
		},
		metrics: new Metrics(undefined, {}),
		dialect: wireDialect,
		directory: withPaths(new Store(store), endpointPaths),
	});
	await relay.start();
	const {caller, ready, lookup} = settings.listen;
	return {
		relay, name, caller, ready, lookup,
	};
}

/** Waits until something is so; the caller's own time limit ends a test that waits for ever. */
export async function until(isSo: () => boolean): Promise<void> {
	while (!isSo()) {
		await pause(readyPollMs);
	}
}

/** Starts a deployment and waits until every relay knows configuration, replicas and each other. */
export async function startWorld({hosts, plain, prefill, decode, slots, retryAllowance, watchMs, tenants, revokeMs, storePath, peerPath, crashingBody, crashingParts, eventsBeforeCrash, softwareVersions, eventGapMs, routeTimes, streamAttempts, loadManagement, clock, endpointPaths}: WorldParts): Promise<World> {
	const log = makeReplicaLog();
	const lines: LoggedLine[] = [];
	const store = await startStore(anyPort);
	const stages = [...Array.from({length: plain}, () => undefined), ...Array.from({length: prefill}, () => 'prefill' as const), ...Array.from({length: decode}, () => 'decode' as const)];
	const replicas = await Promise.all(stages.map(async (stage, index) => startReplica({
		id: `${stage ?? 'plain'}-${index}`, stage, slots, log, crashingBody, crashingParts, eventsBeforeCrash, eventGapMs, softwareVersion: stage === undefined ? undefined : softwareVersions?.[index % softwareVersions.length],
	}, anyPort)));
	const publish = (replica: StandinReplica, state: 'ready' | 'draining') => {
		store.put(`servers/${replica.id}`, makeEntry(replica, state));
	};

	store.put('op/config', makeConfig(1, tenants, [], routeTimes, {}, streamAttempts === undefined ? {} : {streamAttempts}));
	for (const replica of replicas) {
		publish(replica, 'ready');
	}

	const ownPaths: Array<ReadonlyMap<string, string>> = [];
	for (let index = 0; index < hosts; index += 1) {
		const addresses = await endpointPaths?.(replicas.map(({address}) => address));
		ownPaths.push(new Map(addresses?.map((address, at) => [replicas[at]?.address ?? '', address])));
	}

	// After all listeners on free ports, which could take a port that was found
	const ports = await findPorts(portsPerHost * hosts);
	const portsOf = (index: number) => ports.slice(portsPerHost * index, portsPerHost * (index + 1));
	const peers = Array.from({length: hosts}, (_, index) => `${ownAddress}:${portsOf(index)[2]}`);
	const advertised = await Promise.all(peers.map(async (peer, index) => peerPath?.(peer, index)));
	const seeds = [advertised[0] ?? peers[0] ?? ''];
	const start = async (index: number, isFirstStart = false) => startRelay({
		isFirstStart, index, store: await storePath?.(store.address, index) ?? store.address, ports: portsOf(index), seeds, lines, retryAllowance, watchMs, revokeMs, loadManagement, clock, advertisedPeer: advertised[index], endpointPaths: ownPaths[index] ?? new Map(),
	});
	const numbers = Array.from({length: hosts}, (_, index) => index);
	const relays = await Promise.all(numbers.map(async index => start(index, true)));
	await until(() => relays.every(({relay}) => relay.routing.version === 1 && relay.endpoints.book.list().length === replicas.length && relay.fleet.countHosts() === hosts && relay.fleet.census.fraction(relay.context.clock.now()) > 0));
	return {
		store,
		replicas,
		relays,
		log,
		lines,
		publish,
		async restart(index) {
			await relays[index]?.relay.close();
			relays[index] = await start(index);
		},
		async restartAll(meanwhile, gapMs = 0) {
			await Promise.all(relays.map(async ({relay}) => relay.close()));
			await meanwhile?.();
			await Promise.all(numbers.map(async index => {
				await pause(index * gapMs);
				relays[index] = await start(index);
			}));
		},
		async stop() {
			await Promise.all(relays.map(async ({relay}) => relay.close()));
			await Promise.all(replicas.map(async each => each.kill()));
			await store.kill();
		},
	};
}
