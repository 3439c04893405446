/** Which endpoints accept requests when the directory is available, unavailable, or restored from a backup. */
import {describe, it} from 'node:test';
import {type Position} from '@gatehead/schema/position';
import {type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {overrideMs, type Departure} from './departures.js';
import {EndpointBook, outageGraceMs} from './endpoint-book.js';
import {type KeptEntry} from './endpoint-change.js';
import {massRemovalGraceMs} from './mass-removal-detector.js';

function listed(id: string, revision: number, state: Endpoint['state'] = 'ready', stage?: Endpoint['stage']): ListedEndpoint {
	return {
		revision, endpoint: {
			id, service: 'model', address: '10.0.0.1:80', hall: 'a', state, stage, slots: 4,
		},
	};
}

/** The entry of one process of an instance. */
function entryOf(instance: string, start: string, revision: number): ListedEndpoint {
	const {endpoint} = listed(`${instance}@${start}`, revision);
	return {revision, endpoint: {...endpoint, instance}};
}

/** An entry in an epoch of the directory. */
function inEpoch(epoch: number, entry: ListedEndpoint): ListedEndpoint {
	return {...entry, epoch};
}

type Step
	= | {readonly put: ListedEndpoint}
		| ({readonly hide: string} & Position)
		| ({readonly remove: string} & Position)
		| ({readonly replace: readonly ListedEndpoint[]} & Position & {readonly isWitnessed?: boolean; readonly kept?: readonly KeptEntry[]})
		| {readonly wait: number}
		| {readonly restored: Position}
		| {readonly departures: readonly Departure[]}
		| {readonly directory: 'lost' | 'back' | 'leftToOthers'};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	/** Endpoints that accept requests at the end. */
	readonly ready: readonly string[];
};

const five = ['a', 'b', 'c', 'd', 'e'];

