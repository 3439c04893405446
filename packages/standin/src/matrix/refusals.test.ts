/** Catalogue: a call that ran is never told "not run" when it is tried again, whoever refuses the second try and why. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {errorBody, type HostsResponse} from '@gatehead/schema/caller-protocol';
import {CallerClient, type Reply, type Wish} from '../utils/caller.js';
import {Stage, type StagedHost} from './stage.js';

const longMs = 8000;

type Case = {
	readonly name: string;
	/** What happens between the first try, which ran, and the second. */
	readonly between: (stage: Stage, guard: StagedHost, sendAnother: () => void) => Promise<void>;
	/** Whether the second try goes to the guard itself. */
	readonly isAtGuard: boolean;
};

async function publishWithout(stage: Stage, section: 'services' | 'callers'): Promise<void> {
	const other = {
		name: 'other', member: 'member', priority: 0, share: 1, tokenDigest: 'ef'.repeat(32),
	};
	stage.publish(2, bundle => ({...bundle, ...(section === 'services' ? {services: []} : {callers: [other]})}));
	await stage.until(() => stage.living.every(({host}) => host.bundles.version === 2), longMs);
}

const cases: readonly Case[] = [
	{
		name: 'the guard is stopping', isAtGuard: true, async between(stage, guard, sendAnother) {
			for (const {faults} of stage.services) {
				faults.resetsAfterRun = false;
				faults.isSilent = true;
			}

			void guard.host.stop();
			await stage.pass(800);
			// A request that stays open keeps the process from exiting
			sendAnother();
			await stage.until(() => guard.host.isStopping, longMs);
		},
	},
	{
		name: 'the guard stopped', isAtGuard: false, async between(stage, guard) {
			let isStopped = false;
			const stop = async () => {
				await guard.host.stop();
				isStopped = true;
			};

			void stop();
			await stage.until(() => isStopped, longMs);
			guard.isDead = true;
		},
	},
	{
		name: 'the service was taken out of the bundle', isAtGuard: true, async between(stage) {
			await publishWithout(stage, 'services');
		},
	},
	{
		name: 'the caller was taken out of the bundle', isAtGuard: true, async between(stage) {
			await publishWithout(stage, 'callers');
		},
	},
	{
		name: 'the guard was replaced', isAtGuard: false, async between(stage, guard) {
			await stage.kill(guard);
			await stage.addHost(guard.name, guard.hall);
			await stage.pass(1000);
		},
	},
	{
		name: 'nothing happens', isAtGuard: false, async between(stage) {
			await stage.pass(100);
		},
	},
];

async function send(stage: Stage, client: CallerClient, address: string, wish: Wish): Promise<Reply> {
	let reply: Reply | undefined;
	const work = async () => {
		reply = await client.send(address, wish);
	};

	void work();
	await stage.until(() => reply !== undefined, longMs);
	return reply ?? {
		status: 0, body: '', firstMs: 0, lastMs: 0,
	};
}

function ranOf({status, body}: Reply): string {
	return status === 0 ? 'no answer' : errorBody.safeParse(JSON.parse(body)).data?.error.ran ?? 'answered';
}

describe('second try of a call that ran', () => {
	for (const {name, between, isAtGuard} of cases) {
		it(`is not told "not run" when ${name}`, async () => {
			const stage = new Stage();
			const client = new CallerClient('token');
			try {
				await stage.start(3);
				for (const {faults} of stage.services) {
					faults.resetsAfterRun = true;
				}

				const lookup = await send(stage, client, stage.hosts[0]?.address ?? '', {method: 'GET', path: '/v1/hosts?hall=south'});
				const {hosts} = JSON.parse(lookup.body) as HostsResponse; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- our own answer
				const guard = stage.hosts.find(each => each.name === hosts[0]?.host);
				if (guard === undefined) {
					throw new Error('no guard');
				}

				const wish: Wish = {
					method: 'POST', path: '/services/labels/print', key: `${hosts[0]?.ticket}~label`, body: {label: 1},
				};
				expect(ranOf(await send(stage, client, guard.address, wish))).toEqual('unknown');
				await between(stage, guard, () => {
					void client.send(guard.address, {...wish, key: `${hosts[0]?.ticket}~another`});
				});
				const other = stage.living.find(each => each !== guard)?.address ?? '';
				const second = await send(stage, client, isAtGuard ? guard.address : other, wish);
				expect(ranOf(second)).toEqual('unknown');
				const runs = stage.services.flatMap(each => [...each.runs]).filter(([request]) => request.endsWith('~label'));
				expect(runs.map(([, count]) => count)).toEqual([1]);
			} finally {
				client.close();
				await stage.close();
			}
		});
	}
});
