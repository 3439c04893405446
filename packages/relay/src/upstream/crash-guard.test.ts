/** Catalogue: what a host makes of lost sends, of signs of life and of what the other hosts tell; which requests it then holds back. */
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

function makeEndpoint(id: string, startedAt?: number): Endpoint {
	return {
		id: startedAt === undefined ? id : `${id}@${startedAt}`, instance: id, service: 's', address, hall: 'h', state: 'ready', slots: 8,
	};
}

/** One host, as far as the guard sees it. */
class Bench {
	readonly clock = new ManualClock();
	readonly told: CrashReport[] = [];
	readonly codes: Code[] = [];
	/** Endpoints that answer no connection. */
	readonly down = new Set<string>();
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
		hasEnded: async ({id, instance}) => this.down.has(instance ?? id),
		tell: reports => {
			this.told.push(...reports);
		},
		isTrialHost: () => this.isTrialHost,
	});

	makeJob(text = 'guilty'): Job {
		const job = {
			id: 'r', route: {name: 'route'}, content: new RequestContent({
				authority: 'a', method: 'POST', target: '/x', workspace: undefined, body: new TextEncoder().encode(text),
			}), isContentHeld: false, isProbe: false,
		};
		return job as unknown as Job; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the guard reads no more of a job
	}

	/** A send is lost; `answeredMs` ago its answer began. */
	async lose(endpoint: Endpoint, {answeredMs, isCut = true, text}: {readonly answeredMs?: number; readonly isCut?: boolean; readonly text?: string} = {}): Promise<void> {
		const now = this.clock.now();
		this.guard.noteLoss({
			job: this.makeJob(text), step: 'decode', endpoint, inWork: 1, sentAt: now - 1000, answeredAt: answeredMs === undefined ? undefined : now - answeredMs, isCut, reason: 'reset',
		});
		await Promise.resolve();
		await Promise.resolve();
		this.clock.advance(1000);
	}

	/** An endpoint ends under the guilty content. */
	async end(id: string, startedAt?: number): Promise<void> {
		this.down.add(id);
		await this.lose(makeEndpoint(id, startedAt));
	}

	get isHeld(): boolean {
		return !this.guard.mayRun(this.makeJob());
	}
}

type Case = {
	readonly name: string;
	readonly play: (bench: Bench) => Promise<void>;
	readonly isHeld: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'two endpoints end', isHeld: true, async play(bench) {
			await bench.end('e1');
			await bench.end('e2');
		},
	},
	{
		name: 'one endpoint ends twice under its id', isHeld: true, async play(bench) {
			await bench.end('e1', 1);
			await bench.end('e1', 5000);
		},
	},
	{
		name: 'one endpoint ends twice under its id, and only its entry was made anew', isHeld: true, async play(bench) {
			bench.down.add('e1');
			await bench.lose({...makeEndpoint('e1'), listedSince: 3});
			await bench.lose({...makeEndpoint('e1'), listedSince: 9});
		},
	},
	{
		name: 'two endpoints that live cut a connection', isHeld: false, async play(bench) {
			await bench.lose(makeEndpoint('e1'));
			await bench.lose(makeEndpoint('e2'));
		},
	},
	{
		name: 'streams that had been coming for a while', isHeld: false, async play(bench) {
			bench.down.add('e1').add('e2');
			await bench.lose(makeEndpoint('e1'), {answeredMs: 400});
			await bench.lose(makeEndpoint('e2'), {answeredMs: 400});
		},
	},
	{
		name: 'endpoints that stay silent and are gone later', isHeld: true, async play(bench) {
			await bench.lose(makeEndpoint('e1'), {isCut: false});
			await bench.lose(makeEndpoint('e2'), {isCut: false});
			bench.guard.noteGone(makeEndpoint('e1'));
			bench.guard.noteGone(makeEndpoint('e2'));
		},
	},
	{
		name: 'endpoints that are known to be gone before the send is given up', isHeld: true, async play(bench) {
			bench.guard.noteGone(makeEndpoint('e1'));
			await bench.lose(makeEndpoint('e1'), {isCut: false});
			bench.guard.noteGone(makeEndpoint('e2'));
			await bench.lose(makeEndpoint('e2'), {isCut: false});
		},
	},
	{
		name: 'endpoints that had said that they would leave, and are gone', isHeld: false, async play(bench) {
			for (const id of ['e1', 'e2']) {
				await bench.lose(makeEndpoint(id), {isCut: false});
				bench.guard.noteGone({...makeEndpoint(id), state: 'leaving'});
			}
		},
	},
	{
		name: 'endpoints that are only slow', isHeld: false, async play(bench) {
			await bench.lose(makeEndpoint('e1'), {isCut: false});
			await bench.lose(makeEndpoint('e2'), {isCut: false});
		},
	},
	{
		name: 'bytes of a stream from an endpoint that this host cannot connect to', isHeld: false, async play(bench) {
			await bench.end('e1');
			bench.guard.noteLife(makeEndpoint('e1'), -500);
			await bench.end('e2');
		},
	},
	{
		name: 'bytes that had been on their way when it ended', isHeld: true, async play(bench) {
			bench.down.add('e1');
			bench.guard.noteLoss({
				job: bench.makeJob(), step: 'decode', endpoint: makeEndpoint('e1'), inWork: 1, sentAt: 0, answeredAt: undefined, isCut: true, reason: 'reset',
			});
			await Promise.resolve();
			await Promise.resolve();
			bench.clock.advance(100);
			bench.guard.noteLife(makeEndpoint('e1'), 0);
			bench.clock.advance(200);
			await bench.end('e2');
		},
	},
	{
		name: 'an answer to a send that began long after the end', isHeld: true, async play(bench) {
			await bench.end('e1');
			bench.clock.advance(4000);
			bench.guard.noteLife(makeEndpoint('e1'), bench.clock.now());
			await bench.end('e2');
		},
	},
	{
		name: 'the next start of an endpoint that answers', isHeld: true, async play(bench) {
			await bench.end('e1', 1);
			bench.guard.noteLife(makeEndpoint('e1', 900), bench.clock.now() - 500);
			await bench.end('e2');
		},
	},
	{
		name: 'a run that goes well', isHeld: false, async play(bench) {
			await bench.end('e1');
			await bench.end('e2');
			bench.guard.noteGood(bench.makeJob());
		},
	},
];

