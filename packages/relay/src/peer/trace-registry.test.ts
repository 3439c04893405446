/**
 * Traces of runs in fleets of the real registry over a simulated network: what
 * one host has read from an engine is found at any other, engines that
 * contradict each other show, and nothing is found that no engine held. Prints
 * the tables in docs/CAPACITY.md.
 */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {rank} from '@gatehead/policy/core/rendezvous';
import {EndpointBook} from '@gatehead/policy/relay/endpoint-book';
import {type RunTrace} from '@gatehead/policy/relay/run-traces';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {
	pick, seedRandom, shuffle, type Random,
} from '@gatehead/policy/utils/random';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type ListedEndpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import fc from 'fast-check';
import {Metrics} from '../utils/metrics.js';
import {RunSurvey, toTraceKey} from '../upstream/run-survey.js';
import {TraceRegistry, type TraceFinding} from './trace-registry.js';

const halls = ['a', 'b', 'c'];
/** Latency of a message, in milliseconds. */
const transitMs = 2;
const lifeMs = 60_000;
/** Time after which traces are at all their holders: two rounds of copies after the last change of the members, in milliseconds. */
const spreadMs = 1000;
/** Bounds of messages. */
const maxBatch = 1000;
const maxHolders = 5;
const maxHostsAsked = 128;
const metrics = new Metrics(undefined, {});

type TracedHost = {
	readonly name: string;
	incarnation: number;
	isAlive: boolean;
	/** Whether it has asked its engines, if it has no survey. */
	isSurveyed: boolean;
	survey?: RunSurvey;
	/** Hosts that it takes for alive. */
	known: readonly string[];
	/** When it learned of them, in milliseconds. */
	foundAt: number;
	registry: TraceRegistry;
};

type Received = (registry: TraceRegistry, from: string, message: never) => void;

const receivers: Readonly<Partial<Record<RelayMessage['kind'], Received>>> = {
	runTraces(registry, _from, message) {
		registry.receiveTraces(message);
	},
	tracesWanted(registry, from, message) {
		void registry.receiveQuestion(from, message);
	},
	tracesFound(registry, _from, message) {
		registry.receiveFound(message);
	},
};

class TracedFleet {
	readonly clock = new ManualClock();
	readonly hosts: TracedHost[];
	readonly sent: Array<{readonly from: string; readonly to: string; readonly message: RelayMessage}> = [];
	/** Share of messages that are lost. */
	lossShare = 0;
	readonly #random: Random;

