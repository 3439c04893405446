/**
 * Ways of knowing the software version that began a stream, in a model of
 * fleets that lose hosts: what each costs in messages, links and memory, and
 * which streams nobody knows afterwards; and ways of knowing it after all hosts
 * have lost their memory. Prints the tables in docs/design/software-versions.md.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {rank, rankFirst} from '../core/rendezvous.js';
import {ManualClock} from '../utils/manual-clock.js';
import {
	pick, seedRandom, shuffle, type Random,
} from '../utils/random.js';
import {HolderSubsets, type RingHost} from './holder-ring.js';

const halls = ['a', 'b', 'c'];
/** Streams that begin at one host, by the second: small deployments, and one of 350 nodes with 1,600 replicas. */
const streamRates = [1, 13];
const lifeS = 38;
/** Bytes of one record in memory: two short strings, a number and the map's entry. */
const recordBytes = 300;
/** Interval of the batches of hosts that tell all others, in milliseconds. */
const batchMs = 50;
const holders = 5;
const sampled = 400;

/** Hosts that are told of a stream when it begins, and asked for it when it is resumed. */
type Design = {
	readonly name: string;
	/** Whether the caller gets the first event only when another host has the record. */
	readonly isAcknowledged: boolean;
	/** Whether messages are sent once an interval, whatever the number of streams. */
	readonly isBatched: boolean;
	readonly tell: (fleet: Fleet, origin: string, key: string) => readonly string[];
	readonly ask: (fleet: Fleet, asker: string, key: string) => readonly string[];
};

type Fleet = {
	readonly names: readonly string[];
	readonly subsets: HolderSubsets;
};

function makeFleet(count: number): Fleet {
	const hosts = Array.from({length: count}, (_, index): RingHost => ({host: `host-${index}`, hall: halls[index % halls.length] ?? '', isAlive: true}));
	return {names: hosts.map(({host}) => host), subsets: new HolderSubsets(hosts)};
}

function without(names: readonly string[], host: string): string[] {
	return names.filter(name => name !== host);
}

const designs: readonly Design[] = [
	{
		name: 'all are told, in batches', isAcknowledged: false, isBatched: true, tell: ({names}, origin) => without(names, origin), ask: () => [],
	},
	{
		name: 'holders in the whole fleet', isAcknowledged: true, isBatched: false, tell: ({names}, origin, key) => without(rank(key, names), origin).slice(0, holders), ask: ({names}, asker, key) => without(rank(key, names), asker).slice(0, holders + 2),
	},
	{
		name: 'holders in the subset', isAcknowledged: true, isBatched: false, tell: ({subsets}, origin, key) => without(subsets.rankBeside(origin, key), origin).slice(0, holders), ask: ({subsets}, asker, key) => subsets.rankAll(key).flatMap(names => without(names, asker).slice(0, subsets.count === 1 ? 7 : 3)),
	},
	{
		name: 'nobody is told, all are asked', isAcknowledged: false, isBatched: false, tell: () => [], ask: ({names}, asker) => without(names, asker),
	},
];

/** Share of the streams of a lost host that no live host knows. */
function measureLoss(design: Design, count: number, lostShare: number): number {
	const fleet = makeFleet(count);
	const random = seedRandom(count);
	let lost = 0;
	for (let index = 0; index < sampled; index += 1) {
		const key = `stream-${index}`;
		const origin = pick(random, fleet.names) ?? '';
		const dead = new Set([origin, ...shuffle(random, without(fleet.names, origin)).slice(0, Math.floor(lostShare * (count - 1)))]);
		lost += design.tell(fleet, origin, key).some(host => !dead.has(host)) ? 0 : 1;
	}

	return lost / sampled;
}

/** Messages that one host sends for the streams that begin there, by the second, without acknowledgements. */
function countTold(design: Design, fleet: Fleet, streamsPerS: number): number {
	const told = design.tell(fleet, fleet.names[0] ?? '', 'stream').length;
	return told * (design.isBatched ? Math.min(streamsPerS, 1000 / batchMs) : streamsPerS);
}

