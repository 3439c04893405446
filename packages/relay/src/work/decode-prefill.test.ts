/** Guards the estimate of the queueing delay behind a prompt that a decode replica prefills itself. */
import {describe, it} from 'node:test';
import {PrefillQueue} from '@gatehead/policy/relay/prefill-queue';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {DecodePrefill} from './decode-prefill.js';

type Outcome = 'none' | 'finish' | 'abandon';

type Case = {
	readonly name: string;
	/** Time from the start of the prefill to `outcome`, in milliseconds. */
	readonly afterMs: number;
	readonly outcome: Outcome;
	/** Expected queueing delay of the next prompt, in milliseconds, without its own prefill. */
	readonly waitMs: number;
};

const tokens = 2000;
/** Initial estimate for `tokens`: a decode replica needs twice the time of a prefill replica per token. */
const expectedMs = 140;

const cases: readonly Case[] = [
	{
		name: 'the next prompt waits for a running prefill', afterMs: 0, outcome: 'none', waitMs: expectedMs,
	},
	{
		name: 'an overdue prefill lengthens the estimated queue', afterMs: 5000, outcome: 'none', waitMs: 5000 - expectedMs - 65,
	},
	{
		name: 'an abandoned prefill delays no prompt', afterMs: 5000, outcome: 'abandon', waitMs: 0,
	},
	{
		name: 'a finished prefill delays no prompt', afterMs: expectedMs + 65, outcome: 'finish', waitMs: 0,
	},
];

describe('decode prefill', () => {
	for (const {name, afterMs, outcome, waitMs} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const queue = new PrefillQueue(2);
			const announced: string[] = [];
			const prefill = new DecodePrefill({
				clock,
				endpoints: {queueOf: () => queue},
				news: {
					announcePrompt(endpoint, count) {
						announced.push(`${endpoint} ${count}`);
					},
				},
			});
			const ownMs = queue.estimateMs(tokens, clock.now());
			expect(prefill.begin('replica', tokens)).toEqual(ownMs);
			expect(announced).toEqual([`replica ${tokens}`]);
			clock.advance(afterMs);
			const actions: Readonly<Record<Outcome, () => void>> = {
				none: ignore,
				finish() {
					prefill.finish();
				},
				abandon() {
					prefill.abandon();
				},
			};
			actions[outcome]();
			// A request always abandons its prefill at the end; after finish() that has no effect
			if (outcome === 'finish') {
				prefill.abandon();
			}

			expect(Math.round(queue.estimateMs(tokens, clock.now()) - ownMs)).toEqual(waitMs);
		});
	}
});
