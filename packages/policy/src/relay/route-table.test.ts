/** Catalogue: which route a request takes. */
import {describe, it} from 'node:test';
import {type Route, type Routing} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {seedRandom} from '../utils/random.js';
import {RouteTable} from './route-table.js';

function makeRoute(name: string, authority: string, pathPrefix: string, shares: Route['shares'] = [{service: 'model', weight: 1}]): Route {
	return {
		name, authority, pathPrefix, kind: 'once', isResumable: false, maxAttempts: 1, timeoutMs: 1000, targetMs: 100, priority: 0, shares,
	};
}

const routing: Routing = {
	version: 3,
	routes: [
		makeRoute('short', 'a.example', '/x/'),
		makeRoute('long', 'a.example', '/x/y/'),
		makeRoute('other', 'b.example', '/x/'),
		makeRoute('split', 'b.example', '/split/', [{service: 'model', weight: 90}, {service: 'plain', weight: 10}]),
	],
	services: [{name: 'model', maxConnections: 10}, {name: 'plain', maxConnections: 10}],
	callerLimits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
};

type Case = {
	readonly name: string;
	readonly authority: string;
	readonly target: string;
	readonly route: string | undefined;
};

const cases: readonly Case[] = [
	{
		name: 'the prefix that begins the path', authority: 'a.example', target: '/x/1', route: 'short',
	},
	{
		name: 'the longest of two', authority: 'a.example', target: '/x/y/1', route: 'long',
	},
	{
		name: 'the authority decides first', authority: 'b.example', target: '/x/y/1', route: 'other',
	},
	{
		name: 'port and case of the authority do not count', authority: 'A.Example:8080', target: '/x/1', route: 'short',
	},
	{
		name: 'a query is no part of the path', authority: 'a.example', target: '/x?/x/y/', route: undefined,
	},
	{
		name: 'an unknown path has none', authority: 'a.example', target: '/z/', route: undefined,
	},
	{
		name: 'an unknown authority has none', authority: 'c.example', target: '/x/', route: undefined,
	},
];

describe('route table', () => {
	const table = new RouteTable(routing);
	for (const {name, authority, target, route} of cases) {
		it(name, () => {
			expect(table.match(authority, target)?.name).toEqual(route);
		});
	}

	it('services are drawn by weight', () => {
		const random = seedRandom(1);
		const split = table.match('b.example', '/split/1');
		let plain = 0;
		for (let draw = 0; draw < 1000; draw += 1) {
			plain += Number(split !== undefined && table.draw(split, random)?.name === 'plain');
		}

		expect(plain > 60 && plain < 140).toEqual(true);
	});
});