	/** Hosts that have all started and know themselves only. */
	constructor(count: number, seed: number) {
		this.#random = seedRandom(seed);
		this.hosts = Array.from({length: count}, (_, index) => this.#startHost(`host-${index}`, 1));
		for (const host of this.hosts) {
			this.introduce(host, [host.name]);
		}
	}

	get alive(): TracedHost[] {
		return this.hosts.filter(({isAlive}) => isAlive);
	}

	/** Gives a host its member list; it takes those that are not in `known` for dead, or has not heard of them. */
	introduce(host: TracedHost, known: readonly string[], dead: readonly string[] = []): void {
		const listed = new Set([...known, ...dead]);
		const members = this.hosts.flatMap(({name, incarnation}, index): MemberRecord[] => listed.has(name)
			? [{
				host: name, hall: halls[index % halls.length] ?? '', region: 'r', incarnation, counter: 0, load: 0,
				state: dead.includes(name) ? 'dead' : 'alive', callerAddress: '', peerAddress: '', adminAddress: '',
			}]
			: []);
		host.known = known;
		host.foundAt = this.clock.now();
		host.registry.setMembers(members);
	}

	/** Tells all live hosts which hosts there are. */
	converge(): void {
		const known = this.alive.map(({name}) => name);
		const dead = this.hosts.filter(({isAlive}) => !isAlive).map(({name}) => name);
		for (const host of this.alive) {
			this.introduce(host, known, dead);
		}
	}

	/** Tells each live host at a time of its own, the last after `longestMs`. */
	async convergeSlowly(leastMs: number, longestMs: number): Promise<void> {
		const known = this.hosts.map(({name}) => name);
		for (const host of this.hosts) {
			this.clock.after(leastMs + (this.#random.next() * (longestMs - leastMs)), () => {
				this.introduce(host, known);
			});
		}

		await this.run(longestMs);
	}

	kill(host: TracedHost): void {
		host.isAlive = false;
		host.registry.close();
	}

	restart(host: TracedHost): void {
		this.kill(host);
		Object.assign(host, this.#startHost(host.name, host.incarnation + 1));
	}

	makeTrace(key: string, softwareVersion: string, size = 10): RunTrace {
		return {
			key: toTraceKey('run', key), service: 'model', softwareVersion, size, expiresAt: this.clock.now() + lifeMs,
		};
	}

	async run(milliseconds: number): Promise<void> {
		const end = this.clock.now() + milliseconds;
		while (this.clock.now() < end) {
			await setImmediate();
			this.clock.advance(Math.min(transitMs, end - this.clock.now()));
		}

		await setImmediate();
	}

	/** Runs until a promise has settled. */
	async settle<Result>(promise: Promise<Result>): Promise<Result> {
		const state = {isSettled: false};
		const watched = promise.finally(() => {
			state.isSettled = true;
		});
		while (!state.isSettled) {
			await this.run(transitMs);
		}

		return watched;
	}

	async findAt(host: TracedHost, keys: readonly string[]): Promise<TraceFinding> {
		return this.settle(host.registry.find(keys.map(key => toTraceKey('run', key))));
	}

	#startHost(name: string, incarnation: number): TracedHost {
		const host: TracedHost = {
			name, incarnation, isAlive: true, isSurveyed: true, known: [name], foundAt: 0, registry: new TraceRegistry({
				context: {
					clock: this.clock, log: ignore, metrics, self: {host: name, incarnation},
				},
				survey: () => host.survey ?? {isOver: host.isSurveyed, listUnheard: () => undefined, whenComplete: async () => this.hosts.some(each => each.name === name && each.isSurveyed)},
				send: (to, message) => {
					this.#send(name, to, message);
				},
			}),
		};
		return host;
	}

	#send(from: string, to: string, message: RelayMessage): void {
		this.sent.push({from, to, message});
		const target = this.hosts.find(({name}) => name === to);
		if (target === undefined || this.#random.next() < this.lossShare) {
			return;
		}

		const {incarnation} = target;
		this.clock.after(transitMs, () => {
			if (target.isAlive && target.incarnation === incarnation) {
				receivers[message.kind]?.(target.registry, from, message as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- each handler is listed under its kind
			}
		});
	}
}

function listVersions({traces}: TraceFinding): string[] {
	return [...new Set(traces.map(({softwareVersion}) => softwareVersion))].toSorted();
}

const fleets = [1, 2, 4, 8, 16, 24, 31, 32, 40, 350];
/** Hosts at which a trace is looked for, and runs for each fleet. */
const sampledHosts = 12;
const runs = 6;

type StartCase = {
	readonly name: string;
	/** Records one trace for each run; the fleet's members are known to all hosts at the end. */
	readonly play: (fleet: TracedFleet, record: () => void) => Promise<void>;
};

const starts: readonly StartCase[] = [
	{
		name: 'members known before', async play(fleet, record) {
			fleet.converge();
			record();
		},
	},
	{
		name: 'recorded by hosts that know themselves only', async play(fleet, record) {
			record();
			await fleet.convergeSlowly(100, 500);
		},
	},
	{
		name: 'recorded while the members converge', async play(fleet, record) {
			fleet.clock.after(150, record);
			await fleet.convergeSlowly(100, 500);
		},
	},
	{
		name: 'members come into view one after another', async play(fleet, record) {
			record();
			for (let count = 1; count <= fleet.hosts.length; count *= 2) {
				for (const host of fleet.hosts) {
					fleet.introduce(host, [host.name, ...fleet.hosts.slice(0, count).map(({name}) => name)]);
				}

				await fleet.run(60);
			}

			fleet.converge();
		},
	},
];

describe('traces in a fleet', () => {
	for (const count of fleets) {
		for (const {name, play} of starts) {
			it(`${count} hosts, ${name}: any trace is found at any host`, async () => {
				const random = seedRandom(count);
				const fleet = new TracedFleet(count, count);
				const keys = Array.from({length: runs}, (_, index) => `run-${index}`);
				await play(fleet, () => {
					for (const key of keys) {
						pick(random, fleet.hosts)?.registry.record([fleet.makeTrace(key, `v-${key}`)]);
					}
				});
				await fleet.run(spreadMs);
				for (const host of shuffle(random, fleet.hosts).slice(0, sampledHosts)) {
					for (const key of keys) {
						const finding = await fleet.findAt(host, [key]);
						expect(listVersions(finding)).toEqual([`v-${key}`]);
						expect(finding.isComplete).toEqual(true);
					}
				}
			});
		}
	}
});

type ContradictionCase = {
	readonly name: string;
	readonly play: (fleet: TracedFleet, askers: readonly [TracedHost, TracedHost]) => Promise<void>;
};

const contradictions: readonly ContradictionCase[] = [
	{
		name: 'two hosts', async play(fleet, [first, second]) {
			fleet.converge();
			first.registry.record([fleet.makeTrace('run', 'v1')]);
			second.registry.record([fleet.makeTrace('run', 'v2')]);
		},
	},
	{
		name: 'two hosts that know themselves only', async play(fleet, [first, second]) {
			first.registry.record([fleet.makeTrace('run', 'v1')]);
			second.registry.record([fleet.makeTrace('run', 'v2')]);
			await fleet.convergeSlowly(100, 500);
		},
	},
	{
		name: 'one host, at once', async play(fleet, [first]) {
			fleet.converge();
			first.registry.record([fleet.makeTrace('run', 'v1'), fleet.makeTrace('run', 'v2')]);
		},
	},
	{
		name: 'one host, before and after it knows the others', async play(fleet, [first]) {
			first.registry.record([fleet.makeTrace('run', 'v1')]);
			fleet.converge();
			first.registry.record([fleet.makeTrace('run', 'v2')]);
		},
	},
	{
		name: 'one host, with one of its holders restarted between', async play(fleet, [first]) {
			fleet.converge();
			first.registry.record([fleet.makeTrace('run', 'v1')]);
			await fleet.run(transitMs);
			for (const host of fleet.hosts.filter(each => each !== first)) {
				fleet.restart(host);
			}

			fleet.converge();
			first.registry.record([fleet.makeTrace('run', 'v2')]);
		},
	},
];

describe('traces of two versions', () => {
	for (const count of fleets) {
		for (const {name, play} of contradictions) {
			it(`${count} hosts, recorded by ${name}: both are found`, async () => {
				const random = seedRandom(count);
				const fleet = new TracedFleet(count, count);
				const [first = fleet.hosts[0]!, second = first] = shuffle(random, fleet.hosts);
				await play(fleet, [first, second]);
				await fleet.run(spreadMs);
				for (const host of shuffle(random, fleet.hosts).slice(0, sampledHosts)) {
					expect(listVersions(await fleet.findAt(host, ['run']))).toEqual(['v1', 'v2']);
				}
			});
		}
	}
});

/** Hosts of a fleet of 8. */
type SilenceRoles = {
	readonly recorder: TracedHost;
	/** Holds no copy. */
	readonly asker: TracedHost;
	readonly others: readonly TracedHost[];
};

type SilenceCase = {
	readonly name: string;
	readonly play: (fleet: TracedFleet, roles: SilenceRoles) => void;
	readonly versions: readonly string[];
	readonly isComplete: boolean;
};

const silences: readonly SilenceCase[] = [
	{
		name: 'all reply', play: ignore, versions: ['v1'], isComplete: true,
	},
	{
		name: 'one is silent', play(fleet, {others}) {
			fleet.kill(others[0]!);
		}, versions: ['v1'], isComplete: false,
	},
	{
		name: 'one is known to be dead', play(fleet, {others}) {
			fleet.kill(others[0]!);
			fleet.converge();
		}, versions: ['v1'], isComplete: true,
	},
	{
		name: 'all others are silent', play(fleet, {recorder, others}) {
			for (const host of [recorder, ...others]) {
				fleet.kill(host);
			}
		}, versions: [], isComplete: false,
	},
	{
		name: 'the one that recorded is lost', play(fleet, {recorder}) {
			fleet.kill(recorder);
			fleet.converge();
		}, versions: ['v1'], isComplete: true,
	},
	{
		name: 'another has not asked its engines', play(_fleet, {others}) {
			others[0]!.isSurveyed = false;
		}, versions: ['v1'], isComplete: false,
	},
	{
		name: 'the asking one has not asked its engines', play(_fleet, {asker}) {
			asker.isSurveyed = false;
		}, versions: ['v1'], isComplete: false,
	},
	{
		name: 'no message arrives', play(fleet) {
			fleet.lossShare = 1;
		}, versions: [], isComplete: false,
	},
	{
		name: 'all have restarted', play(fleet) {
			for (const host of fleet.hosts) {
				fleet.restart(host);
			}

			fleet.converge();
		}, versions: [], isComplete: true,
	},
	{
		name: 'the trace has expired', play(fleet) {
			fleet.clock.advance(lifeMs);
		}, versions: [], isComplete: true,
	},
];

describe('hosts that cannot tell', () => {
	for (const {name, play, versions, isComplete} of silences) {
		it(name, async () => {
			const fleet = new TracedFleet(8, 1);
			fleet.converge();
			const [recorder, ...rest] = fleet.hosts;
			recorder!.registry.record([fleet.makeTrace('run', 'v1')]);
			await fleet.run(spreadMs);
			const asker = rest.find(({registry}) => registry.size === 0)!;
			play(fleet, {recorder: recorder!, asker, others: rest.filter(host => host !== asker)});
			const finding = await fleet.findAt(asker, ['run']);
			expect(finding.isComplete).toEqual(isComplete);
			expect(listVersions(finding)).toEqual([...versions]);
		});
	}

	it('a finding without a trace that was recorded is never complete while messages are lost, in a fleet of one subset', async () => {
		let found = 0;
		let complete = 0;
		const tries = 150;
		const lossShares = [0.01, 0.05, 0.2, 0.5];
		for (let seed = 1; seed <= tries; seed += 1) {
			const random = seedRandom(seed);
			const fleet = new TracedFleet(2 + (seed % 30), seed);
			fleet.converge();
			fleet.lossShare = lossShares[seed % lossShares.length]!;
			pick(random, fleet.hosts)?.registry.record([fleet.makeTrace('run', 'v1')]);
			await fleet.run(spreadMs);
			const finding = await fleet.findAt(pick(random, fleet.hosts)!, ['run']);
			found += finding.traces.length > 0 ? 1 : 0;
			complete += finding.isComplete ? 1 : 0;
			expect(finding.traces.length > 0 || !finding.isComplete).toEqual(true);
		}

		console.log(`up to half of the messages lost, one asker: ${found} of ${tries} found, ${complete} complete`);
	});
});

describe('messages of traces', () => {
	for (const count of fleets) {
		it(`${count} hosts: holders, hosts asked and sizes stay within their bounds`, async () => {
			const fleet = new TracedFleet(count, count);
			fleet.converge();
			const recorded = 2500;
			fleet.hosts[0]!.registry.record(Array.from({length: recorded}, (_, index) => fleet.makeTrace(`run-${index}`, 'v1')));
			const batches = fleet.sent.flatMap(({message}) => message.kind === 'runTraces' ? [message.traces.length] : []);
			expect(batches.every(size => size <= maxBatch)).toEqual(true);
			expect(batches.reduce((sum, size) => sum + size, 0)).toEqual(recorded * Math.min(maxHolders, count - 1));

			await fleet.run(spreadMs);
			fleet.sent.length = 0;
			const finding = await fleet.findAt(fleet.hosts.at(-1)!, ['run-0']);
			const asked = fleet.sent.filter(({message}) => message.kind === 'tracesWanted').length;
			console.log(`${count} hosts: ${batches.length} messages for ${recorded} traces, ${asked} hosts asked for one`);
			expect(listVersions(finding)).toEqual(['v1']);
			expect(asked <= maxHostsAsked).toEqual(true);
		});
	}
});

type SurveyCase = {
	readonly hosts: number;
	readonly engines: number;
	/** Times after the start between which hosts learn of each other, in milliseconds. */
	readonly convergence: readonly [number, number];
};

const surveys: readonly SurveyCase[] = [{hosts: 8, engines: 8}, {hosts: 350, engines: 1000}].flatMap(size => [
	{...size, convergence: [0, 0] as const},
	{...size, convergence: [0, 100] as const},
	{...size, convergence: [100, 500] as const},
]);
/** Runs and cached parts of an engine; shared parts are the same at all engines. */
const engineRuns = 3;
const ownParts = 9;
const sharedParts = 4;
/** Time that an engine takes to reply, in milliseconds. */
const engineReplyMs = 10;
const surveyorsPerEngine = 3;
const maxEnginesPerHost = 64;
const observedMs = 1000;
const lookups = 60;

type LookupMeasure = {
	readonly foundShare: number;
	/** In milliseconds, to the next multiple of a message's latency. */
	readonly longestMs: number;
};

/** Entries that do not change. */
class FixedBook extends EndpointBook {
	#listed: ListedEndpoint[] | undefined;

