/**
 * Catalogue: a configuration service that comes back from a copy, its
 * revisions lower than before. Its watch ends at its wait at the latest and
 * names the lower revision; the next one goes on from there, so that a bundle
 * which is published again below the old revision is read. Bundles themselves
 * cannot go back: their signed versions decide.
 */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {type PublishedValue} from '@gatehead/schema/platform-protocol';
import {type Code} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {BundleWatch} from './bundle-watch.js';

type Case = {
	readonly name: string;
	/** Revisions that the service names, one answer after the other. */
	readonly revisions: readonly number[];
	/** From which revisions it is watched. */
	readonly watched: readonly number[];
};

const cases: readonly Case[] = [
	{name: 'revisions that rise', revisions: [4, 5], watched: [-1, 4, 5]},
	{name: 'a return from a copy, and a bundle published again below the old revision', revisions: [5, 3, 4], watched: [-1, 5, 3, 4]},
];

describe('watch of the configuration service', () => {
	for (const {name, revisions, watched} of cases) {
		it(name, async () => {
			const clock = new ManualClock();
			const afters: number[] = [];
			const offered: Code[] = [];
			const answers = [...revisions];
			const platform = {
				async watch(key: string, after: number): Promise<PublishedValue> {
					afters.push(after);
					const revision = answers.shift();
					return revision === undefined ? new Promise<never>(ignore) : {key, revision, value: `bundle ${revision}`};
				},
			};
			const context = {
				clock,
				random: seedRandom(1),
				settings: {timing: {watchMs: 1000}},
				log(code: Code) {
					offered.push(code);
				},
			};
			const bundles = {
				offer(): never {
					throw new RangeError('No value here is a bundle.');
				},
			};
			const watch = new BundleWatch({
				context, bundles, platform, isWatcher: () => true,
			});
			watch.start();
			for (let turn = 0; turn < 20; turn += 1) {
				await setImmediate();
				clock.advance(300);
			}

			watch.stop();
			expect(afters).toEqual([...watched]);
			expect(offered).toEqual(revisions.map(() => 'bundleInvalid'));
		});
	}
});