const cases: readonly Case[] = [
	{name: 'a listed endpoint accepts requests', steps: [{put: listed('a', 1)}], ready: ['a']},
	{name: 'a leaving endpoint accepts none', steps: [{put: listed('a', 1)}, {put: listed('a', 2, 'leaving')}], ready: []},
	{name: 'a new process of an instance replaces the earlier one', steps: [{put: entryOf('a', '1', 1)}, {put: entryOf('a', '2', 2)}], ready: ['a@2']},
	{name: 'the process written later wins, regardless of its clock', steps: [{put: entryOf('a', '9', 1)}, {put: entryOf('a', '3', 2)}], ready: ['a@3']},
	{name: 'a late update of the earlier process is ignored', steps: [{put: entryOf('a', '2', 5)}, {put: entryOf('a', '1', 4)}], ready: ['a@2']},
	{name: 'a late update of the earlier process is ignored after the later one was removed', steps: [{put: entryOf('a', '2', 5)}, {remove: 'a', revision: 6}, {put: entryOf('a', '1', 4)}], ready: []},
	{name: 'the removal of an instance removes its current process', steps: [{put: entryOf('a', '1', 1)}, {put: entryOf('a', '2', 2)}, {remove: 'a', revision: 3}], ready: []},
	{name: 'a removal older than the new process is ignored', steps: [{put: entryOf('a', '1', 1)}, {put: entryOf('a', '2', 4)}, {remove: 'a', revision: 3}], ready: ['a@2']},
	{name: 'an instance that vanished in an outage returns with a new process', steps: [{put: entryOf('a', '1', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {directory: 'back'}, {put: entryOf('a', '2', 4)}, {wait: 60_000}], ready: ['a@2']},
	{name: 'a list with a new process replaces the earlier one', steps: [{put: entryOf('a', '1', 1)}, {replace: [entryOf('a', '2', 4)], revision: 5}], ready: ['a@2']},
	{name: 'an endpoint whose entry cannot be read accepts no requests', steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {hide: 'a', revision: 3}], ready: ['b']},
	{name: 'an endpoint accepts requests when its entry can be read again', steps: [{put: listed('a', 1)}, {hide: 'a', revision: 3}, {put: listed('a', 4)}], ready: ['a']},
	{name: 'an older entry does not make an unreadable one available', steps: [{put: listed('a', 1)}, {hide: 'a', revision: 3}, {put: listed('a', 2)}], ready: []},
	{name: 'unreadable entries do not count as an outage', steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), ...five.slice(1).map((id, index) => ({hide: id, revision: 10 + index})), {remove: 'a', revision: 20}], ready: []},
	{name: 'an older entry does not restore a leaving endpoint', steps: [{put: listed('a', 2, 'leaving')}, {put: listed('a', 1)}], ready: []},
	{name: 'an entry older than its removal does not restore it', steps: [{put: listed('a', 1)}, {remove: 'a', revision: 5}, {put: listed('a', 4)}], ready: []},
	{name: 'a removal older than the entry is ignored', steps: [{put: listed('a', 4)}, {remove: 'a', revision: 3}], ready: ['a']},
	{name: 'an entry removed while the directory is available is gone at once', steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {remove: 'a', revision: 3}], ready: ['b']},
	{name: 'an entry removed during an outage is kept', steps: [{put: listed('a', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {wait: 60_000}], ready: ['a']},
	{
		name: 'a vanished entry is gone after the grace period that follows an outage',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {wait: 5000}, {directory: 'back'}, {remove: 'a', revision: 3}, {wait: outageGraceMs + 1}],
		ready: [],
	},
	{
		name: 'a vanished entry is kept within the grace period',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {wait: 5000}, {directory: 'back'}, {remove: 'a', revision: 3}, {wait: outageGraceMs - 100}],
		ready: ['a'],
	},
	{
		name: 'an entry that is written again within the grace period stays',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {directory: 'back'}, {remove: 'a', revision: 3}, {wait: 1000}, {put: listed('a', 4)}, {wait: 60_000}],
		ready: ['a'],
	},
	{
		name: 'a leaving endpoint is not kept by an outage',
		steps: [{put: listed('a', 1)}, {put: listed('a', 2, 'leaving')}, {directory: 'lost'}, {remove: 'a', revision: 3}],
		ready: [],
	},
	{
		name: 'the loss of most of a service at once counts as an outage',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), ...five.map((id, index) => ({remove: id, revision: 10 + index}))],
		ready: five,
	},
	{
		// A host would send to an endpoint that left more than the permitted time ago
		name: 'entries lost one after the other are gone after the grace period of each, counted from its removal',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), {remove: 'a', revision: 10}, {wait: outageGraceMs - 100}, {remove: 'b', revision: 11}, {remove: 'c', revision: 12}, {remove: 'd', revision: 13}],
		ready: ['b', 'c', 'd', 'e'],
	},
	{
		name: 'entries lost together are gone after their grace period',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), ...five.map((id, index) => ({remove: id, revision: 10 + index})), {wait: massRemovalGraceMs + 1}],
		ready: [],
	},
	{
		name: 'an entry that was written again before the others were lost is not lost with them',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), {remove: 'a', revision: 10}, {put: listed('a', 11)}, ...five.slice(1).map((id, index) => ({remove: id, revision: 12 + index})), {wait: massRemovalGraceMs + 1}],
		ready: ['a'],
	},
	{
		name: 'the grace period ends at the same time for entries removed late in it',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {directory: 'back'}, {wait: 2000}, {remove: 'a', revision: 3}, {wait: 201}],
		ready: [],
	},
	{
		name: 'the grace period starts at the end of the outage',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {wait: 60_000}, {directory: 'back'}, {wait: outageGraceMs - 100}],
		ready: ['a'],
	},
	{
		name: 'an entry that a list lacks is gone',
		steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {replace: [listed('b', 2)], revision: 5}],
		ready: ['b'],
	},
	{
		name: 'a witnessed list removes an entry during this host\'s outage',
		steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {directory: 'lost'}, {replace: [listed('b', 2)], revision: 5, isWitnessed: true}, {wait: 60_000}],
		ready: ['b'],
	},
	{
		name: 'a witnessed list removes an entry that was kept',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {replace: [], revision: 5, isWitnessed: true}],
		ready: [],
	},
	{
		name: 'a witnessed list removes an entry within the grace period after this host\'s outage',
		steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {directory: 'lost'}, {wait: 8000}, {directory: 'back'}, {replace: [listed('b', 2)], revision: 5, isWitnessed: true}],
		ready: ['b'],
	},
	{
		name: 'an entry that vanished in an outage is gone soon after other hosts took over reading',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {replace: [], revision: 5}, {wait: 3000}, {directory: 'leftToOthers'}, {wait: 250}],
		ready: [],
	},
	{
		name: 'an entry removed after other hosts took over reading is gone at once',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {wait: 3000}, {directory: 'leftToOthers'}, {remove: 'a', revision: 5}],
		ready: [],
	},
	{
		name: 'an entry that the sender keeps is kept for the time left',
		steps: [{put: listed('a', 1)}, {
			replace: [listed('a', 1)], revision: 5, isWitnessed: true, kept: [{id: 'a', leftMs: 1500}],
		}, {wait: 1400}],
		ready: ['a'],
	},
	{
		name: 'an entry that the sender keeps is gone after the time left',
		steps: [{put: listed('a', 1)}, {
			replace: [listed('a', 1)], revision: 5, isWitnessed: true, kept: [{id: 'a', leftMs: 1500}],
		}, {wait: 1501}],
		ready: [],
	},
	{
		name: 'an entry that the sender keeps stays if it is written again',
		steps: [{put: listed('a', 1)}, {
			replace: [listed('a', 1)], revision: 5, isWitnessed: true, kept: [{id: 'a', leftMs: 1500}],
		}, {put: listed('a', 6)}, {wait: 60_000}],
		ready: ['a'],
	},
	{
		name: 'a list that is not witnessed removes no entry during an outage',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {replace: [], revision: 5}],
		ready: ['a'],
	},
	{
		name: 'a lower revision in a later epoch wins',
		steps: [{put: inEpoch(1, listed('a', 50))}, {restored: {epoch: 2, revision: 10}}, {put: inEpoch(2, listed('a', 12, 'leaving'))}],
		ready: [],
	},
	{
		name: 'an update from an earlier epoch is ignored',
		steps: [{put: inEpoch(1, listed('a', 50))}, {restored: {epoch: 2, revision: 10}}, {put: inEpoch(2, listed('a', 12, 'leaving'))}, {put: inEpoch(1, listed('a', 60))}],
		ready: [],
	},
	{
		name: 'a removal or list from an earlier epoch is ignored',
		steps: [{put: inEpoch(2, listed('a', 5))}, {remove: 'a', epoch: 1, revision: 60}, {replace: [], epoch: 1, revision: 70}],
		ready: ['a'],
	},
	{
		name: 'a restored entry does not bring back a leaving endpoint',
		steps: [{put: inEpoch(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 7))], epoch: 2, revision: 10}],
		ready: [],
	},
	{
		name: 'a restored entry does not bring back a removed endpoint',
		steps: [{put: inEpoch(1, listed('a', 50))}, {remove: 'a', epoch: 1, revision: 51}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 7))], epoch: 2, revision: 10}],
		ready: [],
	},
	{
		name: 'a restored entry does not replace a process by an earlier one',
		steps: [{put: inEpoch(1, entryOf('a', '1', 7))}, {put: inEpoch(1, entryOf('a', '2', 50))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, entryOf('a', '1', 7))], epoch: 2, revision: 10}],
		ready: ['a@2'],
	},
	{
		name: 'a process whose instance has a stale restored entry is gone after the grace period',
		steps: [{put: inEpoch(1, entryOf('a', '1', 7))}, {put: inEpoch(1, entryOf('a', '2', 50))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, entryOf('a', '1', 7))], epoch: 2, revision: 10}, {wait: outageGraceMs + 1}],
		ready: [],
	},
	{
		name: 'an entry written after the restore counts',
		steps: [{put: inEpoch(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 7))], epoch: 2, revision: 10}, {put: inEpoch(2, listed('a', 11))}],
		ready: ['a'],
	},
	{
		name: 'a restored entry counts when the departure has expired',
		steps: [{put: inEpoch(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 7))], epoch: 2, revision: 10}, {wait: overrideMs + 1}],
		ready: ['a'],
	},
	{
		name: 'an entry above the revision of the departure counts, though written before this host saw the new epoch',
		steps: [{put: inEpoch(1, listed('a', 3))}, {remove: 'a', epoch: 1, revision: 8}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 9))], epoch: 2, revision: 10}],
		ready: ['a'],
	},
	{
		name: 'a second restore extends the departure',
		steps: [{put: inEpoch(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 7))], epoch: 2, revision: 10}, {wait: overrideMs - 1}, {restored: {epoch: 3, revision: 9}}, {replace: [inEpoch(3, listed('a', 7))], epoch: 3, revision: 9}, {wait: 1000}],
		ready: [],
	},
	{
		name: 'a departure received from another host overrides an entry',
		steps: [{put: inEpoch(2, listed('a', 7))}, {put: inEpoch(2, listed('b', 8))}, {
			departures: [{
				id: 'a', epoch: 2, revision: 10, leftMs: 5000,
			}],
		}],
		ready: ['b'],
	},
	{
		name: 'a departure received before the list overrides an entry',
		steps: [{
			departures: [{
				id: 'a', epoch: 2, revision: 10, leftMs: 5000,
			}],
		}, {put: inEpoch(2, listed('a', 7))}, {put: inEpoch(2, listed('b', 8))}],
		ready: ['b'],
	},
	{
		name: 'of two departures in one epoch the one with the lower position counts',
		steps: [{put: inEpoch(2, listed('a', 9))}, {
			departures: [{
				id: 'a', epoch: 2, revision: 10, leftMs: 5000,
			}],
		}, {
			departures: [{
				id: 'a', epoch: 2, revision: 8, leftMs: 5000,
			}],
		}],
		ready: ['a'],
	},
	{
		name: 'an entry that the restored directory lacks is kept for the grace period',
		steps: [{put: inEpoch(1, listed('a', 50))}, {put: inEpoch(1, listed('b', 5))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('b', 5))], epoch: 2, revision: 10}, {wait: outageGraceMs - 100}],
		ready: ['a', 'b'],
	},
	{
		name: 'an entry that the restored directory lacks is gone after the grace period',
		steps: [{put: inEpoch(1, listed('a', 50))}, {put: inEpoch(1, listed('b', 5))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('b', 5))], epoch: 2, revision: 10}, {wait: outageGraceMs + 1}],
		ready: ['b'],
	},
	{
		name: 'an endpoint that came back before the restore has no departure',
		steps: [{put: inEpoch(1, listed('a', 3))}, {remove: 'a', epoch: 1, revision: 4}, {put: inEpoch(1, listed('a', 5))}, {restored: {epoch: 2, revision: 10}}, {replace: [inEpoch(2, listed('a', 5))], epoch: 2, revision: 10}],
		ready: ['a'],
	},
	{
		name: 'a list that is older than an entry does not remove it',
		steps: [{put: listed('a', 8)}, {replace: [], revision: 5}],
		ready: ['a'],
	},
];