/** Other hosts that one host tells in the long run, to each of which it keeps a link. */
function countLinks(design: Design, fleet: Fleet): number {
	const [origin = ''] = fleet.names;
	return new Set(Array.from({length: sampled}, (_, index) => design.tell(fleet, origin, `stream-${index}`)).flat()).size;
}

describe('ways of knowing the version of a stream', () => {
	for (const count of [4, 8, 60, 300]) {
		it(`${count} hosts`, () => {
			const fleet = makeFleet(count);
			for (const design of designs) {
				const told = streamRates.map(rate => countTold(design, fleet, rate).toFixed(0)).join(' and ');
				const copies = design.tell(fleet, 'host-0', 'stream').length + 1;
				const kilobytes = streamRates.map(rate => Math.round(copies * rate * lifeS * recordBytes / 1024)).join(' and ');
				const lost = [0, 0.3, 0.5].map(share => measureLoss(design, count, share).toFixed(2)).join(', ');
				console.log(`| ${count} | ${design.name} | ${told} | ${design.ask(fleet, 'host-1', 'stream').length} | ${countLinks(design, fleet)} | ${kilobytes} | ${lost} |`);
				expect(!design.isAcknowledged || measureLoss(design, count, 0.5) <= 0.05).toEqual(true);
			}
		});
	}

	it('a version that follows from the id changes with the set of versions', () => {
		const versions = ['v1', 'v1.1'];
		const keys = Array.from({length: sampled}, (_, index) => `stream-${index}`);
		const moved = keys.filter(key => rank(key, versions)[0] !== rank(key, [...versions, 'v1.2'])[0]);
		console.log(`| streams whose version is another once a third version is known | ${(moved.length / sampled).toFixed(2)} |`);
		expect(moved.length > 0).toEqual(true);
	});
});

const holderCounts = [5, 8, 16];

describe('more holders of records', () => {
	for (const count of [8, 350]) {
		it(`${count} hosts`, () => {
			for (const held of holderCounts) {
				const design: Design = {
					name: 'holders in the subset', isAcknowledged: true, isBatched: false, tell: ({subsets}, origin, key) => without(subsets.rankBeside(origin, key), origin).slice(0, held), ask: () => [],
				};
				const fleet = makeFleet(count);
				const lost = [0.5, 0.9, 1].map(share => measureLoss(design, count, share));
				console.log(`| ${count} | ${held} | ${streamRates.map(rate => countTold(design, fleet, rate)).join(' and ')} | ${lost.map(share => share.toFixed(2)).join(', ')} |`);
				expect(lost.at(-1)).toEqual(1);
			}
		});
	}
});

/** Slots of an engine, and the mean length of a stream, in milliseconds. */
const slots = 8;
const meanStreamMs = 5000;
const placedStreams = 20_000;
/** Streams that begin before the measurement. */
const warmUpStreams = 3000;

/** The engines of one service, by version. */
type EngineSplit = Readonly<Record<string, number>>;

type PlacedEngine = {
	readonly name: string;
	readonly version: string;
	running: number;
};

function makeEngines(split: EngineSplit): PlacedEngine[] {
	return Object.entries(split).flatMap(([version, count]) => Array.from({length: count}, (_, index) => ({name: `${version}-${index}`, version, running: 0})));
}

/** Rules that give the version at which a stream begins; undefined: any. */
const placementRules: Readonly<Record<string, (id: string, engines: readonly PlacedEngine[]) => string | undefined>> = {
	'any version': () => undefined,
	'rendezvous of versions': (id, engines) => rankFirst(id, new Set(engines.map(({version}) => version))),
	'rendezvous of engines': (id, engines) => rankFirst(id, engines.map(({name}) => name))?.split('-')[0],
};

function drawDelay(random: Random, meanMs: number): number {
	return -Math.log(1 - random.next()) * meanMs;
}

