/** Catalogue: what one host says of reading the directory, and when it reads for others, on a clock that the test moves. */
import {describe, it} from 'node:test';
import {rank} from '@gatehead/policy/core/rendezvous';
import {readerMatter} from '@gatehead/policy/relay/directory-readers';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import {type ReadOutcome} from '../core/directory-watch.js';
import {WatcherFailover} from './watcher-failover.js';

const names = rank(readerMatter, Array.from({length: 20}, (_, index) => `host-${index}`));
/** All hosts stand in one hall: the first three by rank read. */
const readers = 3;

/** Time in which every host has had its turn, in milliseconds. */
const allTurnsMs = 1000;

type Word = MemberRecord['directory'];
/** The word of the first by rank changes; this host's read ends; time passes; a host of higher rank comes. */
type Step = {readonly firstSays: Word} | {readonly read: ReadOutcome} | {readonly wait: number} | 'otherFirst';

type Case = {
	readonly name: string;
	/** This host's place by rank. */
	readonly place: number;
	readonly steps: readonly Step[];
	readonly says: Word;
	readonly standsIn: boolean;
	readonly looks?: number;
};

const cases: readonly Case[] = [
	{
		name: 'a reader that is turned away says so', place: 0, steps: [{read: 'away'}], says: 'away', standsIn: false,
	},
	{
		name: 'a watch that is cut is no such thing', place: 0, steps: [{read: 'failed'}], says: undefined, standsIn: false,
	},
	{
		name: 'it takes that back when it is answered', place: 0, steps: [{read: 'away'}, {read: 'answered'}], says: undefined, standsIn: false,
	},
	{
		name: 'and when hosts that come read in its place', place: readers - 1, steps: [{read: 'away'}, 'otherFirst'], says: undefined, standsIn: false,
	},
	{
		name: 'another reader looks at once, and says that it is answered', place: 1, steps: [{firstSays: 'away'}, {read: 'answered'}], says: 'answers', standsIn: false, looks: 1,
	},
	{
		name: 'until the first one is', place: 1, steps: [{firstSays: 'away'}, {read: 'answered'}, {firstSays: undefined}], says: undefined, standsIn: false, looks: 1,
	},
	{
		name: 'a host that does not read stands in where nobody is answered', place: 9, steps: [{firstSays: 'away'}, {wait: allTurnsMs}, {read: 'answered'}], says: 'answers', standsIn: true, looks: 1,
	},
	{
		name: 'not before its turn', place: 9, steps: [{firstSays: 'away'}, {wait: 100}], says: undefined, standsIn: false,
	},
	{
		name: 'and rests where it is turned away as well', place: 9, steps: [{firstSays: 'away'}, {wait: allTurnsMs}, {read: 'failed'}, {wait: 5000}], says: undefined, standsIn: false, looks: 1,
	},
	{
		name: 'it stands down with the first one\'s answer', place: 9, steps: [{firstSays: 'away'}, {wait: allTurnsMs}, {read: 'answered'}, {firstSays: undefined}], says: undefined, standsIn: false, looks: 1,
	},
];

describe('reading for others', () => {
	for (const {
		name, place, steps, says, standsIn, looks = 0,
	} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const words = new Map<string, Word>();
			const alive = [...names];
			const self = names[place] ?? '';
			const toRecord = (host: string): MemberRecord => ({
				host, hall: 'one', region: 'r', incarnation: 1, counter: 1, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0, directory: words.get(host),
			});
			let looked = 0;
			const failover = new WatcherFailover({
				context: {clock, log: ignore},
				listAlive: () => alive.map(host => toRecord(host)),
				self: () => toRecord(self),
				announce(directory) {
					words.set(self, directory);
				},
				watch: () => ({
					doubt() {
						looked += 1;
					},
					wake: ignore,
				}),
			});
			for (const step of steps) {
				if (step === 'otherFirst') {
					alive.splice(0, alive.length, self, ...names.filter(host => host !== self));
					const higher = Array.from({length: 4000}, (_, index) => `new-${index}`);
					alive.push(...rank(readerMatter, [...higher, self]).slice(0, readers));
					failover.noteFleet();
				} else if ('firstSays' in step) {
					words.set(names[0] ?? '', step.firstSays);
					failover.noteFleet();
				} else if ('read' in step) {
					failover.noteRead(step.read);
				} else {
					clock.advance(step.wait);
				}
			}

			expect({says: words.get(self), standsIn: failover.isTakingOver, looked}).toEqual({says, standsIn, looked: looks});
			failover.stop();
		});
	}
});
