/** Simulates a workspace's quota shared by many hosts: no window may exceed the quota's bound, and little of the quota may be lost. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {type Quota} from '@gatehead/schema/routing';
import {seedRandom} from '../utils/random.js';
import {grantLifetimeMs, QuotaAccount} from './quota-account.js';
import {QuotaWindow} from './quota-window.js';
import {rankCoordinators, reachableShare, standInFraction} from './quota-coordinator.js';

const windowMs = 8000;
const tolerance = {quotaExcess: 0.25, quotaAllowance: 140_000, quotaWindowMs: windowMs};
const strict = {quotaExcess: 0, quotaAllowance: 0, quotaWindowMs: windowMs};
const promptCost = 5273;
const plainCost = 200;
const stepMs = 10;

function makeQuota(ratePerS: number): Quota {
	return {
		unit: 'tokens', ratePerS, burst: ratePerS, unnamedTokens: plainCost,
	};
}

/** One side of a network partition, and the fraction of the quota that it may grant. */
type Side = {readonly name: string; readonly share: number};

/** A fleet that shares one workspace's quota. */
class QuotaFleet {
	readonly #accounts: QuotaAccount[];
	readonly #windows = new Map<string, QuotaWindow>();
	readonly #quota: Quota;
	readonly #asking = new Set<number>();

	constructor(hosts: number, quota: Quota) {
		this.#quota = quota;
		this.#accounts = Array.from({length: hosts}, () => new QuotaAccount());
	}

	/** Discards the coordinators' state, as if their hosts were replaced. */
	loseKeeper(): void {
		this.#windows.clear();
	}

	/** Sends a request to a host. Returns its cost if it is admitted, otherwise 0. */
	request(host: number, cost: number, now: number, side: Side): number {
		const account = this.#accounts[host];
		if (account === undefined) {
			return 0;
		}

		const credit = 0.25 * tolerance.quotaAllowance / this.#accounts.length;
		const answer = account.take(cost, credit, now);
		if (answer === 'granted') {
			return cost;
		}

		if (answer === 'refused' || this.#asking.has(host)) {
			return 0;
		}

		const window = this.#windowOf(side.name, side.share, now);
		account.receive(window.grant(account.buildRequest(cost, now), now), now);
		return account.take(cost, 0, now) === 'granted' ? cost : 0;
	}

	#windowOf(name: string, share: number, now: number): QuotaWindow {
		const window = this.#windows.get(name) ?? new QuotaWindow(`${name} ${now}`, this.#quota, tolerance, share, now);
		this.#windows.set(name, window);
		window.adjust(this.#quota, share, now);
		return window;
	}
}

type Use = {readonly at: number; readonly cost: number};

function mostInWindow(uses: readonly Use[]): number {
	let most = 0;
	let sum = 0;
	let first = 0;
	for (const {at, cost} of uses) {
		sum += cost;
		while ((uses[first]?.at ?? 0) <= at - windowMs) {
			sum -= uses[first]?.cost ?? 0;
			first += 1;
		}

		most = Math.max(most, sum);
	}

	return most;
}

function boundOf({ratePerS, burst}: Quota): number {
	return (((ratePerS * windowMs / 1000) + burst) * (1 + tolerance.quotaExcess)) + tolerance.quotaAllowance;
}

type Play = {
	readonly hosts: number;
	readonly ratePerS: number;
	/** Demand, as a multiple of the quota's rate. */
	readonly demand: number;
	readonly seconds: number;
	readonly promptShare: number;
	readonly seed: number;
	readonly loseKeeperEveryMs?: number;
	/** Each half of the fleet uses its own coordinator. */
	readonly isSplit?: boolean;
};

/** Simulates requests of random cost at random hosts. */
function play({hosts, ratePerS, demand, seconds, promptShare, seed, loseKeeperEveryMs, isSplit}: Play): {uses: Use[]; asked: number} {
	const random = seedRandom(seed);
	const fleet = new QuotaFleet(hosts, makeQuota(ratePerS));
	const meanCost = (promptShare * promptCost) + ((1 - promptShare) * plainCost);
	const perStep = demand * ratePerS / meanCost * stepMs / 1000;
	const uses: Use[] = [];
	let asked = 0;
	let due = 0;
	for (let now = 0; now < seconds * 1000; now += stepMs) {
		if (loseKeeperEveryMs !== undefined && now % loseKeeperEveryMs === 0) {
			fleet.loseKeeper();
		}

		for (due += perStep; due >= 1; due -= 1) {
			const host = Math.floor(random.next() * hosts);
			const cost = random.next() < promptShare ? promptCost : plainCost;
			const side = isSplit ? {name: `side ${host % 2}`, share: reachableShare(hosts / 2, hosts)} : {name: 'whole', share: 1};
			asked += cost;
			const used = fleet.request(host, cost, now, side);
			if (used > 0) {
				uses.push({at: now, cost: used});
			}
		}
	}

	return {uses, asked};
}

function sumOf(uses: readonly Use[]): number {
	return uses.reduce((sum, {cost}) => sum + cost, 0);
}