/** Share of streams that find no free slot at the engines which the rule allows, if each takes the engine with the fewest streams. */
function measureFull(rule: keyof typeof placementRules, split: EngineSplit, load: number): number {
	const clock = new ManualClock();
	const random = seedRandom(7);
	const engines = makeEngines(split);
	const meanGapMs = meanStreamMs / (load * engines.length * slots);
	let full = 0;
	for (let index = 0; index < placedStreams; index += 1) {
		clock.advance(drawDelay(random, meanGapMs));
		const version = placementRules[rule]?.(`stream-${index}`, engines);
		const allowed = engines.filter(engine => version === undefined || engine.version === version);
		const [chosen] = allowed.toSorted((left, right) => left.running - right.running);
		if (chosen === undefined || chosen.running >= slots) {
			full += index < warmUpStreams ? 0 : 1;
			continue;
		}

		chosen.running += 1;
		clock.after(drawDelay(random, meanStreamMs), () => {
			chosen.running -= 1;
		});
	}

	return full / (placedStreams - warmUpStreams);
}

/** Shares of streams whose rule gives another version than the one that began them, once the engines have changed: of all, and of those whose version still serves. */
function measureMisled(rule: keyof typeof placementRules, before: EngineSplit, after: EngineSplit): number[] {
	const outcomes = Array.from({length: sampled}, (_, index) => {
		const [began, resumed] = [before, after].map(split => placementRules[rule]?.(`stream-${index}`, makeEngines(split)));
		return {isMisled: began !== resumed, isServed: Object.hasOwn(after, began ?? '')};
	});
	const served = outcomes.filter(({isServed}) => isServed);
	return [outcomes, served].map(each => each.filter(({isMisled}) => isMisled).length / Math.max(1, each.length));
}

const splits: readonly EngineSplit[] = [
	{v1: 4, v2: 4}, {v1: 7, v2: 1}, {v1: 46, v2: 45}, {v1: 82, v2: 9},
];
const changes: ReadonlyArray<readonly [EngineSplit, EngineSplit]> = [
	[{v1: 4, v2: 4}, {v1: 4, v2: 4}],
	[{v1: 6, v2: 2}, {v1: 2, v2: 6}],
	[{v1: 4, v2: 4}, {v1: 2, v2: 3, v3: 3}],
	[{v1: 4, v2: 4}, {v2: 4, v3: 4}],
];

function describeSplit(split: EngineSplit): string {
	return Object.entries(split).map(([version, count]) => `${count} of ${version}`).join(', ');
}

describe('a version that follows from the id of a stream', () => {
	for (const split of splits) {
		it(`placement at ${describeSplit(split)}`, () => {
			for (const load of [0.7, 0.9]) {
				const shares = Object.keys(placementRules).map(rule => measureFull(rule, split, load));
				console.log(`| ${describeSplit(split)} | ${load} | ${shares.map(share => share.toFixed(3)).join(' | ')} |`);
			}
		});
	}

	for (const [before, after] of changes) {
		it(`${describeSplit(before)}, then ${describeSplit(after)}`, () => {
			const shares = ['rendezvous of versions', 'rendezvous of engines'].map(rule => measureMisled(rule, before, after).map(share => share.toFixed(2)).join(', '));
			console.log(`| ${describeSplit(before)} | ${describeSplit(after)} | ${shares.join(' | ')} |`);
		});
	}
});

/** Calls to an engine for one reading: its runs and its cached parts. */
const callsPerReading = 2;
const surveyors = 3;
/** Deployments: hosts, decode engines in all and of one service, and streams in progress when all hosts are lost: 2,800 a second of 5 s each at 350 hosts. */
const deployments = [
	{
		hosts: 8, engines: 8, ofService: 8, streams: 28,
	},
	{
		hosts: 350, engines: 1000, ofService: 91, streams: 14_000,
	},
];

describe('questions to engines', () => {
	for (const {hosts, engines, ofService, streams} of deployments) {
		it(`${hosts} hosts`, () => {
			const afterStart = callsPerReading * surveyors * engines;
			const perStream = callsPerReading * ofService;
			console.log(`| ${hosts} | once after a start: ${afterStart} | for each resumed stream: ${perStream}, in all ${perStream * streams} | by each host once a second: ${callsPerReading * engines * hosts} |`);
		});
	}
});
