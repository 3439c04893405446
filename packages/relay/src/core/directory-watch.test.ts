/** Catalogue: when one host holds the directory to be away, on a clock that the test moves. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {wholeFleet} from '@gatehead/policy/relay/subsets';
import {seedRandom} from '@gatehead/policy/utils/random';
import {type Position} from '@gatehead/schema/position';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {expect} from 'earl';
import {Endpoints} from '../upstream/endpoints.js';
import {Metrics} from '../utils/metrics.js';
import {DirectoryWatch} from './directory-watch.js';
import {DirectoryError, type Changes, type Directory} from './directory.js';
import {RoutingState} from './routing-state.js';

const settings = relaySettings.parse({
	host: 'a', hall: 'one', region: 'r', listen: {
		caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
	},
});

/** What the directory does with a read: it answers at once, fails, or waits until the read is ended. */
type Answer = 'answers' | 'fails' | 'waits';

/** Waits until a read is ended, as where its connection brings nothing more. */
async function hang(signal: AbortSignal): Promise<Changes> {
	return new Promise((_resolve, reject) => {
		signal.addEventListener('abort', () => {
			reject(new DirectoryError('ended'));
		}, {once: true});
	});
}

class ScriptedDirectory implements Directory {
	answers: Answer[] = [];
	/** A list that is asked for meanwhile never gets an answer. */
	isSilent = false;
	lists = 0;
	watches = 0;
	/** What the directory says of its revision, whatever its watches say; undefined: nothing. */
	revisionNow: number | undefined = 1;

	/** Which of its histories the directory is in. */
	epoch = 1;

	async readPosition(signal: AbortSignal): Promise<Position> {
		if (this.revisionNow === undefined) {
			await hang(signal);
		}

		return {epoch: this.epoch, revision: this.revisionNow ?? 0};
	}

	async list(signal: AbortSignal): Promise<Changes> {
		this.lists += 1;
		if (this.isSilent) {
			return hang(signal);
		}

		return {
			position: {epoch: this.epoch, revision: 1}, changes: [{
				kind: 'endpoint', revision: 1, endpoint: {
					id: 'e', service: 's', address: '10.0.0.1:80', hall: 'one', state: 'ready', stage: undefined, slots: 4,
				},
			}],
		};
	}

	async watch(after: number, _waitMs: number, signal: AbortSignal): Promise<Changes> {
		this.watches += 1;
		const answer = this.answers.shift() ?? 'waits';
		if (answer === 'fails') {
			throw new DirectoryError('cut');
		}

		if (answer === 'answers') {
			return {position: {epoch: this.epoch, revision: after}, changes: []};
		}

		return hang(signal);
	}

	close(): void {
		this.answers = [];
	}
}

type Step = {readonly answers: readonly Answer[]} | {readonly wait: number} | 'doubt' | 'resign' | 'endpointGoes';

type StartCase = {
	readonly name: string;
	/** How long the directory says nothing after the host has started, in milliseconds. */
	readonly silentMs: number;
	/** Time by which the host knows the directory, in milliseconds. */
	readonly byMs: number;
	/** Most lists asked for until then. */
	readonly mostLists: number;
};

const startCases: readonly StartCase[] = [
	{
		name: 'a directory that answers is known at once', silentMs: 0, byMs: 0, mostLists: 1,
	},
	{
		name: 'one that was silent for a moment is known soon after', silentMs: 200, byMs: 600, mostLists: 2,
	},
	{
		name: 'a longer silence costs a second more, and few calls', silentMs: 1200, byMs: 2200, mostLists: 4,
	},
	{
		name: 'a long one no more than that', silentMs: 9000, byMs: 12_000, mostLists: 9,
	},
];

