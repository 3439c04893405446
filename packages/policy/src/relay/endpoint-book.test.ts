/** Catalogue: what is believed of endpoints while the directory tells, is away, or tells old news. */
import {describe, it} from 'node:test';
import {type Position} from '@gatehead/schema/position';
import {type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {contradictionMs, type Departure} from './departures.js';
import {EndpointBook, returnGraceMs} from './endpoint-book.js';
import {type KeptEntry} from './endpoint-change.js';
import {massGraceMs} from './joint-loss.js';

function listed(id: string, revision: number, state: Endpoint['state'] = 'ready', stage?: Endpoint['stage']): ListedEndpoint {
	return {
		revision, endpoint: {
			id, service: 'model', address: '10.0.0.1:80', hall: 'a', state, stage, slots: 4,
		},
	};
}

/** One of the starts that share a name. */
function started(instance: string, start: string, revision: number): ListedEndpoint {
	const {endpoint} = listed(`${instance}@${start}`, revision);
	return {revision, endpoint: {...endpoint, instance}};
}

/** An entry of one of the directory's histories. */
function within(epoch: number, entry: ListedEndpoint): ListedEndpoint {
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
	/** Endpoints that take work at the end. */
	readonly ready: readonly string[];
};

const five = ['a', 'b', 'c', 'd', 'e'];

const cases: readonly Case[] = [
	{name: 'a listed endpoint takes work', steps: [{put: listed('a', 1)}], ready: ['a']},
	{name: 'a leaving one does not', steps: [{put: listed('a', 1)}, {put: listed('a', 2, 'leaving')}], ready: []},
	{name: 'another start under one name takes the place of the earlier', steps: [{put: started('a', '1', 1)}, {put: started('a', '2', 2)}], ready: ['a@2']},
	{name: 'the start that was written later counts, whatever its clock said', steps: [{put: started('a', '9', 1)}, {put: started('a', '3', 2)}], ready: ['a@3']},
	{name: 'late news of the earlier start changes nothing', steps: [{put: started('a', '2', 5)}, {put: started('a', '1', 4)}], ready: ['a@2']},
	{name: 'nor where the later one has gone meanwhile', steps: [{put: started('a', '2', 5)}, {remove: 'a', revision: 6}, {put: started('a', '1', 4)}], ready: []},
	{name: 'the end of a name ends the start that it has', steps: [{put: started('a', '1', 1)}, {put: started('a', '2', 2)}, {remove: 'a', revision: 3}], ready: []},
	{name: 'an end older than the next start is passed over', steps: [{put: started('a', '1', 1)}, {put: started('a', '2', 4)}, {remove: 'a', revision: 3}], ready: ['a@2']},
	{name: 'a start that vanished with the directory and is another when it is back', steps: [{put: started('a', '1', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {directory: 'back'}, {put: started('a', '2', 4)}, {wait: 60_000}], ready: ['a@2']},
	{name: 'a list with the next start', steps: [{put: started('a', '1', 1)}, {replace: [started('a', '2', 4)], revision: 5}], ready: ['a@2']},
	{name: 'an entry that cannot be read takes no work', steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {hide: 'a', revision: 3}], ready: ['b']},
	{name: 'until it can be read again', steps: [{put: listed('a', 1)}, {hide: 'a', revision: 3}, {put: listed('a', 4)}], ready: ['a']},
	{name: 'an old entry does not show it again', steps: [{put: listed('a', 1)}, {hide: 'a', revision: 3}, {put: listed('a', 2)}], ready: []},
	{name: 'entries that cannot be read are no outage', steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), ...five.slice(1).map((id, index) => ({hide: id, revision: 10 + index})), {remove: 'a', revision: 20}], ready: []},
	{name: 'an older entry does not bring it back', steps: [{put: listed('a', 2, 'leaving')}, {put: listed('a', 1)}], ready: []},
	{name: 'an entry older than its end does not bring it back', steps: [{put: listed('a', 1)}, {remove: 'a', revision: 5}, {put: listed('a', 4)}], ready: []},
	{name: 'an end older than the entry is passed over', steps: [{put: listed('a', 4)}, {remove: 'a', revision: 3}], ready: ['a']},
	{name: 'an entry that goes while the directory answers is gone at once', steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {remove: 'a', revision: 3}], ready: ['b']},
	{name: 'an entry that goes while the directory is away is kept', steps: [{put: listed('a', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {wait: 60_000}], ready: ['a']},
	{
		name: 'it is gone when the grace after the return is over',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {wait: 5000}, {directory: 'back'}, {remove: 'a', revision: 3}, {wait: returnGraceMs + 1}],
		ready: [],
	},
	{
		name: 'it is kept within the grace',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {wait: 5000}, {directory: 'back'}, {remove: 'a', revision: 3}, {wait: returnGraceMs - 100}],
		ready: ['a'],
	},
	{
		name: 'an entry that is written again within the grace stays',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {directory: 'back'}, {remove: 'a', revision: 3}, {wait: 1000}, {put: listed('a', 4)}, {wait: 60_000}],
		ready: ['a'],
	},
	{
		name: 'a leaving endpoint is not kept by an outage',
		steps: [{put: listed('a', 1)}, {put: listed('a', 2, 'leaving')}, {directory: 'lost'}, {remove: 'a', revision: 3}],
		ready: [],
	},
	{
		name: 'when most of a service vanishes at once an outage is supposed',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), ...five.map((id, index) => ({remove: id, revision: 10 + index}))],
		ready: five,
	},
	{
		name: 'and what stays away is gone before the bound on leaving endpoints is',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), ...five.map((id, index) => ({remove: id, revision: 10 + index})), {wait: massGraceMs + 1}],
		ready: [],
	},
	{
		name: 'and one that was written again before the others went is not taken for lost with them',
		steps: [...five.map((id, index) => ({put: listed(id, index + 1)})), {remove: 'a', revision: 10}, {put: listed('a', 11)}, ...five.slice(1).map((id, index) => ({remove: id, revision: 12 + index})), {wait: massGraceMs + 1}],
		ready: ['a'],
	},
	{
		name: 'the grace after a return ends for late departures too',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {directory: 'back'}, {wait: 2000}, {remove: 'a', revision: 3}, {wait: 201}],
		ready: [],
	},
	{
		name: 'a return that comes late begins the grace anew',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {wait: 60_000}, {directory: 'back'}, {wait: returnGraceMs - 100}],
		ready: ['a'],
	},
	{
		name: 'a list lacks what has gone',
		steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {replace: [listed('b', 2)], revision: 5}],
		ready: ['b'],
	},
	{
		name: 'what a host that reads the directory calls gone is gone, also where the directory turns this one away',
		steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {directory: 'lost'}, {replace: [listed('b', 2)], revision: 5, isWitnessed: true}, {wait: 60_000}],
		ready: ['b'],
	},
	{
		name: 'also when it was kept until then',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {remove: 'a', revision: 3}, {replace: [], revision: 5, isWitnessed: true}],
		ready: [],
	},
	{
		name: 'also where this host has just come back from a cut, and would give the entry its grace',
		steps: [{put: listed('a', 1)}, {put: listed('b', 2)}, {directory: 'lost'}, {wait: 8000}, {directory: 'back'}, {replace: [listed('b', 2)], revision: 5, isWitnessed: true}],
		ready: ['b'],
	},
	{
		name: 'what vanished while this host could not read is gone soon after it has left that to others',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {replace: [], revision: 5}, {wait: 3000}, {directory: 'leftToOthers'}, {wait: 250}],
		ready: [],
	},
	{
		name: 'and what goes from then on is gone at once',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {wait: 3000}, {directory: 'leftToOthers'}, {remove: 'a', revision: 5}],
		ready: [],
	},
	{
		name: 'an entry that its teller keeps for a grace is kept as long here',
		steps: [{put: listed('a', 1)}, {
			replace: [listed('a', 1)], revision: 5, isWitnessed: true, kept: [{id: 'a', leftMs: 1500}],
		}, {wait: 1400}],
		ready: ['a'],
	},
	{
		name: 'and no longer, though its end is not told again',
		steps: [{put: listed('a', 1)}, {
			replace: [listed('a', 1)], revision: 5, isWitnessed: true, kept: [{id: 'a', leftMs: 1500}],
		}, {wait: 1501}],
		ready: [],
	},
	{
		name: 'unless it is written again meanwhile',
		steps: [{put: listed('a', 1)}, {
			replace: [listed('a', 1)], revision: 5, isWitnessed: true, kept: [{id: 'a', leftMs: 1500}],
		}, {put: listed('a', 6)}, {wait: 60_000}],
		ready: ['a'],
	},
	{
		name: 'a host that cannot read it either is not believed',
		steps: [{put: listed('a', 1)}, {directory: 'lost'}, {replace: [], revision: 5}],
		ready: ['a'],
	},
	{
		name: 'in a later history a lower revision counts',
		steps: [{put: within(1, listed('a', 50))}, {restored: {epoch: 2, revision: 10}}, {put: within(2, listed('a', 12, 'leaving'))}],
		ready: [],
	},
	{
		name: 'news of the earlier history changes nothing there',
		steps: [{put: within(1, listed('a', 50))}, {restored: {epoch: 2, revision: 10}}, {put: within(2, listed('a', 12, 'leaving'))}, {put: within(1, listed('a', 60))}],
		ready: [],
	},
	{
		name: 'nor do they take away what it has',
		steps: [{put: within(2, listed('a', 5))}, {remove: 'a', epoch: 1, revision: 60}, {replace: [], epoch: 1, revision: 70}],
		ready: ['a'],
	},
	{
		name: 'a copy that lists what was leaving does not bring it back',
		steps: [{put: within(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 7))], epoch: 2, revision: 10}],
		ready: [],
	},
	{
		name: 'nor what had gone',
		steps: [{put: within(1, listed('a', 50))}, {remove: 'a', epoch: 1, revision: 51}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 7))], epoch: 2, revision: 10}],
		ready: [],
	},
	{
		name: 'nor an earlier start, where a later one was known',
		steps: [{put: within(1, started('a', '1', 7))}, {put: within(1, started('a', '2', 50))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, started('a', '1', 7))], epoch: 2, revision: 10}],
		ready: ['a@2'],
	},
	{
		name: 'which is gone when its grace is over and it has not written again',
		steps: [{put: within(1, started('a', '1', 7))}, {put: within(1, started('a', '2', 50))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, started('a', '1', 7))], epoch: 2, revision: 10}, {wait: returnGraceMs + 1}],
		ready: [],
	},
	{
		name: 'what writes its entry anew is believed',
		steps: [{put: within(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 7))], epoch: 2, revision: 10}, {put: within(2, listed('a', 11))}],
		ready: ['a'],
	},
	{
		name: 'what nobody has contradicted for long enough, too',
		steps: [{put: within(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 7))], epoch: 2, revision: 10}, {wait: contradictionMs + 1}],
		ready: ['a'],
	},
	{
		name: 'also where it was written before this host first saw the new history, above the revision of its leaving',
		steps: [{put: within(1, listed('a', 3))}, {remove: 'a', epoch: 1, revision: 8}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 9))], epoch: 2, revision: 10}],
		ready: ['a'],
	},
	{
		name: 'a second return begins that time anew',
		steps: [{put: within(1, listed('a', 50, 'leaving'))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 7))], epoch: 2, revision: 10}, {wait: contradictionMs - 1}, {restored: {epoch: 3, revision: 9}}, {replace: [within(3, listed('a', 7))], epoch: 3, revision: 9}, {wait: 1000}],
		ready: [],
	},
	{
		name: 'what one host knows to have left counts at a host that has just started',
		steps: [{put: within(2, listed('a', 7))}, {put: within(2, listed('b', 8))}, {
			departures: [{
				id: 'a', epoch: 2, revision: 10, leftMs: 5000,
			}],
		}],
		ready: ['b'],
	},
	{
		name: 'also where it is told before the list',
		steps: [{
			departures: [{
				id: 'a', epoch: 2, revision: 10, leftMs: 5000,
			}],
		}, {put: within(2, listed('a', 7))}, {put: within(2, listed('b', 8))}],
		ready: ['b'],
	},
	{
		name: 'who saw less of the history knows better what was written anew',
		steps: [{put: within(2, listed('a', 9))}, {
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
		name: 'an entry that the copy lacks is kept for a grace, since it is written again',
		steps: [{put: within(1, listed('a', 50))}, {put: within(1, listed('b', 5))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('b', 5))], epoch: 2, revision: 10}, {wait: returnGraceMs - 100}],
		ready: ['a', 'b'],
	},
	{
		name: 'and no longer',
		steps: [{put: within(1, listed('a', 50))}, {put: within(1, listed('b', 5))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('b', 5))], epoch: 2, revision: 10}, {wait: returnGraceMs + 1}],
		ready: ['b'],
	},
	{
		name: 'an endpoint that came back before the return is not contradicted',
		steps: [{put: within(1, listed('a', 3))}, {remove: 'a', epoch: 1, revision: 4}, {put: within(1, listed('a', 5))}, {restored: {epoch: 2, revision: 10}}, {replace: [within(2, listed('a', 5))], epoch: 2, revision: 10}],
		ready: ['a'],
	},
	{
		name: 'a list that is older than an entry does not remove it',
		steps: [{put: listed('a', 8)}, {replace: [], revision: 5}],
		ready: ['a'],
	},
];

