/** A configuration whose workspaces could not be given shares, or that no other one could replace, must not come into force, and its fault must name the field. */
import {describe, it} from 'node:test';
import {type Routing} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {findRoutingFaults} from './routing-faults.js';

type Case = {
	readonly name: string;
	readonly weight: number | undefined;
	readonly faults: readonly string[];
};

const cases: readonly Case[] = [
	{name: 'no weight', weight: undefined, faults: []},
	{name: 'a fraction', weight: 0.5, faults: []},
	{name: 'a weight of 0', weight: 0, faults: ['workspace guides: its weight is 0, not a positive number']},
	{name: 'a negative weight', weight: -2, faults: ['workspace guides: its weight is -2, not a positive number']},
	{name: 'a weight that is no number', weight: Number.NaN, faults: ['workspace guides: its weight is NaN, not a positive number']},
	{name: 'an infinite weight', weight: Number.POSITIVE_INFINITY, faults: ['workspace guides: its weight is Infinity, not a positive number']},
];

function makeRouting(weight: number | undefined, version = 1): Routing {
	return {
		version,
		routes: [],
		services: [],
		callerLimits: {
			headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
		},
		workspaces: [{
			name: 'guides', keyDigests: [], priority: 0, ...(weight === undefined ? {} : {weight}),
		}],
	};
}

describe('faults of workspaces', () => {
	for (const {name, weight, faults} of cases) {
		it(name, () => {
			expect(findRoutingFaults(makeRouting(weight))).toEqual([...faults]);
		});
	}
});

const versionCases = [
	{version: 1, isUsable: true},
	{version: 2 ** 52, isUsable: true},
	{version: Number.MAX_SAFE_INTEGER - (2 ** 32), isUsable: true},
	{version: Number.MAX_SAFE_INTEGER - 1000, isUsable: false},
	{version: Number.MAX_SAFE_INTEGER, isUsable: false},
] as const;

describe('faults of versions', () => {
	for (const {version, isUsable} of versionCases) {
		it(`${version}: ${isUsable ? 'used' : 'no later one could follow'}`, () => {
			expect(findRoutingFaults(makeRouting(undefined, version)).length).toEqual(isUsable ? 0 : 1);
		});
	}
});