type Case = {
	readonly name: string;
	readonly play: Play;
	/** Minimum admitted fraction of the demand or of the quota, whichever is less. */
	readonly leastServed: number;
};

const cases: readonly Case[] = [
	{
		name: 'admits a workspace within its quota on many hosts', play: {
			hosts: 88, ratePerS: 131_000, demand: 0.56, seconds: 30, promptShare: 0.4, seed: 1,
		}, leastServed: 0.995,
	},
	{
		name: 'admits a small workspace that each host sees about once in ten seconds', play: {
			hosts: 88, ratePerS: 36_000, demand: 0.3, seconds: 60, promptShare: 0.3, seed: 2,
		}, leastServed: 0.995,
	},
	{
		name: 'serves nearly the whole quota when demand is four times as high', play: {
			hosts: 88, ratePerS: 131_000, demand: 4.2, seconds: 30, promptShare: 0.4, seed: 3,
		}, leastServed: 0.97,
	},
	{
		name: 'serves nearly the whole quota on seven hosts', play: {
			hosts: 7, ratePerS: 60_000, demand: 4, seconds: 30, promptShare: 0.4, seed: 4,
		}, leastServed: 0.97,
	},
	{
		name: 'serves at least nine tenths of the quota on 350 hosts', play: {
			hosts: 350, ratePerS: 300_000, demand: 4, seconds: 20, promptShare: 0.4, seed: 5,
		}, leastServed: 0.9,
	},
	{
		name: 'serves nearly the whole quota across a partition', play: {
			hosts: 88, ratePerS: 131_000, demand: 4.2, seconds: 30, promptShare: 0.4, seed: 6, isSplit: true,
		}, leastServed: 0.97,
	},
	{
		name: 'keeps the bound when the coordinator is lost every five seconds', play: {
			hosts: 88, ratePerS: 131_000, demand: 4.2, seconds: 30, promptShare: 0.4, seed: 7, loseKeeperEveryMs: 5000,
		}, leastServed: 0.65,
	},
	{
		name: 'admits a workspace within its quota when the coordinator is lost every five seconds', play: {
			hosts: 88, ratePerS: 131_000, demand: 0.56, seconds: 30, promptShare: 0.4, seed: 8, loseKeeperEveryMs: 5000,
		}, leastServed: 0.995,
	},
];

describe('fleet-wide quota', () => {
	for (const {name, play: each, leastServed} of cases) {
		it(name, () => {
			const {uses, asked} = play(each);
			const quota = makeQuota(each.ratePerS);
			const allowed = (each.ratePerS * each.seconds) + quota.burst;
			expect(mostInWindow(uses) <= boundOf(quota)).toEqual(true);
			expect(sumOf(uses) >= leastServed * Math.min(asked, allowed)).toEqual(true);
		});
	}

	it('keeps the bound for any number of hosts, rate, demand and loss of coordinators', () => {
		fc.assert(fc.property(fc.record({
			hosts: fc.integer({min: 1, max: 120}),
			ratePerS: fc.integer({min: 5000, max: 400_000}),
			demand: fc.double({min: 0.2, max: 7.5, noNaN: true}),
			promptShare: fc.double({min: 0.05, max: 1, noNaN: true}),
			seed: fc.integer({min: 1, max: 10_000}),
			isSplit: fc.boolean(),
			loseKeeperEveryMs: fc.integer({min: 250, max: 900}).map(steps => steps * stepMs),
		}), each => {
			const {uses} = play({...each, seconds: 20});
			expect(mostInWindow(uses) <= boundOf(makeQuota(each.ratePerS))).toEqual(true);
		}), {seed: 31, numRuns: 60});
	});
});

describe('quota account', () => {
	it('admits a small request on credit before the first grant, but not a large one', () => {
		const account = new QuotaAccount();
		expect([account.take(200, 397, 0), account.take(200, 397, 0), account.take(5273, 397, 0)]).toEqual(['granted', 'unknown', 'unknown']);
		expect(account.buildRequest(0, 0).least).toEqual(200);
	});

	it('does not use an expired grant', () => {
		const account = new QuotaAccount();
		account.receive({
			granted: 1000, waitMs: 0, level: 0, keeper: 'k',
		}, 0);
		expect(account.take(500, 0, grantLifetimeMs - 1)).toEqual('granted');
		expect(account.take(500, 0, grantLifetimeMs)).toEqual('unknown');
	});

	it('gives no credit until the retry time of a refusal', () => {
		const account = new QuotaAccount();
		account.receive({
			granted: 0, waitMs: 700, level: -10, keeper: 'k',
		}, 100);
		expect(account.take(200, 397, 200)).toEqual('refused');
		expect(account.refusedUntil).toEqual(800);
		expect(account.take(200, 397, 800)).toEqual('granted');
	});

	it('reuses a refunded amount', () => {
		const account = new QuotaAccount();
		account.receive({
			granted: 1000, waitMs: 0, level: 0, keeper: 'k',
		}, 0);
		expect([account.take(1000, 0, 1), account.take(1000, 0, 2)]).toEqual(['granted', 'unknown']);
		account.refund(1000, 3);
		expect(account.take(1000, 0, 4)).toEqual('granted');
	});

	it('reports a low balance when less than the expected use is left', () => {
		const account = new QuotaAccount();
		account.receive({
			granted: 3000, waitMs: 0, level: 0, keeper: 'k',
		}, 0);
		expect(account.isLow(0)).toEqual(false);
		for (let now = 0; now < 1000; now += 100) {
			account.take(290, 0, now);
		}

		expect(account.isLow(1000)).toEqual(true);
	});
});

