/** Guards against both errors, also in simulated fleets: a sound part that is held, and a part at fault that is not. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seedRandom, pick, type Random} from '../utils/random.js';
import {type CrashRule, type CrashVerdict} from './crash-suspects.js';
import {PartSuspects} from './part-suspects.js';

const part = 'p'.repeat(64);

/** An event that a host observes or receives, at a time in milliseconds. */
type Step = readonly [at: number, apply: (suspects: PartSuspects, at: number) => void];

function crash(end: string): Step[1] {
	return (suspects, at) => {
		suspects.recordCrash([part], end, at);
	};
}

function survived(suspects: PartSuspects, at: number): void {
	suspects.recordSurvival([part], at);
}

function receive(ends: readonly string[], ageMs = 0): Step[1] {
	return (suspects, at) => {
		suspects.merge({
			suspect: 'part', content: part, bytes: 0, ends: ends.map(end => ({end, ageMs})), refuted: [],
		}, at);
	};
}

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	readonly askedAt: number;
	readonly kind: CrashVerdict['kind'];
};

const cases: readonly Case[] = [
	{
		name: 'one crash', steps: [[0, crash('a')]], askedAt: 10, kind: 'trial',
	},
	{
		name: 'one crash some time ago', steps: [[0, crash('a')]], askedAt: 10_000, kind: 'free',
	},
	{
		name: 'two crashes', steps: [[0, crash('a')], [500, crash('b')]], askedAt: 510, kind: 'trial',
	},
	{
		name: 'three crashes', steps: [[0, crash('a')], [500, crash('b')], [700, crash('c')]], askedAt: 710, kind: 'held',
	},
	{
		name: 'three crashes, seen by other hosts', steps: [[100, receive(['a', 'b'], 50)], [500, receive(['b'], 0)], [700, receive(['c', 'd'], 100)]], askedAt: 710, kind: 'trial',
	},
	{
		name: 'three crashes at one instant, as when a rack fails', steps: [[0, crash('a')], [5, crash('b')], [20, crash('c')]], askedAt: 30, kind: 'trial',
	},
	{
		name: 'a run that survived shortly before', steps: [[0, survived], [100, crash('a')], [500, crash('b')], [900, crash('c')]], askedAt: 910, kind: 'free',
	},
	{
		name: 'a run that survived between crashes', steps: [[0, crash('a')], [500, crash('b')], [600, survived], [700, crash('c')]], askedAt: 710, kind: 'free',
	},
	{
		name: 'a run that survived behind the crashes', steps: [[0, crash('a')], [500, crash('b')], [700, crash('c')], [900, survived]], askedAt: 910, kind: 'free',
	},
	{
		name: 'a run that survived before a late report', steps: [[500, survived], [900, receive(['a', 'b', 'c'], 600)]], askedAt: 910, kind: 'free',
	},
	{
		name: 'crashes long after a run that survived, as of new weights', steps: [[0, survived], [20_000, crash('a')], [21_000, crash('b')], [22_000, crash('c')]], askedAt: 22_010, kind: 'held',
	},
	{
		name: 'the hold has expired', steps: [[0, crash('a')], [500, crash('b')], [700, crash('c')]], askedAt: 61_000, kind: 'trial',
	},
];

describe('suspected parts of prompts', () => {
	for (const {name, steps, askedAt, kind} of cases) {
		it(`${name}: ${kind}`, () => {
			const suspects = new PartSuspects();
			for (const [at, apply] of steps) {
				apply(suspects, at);
			}

			const [found] = suspects.judge([part], askedAt);
			expect(found?.restriction.kind ?? 'free').toEqual(kind);
		});
	}

	it('a report is contradicted by a host that has seen a run survive', () => {
		const suspects = new PartSuspects();
		suspects.recordSurvival([part], 1000);
		const report = {
			suspect: 'part' as const, content: part, bytes: 0, ends: [{end: 'a', ageMs: 0}], refuted: [],
		};
		expect([suspects.merge(report, 1100).isContradicted, suspects.merge({...report, refuted: ['a']}, 1200).isContradicted]).toEqual([true, false]);
		expect(suspects.report(part, 1300)?.refuted).toEqual(['a']);
	});
});

/** Times of one run, in milliseconds: the part at fault crashes its endpoint before the run has survived. */
const crashMs = 100;
const survivalMs = 400;
const runMs = 2000;
const restartMs = 2500;
/** Until another host has a report. */
const messageMs = 60;
const stepMs = 10;
const lastMs = 20_000;
const endpointCount = 24;

