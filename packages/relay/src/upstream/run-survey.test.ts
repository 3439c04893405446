/** Which engines a host asks after its start, how often, and what of their replies counts. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {EndpointBook} from '@gatehead/policy/relay/endpoint-book';
import {type RunTrace} from '@gatehead/policy/relay/run-traces';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {type EngineRun, type PromptPart} from '../core/dialect.js';
import {Metrics} from '../utils/metrics.js';
import {type EngineList} from './control-calls.js';
import {RunSurvey, toTraceKey} from './run-survey.js';

/** Bounds of a host's survey. */
const maxEngines = 64;
const maxConcurrent = 16;
const maxAttempts = {gone: 2, rejected: 11, unanswered: 2};
/** Last attempt at which an engine that is overloaded for seconds rejects lists. */
const lastRejected = 7;
const maxWaitMs = 400;
/** Time after which a survey starts no calls, in milliseconds. */
const endMs = 12_000;

function makeEngine(id: string, overrides: Partial<Endpoint> = {}): Endpoint {
	return {
		id, service: 'model', address: `${id}:1`, hall: 'a', state: 'ready', stage: 'decode', slots: 4, softwareVersion: 'v1', ...overrides,
	};
}

function makeEngines(count: number): Endpoint[] {
	return Array.from({length: count}, (_, index) => makeEngine(`e${index}`));
}

type EngineReply = {
	readonly runs: EngineList<EngineRun>;
	readonly parts: EngineList<PromptPart>;
};

const silent: EngineReply = {runs: {kind: 'unanswered'}, parts: {kind: 'unanswered'}};
const rejecting: EngineReply = {runs: {kind: 'rejected'}, parts: {kind: 'rejected'}};
const ended: EngineReply = {runs: {kind: 'gone'}, parts: {kind: 'gone'}};

function replyOf(id: string): EngineReply {
	return {runs: {kind: 'listed', items: [{requestId: `run-${id}`, events: 7}]}, parts: {kind: 'listed', items: [{id: `part-${id}`, tokens: 120}]}};
}

class SurveyedFleet {
	readonly clock = new ManualClock();
	readonly survey: RunSurvey;
	readonly asked = new Map<string, number>();
	readonly traces: RunTrace[] = [];
	/** What was announced: whether engines have not answered. */
	readonly progress: boolean[] = [];
	/** Time that an engine takes to reply, in milliseconds. */
	delayMs = 5;
	/** Largest numbers of questions at a time, in all and to one engine. */
	mostOpen = 0;
	mostOpenAtEngine = 0;
	/** Time of the last membership change. */
	membersChangedAt = 0;
	isAsker: (id: string) => boolean;
	/** Entries whose addresses have processes that state that they are others. */
	replaced: readonly string[] = [];
	/** Reply to the nth question to an engine, from 1. */
	reply: (id: string, attempt: number) => EngineReply;
	readonly #book = new EndpointBook();
	readonly #open = new Map<string, number>();
	#revision = 0;

