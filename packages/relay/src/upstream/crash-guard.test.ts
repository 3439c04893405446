/** Which requests a host holds back after lost sends, response data and reports from other hosts. */
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type CrashReport} from '@gatehead/schema/relay-message';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {type Endpoint} from '@gatehead/schema/routing';
import {type Code} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {Metrics} from '../utils/metrics.js';
import {type Job} from '../work/job.js';
import {RequestContent} from '../work/request-content.js';
import {CrashGuard} from './crash-guard.js';

const address = '127.0.0.1:1';
const settings = relaySettings.parse({
	host: 'a', hall: 'h', region: 'r', listen: {
		caller: address, ready: address, lookup: address, peer: address,
	},
});

function createEndpoint(id: string, startedAt?: number): Endpoint {
	return {
		id: startedAt === undefined ? id : `${id}@${startedAt}`, instance: id, service: 's', address, hall: 'h', state: 'ready', slots: 8,
	};
}

/** A crash guard with the dependencies that it needs. */
class GuardHarness {
	readonly clock = new ManualClock();
	readonly broadcastReports: CrashReport[] = [];
	readonly codes: Code[] = [];
	/** Endpoints that accept no connections. */
	readonly crashed = new Set<string>();
	isTrialHost = true;
	readonly guard = new CrashGuard({
		context: {
			clock: this.clock,
			log: code => {
				this.codes.push(code);
			},
			metrics: new Metrics(undefined, {}),
			settings,
		},
		hasCrashed: async ({id, instance}) => this.crashed.has(instance ?? id),
		broadcast: reports => {
			this.broadcastReports.push(...reports);
		},
		isTrialHost: () => this.isTrialHost,
	});

	createJob(text = 'harmful'): Job {
		const job = {
			id: 'r', route: {name: 'route'}, service: {name: 's'}, content: new RequestContent({
				authority: 'a', method: 'POST', target: '/x', workspace: undefined, body: new TextEncoder().encode(text),
			}), isContentHeld: false, trials: new Set<string>(), signal: new AbortController().signal,
		};
		return job as unknown as Job; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the guard reads no other properties of a job
	}

	/** Loses a send; its response started `answeredMs` milliseconds ago, or not at all. */
	async loseSend(endpoint: Endpoint, {answeredMs, isConnectionLost = true, text}: {readonly answeredMs?: number; readonly isConnectionLost?: boolean; readonly text?: string} = {}): Promise<void> {
		const now = this.clock.now();
		this.guard.recordLoss({
			job: this.createJob(text), step: 'decode', endpoint, inFlight: 1, sentAt: now - 1000, answeredAt: answeredMs === undefined ? undefined : now - answeredMs,
			isConnectionLost, reason: 'reset',
		});
		await Promise.resolve();
		await Promise.resolve();
		this.clock.advance(1000);
	}

	/** Crashes an endpoint with the harmful content. */
	async crash(id: string, startedAt?: number): Promise<void> {
		this.crashed.add(id);
		await this.loseSend(createEndpoint(id, startedAt));
	}

	get isHeld(): boolean {
		return !this.guard.maySend(this.createJob());
	}
}