type Run = {
	readonly host: number;
	readonly parts: readonly string[];
	readonly startedAt: number;
};

type Accidents = 'none' | 'rolling' | 'hall' | 'random';

type FleetCase = {
	readonly name: string;
	readonly hosts: number;
	readonly accidents: Accidents;
	/** Requests a second with the part at fault; 0: there is none. */
	readonly guiltyPerS: number;
};

/** Endpoints that an accident ends at a time. */
const accidentHandlers: Readonly<Record<Accidents, (at: number, random: Random) => number[]>> = {
	none: () => [],
	rolling: at => at % 700 === 0 ? [(at / 700) % endpointCount] : [],
	hall: at => at % 5000 === 3000 ? Array.from({length: endpointCount / 3}, (_, index) => index) : [],
	random: (_at, random) => random.next() < 0.03 ? [Math.floor(random.next() * endpointCount)] : [],
};

/** A fleet whose hosts exchange reports. Sound requests share their first part; their second is one of eight, or rare. */
class Fleet {
	ends = 0;
	/** Sound requests that were held back, and all. */
	held = 0;
	sound = 0;
	/** Parts that were held at some host, not only on trial. */
	readonly everHeld = new Set<string>();
	/** Requests with the part at fault that were sent behind its fifth end. */
	lateSends = 0;
	readonly #case: FleetCase;
	readonly #random: Random;
	readonly #hosts: PartSuspects[];
	readonly #endpoints = Array.from({length: endpointCount}, () => ({start: 0, upAt: 0, runs: [] as Run[]}));
	#messages: Array<{readonly at: number; readonly to: number; readonly from: number; readonly digest: string}> = [];
	readonly #trials = new Map<string, number>();

	constructor(fleetCase: FleetCase, rule: CrashRule | undefined, seed: number) {
		this.#case = fleetCase;
		this.#random = seedRandom(seed);
		this.#hosts = Array.from({length: fleetCase.hosts}, () => new PartSuspects(rule));
	}

	play(): void {
		const {accidents, guiltyPerS} = this.#case;
		for (let at = 0; at < lastMs; at += stepMs) {
			this.#deliver(at);
			this.#advanceRuns(at);
			for (const index of accidentHandlers[accidents](at, this.#random)) {
				this.#endEndpoint(index, at);
			}

			if (this.#random.next() < 0.4) {
				this.#send(this.#soundParts(), at);
			}

			if (at > 2000 && this.#random.next() < guiltyPerS * stepMs / 1000) {
				this.#send(['first', 'guilty'], at);
			}
		}
	}

	#soundParts(): string[] {
		const isRare = this.#random.next() < 0.1;
		return ['first', isRare ? `rare ${Math.floor(this.#random.next() * 200)}` : `second ${Math.floor(this.#random.next() * 8)}`];
	}

	#send(parts: readonly string[], at: number): void {
		const host = Math.floor(this.#random.next() * this.#hosts.length);
		const isGuilty = parts.includes('guilty');
		this.sound += Number(!isGuilty);
		if (!this.#isAdmitted(host, parts, at)) {
			this.held += Number(!isGuilty);
			return;
		}

		this.lateSends += Number(isGuilty && this.ends >= 5);
		const usable = this.#endpoints.filter(({upAt}) => upAt <= at);
		if (usable.length > 0) {
			pick(this.#random, usable)?.runs.push({host, parts, startedAt: at});
		}
	}

	/** The first host runs the trials, one at a time. */
	#isAdmitted(host: number, parts: readonly string[], at: number): boolean {
		for (const {digest, restriction} of this.#hosts[host]?.judge(parts, at) ?? []) {
			if (restriction.kind === 'held') {
				this.everHeld.add(digest);
			}

			if (restriction.kind === 'held' || host !== 0 || (this.#trials.get(digest) ?? 0) > at) {
				return false;
			}

			this.#trials.set(digest, at + (2 * survivalMs));
		}

		return true;
	}

	#advanceRuns(at: number): void {
		for (const [index, endpoint] of this.#endpoints.entries()) {
			if (endpoint.runs.some(({parts, startedAt}) => parts.includes('guilty') && startedAt + crashMs <= at)) {
				this.ends += 1;
				this.#endEndpoint(index, at);
			}

			for (const {host, parts} of endpoint.runs.filter(({startedAt}) => startedAt + survivalMs === at)) {
				this.#announce(host, this.#hosts[host]?.recordSurvival(parts, at) ?? [], at);
			}

			endpoint.runs = endpoint.runs.filter(({startedAt}) => startedAt + runMs > at);
		}
	}

