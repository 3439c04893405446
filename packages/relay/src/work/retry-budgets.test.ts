/** Each send that may reach an endpoint beyond the first of its request takes one permit, and no other does. */
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {expect} from 'earl';
import {Metrics} from '../utils/metrics.js';
import {RetryBudgets, type ChargedJob} from './retry-budgets.js';

const service = 'model';
const allowance = 20;
/** Repeats that the host may make: the allowance, less its margin. */
const available = 19;
const settings = relaySettings.parse({
	host: 'host-0', hall: 'a', region: 'r', retry: {ratio: 0, allowance}, listen: {
		caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
	},
});

class Played {
	readonly clock = new ManualClock();
	readonly budgets = new RetryBudgets({
		context: {
			clock: this.clock, log: ignore, metrics: new Metrics(undefined, {}), settings,
		},
		census: {count: 1, fraction: () => 1},
		exchange: {borrow: async () => undefined, noteTaken: ignore},
	});

	readonly job: ChargedJob = {
		id: 'r1', service: {name: service}, arrivals: 0, retryPermits: [], usedPermit: undefined,
	};

	/** Repeats charged so far. */
	get charged(): number {
		return available - Math.round(this.budgets.budgetOf(service).left(this.clock.now()));
	}

	spendAll(): void {
		while (this.budgets.budgetOf(service).take(this.clock.now()) !== undefined) {
			// Until nothing is left
		}
	}
}

type Case = {
	readonly name: string;
	readonly play: (played: Played) => Promise<void>;
	readonly charged: number;
};

const cases: readonly Case[] = [
	{
		name: 'the first send is free', charged: 0, async play({budgets, job}) {
			await budgets.ensure(job, 'refused');
			budgets.admit(job);
		},
	},
	{
		name: 'an accepted prefill and its decode are free', charged: 0, async play({budgets, job}) {
			budgets.admit(job);
			budgets.discount(job);
			await budgets.ensure(job, 'prefill');
			budgets.admit(job);
		},
	},
	{
		name: 'a rejected prefill makes its decode a repeat', charged: 1, async play({budgets, job}) {
			budgets.admit(job);
			await budgets.ensure(job, 'prefill');
			budgets.admit(job);
		},
	},
	{
		name: 'the permit of a prefill that is accepted after a rejected one pays for the decode', charged: 1, async play({budgets, job}) {
			budgets.admit(job);
			await budgets.acquire(job, 'prefill');
			budgets.admit(job);
			budgets.discount(job);
			await budgets.ensure(job, 'prefill');
			budgets.admit(job);
		},
	},
	{
		name: 'a send without a permit is charged when it leaves', charged: 1, async play({budgets, job}) {
			budgets.admit(job);
			budgets.admit(job);
		},
	},
	{
		name: 'a hedge whose first attempt never left returns its permit', charged: 0, async play({budgets, job}) {
			await budgets.acquire(job, 'slow');
			budgets.admit(job);
			budgets.release(job);
		},
	},
	{
		name: 'a forwarded request that the other host did not send is free', charged: 0, async play({budgets, job}) {
			budgets.admit(job);
			budgets.discount(job);
			budgets.release(job);
		},
	},
	{
		name: 'a forwarded request after a rejection is a repeat', charged: 1, async play({budgets, job}) {
			budgets.admit(job);
			await budgets.ensure(job, 'refused');
			budgets.admit(job);
		},
	},
	{
		name: 'an expired permit does not pay for a send', charged: 1, async play({budgets, clock, job}) {
			budgets.admit(job);
			await budgets.acquire(job, 'refused');
			clock.advance(1000);
			await budgets.ensure(job, 'refused');
			budgets.admit(job);
		},
	},
];

describe('charges of the retry budget', () => {
	for (const {name, play, charged} of cases) {
		it(name, async () => {
			const played = new Played();
			await play(played);
			expect(played.charged).toEqual(charged);
		});
	}

	it('a repeat is not sent without budget', async () => {
		const played = new Played();
		const {budgets, job} = played;
		budgets.admit(job);
		played.spendAll();
		expect(await budgets.ensure(job, 'refused')).toEqual(false);
		expect(budgets.admit(job)).toEqual(false);
		expect(job.arrivals).toEqual(1);
	});
});
