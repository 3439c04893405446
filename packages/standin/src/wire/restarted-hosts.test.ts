/** Guards against hosts that have lost all memory at once: a stream that began before must neither go on at another software version nor be refused where engines of its version still serve. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {
	findLeastUsed, isDecode, leastEngines, listEngines, listVersion, playRestart, remove, replace, runEarlier, runUnseen, streams, waitUntilJoined, type RestartCase,
} from './restarted-streams.js';
import {type World} from './world.js';

const cases: readonly RestartCase[] = [
	{name: 'two versions, 4 hosts', hosts: 4},
	{name: 'two versions, 8 hosts'},
	{name: 'two versions, 20 hosts', hosts: 20},
	{name: 'two versions, and callers come back as soon as hosts are ready', isEarly: true},
	{name: 'three versions', softwareVersions: ['v1', 'v2', 'v3']},
	{name: 'one version ever', softwareVersions: ['v1']},
	...[4, 8, 20].map(hosts => ({
		name: `a version leaves while no host runs, and its replicas live on, ${hosts} hosts`, hosts, async meanwhile(world: World) {
			remove(world, listVersion(world, 'v1'));
		},
	})),
	{
		name: 'a version leaves while no host runs, and callers come back as soon as hosts are ready', isEarly: true, async meanwhile(world) {
			remove(world, listVersion(world, 'v1'));
		},
	},
	{
		name: 'a version left just before', async between(world) {
			for (const replica of listVersion(world, 'v1')) {
				world.publish(replica, 'draining');
			}

			await pause(10);
			remove(world, listVersion(world, 'v1'));
			await waitUntilJoined(world);
		},
	},
	{
		name: 'all replicas come back at their ids and addresses with another version', softwareVersions: ['v1'], isAllGone: true, async meanwhile(world) {
			await replace(world, world.replicas, 'v2');
		},
	},
	{
		name: 'replicas of a version come back at their ids and addresses with the other one', async meanwhile(world) {
			await replace(world, listVersion(world, 'v1'), 'v2');
		},
	},
	{
		name: 'replicas of a version come back at their addresses with the other one and other ids', async meanwhile(world) {
			await replace(world, listVersion(world, 'v1'), 'v2', id => `${id}-next`);
		},
	},
	{
		name: 'one replica comes back with the other version', async meanwhile(world) {
			await replace(world, findLeastUsed(world, 'v1'), 'v2');
		},
	},
	{
		name: 'all replicas come back with the version of the others', mayRefuse: true, async meanwhile(world) {
			const [first, second] = [listVersion(world, 'v1'), listVersion(world, 'v2')];
			await replace(world, first, 'v2');
			await replace(world, second, 'v1');
		},
	},
	{
		name: 'a third version arrives and the first leaves', softwareVersions: ['v1', 'v2', 'v3'], async before(world) {
			remove(world, listVersion(world, 'v3'));
			await waitUntilJoined(world);
		}, async meanwhile(world) {
			remove(world, listVersion(world, 'v1'));
			for (const replica of listVersion(world, 'v3')) {
				world.publish(replica, 'ready');
			}
		},
	},
	{
		name: 'two replicas of a version are left beside many of the other', async meanwhile(world) {
			remove(world, listVersion(world, 'v1').filter(replica => isDecode(replica)).slice(leastEngines));
		},
	},
	{
		name: 'replicas do not notice that the hosts are gone', async before({replicas}) {
			for (const replica of replicas) {
				replica.isRunningOn = true;
			}
		},
	},
	{
		name: 'replicas do not notice that the hosts are gone, and a version leaves', async before({replicas}) {
			for (const replica of replicas) {
				replica.isRunningOn = true;
			}
		}, async meanwhile(world) {
			remove(world, listVersion(world, 'v1'));
		},
	},
	{name: 'restarted twice in a row', restarts: 2},
	{
		name: 'restarted twice in a row, and a version leaves', restarts: 2, async meanwhile(world) {
			remove(world, listVersion(world, 'v1'));
		},
	},
	{name: 'resumed between two restarts', restarts: 2, isResumedBetween: true},
	{name: 'an earlier request of the same session ran at each version', before: runEarlier},
	{
		name: 'an earlier request of the same session ran at each version, and one leaves', before: runEarlier, async meanwhile(world) {
			remove(world, listVersion(world, 'v1'));
		},
	},
	{name: 'an attempt whose events reached nobody ran at the other version', mayRefuse: true, meanwhile: runUnseen},
	{
		name: 'an attempt whose events reached nobody ran at the other version, and one engine rejects lists', mayRefuse: true, async meanwhile(world, callers) {
			await runUnseen(world, callers);
			const [engine] = listEngines(world);
			if (engine !== undefined) {
				engine.listRejection = 500;
			}
		},
	},
	{
		name: 'an attempt whose events reached nobody ran at the other version, and the first leaves', mayRefuse: true, async meanwhile(world, callers) {
			await runUnseen(world, callers);
			remove(world, listVersion(world, 'v1'));
		},
	},
];

describe('streams that are resumed after all hosts were restarted at once', () => {
	for (const each of cases) {
		it(each.name, async context => {
			expect(await playRestart(each, text => {
				context.diagnostic(text);
			})).toEqual({
				broken: streams, mixed: 0, late: 0, inOrder: true, share: each.isAllGone ? 'none' : 'enough',
			});
		});
	}
});