	#endEndpoint(index: number, at: number): void {
		const endpoint = this.#endpoints[index];
		if (endpoint === undefined || endpoint.upAt > at) {
			return;
		}

		for (const {host, parts, startedAt} of endpoint.runs) {
			if (at - startedAt < survivalMs) {
				this.#announce(host, this.#hosts[host]?.recordCrash(parts, `${index}#${endpoint.start}`, at) ?? [], at);
			}
		}

		endpoint.runs = [];
		endpoint.start += 1;
		endpoint.upAt = at + restartMs;
	}

	#announce(from: number, digests: readonly string[], at: number): void {
		for (const digest of digests) {
			for (const to of this.#hosts.keys()) {
				this.#messages.push({
					at: at + messageMs, to, from, digest,
				});
			}
		}
	}

	#deliver(at: number): void {
		const due = this.#messages.filter(message => message.at <= at);
		this.#messages = this.#messages.filter(message => message.at > at);
		for (const {to, from, digest} of due) {
			const report = this.#hosts[from]?.report(digest, at);
			if (to === from || report === undefined) {
				continue;
			}

			const isContradicted = this.#hosts[to]?.merge(report, at).isContradicted ?? false;
			const answer = isContradicted ? this.#hosts[to]?.report(digest, at) : undefined;
			if (answer !== undefined) {
				this.#hosts[from]?.merge(answer, at);
				this.#announce(from, [digest], at);
			}
		}
	}
}

const fleetCases: readonly FleetCase[] = [
	{
		name: '4 hosts, one part at fault', hosts: 4, accidents: 'none', guiltyPerS: 5,
	},
	{
		name: '40 hosts, one part at fault', hosts: 40, accidents: 'none', guiltyPerS: 5,
	},
	{
		name: '8 hosts, one part at fault, endpoints also end at random', hosts: 8, accidents: 'random', guiltyPerS: 5,
	},
	{
		name: '8 hosts, a rolling loss', hosts: 8, accidents: 'rolling', guiltyPerS: 0,
	},
	{
		name: '8 hosts, a third of the endpoints lost at once', hosts: 8, accidents: 'hall', guiltyPerS: 0,
	},
	{
		name: '40 hosts, endpoints end at random', hosts: 40, accidents: 'random', guiltyPerS: 0,
	},
];

const rules: Readonly<Record<string, CrashRule | undefined>> = {
	'trial from one, held from three (in use)': undefined,
	'trial from two, held from three': {
		suspect: 'part', trialThreshold: 2, trialMs: 10_000, crashThreshold: 3, coincidenceMs: 50,
	},
	'held from two': {suspect: 'part', crashThreshold: 2, coincidenceMs: 50},
	'held from three': {suspect: 'part', crashThreshold: 3, coincidenceMs: 50},
};
const seeds = Array.from({length: 10}, (_, index) => index + 1);

describe('parts of prompts in simulated fleets', () => {
	for (const fleetCase of fleetCases) {
		it(`${fleetCase.name}: at most five ends, none sent later, sound requests are served`, context => {
			for (const [name, rule] of Object.entries(rules)) {
				const fleets = seeds.map(seed => new Fleet(fleetCase, rule, seed));
				for (const fleet of fleets) {
					fleet.play();
				}

				const ends = fleets.map(({ends: count}) => count);
				const sum = (count: (fleet: Fleet) => number) => fleets.reduce((total, fleet) => total + count(fleet), 0);
				context.diagnostic(`${name}: ends ${ends.join(' ')}, ${sum(({lateSends}) => lateSends)} late sends, ${sum(({held}) => held)} of ${sum(({sound}) => sound)} sound requests refused, ${new Set(fleets.flatMap(({everHeld}) => [...everHeld].filter(digest => digest !== 'guilty'))).size} sound parts held`);
				if (rule === undefined) {
					expect(ends.filter(count => count > 5)).toEqual([]);
					expect(sum(({lateSends}) => lateSends)).toEqual(0);
					expect(fleets.filter(({held, sound}) => held > 0.05 * sound)).toEqual([]);
					expect(fleets.some(({everHeld}) => [...everHeld].some(digest => digest !== 'guilty'))).toEqual(false);
				}
			}
		});
	}
});
