/** Guards against a retry that reaches a third endpoint while a check that would hold its content is still pending. */
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {Metrics} from '../utils/metrics.js';
import {type Job} from '../work/job.js';
import {RequestContent} from '../work/request-content.js';
import {CrashGuard} from './crash-guard.js';

const address = '127.0.0.1:1';
/** Time between two losses, in milliseconds. */
const lossGapMs = 1000;
/** Microtasks in which a check or a retry goes on. */
const turns = 10;
const settings = relaySettings.parse({
	host: 'a',
	hall: 'h',
	region: 'r',
	listen: {
		caller: address, ready: address, lookup: address, peer: address,
	},
});

/** Orders in which two endpoints are lost behind a first one that has crashed. */
const orders = [['sound', 'crashed'], ['crashed', 'sound']] as const;

async function settle(): Promise<void> {
	for (let turn = 0; turn < turns; turn += 1) {
		await Promise.resolve();
	}
}

function createJob(): Job {
	const content = new RequestContent({
		authority: 'a', method: 'POST', target: '/x', workspace: undefined, body: new TextEncoder().encode('harmful'),
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the guard uses
	return {
		id: 'r', route: {name: 'route'}, service: {name: 's'}, content, isContentHeld: false, trials: new Set<string>(), signal: new AbortController().signal,
	} as unknown as Job;
}

describe('a retry waits for all pending crash checks of its content', () => {
	for (const order of orders) {
		it(`lost in this order: ${order.join(', ')}`, async () => {
			const clock = new ManualClock();
			const finish = new Map<string, (hasCrashed: boolean) => void>();
			const guard = new CrashGuard({
				context: {
					clock, log: ignore, metrics: new Metrics(undefined, {}), settings,
				},
				hasCrashed: async ({id}) => id === 'first' || new Promise<boolean>(resolve => {
					finish.set(id, resolve);
				}),
				broadcast: ignore,
				isTrialHost: () => true,
			});
			const job = createJob();
			for (const id of ['first', ...order]) {
				const endpoint: Endpoint = {
					id, instance: id, service: 's', address, hall: 'h', state: 'ready', slots: 8,
				};
				guard.recordLoss({
					job, step: 'decode', endpoint, inFlight: 1, sentAt: clock.now() - lossGapMs, answeredAt: undefined, isConnectionLost: true, reason: 'reset',
				});
				await settle();
				clock.advance(lossGapMs);
			}

			finish.get('sound')?.(false);
			await settle();
			let early: boolean | undefined;
			const retrying = guard.mayRetry(job);
			void retrying.then(mayRetry => {
				early ??= mayRetry;
			});
			await settle();
			const isEarly = early !== undefined;
			finish.get('crashed')?.(true);
			expect({isEarly, mayRetry: await retrying}).toEqual({isEarly: false, mayRetry: false});
		});
	}
});
