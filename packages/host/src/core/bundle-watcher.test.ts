/**
 * Guards against a watcher that misses bundles after the configuration
 * service is restored from a backup and its revisions start lower than before.
 */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {type PublishedValue} from '@gatehead/schema/platform-protocol';
import {type Code} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {BundleWatcher} from './bundle-watcher.js';

type Case = {
	readonly name: string;
	/** Revisions of the service's successive responses. */
	readonly revisions: readonly number[];
	/** Revisions after which the watcher asks. */
	readonly askedAfter: readonly number[];
};

const cases: readonly Case[] = [
	{name: 'increasing revisions', revisions: [4, 5], askedAfter: [-1, 4, 5]},
	{name: 'a restored backup, and a bundle published again below the old revision', revisions: [5, 3, 4], askedAfter: [-1, 5, 3, 4]},
];

describe('BundleWatcher', () => {
	for (const {name, revisions, askedAfter} of cases) {
		it(name, async () => {
			const clock = new ManualClock();
			const afters: number[] = [];
			const loggedCodes: Code[] = [];
			const revisionsLeft = [...revisions];
			const platform = {
				async watch(key: string, after: number): Promise<PublishedValue> {
					afters.push(after);
					const revision = revisionsLeft.shift();
					return revision === undefined ? new Promise<never>(ignore) : {key, revision, value: `bundle ${revision}`};
				},
			};
			const context = {
				clock,
				random: seedRandom(1),
				settings: {timing: {watchMs: 1000}},
				log(code: Code) {
					loggedCodes.push(code);
				},
			};
			const bundles = {
				offer(): never {
					throw new RangeError('the test values are not bundles');
				},
			};
			const watcher = new BundleWatcher({
				context, bundles, platform, isWatcher: () => true,
			});
			watcher.start();
			for (let turn = 0; turn < 20; turn += 1) {
				await setImmediate();
				clock.advance(300);
			}

			watcher.stop();
			expect(afters).toEqual([...askedAfter]);
			expect(loggedCodes).toEqual(revisions.map(() => 'bundleInvalid'));
		});
	}
});