	override list(): ListedEndpoint[] {
		this.#listed ??= super.list();
		return this.#listed;
	}
}

class SurveyedFleet extends TracedFleet {
	readonly book = new FixedBook();
	/** Hosts that have asked an engine, once for each time. */
	readonly askedBy = new Map<string, string[]>();
	/** When the first traces of an engine were there, in milliseconds. */
	readonly tracedAt = new Map<string, number>();

	constructor(hosts: number, engines: number) {
		super(hosts, hosts);
		for (let index = 0; index < engines; index += 1) {
			const id = `engine-${index}`;
			this.book.put({
				revision: index, endpoint: {
					id, service: 'model', address: `${id}:1`, hall: 'a', state: 'ready', stage: 'decode', slots: 8, softwareVersion: versionAt(id),
				},
			}, 0);
		}
	}

	/** Starts the surveys of all hosts. */
	start(): void {
		const names = this.hosts.map(({name}) => name);
		const shares = new Map(this.book.list().map(({endpoint: {id}}) => [id, new Set(rank(id, names).slice(0, surveyorsPerEngine))]));
		const engines = new Map(this.book.list().map(({endpoint: {id}}) => [toTraceKey('run', `${id}-run-0`), id]));
		for (const host of this.hosts) {
			host.survey = new RunSurvey({
				context: {clock: this.clock, log: ignore, metrics},
				endpoints: {book: this.book, release: ignore},
				host: host.name,
				membersChangedAt: () => host.known.length === 1 ? Number.POSITIVE_INFINITY : host.foundAt,
				calls: {
					listRuns: async ({id}) => {
						this.askedBy.set(id, [...this.askedBy.get(id) ?? [], host.name]);
						await this.#reply();
						return {kind: 'listed', items: Array.from({length: engineRuns}, (_, index) => ({requestId: `${id}-run-${index}`, events: 40}))};
					},
					listCachedParts: async ({id}) => {
						await this.#reply();
						return {
							kind: 'listed', items: [
								...Array.from({length: ownParts}, (_, index) => ({id: `${id}-part-${index}`, tokens: 400})),
								...Array.from({length: sharedParts}, (_, index) => ({id: `shared-${index}`, tokens: 2000})),
							],
						};
					},
					isReplaced: async () => false,
				},
				isAsker: id => host.known.length === 1 || shares.get(id)?.has(host.name) === true,
				onProgress: ignore,
				onTraces: traces => {
					const engine = this.book.list().find(({endpoint: {id}}) => traces[0]?.key === toTraceKey('run', `${id}-run-0`));
					const id = engine?.endpoint.id ?? '';
					this.tracedAt.set(id, this.tracedAt.get(id) ?? this.clock.now());
					host.registry.record(traces);
				},
			});
			host.survey.start();
		}
	}

