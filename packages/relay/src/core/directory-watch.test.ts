/** Catalogue: when one host holds the directory to be away, on a clock that the test moves. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {wholeFleet} from '@gatehead/policy/relay/subsets';
import {seedRandom} from '@gatehead/policy/utils/random';
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

	async list(signal: AbortSignal): Promise<Changes> {
		this.lists += 1;
		if (this.isSilent) {
			return hang(signal);
		}

		return {
			revision: 1, changes: [{
				kind: 'endpoint', revision: 1, endpoint: {
					id: 'e', service: 's', address: '10.0.0.1:80', hall: 'one', state: 'ready', stage: undefined, slots: 4,
				},
			}],
		};
	}

	async watch(after: number, _waitMs: number, signal: AbortSignal): Promise<Changes> {
		const answer = this.answers.shift() ?? 'waits';
		if (answer === 'fails') {
			throw new DirectoryError('cut');
		}

		if (answer === 'answers') {
			return {revision: after, changes: []};
		}

		return hang(signal);
	}

	close(): void {
		this.answers = [];
	}
}

type Step = {readonly answers: readonly Answer[]} | {readonly wait: number} | 'doubt' | 'endpointGoes';

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
	const endpoints = new Endpoints(context, {onPause: ignore, onRoom: ignore, subset: () => wholeFleet});
	const watch = new DirectoryWatch({
		context, endpoints, routing: new RoutingState(context, ignore), isReader: () => true, onNews: ignore,
	});
	return {clock, endpoints, watch};
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
			const {clock, endpoints, watch} = makeWatch(directory);
			watch.start();
			await settle();
			for (const step of steps) {
				if (step === 'doubt') {
					watch.doubt();
				} else if (step === 'endpointGoes') {
					endpoints.book.remove('e', 2, clock.now());
				} else if ('wait' in step) {
					clock.advance(step.wait);
				} else {
					directory.answers = [...step.answers];
				}

				await settle();
			}

			watch.stop();
			expect({isDown: watch.isDown, isReady: endpoints.book.isReady('e')}).toEqual({isDown, isReady});
		});
	}
});