/** What a host knows, told to one that knows nothing. */
async function hearOf(isFresh: boolean): Promise<Bench> {
	const [teller, hearer] = [new Bench(), new Bench()];
	await teller.end('e1');
	await teller.end('e2');
	hearer.clock.advance(teller.clock.now());
	hearer.guard.hear(isFresh ? teller.guard.listHeld() : teller.told);
	return hearer;
}

describe('requests that end endpoints, at one host', () => {
	for (const {name, play, isHeld} of cases) {
		it(`${name}: ${isHeld ? 'held back' : 'let in'}`, async () => {
			const bench = new Bench();
			await play(bench);
			expect(bench.isHeld).toEqual(isHeld);
			expect(bench.guard.holdMs(bench.makeJob().content) !== undefined).toEqual(isHeld);
			expect(bench.guard.mayRun(bench.makeJob('harmless'))).toEqual(true);
			expect(bench.codes.includes('contentHeldSince') || !isHeld).toEqual(true);
		});
	}

	it('what was refused once is not sent later', async () => {
		const bench = new Bench();
		await bench.end('e1');
		await bench.end('e2');
		const job = bench.makeJob();
		expect(bench.guard.mayRun(job)).toEqual(false);
		bench.guard.noteGood(bench.makeJob());
		expect([bench.guard.mayRun(job), bench.isHeld, bench.codes.at(-1)]).toEqual([false, false, 'contentCleared']);
	});

	for (const isFresh of [false, true]) {
		it(`${isFresh ? 'a host that heard none of the news learns from a heartbeat' : 'the others hear the news at once'}, and refute it for all`, async () => {
			const hearer = await hearOf(isFresh);
			expect(hearer.isHeld).toEqual(true);
			hearer.clock.advance(300);
			hearer.guard.noteLife(makeEndpoint('e2'), 0);
			hearer.clock.advance(100);
			expect([hearer.isHeld, hearer.told.length, hearer.told[0]?.refuted]).toEqual([false, 1, ['e2']]);
		});
	}

	it('when its time is over, one host lets one run in', async () => {
		const bench = new Bench();
		await bench.end('e1');
		await bench.end('e2');
		bench.clock.advance(60_000);
		bench.isTrialHost = false;
		expect(bench.isHeld).toEqual(true);
		bench.isTrialHost = true;
		const trial = bench.makeJob();
		expect([bench.guard.holdMs(trial.content), bench.guard.mayRun(trial), bench.isHeld, bench.guard.mayRun(trial)]).toEqual([undefined, true, true, true]);
		await bench.end('e3');
		expect([bench.guard.mayRun(trial), bench.isHeld]).toEqual([false, true]);
	});
});
