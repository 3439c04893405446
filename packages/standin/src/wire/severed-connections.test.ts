/** Guards against hosts that wait without end on open connections that went silent, while new ones work: a change of the configuration and a drain must still reach them, and requests be served. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {seedRandom} from '@gatehead/policy/utils/random';
import {expect} from 'earl';
import {startProxy, type FaultyProxy} from '../soak/faulty-proxy.js';
import {sendRequest} from './client.js';
import {
	makeConfig, startWorld, until, type World,
} from './world.js';

const hosts = 4;
const okStatus = 200;
const addedPath = '/added/';
const paths = ['/once/1', '/repeatable/1', '/stream/1', '/resumable/1'];
/** Time until requests lost on silent connections have been given up, in milliseconds: longer than the callers' deadline. */
const settleMs = 4000;
const rounds = 5;
/** A host that never notices must not hold up the whole run, in milliseconds. */
const hangMs = 60_000;

type Link = 'store' | 'peer' | 'endpoint';

type Case = {
	readonly name: string;
	readonly links: readonly Link[];
	readonly share: number;
	readonly seed: number;
};

const cases: readonly Case[] = [
	{
		name: 'between hosts and to endpoints', links: ['peer', 'endpoint'], share: 0.7, seed: 1,
	},
	{
		name: 'between hosts and to endpoints', links: ['peer', 'endpoint'], share: 1, seed: 2,
	},
	{
		name: 'to the store', links: ['store'], share: 0.7, seed: 3,
	},
	{
		name: 'to the store', links: ['store'], share: 1, seed: 4,
	},
	{
		name: 'everywhere', links: ['store', 'peer', 'endpoint'], share: 1, seed: 5,
	},
];

async function countServed({relays}: World, tag: string): Promise<number> {
	const calls = relays.flatMap(({caller}, host) => paths.flatMap(path => Array.from({length: rounds}, async (_, round) => sendRequest({
		address: caller, id: `${tag}-${host}-${path}-${round}`, path, body: `question ${tag} ${host} ${path} ${round}`,
	}))));
	const answers = await Promise.all(calls);
	return answers.filter(({status, isWhole}) => status === okStatus && isWhole).length;
}

// One after the other: all hosts of a case, its endpoints and its callers share this process, and callers wait 3 s
describe('open connections that go silent', () => {
	for (const {name, links, share, seed} of cases) {
		it(`${name}, ${share} of them`, {timeout: hangMs}, async () => {
			const proxies: Array<{readonly link: Link; readonly proxy: FaultyProxy}> = [];
			const pathOf = async (link: Link, target: string) => {
				const proxy = await startProxy(target);
				proxies.push({link, proxy});
				return proxy.address;
			};

			const world = await startWorld({
				hosts,
				plain: 3,
				prefill: 2,
				decode: 4,
				slots: 32,
				storePath: async store => pathOf('store', store),
				peerPath: async peer => pathOf('peer', peer),
				endpointPaths: async endpoints => Promise.all(endpoints.map(async endpoint => pathOf('endpoint', endpoint))),
			});
			const {relays, replicas, store} = world;
			try {
				await countServed(world, 'before');
				const random = seedRandom(seed);
				for (const {proxy} of proxies.filter(({link}) => links.includes(link) && random.next() < share)) {
					proxy.silenceOpen();
				}

				await Promise.all([countServed(world, 'lost'), pause(settleMs)]);
				store.put('op/config', makeConfig(2, undefined, [{pathPrefix: addedPath, service: 'plain'}]));
				const leaving = replicas.filter(({id}) => id === 'plain-0' || id === 'decode-8');
				for (const replica of leaving) {
					world.publish(replica, 'draining');
				}

				await until(() => relays.every(({relay}) => relay.routing.version === 2 && leaving.every(({id}) => !relay.endpoints.book.isReady(id))));
				const arrivalsBefore = world.log.arrivals.length;
				const added = await Promise.all(relays.map(async ({caller}, host) => sendRequest({address: caller, id: `added-${host}`, path: `${addedPath}1`})));
				const served = await countServed(world, 'after');
				expect(added.map(({status}) => status)).toEqual(relays.map(() => okStatus));
				expect(served).toEqual(hosts * paths.length * rounds);
				expect(world.log.arrivals.slice(arrivalsBefore).filter(({replica}) => leaving.some(({id}) => id === replica))).toEqual([]);
			} finally {
				await world.stop();
				for (const {proxy} of proxies) {
					proxy.close();
				}
			}
		});
	}
});