	constructor() {
		this.isAsker = () => true;
		this.reply = id => replyOf(id);
		this.survey = new RunSurvey({
			context: {clock: this.clock, log: ignore, metrics: new Metrics(undefined, {})},
			endpoints: {book: this.#book, release: ignore},
			calls: {
				listRuns: async ({id}) => {
					const attempt = (this.asked.get(id) ?? 0) + 1;
					this.asked.set(id, attempt);
					this.#count(id, 1);
					await this.#pass();
					this.#count(id, -1);
					return this.reply(id, attempt).runs;
				},
				listCachedParts: async ({id}) => {
					const attempt = this.asked.get(id) ?? 0;
					await this.#pass();
					return this.reply(id, attempt).parts;
				},
				isReplaced: async ({id}) => {
					await this.#pass();
					return this.replaced.includes(id);
				},
			},
			host: 'host-0',
			membersChangedAt: () => this.membersChangedAt,
			isAsker: id => this.isAsker(id),
			onTraces: traces => {
				this.traces.push(...traces);
			},
			onProgress: isSurveying => {
				this.progress.push(isSurveying);
			},
		});
	}

	get askedIds(): string[] {
		return [...this.asked.keys()].toSorted();
	}

	/** Replaces what the directory lists. */
	list(endpoints: readonly Endpoint[]): void {
		const ids = new Set(endpoints.map(({id}) => id));
		for (const {endpoint: {id}} of this.#book.list()) {
			if (!ids.has(id)) {
				this.#book.drop(id, this.clock.now());
			}
		}

		this.#revision += 1;
		for (const endpoint of endpoints) {
			this.#book.put({endpoint, revision: this.#revision}, this.clock.now());
		}
	}

	async run(milliseconds: number): Promise<void> {
		const end = this.clock.now() + milliseconds;
		while (this.clock.now() < end) {
			await setImmediate();
			this.clock.advance(Math.min(5, end - this.clock.now()));
		}

		await setImmediate();
	}

	/** Whether the survey is complete, and the time until that is known, in milliseconds. */
	async await(): Promise<{isComplete: boolean; waitMs: number}> {
		const startedAt = this.clock.now();
		const state: {isComplete?: boolean} = {};
		const done = this.survey.whenComplete().then(isComplete => {
			state.isComplete = isComplete;
		});
		await setImmediate();
		while (state.isComplete === undefined) {
			await this.run(5);
		}

		await done;
		return {isComplete: state.isComplete, waitMs: this.clock.now() - startedAt};
	}

	async #pass(): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.after(this.delayMs, resolve);
		});
	}

	#count(id: string, change: number): void {
		const open = (this.#open.get(id) ?? 0) + change;
		this.#open.set(id, open);
		this.mostOpenAtEngine = Math.max(this.mostOpenAtEngine, open);
		this.mostOpen = Math.max(this.mostOpen, [...this.#open.values()].reduce((sum, each) => sum + each, 0));
	}
}

type AskCase = {
	readonly name: string;
	readonly set: (fleet: SurveyedFleet) => void;
	/** Changes at a time after the start, in milliseconds. */
	readonly change?: {readonly atMs: number; readonly run: (fleet: SurveyedFleet) => void};
	/** Questions by engine, once the survey is over. */
	readonly asked: Readonly<Record<string, number>>;
	/** Ids of the runs and parts that became traces. */
	readonly traced: readonly string[];
	readonly isComplete: boolean;
};

const askCases: readonly AskCase[] = [
	{
		name: 'each decode engine in its share, once', set(fleet) {
			fleet.list([...makeEngines(3), makeEngine('p', {stage: 'prefill'}), {...makeEngine('q'), stage: undefined}]);
			fleet.isAsker = id => id !== 'e1';
		}, asked: {e0: 1, e2: 1}, traced: ['e0', 'e2'], isComplete: true,
	},
	{
		name: 'engines that are leaving as well', set(fleet) {
			fleet.list([makeEngine('e0', {state: 'leaving'})]);
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'none in its share', set(fleet) {
			fleet.list(makeEngines(3));
			fleet.isAsker = () => false;
		}, asked: {}, traced: [], isComplete: true,
	},
	{
		name: 'no decode engine in the directory', set(fleet) {
			fleet.list([makeEngine('p', {stage: 'prefill'})]);
		}, asked: {}, traced: [], isComplete: true,
	},
	{
		name: 'an engine that replies slowly', set(fleet) {
			fleet.list(makeEngines(1));
			fleet.delayMs = 200;
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that replies to the second question', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = (id, attempt) => id === 'e1' && attempt === 1 ? silent : replyOf(id);
		}, asked: {e0: 1, e1: 2}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an engine that never replies', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = id => id === 'e1' ? silent : replyOf(id);
		}, asked: {e0: 1, e1: maxAttempts.unanswered}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that lists its runs only, then both', set(fleet) {
			fleet.list(makeEngines(1));
			fleet.reply = (id, attempt) => attempt === 1 ? {...replyOf(id), parts: {kind: 'unanswered'}} : replyOf(id);
		}, asked: {e0: 2}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that rejects lists for some seconds', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = (id, attempt) => id === 'e1' && attempt <= lastRejected ? rejecting : replyOf(id);
		}, asked: {e0: 1, e1: lastRejected + 1}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an engine that rejects lists', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = id => id === 'e1' ? rejecting : replyOf(id);
		}, asked: {e0: 1, e1: maxAttempts.rejected}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that has ended', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = id => id === 'e1' ? ended : replyOf(id);
		}, asked: {e0: 1, e1: maxAttempts.gone}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that has ended, then another process of it', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = (id, attempt) => id === 'e1' && attempt === 1 ? ended : replyOf(id);
		}, asked: {e0: 1, e1: 2}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an engine whose entry names an earlier address', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.reply = (id, attempt) => id === 'e1' && attempt <= maxAttempts.gone ? ended : replyOf(id);
		}, change: {
			atMs: 2000, run(fleet) {
				fleet.list([makeEngine('e0'), makeEngine('e1', {address: 'later:1'})]);
			},
		}, asked: {e0: 1, e1: maxAttempts.gone + 1}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an entry that changes its version during the question', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.delayMs = 40;
		}, change: {
			atMs: 170, run(fleet) {
				fleet.list([makeEngine('e0'), makeEngine('e1', {softwareVersion: 'v2'})]);
			},
		}, asked: {e0: 1, e1: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an entry that is gone after the question', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.delayMs = 40;
		}, change: {
			atMs: 170, run(fleet) {
				fleet.list([makeEngine('e0')]);
			},
		}, asked: {e0: 1, e1: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an address that entries of two versions name', set(fleet) {
			fleet.list([makeEngine('e0'), makeEngine('e1', {address: 'shared:1'}), makeEngine('p', {address: 'shared:1', stage: 'prefill', softwareVersion: 'v2'})]);
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an address that entries of two versions name, where the process states that it is not one of them', set(fleet) {
			fleet.list([makeEngine('e0'), makeEngine('e1', {address: 'shared:1'}), makeEngine('p', {address: 'shared:1', stage: 'prefill', softwareVersion: 'v2'})]);
			fleet.replaced = ['p'];
		}, asked: {e0: 1, e1: 1}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an address that entries of three versions name, where the process states that it is not one of them', set(fleet) {
			fleet.list([makeEngine('e0'), ...['v1', 'v2', 'v3'].map(softwareVersion => makeEngine(`shared-${softwareVersion}`, {address: 'shared:1', softwareVersion}))]);
			fleet.replaced = ['shared-v2'];
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an address that entries of two versions name, until one expires', set(fleet) {
			fleet.list([makeEngine('e0', {address: 'shared:1'}), makeEngine('e1', {address: 'shared:1', softwareVersion: 'v2'})]);
		}, change: {
			atMs: 3600, run(fleet) {
				fleet.list([makeEngine('e1', {address: 'shared:1', softwareVersion: 'v2'})]);
			},
		}, asked: {e1: 1}, traced: ['e1'], isComplete: true,
	},
	{
		name: 'an address that two entries of one version name', set(fleet) {
			fleet.list([makeEngine('e0', {address: 'shared:1'}), makeEngine('e1', {address: 'shared:1'})]);
		}, asked: {e0: 1, e1: 1}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an entry that had another version before', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.survey.addPast({departed: [], changed: new Set(['e1'])});
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that has left, and one whose address another version has taken', set(fleet) {
			fleet.list([makeEngine('e0'), makeEngine('e1', {address: 'shared:1', softwareVersion: 'v2'})]);
			fleet.survey.addPast({departed: [makeEngine('gone'), makeEngine('replaced', {address: 'shared:1'})], changed: new Set()});
		}, asked: {e0: 1, e1: 1, gone: 1}, traced: ['e0', 'e1', 'gone'], isComplete: true,
	},
	{
		name: 'an address that a second entry names during the question, until it expires', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.delayMs = 40;
			fleet.clock.after(1000, () => {
				fleet.list(makeEngines(2));
			});
		}, change: {
			atMs: 170, run(fleet) {
				fleet.list([...makeEngines(2), makeEngine('e2', {address: 'e1:1', stage: 'prefill', softwareVersion: 'v2'})]);
			},
		}, asked: {e0: 1, e1: 2}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'an address that a second entry names during the question', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.delayMs = 40;
		}, change: {
			atMs: 170, run(fleet) {
				fleet.list([...makeEngines(2), makeEngine('e2', {address: 'e1:1', stage: 'prefill', softwareVersion: 'v2'})]);
			},
		}, asked: {e0: 1, e1: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an address that a new process of the instance takes during the question', set(fleet) {
			fleet.list([makeEngine('e0')]);
			fleet.delayMs = 40;
		}, change: {
			atMs: 170, run(fleet) {
				fleet.list([makeEngine('e9', {address: 'e0:1', softwareVersion: 'v2', stage: 'prefill'})]);
			},
		}, asked: {e0: 1}, traced: [], isComplete: true,
	},
	{
		name: 'an engine that comes into view later', set(fleet) {
			fleet.list(makeEngines(1));
		}, change: {
			atMs: 5000, run(fleet) {
				fleet.list(makeEngines(2));
			},
		}, asked: {e0: 1, e1: 1}, traced: ['e0', 'e1'], isComplete: true,
	},
	{
		name: 'the first engine comes into view later', set: ignore, change: {
			atMs: 5000, run(fleet) {
				fleet.list(makeEngines(1));
			},
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that comes into view when the survey is over', set(fleet) {
			fleet.list(makeEngines(1));
		}, change: {
			atMs: 11_000, run(fleet) {
				fleet.list(makeEngines(2));
			},
		}, asked: {e0: 1}, traced: ['e0'], isComplete: true,
	},
	{
		name: 'an engine that falls to this host when another is lost', set(fleet) {
			fleet.list(makeEngines(2));
			fleet.isAsker = id => id === 'e0' || fleet.clock.now() >= 3000;
		}, asked: {e0: 1, e1: 1}, traced: ['e0', 'e1'], isComplete: true,
	},
];