function replay(steps: readonly Step[]): EndpointBook {
	const book = new EndpointBook();
	let now = 0;
	for (const step of steps) {
		if ('put' in step) {
			book.put(step.put, now);
		} else if ('hide' in step) {
			book.markUnreadable(step.hide, {epoch: step.epoch, revision: step.revision}, now);
		} else if ('remove' in step) {
			book.remove(step.remove, {epoch: step.epoch, revision: step.revision}, now);
		} else if ('replace' in step) {
			book.replace({
				...step, position: {epoch: step.epoch, revision: step.revision}, listed: step.replace, ids: new Set(step.replace.map(each => each.endpoint.id)),
			}, now);
		} else if ('restored' in step) {
			book.directoryRestored(step.restored, now);
		} else if ('departures' in step) {
			book.mergeDepartures(step.departures, now);
		} else if ('wait' in step) {
			now += step.wait;
			book.sweep(now);
		} else if (step.directory === 'lost') {
			book.directoryLost();
		} else if (step.directory === 'leftToOthers') {
			book.directoryDelegated(now);
		} else {
			book.directoryBack(now);
		}
	}

	return book;
}

describe('endpoint book', () => {
	for (const {name, steps, ready} of cases) {
		it(name, () => {
			expect(replay(steps).listReady('model').map(({id}) => id).toSorted()).toEqual([...ready].toSorted());
		});
	}

	it('lists kept entries with the time left', () => {
		const book = replay([{put: listed('a', 1)}, {put: listed('b', 2)}, {directory: 'lost'}, {directory: 'back'}, {remove: 'a', revision: 5}]);
		expect(book.listKept(700)).toEqual([{id: 'a', leftMs: outageGraceMs - 700}]);
	});

	it('a change of stage is distinguished from other changes', () => {
		const book = replay([{put: listed('a', 1, 'ready', 'prefill')}]);
		expect(book.put(listed('a', 2, 'ready', 'decode'), 0).map(({change}) => change)).toEqual(['restaged']);
	});
});