	/** Looks for runs of engines that any host has read, all at once. */
	async measureLookups(random: Random): Promise<LookupMeasure> {
		const startedAt = this.clock.now();
		const engines = Array.from({length: lookups}, () => pick(random, [...this.tracedAt.keys()]) ?? '');
		const findings = await this.settle(Promise.all(engines.map(async (engine, index) => {
			const key = toTraceKey('run', `${engine}-run-${index % engineRuns}`);
			return pick(random, this.alive)!.registry.find([key]);
		})));
		for (const [index, finding] of findings.entries()) {
			expect(listVersions(finding).every(version => version === versionAt(engines[index] ?? ''))).toEqual(true);
		}

		return {foundShare: findings.filter(({traces}) => traces.length > 0).length / lookups, longestMs: this.clock.now() - startedAt};
	}

	async #reply(): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.after(engineReplyMs, resolve);
		});
	}
}

function versionAt(engine: string): string {
	return Number(engine.split('-')[1]) % 2 === 0 ? 'v1' : 'v2';
}

describe('survey by all hosts, started at once', () => {
	for (const {hosts, engines, convergence: [leastMs, longestMs]} of surveys) {
		it(`${hosts} hosts, ${engines} decode engines, members known after ${leastMs} to ${longestMs} ms`, async () => {
			const random = seedRandom(hosts);
			const fleet = new SurveyedFleet(hosts, engines);
			if (longestMs === 0) {
				fleet.converge();
			}

			fleet.start();
			if (longestMs > 0) {
				await fleet.convergeSlowly(leastMs, longestMs);
			}

			await fleet.run(observedMs - longestMs);
			const asked = [...fleet.askedBy.values()];
			const byHost = new Map<string, Set<string>>();
			for (const [engine, askers] of fleet.askedBy) {
				for (const asker of askers) {
					byHost.set(asker, (byHost.get(asker) ?? new Set()).add(engine));
				}
			}

			const copies = fleet.sent.flatMap(({message}) => message.kind === 'runTraces' ? [message] : []);
			const bytes = copies.reduce((sum, message) => sum + JSON.stringify(message).length, 0);
			const times = [...fleet.tracedAt.values()].toSorted((left, right) => left - right);
			fleet.sent.length = 0;
			const found = await fleet.measureLookups(random);
			const questions = fleet.sent.filter(({message}) => message.kind === 'tracesWanted').length / lookups;
			const replyBytes = fleet.sent.reduce((sum, {message}) => sum + JSON.stringify(message).length, 0) / lookups;
			const left: string[] = [];
			for (const lostShare of [0.3, 0.5]) {
				const lost = Math.floor(lostShare * hosts) - (hosts - fleet.alive.length);
				for (const host of shuffle(random, fleet.alive).slice(0, lost)) {
					fleet.kill(host);
					host.survey?.stop();
				}

				fleet.converge();
				const {foundShare} = await fleet.measureLookups(random);
				left.push(foundShare.toFixed(2));
			}

			const cells = [
				hosts,
				`${leastMs}-${longestMs}`,
				2 * asked.flat().length,
				2 * Math.max(...asked.map(({length}) => length)),
				Math.max(...[...byHost.values()].map(({size}) => size)),
				(fleet.tracedAt.size / engines).toFixed(3),
				`${times[0]} / ${times.at(-1)}`,
				copies.length,
				Math.round(bytes / 1024),
				questions.toFixed(0),
				(replyBytes / 1024).toFixed(1),
				found.longestMs,
				found.foundShare.toFixed(2),
				left.join(', '),
			];
			console.log(`| ${cells.join(' | ')} |`);
			expect([...byHost.values()].every(({size}) => size <= maxEnginesPerHost)).toEqual(true);
			expect(copies.every(({traces}) => traces.length <= maxBatch)).toEqual(true);
			expect(questions <= maxHostsAsked).toEqual(true);
			for (const host of fleet.hosts) {
				host.survey?.stop();
			}
		});
	}
});