/** Time after which all engines have been asked for the last time, in milliseconds. */
const beforeEndMs = 3000;

type EndCase = {
	readonly name: string;
	readonly reply: EngineReply;
	/** Whether more may be learned from the engine until the survey is over. */
	readonly isUnheard: boolean;
};

const endCases: readonly EndCase[] = [
	{name: 'an engine that has ended', reply: ended, isUnheard: false},
	{name: 'an engine that rejects lists', reply: rejecting, isUnheard: true},
	{name: 'an engine that rejects one of its lists', reply: {...replyOf('e1'), parts: {kind: 'rejected'}}, isUnheard: true},
	{name: 'an engine that is silent', reply: silent, isUnheard: true},
	{name: 'an engine that rejects one list and does not answer the other', reply: {...rejecting, runs: {kind: 'unanswered'}}, isUnheard: true},
	{name: 'an engine that has ended by one list and does not answer the other', reply: {...ended, parts: {kind: 'unanswered'}}, isUnheard: true},
];

type BoundCase = {
	readonly name: string;
	readonly engines: number;
	readonly set: (fleet: SurveyedFleet) => void;
	/** Number of engines of which the host holds traces once the survey is over. */
	readonly traced?: number;
	/** Engines of which it holds traces in any case. */
	readonly tracedAnyway?: readonly string[];
	readonly isComplete: boolean;
};

