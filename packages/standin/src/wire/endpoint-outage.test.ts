/** Endpoints that are down for all hosts must not be taken for lost links for longer than they are down, nor keep requests from the endpoints that are left. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startWorld, until, type World} from './world.js';

const okStatus = 200;

type Case = {
	readonly name: string;
	readonly path: string;
	/** Endpoints that end, by the beginning of their ids. */
	readonly ended: string;
	/** Endpoints that start again, by their ids. */
	readonly revived: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'all prefill replicas end: decode replicas read the prompts', path: '/stream/1', ended: 'prefill', revived: [],
	},
	{
		name: 'one of four endpoints of a plain service is back', path: '/once/1', ended: 'plain', revived: ['plain-2'],
	},
	{
		name: 'one of three decode replicas is back', path: '/stream/1', ended: 'decode', revived: ['decode-7'],
	},
];

/** Sends requests to all hosts until each has served one. */
async function untilServed({relays}: World, path: string): Promise<void> {
	const served = new Set<string>();
	for (let round = 0; served.size < relays.length; round += 1) {
		for (const {name, caller} of relays) {
			const {status} = await sendRequest({address: caller, id: `${name}-${round}`, path});
			if (status === okStatus) {
				served.add(name);
			}
		}
	}
}

describe('endpoints that are down for all hosts', () => {
	for (const {name, path, ended, revived} of cases) {
		it(name, async () => {
			const world = await startWorld({
				hosts: 2, plain: 4, prefill: 2, decode: 3, slots: 8,
			});
			try {
				const victims = world.replicas.filter(({id}) => id.startsWith(ended));
				await Promise.all(victims.map(async each => each.kill()));
				for (let round = 0; round < 4; round += 1) {
					await Promise.all(world.relays.map(async relay => sendRequest({address: relay.caller, id: `down-${relay.name}-${round}`, path})));
				}

				await Promise.all(victims.filter(({id}) => revived.includes(id)).map(async each => each.revive()));
				await untilServed(world, path);
				await until(() => world.relays.every(({relay}) => relay.reachability.unreachable.length === 0));
				expect(world.relays.map(({relay}) => relay.reachability.unreachable)).toEqual([[], []]);
			} finally {
				await world.stop();
			}
		});
	}
});
