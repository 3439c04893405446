/** What follows from the directory's history: endpoints that have left, and those that changed their version. */
import {describe, it} from 'node:test';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {readPast} from './past-endpoints.js';

function makeEntry(id: string, softwareVersion?: string, state: Endpoint['state'] = 'ready'): Endpoint {
	return {
		id, service: 'model', address: `${id}:1`, hall: 'a', state, slots: 1, ...(softwareVersion === undefined ? {} : {softwareVersion}),
	};
}

type Case = {
	readonly name: string;
	readonly entries: readonly Endpoint[];
	readonly listed: readonly Endpoint[];
	readonly departed: readonly Endpoint[];
	readonly changed: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'no history', entries: [], listed: [makeEntry('a', 'v1')], departed: [], changed: [],
	},
	{
		name: 'listed all the time', entries: [makeEntry('a', 'v1'), makeEntry('a', 'v1', 'leaving')], listed: [makeEntry('a', 'v1')], departed: [], changed: [],
	},
	{
		name: 'left', entries: [makeEntry('a', 'v1'), makeEntry('a', 'v1', 'leaving'), makeEntry('b', 'v2')], listed: [makeEntry('b', 'v2')], departed: [makeEntry('a', 'v1', 'leaving')], changed: [],
	},
	{
		name: 'came back with another version', entries: [makeEntry('a', 'v1')], listed: [makeEntry('a', 'v2')], departed: [], changed: ['a'],
	},
	{
		name: 'changed its version and back', entries: [makeEntry('a', 'v1'), makeEntry('a', 'v2'), makeEntry('a', 'v1')], listed: [makeEntry('a', 'v1')], departed: [], changed: ['a'],
	},
	{
		name: 'stated a version later', entries: [makeEntry('a')], listed: [makeEntry('a', 'v1')], departed: [], changed: ['a'],
	},
	{
		name: 'changed its version and left', entries: [makeEntry('a', 'v1'), makeEntry('a', 'v2')], listed: [], departed: [makeEntry('a', 'v2')], changed: ['a'],
	},
];

describe('endpoints of the past', () => {
	for (const {name, entries, listed, departed, changed} of cases) {
		it(name, () => {
			const past = readPast(entries, listed);
			expect(past.departed).toEqual(departed);
			expect([...past.changed]).toEqual([...changed]);
		});
	}
});
