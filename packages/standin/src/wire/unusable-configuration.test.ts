/** A published configuration that cannot be used must neither come into force nor keep the next one from doing so, at hosts that read the directory and at hosts that hear of it from peers. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {instanceOf} from '@gatehead/schema/routing';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {sendRequest} from './client.js';
import {
	makeConfig, makeEntry, startWorld, until, type RunningRelay, type World,
} from './world.js';

/** A route as the platform writes it, with fields that a test replaces. */
type RouteDraft = Readonly<Record<string, unknown>>;

type Case = {
	readonly name: string;
	/** Replaces fields of the route under test; absent: none. */
	readonly route?: RouteDraft;
	/** Replaces that of the configuration; absent: the next one. */
	readonly version?: number;
};

const cases: readonly Case[] = [
	{name: 'a route to a service that is not declared', route: {service: 'missing'}},
	{name: 'a split between a declared service and one that is not', route: {trafficSplit: [{service: 'plain', weight: 1}, {service: 'missing', weight: 1}]}},
	{name: 'a split without services', route: {trafficSplit: []}},
	{name: 'a split whose weights are all 0', route: {trafficSplit: [{service: 'plain', weight: 0}]}},
	{name: 'a negative timeout', route: {timeoutMs: -1}},
	{name: 'a timeout of 0', route: {timeoutMs: 0}},
	{name: 'a priority that is no integer', route: {priority: 1.5}},
	// Guards against hosts that adopt a version behind which there is none, and then use no other configuration until they restart
	{name: 'the last version', version: Number.MAX_SAFE_INTEGER},
	{name: 'the last version but one', version: Number.MAX_SAFE_INTEGER - 1},
	{name: 'a version beyond the exact numbers', version: 2 ** 53},
	{name: 'the largest version', version: Number.MAX_VALUE},
	{name: 'a negative version', version: -1},
	{name: 'a version that is no integer', version: 2.5},
];

function makeDraft({route: fields = {}, version = 2}: Case): unknown {
	const config = makeConfig(version) as {readonly routes: readonly RouteDraft[]}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- made above
	return {...config, routes: config.routes.map(route => route.name === 'once' ? {...route, ...fields} : route)};
}

async function askAll(relays: readonly RunningRelay[]): Promise<number[]> {
	const answers = await Promise.all(relays.map(async ({caller, name}) => sendRequest({address: caller, id: `request-${name}`, path: '/once/1'})));
	return answers.map(({status}) => status);
}

/** Waits until the hosts that read the directory have read all that it holds. */
async function untilRead({store, relays}: World): Promise<void> {
	const {revision} = store.copy();
	await until(() => (relays[0]?.relay.describe().directoryRevision ?? 0) >= revision);
}

describe('a configuration that cannot be used', () => {
	for (const each of cases) {
		it(`${each.name}: the last one stays in force, and the next one follows`, {timeout: 20_000}, async () => {
			const paths: FaultyProxy[] = [];
			const world = await startWorld({
				hosts: 2, plain: 1, prefill: 1, decode: 1, slots: 8,
				async storePath(store) {
					const path = await startProxy(store);
					paths.push(path);
					return path.address;
				},
			});
			const {store, relays, lines} = world;
			try {
				// The second host hears of configurations from the first
				const last = paths.at(-1);
				last?.reset();
				last!.mode = 'silence';
				store.put('op/config', makeDraft(each));
				await untilRead(world);
				const statuses = await askAll(relays);
				const versions = relays.map(({relay}) => relay.routing.version);
				store.put('op/config', makeConfig(3));
				await until(() => relays.every(({relay}) => relay.routing.version === 3));
				const refusals = lines.filter(({code}) => code === 'peerRefused').length;
				expect({
					versions, statuses, later: await askAll(relays), refusals,
				}).toEqual({
					versions: [1, 1], statuses: [200, 200], later: [200, 200], refusals: 0,
				});
			} finally {
				await world.stop();
				for (const path of paths) {
					path.close();
				}
			}
		});
	}
});

