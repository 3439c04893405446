/** What a host announces about its reads of the directory, and when it takes over from other watchers, with a manual clock. */
import {describe, it} from 'node:test';
import {rank} from '@gatehead/policy/core/rendezvous';
import {readerRankKey} from '@gatehead/policy/relay/directory-readers';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import {type ReadOutcome} from '../core/directory-watch.js';
import {WatcherFailover} from './watcher-failover.js';

const names = rank(readerRankKey, Array.from({length: 20}, (_, index) => `host-${index}`));
/** All hosts are in one hall, so the first three by rank are readers. */
const readers = 3;

/** Time by which every host has had its chance to take over, in milliseconds. */
const maxTakeoverMs = 1000;

type AnnouncedState = MemberRecord['directory'];
/** The first host by rank announces a state; a read of this host completes; time passes; hosts of higher rank join. */
type Step = {readonly firstAnnounces: AnnouncedState} | {readonly read: ReadOutcome} | {readonly wait: number} | 'higherRankedJoin';

type Case = {
	readonly name: string;
	/** Rank of this host, from 0. */
	readonly place: number;
	readonly steps: readonly Step[];
	readonly announces: AnnouncedState;
	readonly takesOver: boolean;
	readonly rechecks?: number;
};

const cases: readonly Case[] = [
	{
		name: 'a reader announces that the directory is unavailable to it',
		place: 0,
		steps: [{read: 'away'}],
		announces: 'away',
		takesOver: false,
	},
	{
		name: 'a single failed read is not announced',
		place: 0,
		steps: [{read: 'failed'}],
		announces: undefined,
		takesOver: false,
	},
	{
		name: 'a reader withdraws the announcement after a successful read',
		place: 0,
		steps: [{read: 'away'}, {read: 'answered'}],
		announces: undefined,
		takesOver: false,
	},
	{
		name: 'a reader withdraws the announcement when joining hosts replace it',
		place: readers - 1,
		steps: [{read: 'away'}, 'higherRankedJoin'],
		announces: undefined,
		takesOver: false,
	},
	{
		name: 'another reader rechecks at once and announces that its reads succeed',
		place: 1,
		steps: [{firstAnnounces: 'away'}, {read: 'answered'}],
		announces: 'answers',
		takesOver: false,
		rechecks: 1,
	},
	{
		name: 'another reader withdraws that when the first one recovers',
		place: 1,
		steps: [{firstAnnounces: 'away'}, {read: 'answered'}, {firstAnnounces: undefined}],
		announces: undefined,
		takesOver: false,
		rechecks: 1,
	},
	{
		name: 'a host that is not a reader takes over if no reader succeeds',
		place: 9,
		steps: [{firstAnnounces: 'away'}, {wait: maxTakeoverMs}, {read: 'answered'}],
		announces: 'answers',
		takesOver: true,
		rechecks: 1,
	},
	{
		name: 'a host does not take over before its delay has passed',
		place: 9,
		steps: [{firstAnnounces: 'away'}, {wait: 100}],
		announces: undefined,
		takesOver: false,
	},
	{
		name: 'a host whose takeover failed does not retry at once',
		place: 9,
		steps: [{firstAnnounces: 'away'}, {wait: maxTakeoverMs}, {read: 'failed'}, {wait: 5000}],
		announces: undefined,
		takesOver: false,
		rechecks: 1,
	},
	{
		name: 'a host steps down when the first reader recovers',
		place: 9,
		steps: [{firstAnnounces: 'away'}, {wait: maxTakeoverMs}, {read: 'answered'}, {firstAnnounces: undefined}],
		announces: undefined,
		takesOver: false,
		rechecks: 1,
	},
];

describe('watcher failover', () => {
	for (const {
		name, place, steps, announces, takesOver, rechecks = 0,
	} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const announced = new Map<string, AnnouncedState>();
			const alive = [...names];
			const self = names[place] ?? '';
			const toRecord = (host: string): MemberRecord => ({
				host, hall: 'one', region: 'r', incarnation: 1, counter: 1, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0, directory: announced.get(host),
			});
			let recheckCount = 0;
			const failover = new WatcherFailover({
				context: {clock, log: ignore},
				listAlive: () => alive.map(host => toRecord(host)),
				self: () => toRecord(self),
				announce(directory) {
					announced.set(self, directory);
				},
				watch: () => ({
					recheck() {
						recheckCount += 1;
					},
					wake: ignore,
				}),
			});
			for (const step of steps) {
				if (step === 'higherRankedJoin') {
					alive.splice(0, alive.length, self, ...names.filter(host => host !== self));
					const higher = Array.from({length: 4000}, (_, index) => `new-${index}`);
					alive.push(...rank(readerRankKey, [...higher, self]).slice(0, readers));
					failover.handleMembershipChange();
				} else if ('firstAnnounces' in step) {
					announced.set(names[0] ?? '', step.firstAnnounces);
					failover.handleMembershipChange();
				} else if ('read' in step) {
					failover.handleRead(step.read);
				} else {
					clock.advance(step.wait);
				}
			}

			expect({announces: announced.get(self), takesOver: failover.isTakingOver, rechecks: recheckCount}).toEqual({announces, takesOver, rechecks});
			failover.stop();
		});
	}
});