function play(steps: readonly Step[]): EndpointBook {
	const book = new EndpointBook();
	let now = 0;
	for (const step of steps) {
		if ('put' in step) {
			book.put(step.put, now);
		} else if ('hide' in step) {
			book.hide(step.hide, {epoch: step.epoch, revision: step.revision}, now);
		} else if ('remove' in step) {
			book.remove(step.remove, {epoch: step.epoch, revision: step.revision}, now);
		} else if ('replace' in step) {
			book.replace({
				...step, position: {epoch: step.epoch, revision: step.revision}, listed: step.replace, ids: new Set(step.replace.map(each => each.endpoint.id)),
			}, now);
		} else if ('restored' in step) {
			book.directoryRestored(step.restored, now);
		} else if ('departures' in step) {
			book.hearDepartures(step.departures, now);
		} else if ('wait' in step) {
			now += step.wait;
			book.sweep(now);
		} else if (step.directory === 'lost') {
			book.directoryLost();
		} else if (step.directory === 'leftToOthers') {
			book.directoryLeftToOthers(now);
		} else {
			book.directoryBack(now);
		}
	}

	return book;
}

describe('endpoint book', () => {
	for (const {name, steps, ready} of cases) {
		it(name, () => {
			expect(play(steps).listReady('model').map(({id}) => id).toSorted()).toEqual([...ready].toSorted());
		});
	}

	it('what is kept is told with the rest of its grace', () => {
		const book = play([{put: listed('a', 1)}, {put: listed('b', 2)}, {directory: 'lost'}, {directory: 'back'}, {remove: 'a', revision: 5}]);
		expect(book.listKept(700)).toEqual([{id: 'a', leftMs: returnGraceMs - 700}]);
	});

	it('a change of part is told apart from other changes', () => {
		const book = play([{put: listed('a', 1, 'ready', 'prefill')}]);
		expect(book.put(listed('a', 2, 'ready', 'decode'), 0).map(({change}) => change)).toEqual(['restaged']);
	});
});