/** Step in which the clock moves while a host starts, in milliseconds. */
const stepMs = 20;

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	readonly isDown: boolean;
	/** Whether the endpoint still takes work. */
	readonly isReady: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'one watch that is cut is no outage', steps: [{answers: ['fails', 'answers']}, 'doubt', {wait: 400}, 'endpointGoes'], isDown: false, isReady: false,
	},
	{
		name: 'two failed reads are one', steps: [{answers: ['fails', 'fails', 'fails', 'fails']}, 'doubt', {wait: 1200}, 'endpointGoes'], isDown: true, isReady: true,
	},
	{
		name: 'a watch that was ended from here is no outage', steps: [{answers: ['answers']}, 'doubt', {wait: 10}, 'endpointGoes'], isDown: false, isReady: false,
	},
	{
		name: 'who reads no more believes the others, though its own last reads failed', steps: [{answers: ['fails', 'fails', 'fails', 'fails']}, 'doubt', {wait: 400}, 'resign', {wait: 1500}, {wait: 600}, {wait: 2500}, 'endpointGoes'], isDown: false, isReady: false,
	},
	{
		name: 'a silent directory is noticed soon after a doubt', steps: ['doubt', {wait: 1600}, {wait: 2000}, {wait: 2000}], isDown: true, isReady: true,
	},
];

async function settle(): Promise<void> {
	for (let turn = 0; turn < 10; turn += 1) {
		await setImmediate();
	}
}

/** A host's reading of a directory, on a clock that the test moves. */
function makeWatch(directory: ScriptedDirectory) {
	const clock = new ManualClock();
	const context = {
		clock, directory, log: ignore, random: seedRandom(1), settings, metrics: new Metrics(undefined, {}),
	};
	const endpoints = new Endpoints(context, {
		onPause: ignore, onLimit: ignore, onDrain: ignore, onRoom: ignore, onGone: ignore, subset: () => wholeFleet,
	});
	const routing = new RoutingState(context, ignore);
	const role = {isReader: true, isShortWatcher: false};
	const watch = new DirectoryWatch({
		context, endpoints, routing, isReader: () => role.isReader, isShortWatcher: () => role.isShortWatcher, onRead: ignore, onNews: ignore,
	});
	return {
		clock, endpoints, watch, routing, role,
	};
}

describe('directory watch', () => {
	for (const {
		name, silentMs, byMs, mostLists,
	} of startCases) {
		it(name, async () => {
			const directory = new ScriptedDirectory();
			const {clock, endpoints, watch} = makeWatch(directory);
			directory.isSilent = silentMs > 0;
			watch.start();
			await settle();
			for (let at = 0; at < byMs; at += stepMs) {
				directory.isSilent = at < silentMs;
				clock.advance(stepMs);
				await settle();
			}

			watch.stop();
			expect(endpoints.book.isReady('e')).toEqual(true);
			expect(directory.lists <= mostLists).toEqual(true);
		});
	}

	for (const {
		name, steps, isDown, isReady,
	} of cases) {
		it(name, async () => {
			const directory = new ScriptedDirectory();
			const {clock, endpoints, watch, role} = makeWatch(directory);
			watch.start();
			await settle();
			for (const step of steps) {
				switch (step) {
					case 'resign': {
						role.isReader = false;

						break;
					}

					case 'doubt': {
						watch.doubt();

						break;
					}

					case 'endpointGoes': {
						endpoints.book.remove('e', {epoch: 1, revision: 2}, clock.now());

						break;
					}

					default: {
						if ('wait' in step) {
							clock.advance(step.wait);
						} else {
							directory.answers = [...step.answers];
						}
					}
				}

				await settle();
			}

			watch.stop();
			expect({isDown: watch.isDown, isReady: endpoints.book.isReady('e')}).toEqual({isDown, isReady});
		});
	}

	it('a silent connection is noticed within a second at the host whose watches are short', async () => {
		for (const [isShortWatcher, watches] of [[true, 2], [false, 1]] as const) {
			const directory = new ScriptedDirectory();
			const {clock, watch, role} = makeWatch(directory);
			role.isShortWatcher = isShortWatcher;
			watch.start();
			await settle();
			for (let at = 0; at < 1000; at += stepMs) {
				clock.advance(stepMs);
				await settle();
			}

			watch.stop();
			expect(directory.watches).toEqual(watches);
		}
	});

	it('a watch that is answered from another history is not gone on with: the directory is listed', async () => {
		const directory = new ScriptedDirectory();
		const {clock, watch} = makeWatch(directory);
		directory.answers = ['answers', 'waits'];
		watch.start();
		await settle();
		const {lists} = directory;
		directory.epoch = 2;
		directory.answers = ['answers'];
		watch.doubt();
		await settle();
		clock.advance(2);
		await settle();
		watch.stop();
		expect(directory.lists - lists).toEqual(1);
		expect(watch.position).toEqual({epoch: 2, revision: 1});
	});

	it('an answer from a history that is over changes nothing', async () => {
		const directory = new ScriptedDirectory();
		const {watch} = makeWatch(directory);
		watch.start();
		await settle();
		watch.follow({epoch: 2, revision: 1}, 'peer');
		directory.answers = ['answers'];
		watch.doubt();
		await settle();
		watch.stop();
		expect(watch.position).toEqual({epoch: 2, revision: 1});
		expect(directory.lists).toEqual(1);
	});

	it('what was heard is as good as its source: a host that reads, or one that heard from such a one', () => {
		const {watch} = makeWatch(new ScriptedDirectory());
		watch.hear({revision: 4}, true);
		expect(watch.isWitnessed).toEqual(true);
		watch.hear({revision: 5}, false);
		expect(watch.isWitnessed).toEqual(false);
		watch.hear({revision: 5}, true);
		expect(watch.isWitnessed).toEqual(true);
	});
});