const lateShare = ['e100', 'e200', 'e299'];

const boundCases: readonly BoundCase[] = [
	{
		name: 'as many engines as it may ask', engines: maxEngines, set: ignore, traced: maxEngines, isComplete: true,
	},
	{
		name: 'more engines than it may ask, while it has not found the others', engines: 300, set(fleet) {
			fleet.membersChangedAt = Number.POSITIVE_INFINITY;
		}, traced: maxEngines, isComplete: true,
	},
	{
		name: 'more engines than that, all of which fall to it in its fleet', engines: 300, set: ignore, traced: 300, isComplete: true,
	},
	{
		name: 'as many engines as it may ask, one replies late', engines: maxEngines, set(fleet) {
			fleet.reply = (id, attempt) => id === 'e63' && attempt === 1 ? silent : replyOf(id);
		}, traced: maxEngines, isComplete: true,
	},
	{
		name: 'its share of many engines, once it has found the other hosts', engines: 300, set(fleet) {
			const share = new Set(lateShare);
			fleet.isAsker = id => fleet.clock.now() < 400 || share.has(id);
		}, tracedAnyway: lateShare, isComplete: true,
	},
	{
		name: 'slow engines', engines: 40, set(fleet) {
			fleet.delayMs = 120;
		}, traced: 40, isComplete: true,
	},
];

