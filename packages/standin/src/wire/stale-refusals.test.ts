/**
 * Proper requests that hosts refuse for good, from a configuration that is no
 * longer the newest.
 *
 * Seen: in a fleet of 58 hosts, requests on a route that an operator had added
 * got 404 at several hosts, over 3 s after the directory had taken the
 * configuration; nothing had befallen these hosts for 4 s.
 *
 * How it came about: the news of a configuration can be late at any host, by
 * connections that died in silence, readers of the directory that live and
 * cannot read, or a cut. A host answered 404 from whatever it had.
 *
 * The cause: "no" was said without a look at whether the configuration that
 * it rests on is still the newest; evidence of that was kept for keys alone.
 * What proved it: each case below has one fault and no load, and failed; with
 * evidence asked for before a 404, and nothing else changed, all pass.
 */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {sendRequest} from './client.js';
import {
	makeConfig, startWorld, until, type RunningRelay, type World,
} from './world.js';

/** Time within which operators are promised that a configuration is in force, in milliseconds. Counted from one clock, between two events of which the first causes the second: load makes a request later, never wronger. */
const boundMs = 2000;
const askEveryMs = 50;
/** Rounds of questions after which a host that still lacks the route never gets it. */
const mostRounds = 300;
const okStatus = 200;
const unknownStatus = 404;

/** The connections of one world, each through a proxy. */
type Paths = {
	readonly stores: FaultyProxy[];
	readonly peers: FaultyProxy[];
};

/** Does harm, and says which hosts must serve the new route in the end. */
type Harm = (paths: Paths, world: World) => readonly RunningRelay[];

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly harm: Harm;
};

function silenceAll({stores, peers}: Paths, {relays}: World): readonly RunningRelay[] {
	for (const proxy of [...stores, ...peers]) {
		proxy.silenceOpen();
	}

	return relays;
}

/** Hosts that read the directory are turned away by it; they live, and their peers hear them. */
function turnReadersAway({stores}: Paths, {relays}: World): readonly RunningRelay[] {
	for (const [index, {relay}] of relays.entries()) {
		const path = stores[index];
		if (path !== undefined && relay.fleet.isReader()) {
			path.mode = 'silence';
		}
	}

	return relays;
}

/** One host reaches nothing, and nothing but callers reaches it. */
function cutOffLast({stores, peers}: Paths, {relays}: World): readonly RunningRelay[] {
	for (const path of [stores.at(-1), ...peers]) {
		path?.silenceOpen();
	}

	for (const path of [stores.at(-1), peers.at(-1)]) {
		if (path !== undefined) {
			path.mode = 'silence';
		}
	}

	return relays.slice(0, -1);
}

const cases: readonly Case[] = [
	{name: 'all open connections fall silent, new ones work: 4 hosts', hosts: 4, harm: silenceAll},
	{name: 'the same: 16 hosts', hosts: 16, harm: silenceAll},
	{name: 'the hosts that read the directory are turned away by it: 16 hosts', hosts: 16, harm: turnReadersAway},
	{name: 'one host reaches nothing', hosts: 4, harm: cutOffLast},
];

/** Every host reads the directory at its start. Something new ends these watches, and the readers alone begin others. */
async function endFirstWatches({store, relays}: World): Promise<void> {
	store.put('other/item', 1);
	const {revision} = store.copy();
	await until(() => relays.every(({relay}) => relay.describe().directoryRevision >= revision));
	await pause(askEveryMs);
}

/** Asks every host for the new route until all that must serve it do, or never will; returns those that refused it for good too late, and those that never served it. */
async function askForRoute(relays: readonly RunningRelay[], mustServe: readonly RunningRelay[], publishedAt: number): Promise<{readonly refusedLate: string[]; readonly unserved: string[]}> {
	const refusedLate = new Set<string>();
	const served = new Set<string>();
	const ask = async ({name, caller}: RunningRelay, round: number) => {
		const sentAt = performance.now();
		const {status} = await sendRequest({
			address: caller, id: `${name}-${round}`, method: 'GET', path: '/added/1', headers: {'Deadline-Ms': '1000'},
		});
		if (status === okStatus) {
			served.add(name);
		} else if (status === unknownStatus && sentAt - publishedAt > boundMs) {
			refusedLate.add(name);
		}
	};

	const findUnserved = () => mustServe.filter(({name}) => !served.has(name)).map(({name}) => name);
	for (let round = 0; round < mostRounds && (findUnserved().length > 0 || performance.now() - publishedAt < 2 * boundMs); round += 1) {
		const asking = Promise.all(relays.map(async relay => ask(relay, round)));
		await pause(askEveryMs);
		await (round % 10 === 0 ? asking : undefined);
	}

	return {refusedLate: [...refusedLate], unserved: findUnserved()};
}

/** Hosts that do not find all that can be reached alive, however long they get. */
async function findDivided(reachable: readonly RunningRelay[]): Promise<string[]> {
	const list = () => reachable.filter(({relay}) => reachable.some(({name}) => relay.fleet.membership.members.recordOf(name)?.state !== 'alive')).map(({name}) => name);
	for (let round = 0; round < mostRounds && list().length > 0; round += 1) {
		await pause(askEveryMs);
	}

	return list();
}

describe('refusals from an old configuration', () => {
	for (const {name, hosts, harm} of cases) {
		it(name, async () => {
			const paths: Paths = {stores: [], peers: []};
			const through = async (list: FaultyProxy[], target: string, host: number) => {
				const proxy = await startProxy(target);
				list[host] = proxy;
				return proxy.address;
			};

			const world = await startWorld({
				hosts, plain: 1, prefill: 1, decode: 1, slots: 8, storePath: async (store, host) => through(paths.stores, store, host), peerPath: async (peer, host) => through(paths.peers, peer, host),
			});
			try {
				await endFirstWatches(world);
				const mustServe = harm(paths, world);
				await pause(askEveryMs);
				world.store.put('op/config', makeConfig(2, undefined, [{pathPrefix: '/added/', service: 'plain'}]));
				const {refusedLate, unserved} = await askForRoute(world.relays, mustServe, performance.now());
				const divided = await findDivided(mustServe);
				expect({refusedLate, unserved, divided}).toEqual({refusedLate: [], unserved: [], divided: []});
			} finally {
				await world.stop();
				for (const proxy of [...paths.stores, ...paths.peers]) {
					proxy.close();
				}
			}
		});
	}
});
