/** Generated inputs: what must hold of the decisions whatever comes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {type Engine} from '@gatehead/schema/bundle';
import {type LeaseAsk, type MemberRecord} from '@gatehead/schema/peer-message';
import {leaseKey} from '../scheduler/decode-pool.js';
import {Scheduler} from '../scheduler/scheduler.js';
import {ignore} from '../utils/ignore.js';
import {seedRandom} from '../utils/random.js';
import {cellsOf, keeperOf, mostCellEngines} from './cell.js';
import {HostRings, mostAnswered} from './lookup.js';
import {Members} from './members.js';

const seed = 20_261_202;
const stepMs = 20;
const waitMs = 200;
const options = {seed, numRuns: 200};

const record = fc.record<MemberRecord>({
	host: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
	hall: fc.constantFrom('north', 'south'),
	region: fc.constant('region'),
	incarnation: fc.integer({min: 1, max: 3}),
	counter: fc.integer({min: 0, max: 3}),
	state: fc.constantFrom('alive', 'leaving', 'suspect', 'dead'),
	callerAddress: fc.constant('127.0.0.1:1'),
	peerAddress: fc.constant('127.0.0.1:2'),
	adminAddress: fc.constant('127.0.0.1:3'),
	load: fc.constantFrom(0, 0.5, 1),
});

const self: MemberRecord = {
	host: 'self', hall: 'north', region: 'region', incarnation: 2, counter: 0, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0,
};

function stateOf(members: Members): unknown {
	return members.list().map(({host, incarnation, counter, state}) => `${host} ${incarnation} ${counter} ${state}`).toSorted();
}

describe('membership news', () => {
	it('ends in the same table whatever the order and however often it comes', () => {
		fc.assert(fc.property(fc.array(record, {maxLength: 30}), fc.integer(), (news, shift) => {
			const ordered = new Members(self);
			const mixed = new Members(self);
			for (const each of news) {
				ordered.merge(each);
			}

			const turned = news.length === 0 ? [] : news.map((_, index) => news[(index + Math.abs(shift)) % news.length]);
			for (const each of [...turned, ...turned.toReversed()]) {
				if (each !== undefined) {
					mixed.merge(each);
				}
			}

			expect(stateOf(mixed)).toEqual(stateOf(ordered));
		}), options);
	});

	it('never makes a host believe that it is itself gone', () => {
		fc.assert(fc.property(fc.array(record, {maxLength: 30}), news => {
			const members = new Members(self);
			for (const each of news) {
				members.merge({...each, host: 'self', incarnation: Math.min(each.incarnation, 2)});
			}

			expect(members.self.state).toEqual('alive');
		}), options);
	});

	it('keeps the number of neighbours fixed', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {maxLength: 60}), hosts => {
			const members = new Members(self);
			for (const host of hosts) {
				members.merge({...self, host});
			}

			expect(members.neighbours().length <= 3).toEqual(true);
		}), options);
	});
});

/** Most steps that news takes from any of some hosts to all others, over links that carry both ways. */
function countSteps(size: number): number {
	const halls = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'];
	const records = Array.from({length: size}, (_, index) => ({...self, host: `host-${index}`, hall: halls[index % halls.length] ?? ''}));
	const links = new Map(records.map(each => [each.host, new Set<string>()]));
	for (const own of records) {
		const members = new Members(own);
		for (const each of records) {
			members.merge(each);
		}

		for (const other of members.neighbours()) {
			links.get(own.host)?.add(other);
			links.get(other)?.add(own.host);
		}
	}

	let reached = new Set(['host-0']);
	for (let steps = 0; steps < size; steps += 1) {
		if (reached.size === size) {
			return steps;
		}

		reached = new Set([...reached, ...[...reached].flatMap(each => [...links.get(each) ?? []])]);
	}

	return size;
}

describe('spreading', () => {
	for (const {size, most} of [{size: 8, most: 3}, {size: 64, most: 5}, {size: 350, most: 7}]) {
		it(`news reach ${size} hosts in at most ${most} steps`, () => {
			expect(countSteps(size) <= most).toEqual(true);
		});
	}
});

describe('lookups', () => {
	it('name at most four hosts, none that is leaving or gone', () => {
		fc.assert(fc.property(fc.array(record, {maxLength: 40}), members => {
			const ordered = new HostRings(members).order({
				caller: 'c', client: '127.0.0.1', hall: 'north', keepers: new Set(),
			});
			expect(ordered.length <= mostAnswered).toEqual(true);
			expect(ordered.filter(({state}) => state === 'dead' || state === 'leaving')).toEqual([]);
		}), options);
	});
});

function makeEngines(count: number): Engine[] {
	return Array.from({length: count}, (_, index) => ({
		name: `e${index}`, hall: 'north', address: '127.0.0.1:1', pool: 'p', role: index % 3 === 0 ? 'prefill' : 'decode', model: 'm', adapters: [], slots: index % 3 === 0 ? 1 : 2, prefillTokensPerSecond: 20_000, linkBytesPerSecond: 1e10, resultHoldMs: 800, checksSender: false, leaving: false,
	}));
}

