/** Catalogue: what the next prompt has to expect at a decode replica that reads one itself. */
import {describe, it} from 'node:test';
import {ReadingQueue} from '@gatehead/policy/relay/reading-queue';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {DecodeReading} from './decode-reading.js';

type End = 'none' | 'finish' | 'abandon';

type Case = {
	readonly name: string;
	/** How long after its begin the reading ends, in milliseconds, and how. */
	readonly afterMs: number;
	readonly end: End;
	/** Time that the next prompt has to wait behind it, in milliseconds, besides its own. */
	readonly waitsMs: number;
};

const tokens = 2000;
/** At twice the time of a prefill replica for a token, until it was seen. */
const readingMs = 140;

const cases: readonly Case[] = [
	{
		name: 'the next prompt waits for it', afterMs: 0, end: 'none', waitsMs: readingMs,
	},
	{
		name: 'one that is overdue shows how long the queue must be', afterMs: 5000, end: 'none', waitsMs: 5000 - readingMs - 65,
	},
	{
		name: 'one that came to nothing holds nobody up', afterMs: 5000, end: 'abandon', waitsMs: 0,
	},
	{
		name: 'nor does one that was read in time', afterMs: readingMs + 65, end: 'finish', waitsMs: 0,
	},
];

describe('decode reading', () => {
	for (const {name, afterMs, end, waitsMs} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const queue = new ReadingQueue(2);
			const told: string[] = [];
			const reading = new DecodeReading({
				clock,
				endpoints: {queueOf: () => queue},
				news: {
					tellReading(endpoint, count) {
						told.push(`${endpoint} ${count}`);
					},
				},
			});
			const alone = queue.expect(tokens, clock.now());
			expect(reading.begin('replica', tokens)).toEqual(alone);
			expect(told).toEqual([`replica ${tokens}`]);
			clock.advance(afterMs);
			const ends: Readonly<Record<End, () => void>> = {
				none: ignore,
				finish() {
					reading.finish();
				},
				abandon() {
					reading.abandon();
				},
			};
			ends[end]();
			// Finished or not, the end of the request abandons what is left
			if (end === 'finish') {
				reading.abandon();
			}

			expect(Math.round(queue.expect(tokens, clock.now()) - alone)).toEqual(waitsMs);
		});
	}
});
