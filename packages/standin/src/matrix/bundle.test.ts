/** Catalogue: which bundle is in force, whatever the configuration service and the endpoints do. */
import {generateKeyPairSync} from 'node:crypto';
import {request as httpRequest} from 'node:http';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {splitAddress} from '@gatehead/schema/address';
import {digestOf} from '@gatehead/schema/canonical-json';
import {enginePaths, type EngineOrder} from '@gatehead/schema/engine-protocol';
import {bundleKey} from '@gatehead/schema/platform-protocol';
import {signBundle} from '@gatehead/schema/signed-bundle';
import {Stage} from './stage.js';

const longMs = 6000;

async function order(address: string, body: EngineOrder): Promise<void> {
	const {ip, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		const call = httpRequest({
			host: ip, port, method: 'POST', path: enginePaths.orders, agent: false,
		}, response => {
			response.resume();
			response.once('end', resolve);
		});
		call.once('error', reject);
		call.end(JSON.stringify(body));
	});
}

function versions({living}: Stage): number[] {
	return living.map(({host}) => host.bundles.version);
}

function digests({living}: Stage): Set<string> {
	return new Set(living.map(({host}) => host.bundles.inForce?.manifestDigest ?? ''));
}

/** Engines that serve what the bundle in force asks for. */
function countServing({engines}: Stage): number {
	return engines.filter(({serving}) => serving().model.name === 'model' && serving().model.version === 'one').length;
}

type Case = {
	readonly name: string;
	readonly play: (stage: Stage) => Promise<void>;
};

const cases: readonly Case[] = [
	{
		name: 'a new version is in force everywhere', async play(stage) {
			stage.publish(2);
			expect(await stage.until(() => versions(stage).every(each => each === 2), longMs)).toEqual(true);
		},
	},
	{
		name: 'one version with two contents ends the same way everywhere', async play(stage) {
			const first = stage.publish(2, bundle => ({...bundle, rules: {...bundle.rules, attempts: 5}}));
			await stage.until(() => versions(stage).every(each => each === 2), longMs);
			const second = stage.publish(2, bundle => ({...bundle, rules: {...bundle.rules, attempts: 6}}));
			const winner = [digestOf(first.manifest), digestOf(second.manifest)].toSorted().at(-1) ?? '';
			await stage.pass(longMs);
			expect([...digests(stage)]).toEqual([winner]);
		},
	},
	{
		name: 'a bundle that a stranger signed is never adopted', async play(stage) {
			const known = stage.publish(2);
			await stage.until(() => versions(stage).every(each => each === 2), longMs);
			const {privateKey} = generateKeyPairSync('ed25519');
			const bundle = stage.hosts[0]?.host.bundles.inForce?.bundle;
			if (bundle !== undefined) {
				stage.platform.publish(bundleKey, JSON.stringify(signBundle({...bundle, version: 3}, 'operator', privateKey)));
			}

			await stage.pass(longMs / 2);
			expect([...digests(stage)]).toEqual([digestOf(known.manifest)]);
		},
	},
	{
		name: 'a service that goes back to an old value reverts nothing', async play(stage) {
			stage.publish(2);
			await stage.until(() => versions(stage).every(each => each === 2), longMs);
			stage.platform.faults.staleValue = stage.staleValue;
			await stage.pass(longMs / 2);
			expect(versions(stage).every(each => each === 2)).toEqual(true);
		},
	},
	{
		name: 'a new host gets the newest from its neighbours although the service is stale', async play(stage) {
			stage.publish(2);
			await stage.until(() => versions(stage).every(each => each === 2), longMs);
			stage.platform.faults.staleValue = stage.staleValue;
			await stage.addHost('host-9', 'north');
			stage.listHosts();
			expect(await stage.until(() => versions(stage).every(each => each === 2), longMs)).toEqual(true);
		},
	},
	{
		name: 'after a restart of all hosts with a stale service none serves the older bundle that an endpoint has left behind', async play(stage) {
			stage.publish(2);
			await stage.until(() => stage.engines.every(({orders}) => orders.some(each => each.fence === 2)), longMs);
			stage.platform.faults.staleValue = stage.staleValue;
			for (const each of stage.living) {
				await stage.kill(each);
			}

			await stage.addHost('host-0', 'north');
			await stage.addHost('host-1', 'south');
			stage.listHosts();
			await stage.pass(longMs / 2);
			expect(stage.living.map(({host}) => host.isReady)).toEqual([false, false]);
			stage.platform.faults.staleValue = undefined;
			expect(await stage.until(() => stage.living.every(({host}) => host.isReady), 2 * longMs)).toEqual(true);
			expect(versions(stage)).toEqual([2, 2]);
		},
	},
	{
		name: 'an engine that obeyed a late order of an older bundle is repaired by the read-back', async play(stage) {
			stage.publish(2);
			await stage.until(() => stage.engines.every(({orders}) => orders.some(each => each.fence === 2)), longMs);
			const late: EngineOrder = {
				fence: 1, role: 'decode', model: {name: 'model', version: 'old', adapters: []}, owner: {host: 'host-7', incarnation: 1},
			};
			for (const {address, traits} of stage.engines) {
				await order(address, {...late, role: traits.role});
			}

			// Those that check their sender refused
			expect(countServing(stage)).toEqual(stage.engines.filter(({traits}) => traits.checksSender).length);
			expect(await stage.until(() => countServing(stage) === stage.engines.length, longMs)).toEqual(true);
		},
	},
	{
		name: 'with the service down for long, bundles in force stay and hosts go on', async play(stage) {
			stage.platform.faults.isDown = true;
			await stage.pass(2 * longMs);
			expect(stage.living.every(each => stage.isServing(each))).toEqual(true);
			const before = stage.platform.countReads();
			await stage.pass(longMs);
			// Three hosts read the list every 0.2 s here; the watches have backed off
			expect(stage.platform.countReads() - before <= 3 * 30 * 1.4).toEqual(true);
		},
	},
];

describe('bundle in force', () => {
	for (const {name, play} of cases) {
		it(name, async () => {
			const stage = new Stage();
			try {
				await stage.start(3);
				await play(stage);
				expect(stage.reverted).toEqual([]);
			} finally {
				await stage.close();
			}
		});
	}
});