describe('lookups for a model', () => {
	const cases = [
		{name: 'lead to its keepers where there are many', keepers: 8, isLed: true},
		{name: 'spread as ever where one keeper would bear all', keepers: 1, isLed: false},
	];
	for (const {name, keepers, isLed} of cases) {
		it(name, () => {
			const members = Array.from({length: 40}, (_, index) => ({...self, host: `host-${index}`}));
			const kept = new Set(members.slice(0, keepers).map(each => each.host));
			const first = Array.from({length: 60}, (_, client) => new HostRings(members).order({
				caller: 'c', client: String(client), hall: 'north', keepers: kept,
			})[0]?.host ?? '');
			expect(first.every(each => kept.has(each))).toEqual(isLed);
			expect(new Set(first).size >= Math.min(keepers, 6)).toEqual(true);
		});
	}
});

describe('cells', () => {
	it('hold every engine once, both roles, and stay small', () => {
		fc.assert(fc.property(fc.integer({min: 2, max: 200}), count => {
			const cells = cellsOf({
				deployment: 'd', version: 1, models: [{
					name: 'm', version: 'v', windowTokens: 1, kvBytesPerToken: 1, adapters: [],
				}], engines: makeEngines(count), services: [], callers: [], rules: {
					objective: 'goodput', targets: [], lookupTtlMs: 1, attempts: 1,
				},
			});
			expect(cells.flatMap(each => each.engines.map(engine => engine.name)).toSorted()).toEqual(makeEngines(count).map(each => each.name).toSorted());
			for (const {engines} of cells) {
				expect(new Set(engines.map(each => each.role)).size).toEqual(2);
				expect(engines.length <= mostCellEngines + 2).toEqual(true);
			}
		}), options);
	});

	it('keep their keeper when another host goes', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 6}), {minLength: 2, maxLength: 20}), fc.nat(), (hosts, nth) => {
			const cell = {
				name: 'm/0', model: 'm', engines: [], halls: ['north'],
			};
			const candidates = hosts.map(host => ({host, hall: 'north'}));
			const keeper = keeperOf(cell, candidates);
			const gone = hosts[nth % hosts.length];
			if (gone !== keeper) {
				expect(keeperOf(cell, candidates.filter(each => each.host !== gone))).toEqual(keeper);
			}
		}), options);
	});
});

type Act = {readonly kind: 'ask' | 'prefilled' | 'release' | 'bounced' | 'withdraw' | 'wait'; readonly nth: number};

const act = fc.record<Act>({kind: fc.constantFrom('ask', 'prefilled', 'release', 'bounced', 'withdraw', 'wait'), nth: fc.integer({min: 0, max: 11})});

function makeAsk(nth: number): LeaseAsk {
	return {
		request: `r${nth}`, attempt: 1, caller: `c${nth % 3}`, priority: nth % 2, promptTokens: 100 + (nth * 50), maxTokens: 20 + nth, blocks: [], slackMs: 2000, accepted: false,
	};
}

describe('scheduler', () => {
	it('never grants more decode slots than there are, and never one request twice', () => {
		fc.assert(fc.property(fc.array(act, {maxLength: 80}), acts => {
			const engines = makeEngines(6);
			const scheduler = new Scheduler({
				engines, kvBytesPerToken: 1, objective: 'goodput', random: seedRandom(seed), shareOf: () => 1, limitOf: () => undefined, isLeaving: () => false,
			});
			for (const {name, role, slots} of engines) {
				scheduler.report({
					name, role, fence: 0, models: [], slots, streams: [], results: [], queued: 0, tokenMs: 20, lagMs: 0, cacheEvents: [],
				}, 0);
			}

			const held = new Map<string, string>();
			const handlers: Record<Act['kind'], (nth: number, key: string, now: number) => void> = {
				ask(nth, _key, now) {
					scheduler.ask(makeAsk(nth), now);
				},
				prefilled(_nth, key, now) {
					scheduler.prefilled(key, 800, now);
				},
				release(_nth, key, now) {
					scheduler.release(key, 10, now);
					held.delete(key);
				},
				bounced(_nth, key, now) {
					scheduler.bounced(key, held.get(key) ?? '', false, now);
					held.delete(key);
				},
				withdraw(_nth, key) {
					scheduler.withdraw(key);
				},
				wait: ignore,
			};
			let now = 0;
			for (const {kind, nth} of acts) {
				now += kind === 'wait' ? waitMs : stepMs;
				handlers[kind](nth, leaseKey(makeAsk(nth)), now);
				for (const decision of scheduler.decide(now)) {
					if (decision.kind === 'decode') {
						expect(held.has(leaseKey(decision))).toEqual(false);
						held.set(leaseKey(decision), decision.engine);
					}
				}

				for (const {name, slots} of engines) {
					expect([...held.values()].filter(each => each === name).length <= slots).toEqual(true);
				}
			}
		}), options);
	});
});
