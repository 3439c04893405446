/** Catalogue: when one host holds the directory to be away, on a clock that the test moves. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {ignore} from '@gatehead/policy/utils/ignore';
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

class ScriptedDirectory implements Directory {
	answers: Answer[] = [];

	async list(): Promise<Changes> {
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

		return new Promise((_resolve, reject) => {
			signal.addEventListener('abort', () => {
				reject(new DirectoryError('ended'));
			}, {once: true});
		});
	}

	close(): void {
		this.answers = [];
	}
}

type Step = {readonly answers: readonly Answer[]} | {readonly wait: number} | 'doubt' | 'endpointGoes';

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

describe('directory watch', () => {
	for (const {
		name, steps, isDown, isReady,
	} of cases) {
		it(name, async () => {
			const clock = new ManualClock();
			const directory = new ScriptedDirectory();
			const context = {
				clock, directory, log: ignore, random: seedRandom(1), settings, metrics: new Metrics(undefined, {}),
			};
			const endpoints = new Endpoints(context, {onPause: ignore, onRoom: ignore, subset: () => ({count: 1, own: 0})});
			const watch = new DirectoryWatch({
				context, endpoints, routing: new RoutingState(context, ignore), isWatcher: () => true, onNews: ignore,
			});
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
