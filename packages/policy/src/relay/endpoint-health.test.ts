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
	{name: 'one broken response does not pause', outcomes: ['broken'], isUsable: true},
	{name: 'two broken responses pause', outcomes: ['broken', 'broken'], isUsable: false},
	{name: 'one silent response pauses', outcomes: ['silent'], isUsable: false},
	{name: 'two broken responses among many good ones do not pause', outcomes: [...good, 'broken', 'broken'], isUsable: true},
	{name: 'occasional errors do not pause', outcomes: [...good, 'error', ...good, 'error'], isUsable: true},
	{name: 'errors in half of the responses pause', outcomes: ['good', 'error', 'good', 'error', 'error', 'good', 'error', 'error'], isUsable: false},
	{name: 'refusals do not pause', outcomes: ['refused', 'refused', 'refused', 'refused', 'good'], isUsable: true},
	{name: 'three overdue responses do not pause', outcomes: ['good', 'good', 'overdue', 'overdue', 'overdue'], isUsable: true},
	{name: 'many overdue responses pause', outcomes: ['good', 'overdue', 'overdue', 'overdue', 'overdue', 'overdue'], isUsable: false},
	{name: 'three errors after as many good responses do not pause', outcomes: ['good', 'good', 'good', 'error', 'error', 'error'], isUsable: true},
	{name: 'cancelled requests do not pause', outcomes: ['cancelled', 'cancelled', 'cancelled'], isUsable: true},
];

function replay(outcomes: readonly Outcome[]): EndpointHealth {
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
			expect(replay(outcomes).isUsable('a', 1)).toEqual(isUsable);
		});
	}

	it('after a pause an endpoint gets one request at a time until one succeeds', () => {
		const health = replay(['broken', 'broken']);
		expect(health.isUsable('a', 1600)).toEqual(true);
		health.begin('a');
		expect(health.isUsable('a', 1600)).toEqual(false);
		health.end('a', 'good', 1700);
		health.begin('a');
		expect(health.isUsable('a', 1700)).toEqual(true);
	});

	it('a failure after a pause doubles the next one', () => {
		const health = replay(['broken', 'broken']);
		health.begin('a');
		expect(health.end('a', 'broken', 1600)?.leftMs).toEqual(3000);
	});

	it('a peer\'s pause is adopted once', () => {
		const health = new EndpointHealth();
		expect(health.mergePause({endpoint: 'a', leftMs: 3000}, 0)).toEqual(true);
		expect(health.mergePause({endpoint: 'a', leftMs: 2900}, 100)).toEqual(false);
		expect(health.isUsable('a', 100)).toEqual(false);
		expect(health.isUsable('a', 3001)).toEqual(true);
	});
});
