/** A request must reach the route of its authority with the longest matching prefix, or none. */
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
		name: 'matches a path prefix', authority: 'a.example', target: '/x/1', route: 'short',
	},
	{
		name: 'prefers the longest prefix', authority: 'a.example', target: '/x/y/1', route: 'long',
	},
	{
		name: 'matches the authority before the path', authority: 'b.example', target: '/x/y/1', route: 'other',
	},
	{
		name: 'ignores the port and case of the authority', authority: 'A.Example:8080', target: '/x/1', route: 'short',
	},
	{
		name: 'ignores the query', authority: 'a.example', target: '/x?/x/y/', route: undefined,
	},
	{
		name: 'does not match an unknown path', authority: 'a.example', target: '/z/', route: undefined,
	},
	{
		name: 'does not match an unknown authority', authority: 'c.example', target: '/x/', route: undefined,
	},
];

describe('route table', () => {
	const table = new RouteTable(routing);
	for (const {name, authority, target, route} of cases) {
		it(name, () => {
			expect(table.match(authority, target)?.name).toEqual(route);
		});
	}

	// Guards against a sum of weights beyond the range of numbers, with which the first service got all requests
	for (const weight of [1, 1e-300, Number.MAX_VALUE]) {
		it(`chooses services by weights of ${weight}`, () => {
			const random = seedRandom(1);
			const route = makeRoute('even', 'a.example', '/', [{service: 'model', weight}, {service: 'plain', weight}, {service: 'none', weight: 0}]);
			const chosen = Array.from({length: 1000}, () => new RouteTable(routing).chooseService(route, random)?.name);
			expect(chosen.filter(name => name === 'model').length).toBeGreaterThan(400);
			expect(chosen.filter(name => name === 'plain').length).toBeGreaterThan(400);
		});
	}

	it('chooses services by weight', () => {
		const random = seedRandom(1);
		const split = table.match('b.example', '/split/1');
		let plain = 0;
		for (let draw = 0; draw < 1000; draw += 1) {
			plain += Number(split !== undefined && table.chooseService(split, random)?.name === 'plain');
		}

		expect(plain > 60 && plain < 140).toEqual(true);
	});
});