describe('quota coordinator', () => {
	it('allows the burst once per window', () => {
		const window = new QuotaWindow('keeper', {...makeQuota(1000), burst: 4000}, strict, 1, 0);
		let granted = 0;
		for (let now = 0; now < 4 * windowMs; now += 100) {
			granted += window.grant({least: 200, wanted: 200}, now).granted;
		}

		expect(granted / (4 * windowMs) > 0.0013).toEqual(true);
	});

	it('assigns distinct retry times to hosts that get nothing', () => {
		const window = new QuotaWindow('keeper', {...makeQuota(2000), burst: 0}, strict, 1, 0);
		const waits = Array.from({length: 4}, () => window.grant({least: 1000, wanted: 1000}, 0).waitMs);
		expect(waits).toEqual([500, 1000, 1500, 2000]);
	});

	it('counts all but the burst of the previous window as used at start', () => {
		const window = new QuotaWindow('keeper', {...makeQuota(1000), burst: 3000}, strict, 1, 0);
		expect([window.grant({least: 3000, wanted: 3000}, 0).granted, window.grant({least: 500, wanted: 500}, 0).granted]).toEqual([3000, 0]);
		expect(window.grant({least: 3500, wanted: 3500}, windowMs / 2).granted).toEqual(3500);
	});

	it('counts an added share as used, but for the burst, for the time in which it was not held', () => {
		const quota = {...makeQuota(1000), burst: 4000};
		const takenFrom = (window: QuotaWindow, amounts: readonly number[], now: number) => amounts.map(least => window.grant({least, wanted: least}, now).granted);
		const standIn = new QuotaWindow('keeper', quota, strict, 0.25, 0);
		standIn.adjust(quota, 1, 0);
		expect(takenFrom(standIn, [4000, 200], 0)).toEqual([4000, 0]);
		const rejoined = new QuotaWindow('keeper', quota, strict, 1, 0);
		rejoined.adjust(quota, 0.5, windowMs);
		rejoined.adjust(quota, 1, windowMs * 1.5);
		expect(takenFrom(rejoined, [10_000, 200], windowMs * 1.5)).toEqual([10_000, 0]);
	});

	it('recovers the predecessor\'s grants from host reports', () => {
		const begin = () => new QuotaWindow('keeper', {...makeQuota(1000), burst: 8000}, strict, 1, 0);
		expect(begin().grant({least: 1000, wanted: 1000}, 0).granted).toEqual(1000);
		expect(begin().grant({least: 1000, wanted: 1000, heard: {level: 0, keeper: 'other', ageMs: 100}}, 0).granted).toEqual(0);
		expect(begin().grant({least: 1000, wanted: 1000, heard: {level: 0, keeper: 'other', ageMs: 2600}}, 0).granted).toEqual(1000);
	});

	it('caps earlier use at the new rate after a reduction', () => {
		const window = new QuotaWindow('keeper', makeQuota(10_000), strict, 1, 0);
		for (let now = 0; now < windowMs; now += 100) {
			window.grant({least: 1000, wanted: 1000}, now);
		}

		window.adjust({...makeQuota(1000), burst: 2000}, 1, windowMs);
		expect(window.grant({least: 2000, wanted: 2000}, windowMs).granted).toEqual(2000);
		expect(window.grant({least: 1000, wanted: 1000}, windowMs).granted).toEqual(0);
	});

	it('admits a request above the window\'s capacity once the window is clear', () => {
		const window = new QuotaWindow('keeper', {...makeQuota(100), burst: 500}, strict, 1, 0);
		const takeAt = (now: number) => window.grant({least: 5000, wanted: 5000}, now).granted;
		expect([takeAt(0), takeAt(100), takeAt(windowMs), takeAt(windowMs + 1000)]).toEqual([5000, 0, 0, 5000]);
	});

	it('is the same for all hosts with the same members and differs between workspaces', () => {
		const hosts = Array.from({length: 30}, (_, index) => `host-${index}`);
		expect(rankCoordinators('a', hosts)).toEqual(rankCoordinators('a', [...hosts].toReversed()));
		const keepers = new Set(Array.from({length: 16}, (_, index) => rankCoordinators(`workspace-${index}`, hosts)[0]));
		expect(keepers.size > 8).toEqual(true);
	});

	it('grants a smaller share when hosts are unreachable or as a stand-in', () => {
		expect([reachableShare(88, 88), reachableShare(80, 88), reachableShare(44, 88), reachableShare(0, 0)]).toEqual([1, 10 / 11, 0.5, 0]);
		expect(standInFraction < 0.5).toEqual(true);
	});
});