type Case = {
	readonly name: string;
	readonly run: (harness: GuardHarness) => Promise<void>;
	readonly isHeld: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'two endpoints crash', isHeld: true, async run(harness) {
			await harness.crash('e1');
			await harness.crash('e2');
		},
	},
	{
		name: 'one endpoint crashes in two starts', isHeld: true, async run(harness) {
			await harness.crash('e1', 1);
			await harness.crash('e1', 5000);
		},
	},
	{
		name: 'one endpoint crashes twice under the same id, with a new directory entry', isHeld: true, async run(harness) {
			harness.crashed.add('e1');
			await harness.loseSend({...createEndpoint('e1'), listedSince: 3});
			await harness.loseSend({...createEndpoint('e1'), listedSince: 9});
		},
	},
	{
		name: 'two running endpoints close a connection', isHeld: false, async run(harness) {
			await harness.loseSend(createEndpoint('e1'));
			await harness.loseSend(createEndpoint('e2'));
		},
	},
	{
		name: 'connections lost after streaming for a while', isHeld: false, async run(harness) {
			harness.crashed.add('e1').add('e2');
			await harness.loseSend(createEndpoint('e1'), {answeredMs: 400});
			await harness.loseSend(createEndpoint('e2'), {answeredMs: 400});
		},
	},
	{
		name: 'abandoned sends at endpoints that are gone later', isHeld: true, async run(harness) {
			await harness.loseSend(createEndpoint('e1'), {isConnectionLost: false});
			await harness.loseSend(createEndpoint('e2'), {isConnectionLost: false});
			harness.guard.handleGone(createEndpoint('e1'));
			harness.guard.handleGone(createEndpoint('e2'));
		},
	},
	{
		name: 'abandoned sends at endpoints that are already gone', isHeld: true, async run(harness) {
			harness.guard.handleGone(createEndpoint('e1'));
			await harness.loseSend(createEndpoint('e1'), {isConnectionLost: false});
			harness.guard.handleGone(createEndpoint('e2'));
			await harness.loseSend(createEndpoint('e2'), {isConnectionLost: false});
		},
	},
	{
		name: 'abandoned sends whose responses had just begun, at endpoints that are gone later', isHeld: false, async run(harness) {
			for (const id of ['e1', 'e2']) {
				await harness.loseSend(createEndpoint(id), {isConnectionLost: false, answeredMs: 100});
				harness.guard.handleGone(createEndpoint(id));
			}
		},
	},
	{
		name: 'abandoned sends at endpoints that drained', isHeld: false, async run(harness) {
			for (const id of ['e1', 'e2']) {
				await harness.loseSend(createEndpoint(id), {isConnectionLost: false});
				harness.guard.handleGone({...createEndpoint(id), state: 'leaving'});
			}
		},
	},
	{
		name: 'abandoned sends at slow endpoints', isHeld: false, async run(harness) {
			await harness.loseSend(createEndpoint('e1'), {isConnectionLost: false});
			await harness.loseSend(createEndpoint('e2'), {isConnectionLost: false});
		},
	},
	{
		name: 'stream data from an endpoint that accepts no connections', isHeld: false, async run(harness) {
			await harness.crash('e1');
			harness.guard.recordData(createEndpoint('e1'), -500);
			await harness.crash('e2');
		},
	},
	{
		name: 'data that was in transit when the endpoint crashed', isHeld: true, async run(harness) {
			harness.crashed.add('e1');
			harness.guard.recordLoss({
				job: harness.createJob(), step: 'decode', endpoint: createEndpoint('e1'), inFlight: 1, sentAt: 0, answeredAt: undefined, isConnectionLost: true, reason: 'reset',
			});
			await Promise.resolve();
			await Promise.resolve();
			harness.clock.advance(100);
			harness.guard.recordData(createEndpoint('e1'), 0);
			harness.clock.advance(200);
			await harness.crash('e2');
		},
	},
	{
		name: 'a response to a send that started long after the crash', isHeld: true, async run(harness) {
			await harness.crash('e1');
			harness.clock.advance(4000);
			harness.guard.recordData(createEndpoint('e1'), harness.clock.now());
			await harness.crash('e2');
		},
	},
	{
		name: 'a response from the next start of the endpoint', isHeld: true, async run(harness) {
			await harness.crash('e1', 1);
			harness.guard.recordData(createEndpoint('e1', 900), harness.clock.now() - 500);
			await harness.crash('e2');
		},
	},
	{
		name: 'a request that succeeds', isHeld: false, async run(harness) {
			await harness.crash('e1');
			await harness.crash('e2');
			harness.guard.recordSuccess(harness.createJob());
		},
	},
];

/** Sends one host's reports to another that has none. */
async function shareReports(isNewHost: boolean): Promise<GuardHarness> {
	const [reporter, receiver] = [new GuardHarness(), new GuardHarness()];
	await reporter.crash('e1');
	await reporter.crash('e2');
	receiver.clock.advance(reporter.clock.now());
	receiver.guard.mergeReports(isNewHost ? reporter.guard.listHeld() : reporter.broadcastReports);
	return receiver;
}

describe('crash guard of one host', () => {
	for (const {name, run, isHeld} of cases) {
		it(`${name}: ${isHeld ? 'held back' : 'sent'}`, async () => {
			const harness = new GuardHarness();
			await run(harness);
			expect(harness.isHeld).toEqual(isHeld);
			expect(harness.guard.findHold(harness.createJob()) !== undefined).toEqual(isHeld);
			expect(harness.guard.maySend(harness.createJob('harmless'))).toEqual(true);
			expect(harness.codes.includes('contentHeldSince') || !isHeld).toEqual(true);
		});
	}

	it('a job that was refused is not sent later', async () => {
		const harness = new GuardHarness();
		await harness.crash('e1');
		await harness.crash('e2');
		const job = harness.createJob();
		expect(harness.guard.maySend(job)).toEqual(false);
		harness.guard.recordSuccess(harness.createJob());
		expect([harness.guard.maySend(job), harness.isHeld, harness.codes.at(-1)]).toEqual([false, false, 'contentCleared']);
	});

	for (const isNewHost of [false, true]) {
		it(`${isNewHost ? 'a host that missed the reports gets them by heartbeat' : 'other hosts get the reports at once'}, and can refute them for all`, async () => {
			const receiver = await shareReports(isNewHost);
			expect(receiver.isHeld).toEqual(true);
			receiver.clock.advance(300);
			receiver.guard.recordData(createEndpoint('e2'), 0);
			receiver.clock.advance(100);
			expect([receiver.isHeld, receiver.broadcastReports.length, receiver.broadcastReports[0]?.refuted]).toEqual([false, 1, ['e2']]);
		});
	}

	it('after the hold expires, one host admits one trial request', async () => {
		const harness = new GuardHarness();
		await harness.crash('e1');
		await harness.crash('e2');
		harness.clock.advance(60_000);
		harness.isTrialHost = false;
		expect(harness.isHeld).toEqual(true);
		harness.isTrialHost = true;
		const trial = harness.createJob();
		expect([harness.guard.findHold(trial), harness.guard.maySend(trial), harness.isHeld, harness.guard.maySend(trial)]).toEqual([undefined, true, true, true]);
		await harness.crash('e3');
		expect([harness.guard.maySend(trial), harness.isHeld]).toEqual([false, true]);
	});
});