type ConfirmCase = {
	readonly name: string;
	/** The directory's revision; undefined: it says nothing. This host knows all up to 1. */
	readonly revisionNow: number | undefined;
	/** Lists that are asked for besides. */
	readonly lists: number;
	readonly isConfirmed: boolean;
};

const confirmCases: readonly ConfirmCase[] = [
	{
		name: 'a directory that knows no more confirms what is known', revisionNow: 1, lists: 0, isConfirmed: true,
	},
	{
		name: 'one that knows more is listed, though the watch says nothing', revisionNow: 2, lists: 1, isConfirmed: true,
	},
	{
		name: 'a silent one confirms nothing', revisionNow: undefined, lists: 0, isConfirmed: false,
	},
];

describe('confirming that the configuration is the newest', () => {
	for (const {
		name, revisionNow, lists, isConfirmed,
	} of confirmCases) {
		it(name, async () => {
			const directory = new ScriptedDirectory();
			const {clock, watch, routing} = makeWatch(directory);
			watch.start();
			await settle();
			clock.advance(3000);
			const before = directory.lists;
			directory.revisionNow = revisionNow;
			const askedAt = clock.now();
			const confirming = watch.confirm();
			await settle();
			clock.advance(600);
			await confirming;
			watch.stop();
			expect(directory.lists - before).toEqual(lists);
			expect(routing.confirmedAt >= askedAt).toEqual(isConfirmed);
		});
	}

	for (const {name, waitMs, isConfirmed} of [
		{name: 'a directory just back from a copy confirms nothing: the operator may not have written again', waitMs: 0, isConfirmed: false},
		{name: 'it does when the grace is over', waitMs: 2300, isConfirmed: true},
	]) {
		it(name, async () => {
			const directory = new ScriptedDirectory();
			const {clock, watch, routing} = makeWatch(directory);
			watch.start();
			await settle();
			clock.advance(3000);
			directory.epoch = 2;
			await watch.confirm();
			expect(watch.position?.epoch).toEqual(2);
			clock.advance(waitMs);
			const askedAt = clock.now();
			await watch.confirm();
			watch.stop();
			expect(routing.confirmedAt >= askedAt).toEqual(isConfirmed);
		});
	}

	it('counts from the asking, and many that ask share one read', async () => {
		const directory = new ScriptedDirectory();
		const {clock, watch, routing} = makeWatch(directory);
		watch.start();
		await settle();
		clock.advance(3000);
		directory.revisionNow = undefined;
		const askedAt = clock.now();
		const confirming = Promise.all([watch.confirm(), watch.confirm()]);
		clock.advance(600);
		await confirming;
		directory.revisionNow = 1;
		await watch.confirm();
		watch.stop();
		expect(routing.confirmedAt).toEqual(askedAt + 600);
	});
});
