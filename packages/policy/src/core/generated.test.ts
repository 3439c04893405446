/** Property-based tests of membership, host selection, cells and the scheduler. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {type Engine} from '@gatehead/schema/bundle';
import {type LeaseRequest, type MemberRecord} from '@gatehead/schema/peer-message';
import {leaseKey} from '../scheduler/decode-pool.js';
import {Scheduler} from '../scheduler/scheduler.js';
import {ignore} from '../utils/ignore.js';
import {seedRandom} from '../utils/random.js';
import {deriveCells, maxCellEngines, selectKeeper} from './cell.js';
import {HostRings, maxLookupHosts} from './lookup.js';
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

describe('membership updates', () => {
	it('converge to the same table regardless of order and duplicates', () => {
		fc.assert(fc.property(fc.array(record, {maxLength: 30}), fc.integer(), (updates, shift) => {
			const ordered = new Members(self);
			const reordered = new Members(self);
			for (const each of updates) {
				ordered.merge(each);
			}

			const rotated = updates.length === 0 ? [] : updates.map((_, index) => updates[(index + Math.abs(shift)) % updates.length]);
			for (const each of [...rotated, ...rotated.toReversed()]) {
				if (each !== undefined) {
					reordered.merge(each);
				}
			}

			expect(stateOf(reordered)).toEqual(stateOf(ordered));
		}), options);
	});

	it('never mark the local host as suspect or dead', () => {
		fc.assert(fc.property(fc.array(record, {maxLength: 30}), updates => {
			const members = new Members(self);
			for (const each of updates) {
				members.merge({...each, host: 'self', incarnation: Math.min(each.incarnation, 2)});
			}

			expect(members.self.state).toEqual('alive');
		}), options);
	});

	it('keep the number of neighbours bounded', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {maxLength: 60}), hosts => {
			const members = new Members(self);
			for (const host of hosts) {
				members.merge({...self, host});
			}

			expect(members.neighbours().length <= 3).toEqual(true);
		}), options);
	});
});

/** Number of hops in which an update from the first host reaches all others over bidirectional links. */
function countHops(size: number): number {
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
	for (let hops = 0; hops < size; hops += 1) {
		if (reached.size === size) {
			return hops;
		}

		reached = new Set([...reached, ...[...reached].flatMap(each => [...links.get(each) ?? []])]);
	}

	return size;
}

describe('update propagation', () => {
	for (const {size, maxHops} of [{size: 8, maxHops: 3}, {size: 64, maxHops: 5}, {size: 350, maxHops: 7}]) {
		it(`an update reaches ${size} hosts in at most ${maxHops} hops`, () => {
			expect(countHops(size) <= maxHops).toEqual(true);
		});
	}
});

describe('lookups', () => {
	it('return at most four hosts, none of them leaving or dead', () => {
		fc.assert(fc.property(fc.array(record, {maxLength: 40}), members => {
			const ordered = new HostRings(members).order({
				caller: 'c', client: '127.0.0.1', hall: 'north', keepers: new Set(),
			});
			expect(ordered.length <= maxLookupHosts).toEqual(true);
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
		{name: 'return its keepers if there are enough of them', keepers: 8, usesKeepers: true},
		{name: 'return other hosts if there is only one keeper', keepers: 1, usesKeepers: false},
	];
	for (const {name, keepers, usesKeepers} of cases) {
		it(name, () => {
			const members = Array.from({length: 40}, (_, index) => ({...self, host: `host-${index}`}));
			const kept = new Set(members.slice(0, keepers).map(each => each.host));
			const first = Array.from({length: 60}, (_, client) => new HostRings(members).order({
				caller: 'c', client: String(client), hall: 'north', keepers: kept,
			})[0]?.host ?? '');
			expect(first.every(each => kept.has(each))).toEqual(usesKeepers);
			expect(new Set(first).size >= Math.min(keepers, 6)).toEqual(true);
		});
	}
});

describe('cells', () => {
	it('contain every engine once and both roles, and have bounded size', () => {
		fc.assert(fc.property(fc.integer({min: 2, max: 200}), count => {
			const cells = deriveCells({
				deployment: 'd', version: 1, models: [{
					name: 'm', version: 'v', windowTokens: 1, kvBytesPerToken: 1, adapters: [],
				}], engines: makeEngines(count), services: [], callers: [], rules: {
					objective: 'goodput', targets: [], lookupTtlMs: 1, attempts: 1,
				},
			});
			expect(cells.flatMap(each => each.engines.map(engine => engine.name)).toSorted()).toEqual(makeEngines(count).map(each => each.name).toSorted());
			for (const {engines} of cells) {
				expect(new Set(engines.map(each => each.role)).size).toEqual(2);
				expect(engines.length <= maxCellEngines + 2).toEqual(true);
			}
		}), options);
	});

	it('keep their keeper when another host is removed', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 6}), {minLength: 2, maxLength: 20}), fc.nat(), (hosts, nth) => {
			const cell = {
				name: 'm/0', model: 'm', engines: [], halls: ['north'],
			};
			const candidates = hosts.map(host => ({host, hall: 'north'}));
			const keeper = selectKeeper(cell, candidates);
			const removed = hosts[nth % hosts.length];
			if (removed !== keeper) {
				expect(selectKeeper(cell, candidates.filter(each => each.host !== removed))).toEqual(keeper);
			}
		}), options);
	});
});

type Action = {readonly kind: 'ask' | 'prefilled' | 'release' | 'bounced' | 'withdraw' | 'wait'; readonly nth: number};

const action = fc.record<Action>({kind: fc.constantFrom('ask', 'prefilled', 'release', 'bounced', 'withdraw', 'wait'), nth: fc.integer({min: 0, max: 11})});

function makeAsk(nth: number): LeaseRequest {
	return {
		request: `r${nth}`, attempt: 1, caller: `c${nth % 3}`, priority: nth % 2, promptTokens: 100 + (nth * 50), maxTokens: 20 + nth, blocks: [], slackMs: 2000, accepted: false,
	};
}

describe('scheduler', () => {
	it('never grants more decode slots than exist, and never two to one request', () => {
		fc.assert(fc.property(fc.array(action, {maxLength: 80}), actions => {
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
			const handlers: Record<Action['kind'], (nth: number, key: string, now: number) => void> = {
				ask(nth, _key, now) {
					scheduler.ask(makeAsk(nth), now);
				},
				prefilled(_nth, key, now) {
					scheduler.prefillFinished(key, 800, now);
				},
				release(_nth, key, now) {
					scheduler.release(key, 10, now);
					held.delete(key);
				},
				bounced(_nth, key, now) {
					scheduler.decodeRejected(key, held.get(key) ?? '', false, now);
					held.delete(key);
				},
				withdraw(_nth, key) {
					scheduler.withdraw(key);
				},
				wait: ignore,
			};
			let now = 0;
			for (const {kind, nth} of actions) {
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
