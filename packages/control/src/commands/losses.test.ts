/** Catalogue: what each way of not being served in time is called. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type LogLine} from '../utils/log-lines.js';
import {countLosses, findLoss, type Loss} from './losses.js';

function line(name: string, facts: Readonly<Record<string, string | number | boolean>> = {}): LogLine {
	return {
		name, code: 1, host: 'a', request: 'r', time: '2026-01-01T00:00:05.000Z', ...facts,
	};
}

function end(name: string, facts: Readonly<Record<string, string | number | boolean>>): LogLine {
	return line(name, {
		route: 'route', service: 'model', tookMs: 3000, targetMs: 900, gapTargetMs: 300, ...facts,
	});
}

function answered(facts: Readonly<Record<string, string | number | boolean>>): LogLine {
	return end('requestEnded', {
		outcome: 'answered', status: 200, firstByteMs: 400, ...facts,
	});
}

type Case = {
	readonly name: string;
	readonly steps: readonly LogLine[];
	readonly loss: Loss | undefined;
};

const cases: readonly Case[] = [
	{name: 'in time', steps: [answered({})], loss: undefined},
	{name: 'refused at once', steps: [end('overloaded', {outcome: 'refused', tookMs: 60})], loss: 'refused'},
	{name: 'refused after a wait', steps: [end('overloaded', {outcome: 'refused', tookMs: 500})], loss: 'refusedAfterWait'},
	{name: 'memory came late', steps: [line('reserved', {waitedMs: 500}), answered({firstByteMs: 950})], loss: 'waitedForMemory'},
	{name: 'the prompt was read late', steps: [line('reserved', {waitedMs: 0}), line('prefilled', {tookMs: 800}), answered({firstByteMs: 950})], loss: 'promptReadLate'},
	{name: 'a second send was needed', steps: [line('sentAgain'), answered({firstByteMs: 950})], loss: 'sentAgain'},
	{name: 'the endpoint took long', steps: [answered({firstByteMs: 950})], loss: 'slowEndpoint'},
	{name: 'a pause between events', steps: [answered({longestGapMs: 700})], loss: 'pause'},
	{name: 'the stream went on elsewhere', steps: [line('continued'), answered({longestGapMs: 700})], loss: 'endpointLost'},
	{name: 'the stream broke off', steps: [end('streamBroken', {outcome: 'brokenOff'})], loss: 'endpointLost'},
	{name: 'an endpoint\'s own failure', steps: [answered({status: 500})], loss: 'endpointError'},
	{name: 'served at the second try', steps: [answered({secondTry: true})], loss: 'callerCameBack'},
	{name: 'the caller left', steps: [end('requestEnded', {outcome: 'callerLeft'})], loss: 'callerLeft'},
	{name: 'no answer in time', steps: [end('timeoutSpent', {outcome: 'refused'})], loss: 'outcomeUnknown'},
	{name: 'its host was lost', steps: [line('reserved', {waitedMs: 0})], loss: 'noEnd'},
];

describe('losses', () => {
	for (const {name, steps, loss} of cases) {
		it(name, () => {
			expect(findLoss(steps)?.loss).toEqual(loss);
		});
	}

	it('are counted by the moment of arrival', () => {
		const lines = [end('overloaded', {outcome: 'refused', tookMs: 60, request: 'a'}), end('overloaded', {outcome: 'refused', tookMs: 60, request: 'b'}), answered({request: 'c', firstByteMs: 950})];
		const [early, late] = countLosses(lines, 2);
		expect([early?.losses, late?.losses]).toEqual([{slowEndpoint: 1}, {refused: 2}]);
		expect((late?.from ?? 0) - (early?.from ?? 0)).toEqual(2);
	});
});