type BehindCase = {
	readonly name: string;
	readonly write: (world: World) => void;
};

const behindCases: readonly BehindCase[] = [
	{
		name: 'a configuration that cannot be used', write({store}) {
			store.put('op/config', makeDraft({name: '', route: {service: 'missing'}}));
		},
	},
	{
		name: 'a configuration that cannot be read', write({store}) {
			store.putText('op/config', '{');
		},
	},
];

/** State of an instance as a host knows it. */
function stateAt({relay}: RunningRelay, instance: string): string | undefined {
	return relay.endpoints.book.list().find(({endpoint}) => instanceOf(endpoint) === instance)?.endpoint.state;
}

/** Statuses for requests without a route: final only where the configuration is known to be the newest. */
async function askUnknown(relays: readonly RunningRelay[]): Promise<number[]> {
	const answers = await Promise.all(relays.map(async ({caller, name}) => sendRequest({address: caller, id: `unknown-${name}`, path: '/unknown/1'})));
	return answers.map(({status}) => status);
}

/** Repeats requests without a route until all hosts answer with a status; the test's own time limit ends it if they never do. */
async function untilAllAnswer(relays: readonly RunningRelay[], status: number): Promise<void> {
	let statuses: readonly number[] = [];
	while (statuses.length === 0 || statuses.some(each => each !== status)) {
		statuses = await askUnknown(relays);
	}
}

describe('changes of endpoints behind a configuration that cannot be used', () => {
	for (const {name, write} of behindCases) {
		// Guards against hosts that keep serving with endpoints that are gone, and know none of those that joined, until an operator corrects the configuration
		it(`${name}: a host that is told by others hears of them, and takes neither the old configuration for the newest nor the next one for old`, {timeout: 20_000}, async () => {
			const paths: FaultyProxy[] = [];
			const world = await startWorld({
				hosts: 2, plain: 2, prefill: 1, decode: 1, slots: 8,
				async storePath(store) {
					const path = await startProxy(store);
					paths.push(path);
					return path.address;
				},
			});
			const {store, relays, replicas, lines} = world;
			try {
				const last = paths.at(-1);
				last?.reset();
				last!.mode = 'silence';
				write(world);
				await untilRead(world);
				const [first, second] = replicas;
				store.put('servers/joined', makeEntry(first!, 'ready'));
				world.publish(second!, 'draining');
				await until(() => relays.every(host => stateAt(host, 'joined') === 'ready' && stateAt(host, second!.id) === 'leaving'));
				expect(await askUnknown(relays)).toEqual([503, 503]);
				store.put('op/config', makeConfig(3));
				await until(() => relays.every(({relay}) => relay.routing.version === 3));
				await untilAllAnswer(relays, 404);
				expect(await askAll(relays)).toEqual([200, 200]);
				expect(lines.filter(({code}) => code === 'peerRefused' || code === 'internal')).toEqual([]);
			} finally {
				await world.stop();
				for (const path of paths) {
					path.close();
				}
			}
		});
	}
});

describe('a deletion of the configuration', () => {
	it('the last one stays in force, hosts that start get it from the others, and the next one follows', {timeout: 20_000}, async () => {
		const world = await startWorld({
			hosts: 2, plain: 1, prefill: 1, decode: 1, slots: 8,
		});
		const {store, relays} = world;
		try {
			store.remove('op/config');
			await untilRead(world);
			expect(await askAll(relays)).toEqual([200, 200]);
			await world.restart(1);
			await until(() => relays.every(({relay}) => relay.routing.version === 1));
			expect(await askAll(relays)).toEqual([200, 200]);
			store.put('op/config', makeConfig(2));
			await until(() => relays.every(({relay}) => relay.routing.version === 2));
			expect(await askAll(relays)).toEqual([200, 200]);
		} finally {
			await world.stop();
		}
	});
});