const step = fc.oneof(
	{weight: 6, arbitrary: fc.constant('record' as const)},
	{weight: 6, arbitrary: fc.constant('find' as const)},
	fc.constant('kill' as const),
	fc.constant('restart' as const),
	fc.constant('introduce' as const),
	fc.constant('converge' as const),
	fc.constant('lose' as const),
	fc.constant('heal' as const),
	fc.constant('wait' as const),
);

describe('no trace is invented', () => {
	it('whatever happens, only what was recorded and has not expired is found', async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 40}), fc.integer({min: 1, max: 10_000}), fc.array(step, {maxLength: 30}), async (count, seed, steps) => {
			const random = seedRandom(seed);
			const fleet = new TracedFleet(count, seed);
			const recorded: RunTrace[] = [];
			const actions: Readonly<Record<typeof steps[number], () => Promise<void> | void>> = {
				record() {
					const trace = fleet.makeTrace(`run-${Math.floor(random.next() * 4)}`, `v${Math.floor(random.next() * 3)}`, Math.ceil(random.next() * 100));
					recorded.push(trace);
					pick(random, fleet.alive)?.registry.record([trace]);
				},
				async find() {
					const host = pick(random, fleet.alive);
					const {traces = []} = host === undefined ? {} : await fleet.findAt(host, [`run-${Math.floor(random.next() * 4)}`]);
					for (const trace of traces) {
						const same = recorded.filter(({key, softwareVersion}) => key === trace.key && softwareVersion === trace.softwareVersion);
						expect(same.some(({size}) => size === trace.size)).toEqual(true);
						// A message on its way does not age
						expect(same.some(({expiresAt}) => expiresAt + (4 * transitMs) >= trace.expiresAt)).toEqual(true);
					}
				},
				kill() {
					const host = pick(random, fleet.alive);
					if (host !== undefined && fleet.alive.length > 1) {
						fleet.kill(host);
					}
				},
				restart() {
					fleet.restart(pick(random, fleet.hosts)!);
				},
				introduce() {
					const host = pick(random, fleet.alive);
					if (host !== undefined) {
						fleet.introduce(host, [host.name, ...shuffle(random, fleet.hosts.map(({name}) => name)).slice(0, Math.floor(random.next() * count))]);
					}
				},
				converge() {
					fleet.converge();
				},
				lose() {
					fleet.lossShare = random.next();
				},
				heal() {
					fleet.lossShare = 0;
				},
				wait() {
					fleet.clock.advance(lifeMs * random.next());
				},
			};
			for (const each of steps) {
				await actions[each]();
			}
		}), {seed: 21, numRuns: 60});
	});
});