describe('survey of engines after a start', () => {
	for (const {name, set, change, asked, traced, isComplete} of askCases) {
		it(name, async () => {
			const fleet = new SurveyedFleet();
			set(fleet);
			fleet.survey.start();
			if (change !== undefined) {
				await fleet.run(change.atMs);
				change.run(fleet);
			}

			await fleet.run(endMs);
			const finished = await fleet.await();
			expect(Object.fromEntries([...fleet.asked].toSorted(([left], [right]) => left < right ? -1 : 1))).toEqual({...asked});
			expect([...new Set(fleet.traces.map(({key}) => key))].toSorted()).toEqual(traced.flatMap(id => [toTraceKey('run', `run-${id}`), toTraceKey('part', `part-${id}`)]).toSorted());
			expect(finished.isComplete).toEqual(isComplete);
		});
	}

	for (const {name, engines, set, traced, tracedAnyway = [], isComplete} of boundCases) {
		it(`bound: ${name}`, async () => {
			const fleet = new SurveyedFleet();
			fleet.list(makeEngines(engines));
			set(fleet);
			fleet.survey.start();
			await fleet.run(endMs);
			const finished = await fleet.await();
			const keys = new Set(fleet.traces.map(({key}) => key));
			const found = makeEngines(engines).map(({id}) => id).filter(id => keys.has(toTraceKey('run', `run-${id}`)));
			expect(found.length).toEqual(traced ?? found.length);
			expect(found.filter(id => tracedAnyway.includes(id))).toEqual([...tracedAnyway]);
			expect(fleet.mostOpen <= maxConcurrent).toEqual(true);
			expect(fleet.mostOpenAtEngine <= 1).toEqual(true);
			expect(finished.isComplete).toEqual(isComplete);
		});
	}

	it('a trace has the events of a run or the tokens of a part, and the version of the entry', async () => {
		const fleet = new SurveyedFleet();
		fleet.list([makeEngine('e0', {softwareVersion: undefined, service: 'other'})]);
		fleet.survey.start();
		await fleet.run(500);
		expect(fleet.traces.map(({service, softwareVersion, size}) => ({service, softwareVersion, size}))).toEqual([
			{service: 'other', softwareVersion: '', size: 7},
			{service: 'other', softwareVersion: '', size: 120},
		]);
	});

	it('a run and a part of one name have different keys', () => {
		expect(toTraceKey('run', 'x') === toTraceKey('part', 'x')).toEqual(false);
	});

	it('a host asks a bounded number of engines until its fleet has not changed for a while', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(300));
		fleet.survey.start();
		await fleet.run(450);
		expect(fleet.asked.size).toEqual(maxEngines);
		await fleet.run(1000);
		expect(fleet.asked.size).toEqual(300);
	});

	it('services and versions that have not answered are known once the hosts have found each other', async () => {
		const fleet = new SurveyedFleet();
		fleet.list([makeEngine('e0'), makeEngine('e1', {softwareVersion: 'v2'}), makeEngine('e2', {service: 'other'}), makeEngine('e3', {softwareVersion: 'v3'})]);
		fleet.isAsker = id => id !== 'e3';
		fleet.reply = id => id === 'e0' ? replyOf(id) : silent;
		fleet.survey.start();
		await fleet.run(100);
		expect(fleet.survey.listUnheard()).toEqual(undefined);
		await fleet.run(1000);
		expect(fleet.survey.listUnheard()).toEqual([{service: 'model', softwareVersion: 'v2'}, {service: 'other', softwareVersion: 'v1'}]);
		await fleet.run(endMs);
		expect(fleet.survey.listUnheard()).toEqual([]);
	});

	for (const {name, reply, isUnheard} of endCases) {
		it(`what is waited for: ${name}`, async () => {
			const fleet = new SurveyedFleet();
			fleet.list([makeEngine('e0'), makeEngine('e1', {softwareVersion: 'v2'})]);
			fleet.reply = id => id === 'e1' ? reply : replyOf(id);
			fleet.survey.start();
			await fleet.run(beforeEndMs);
			expect(fleet.survey.listUnheard()).toEqual(isUnheard ? [{service: 'model', softwareVersion: 'v2'}] : []);
			expect(fleet.progress).toEqual(isUnheard ? [] : [false]);
			const {isComplete} = await fleet.await();
			expect(isComplete).toEqual(!isUnheard);
		});
	}

	it('a stopped survey asks nobody', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(2));
		fleet.survey.start();
		await fleet.run(100);
		fleet.survey.stop();
		await fleet.run(endMs);
		expect(fleet.askedIds).toEqual([]);
	});

	it('who waits is told at the end of the survey, or after a bounded time', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(1));
		fleet.survey.start();
		const early = await fleet.await();
		expect(early.isComplete).toEqual(true);
		expect(early.waitMs < maxWaitMs).toEqual(true);

		const stuck = new SurveyedFleet();
		stuck.list(makeEngines(1));
		stuck.delayMs = endMs;
		stuck.survey.start();
		const late = await stuck.await();
		expect(late).toEqual({isComplete: false, waitMs: maxWaitMs});
	});

	it('nobody waits for an engine that is not asked again', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(1));
		fleet.reply = () => silent;
		fleet.survey.start();
		await fleet.run(1000);
		expect(await fleet.await()).toEqual({isComplete: false, waitMs: 0});
	});

	it('other hosts are told when all engines have answered, and when one comes into view', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(2));
		fleet.survey.start();
		await fleet.run(500);
		expect(fleet.progress).toEqual([false]);
		fleet.list(makeEngines(3));
		await fleet.run(500);
		expect(fleet.progress).toEqual([false, true, false]);
		await fleet.run(endMs);
		expect(fleet.progress).toEqual([false, true, false]);
	});

	it('other hosts are told of the end of a survey in which an engine never answers', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(2));
		fleet.reply = id => id === 'e1' ? silent : replyOf(id);
		fleet.survey.start();
		await fleet.run(1000);
		expect(fleet.progress).toEqual([]);
		await fleet.run(endMs);
		expect(fleet.progress).toEqual([false]);
	});

	it('nobody waits once the survey is over', async () => {
		const fleet = new SurveyedFleet();
		fleet.list(makeEngines(maxEngines + 1));
		fleet.survey.start();
		await fleet.run(endMs);
		const {waitMs} = await fleet.await();
		expect(waitMs).toEqual(0);
	});
});
