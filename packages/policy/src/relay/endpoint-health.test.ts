/** Catalogue: which endpoints are set aside, for how long, and how they come back. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {EndpointHealth, type Outcome} from './endpoint-health.js';

type Case = {
	readonly name: string;
	readonly outcomes: readonly Outcome[];
	readonly isUsable: boolean;
};

const good: Outcome[] = Array.from({length: 10}, () => 'good');

const cases: readonly Case[] = [
	{name: 'one broken answer is not enough', outcomes: ['broken'], isUsable: true},
	{name: 'two are', outcomes: ['broken', 'broken'], isUsable: false},
	{name: 'one silence is', outcomes: ['silent'], isUsable: false},
	{name: 'two among many good ones are not', outcomes: [...good, 'broken', 'broken'], isUsable: true},
	{name: 'an error now and then is the request\'s own', outcomes: [...good, 'error', ...good, 'error'], isUsable: true},
	{name: 'errors in half of all answers are not', outcomes: ['good', 'error', 'good', 'error', 'error', 'good', 'error', 'error'], isUsable: false},
	{name: 'a full endpoint is not a failing one', outcomes: ['refused', 'refused', 'refused', 'refused', 'good'], isUsable: true},
	{name: 'an overdue answer or two may be the requests\' own', outcomes: ['good', 'good', 'overdue', 'overdue', 'overdue'], isUsable: true},
	{name: 'many overdue ones are not', outcomes: ['good', 'overdue', 'overdue', 'overdue', 'overdue', 'overdue'], isUsable: false},
	{name: 'a request that fails at each of its tries says little', outcomes: ['good', 'good', 'good', 'error', 'error', 'error'], isUsable: true},
	{name: 'an answer that nobody waits for says nothing', outcomes: ['cancelled', 'cancelled', 'cancelled'], isUsable: true},
];

function play(outcomes: readonly Outcome[]): EndpointHealth {
	const health = new EndpointHealth();
	for (const outcome of outcomes) {
		health.begin('a');
		health.end('a', outcome, 0);
	}

	return health;
}

describe('endpoint health', () => {
	for (const {name, outcomes, isUsable} of cases) {
		it(name, () => {
			expect(play(outcomes).isUsable('a', 1)).toEqual(isUsable);
		});
	}

	it('after a pause one request at a time goes there until one is good', () => {
		const health = play(['broken', 'broken']);
		expect(health.isUsable('a', 1600)).toEqual(true);
		health.begin('a');
		expect(health.isUsable('a', 1600)).toEqual(false);
		health.end('a', 'good', 1700);
		health.begin('a');
		expect(health.isUsable('a', 1700)).toEqual(true);
	});

	it('a failure on trial doubles the pause', () => {
		const health = play(['broken', 'broken']);
		health.begin('a');
		expect(health.end('a', 'broken', 1600)?.leftMs).toEqual(3000);
	});

	it('a peer\'s pause is taken over once', () => {
		const health = new EndpointHealth();
		expect(health.hear({endpoint: 'a', leftMs: 3000}, 0)).toEqual(true);
		expect(health.hear({endpoint: 'a', leftMs: 2900}, 100)).toEqual(false);
		expect(health.isUsable('a', 100)).toEqual(false);
		expect(health.isUsable('a', 3001)).toEqual(true);
	});
});
