/** Classification of requests that were not served in time. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type LogLine} from '../utils/log-lines.js';
import {
	countLosses, findLoss, findWastedPrefills, type Loss, type PrefillWaste,
} from './losses.js';

function line(name: string, fields: Readonly<Record<string, string | number | boolean>> = {}): LogLine {
	return {
		name, code: 1, host: 'a', request: 'r', time: '2026-01-01T00:00:05.000Z', ...fields,
	};
}

function end(name: string, fields: Readonly<Record<string, string | number | boolean>>): LogLine {
	return line(name, {
		route: 'route', service: 'model', tookMs: 3000, targetMs: 900, gapTargetMs: 300, ...fields,
	});
}

function answered(fields: Readonly<Record<string, string | number | boolean>>): LogLine {
	return end('requestEnded', {
		outcome: 'answered', status: 200, firstByteMs: 400, ...fields,
	});
}

type Case = {
	readonly name: string;
	readonly lines: readonly LogLine[];
	readonly loss: Loss | undefined;
};

const cases: readonly Case[] = [
	{name: 'in time', lines: [answered({})], loss: undefined},
	{name: 'refused at once', lines: [end('overloaded', {outcome: 'refused', tookMs: 60})], loss: 'refused'},
	{name: 'refused after a wait', lines: [end('overloaded', {outcome: 'refused', tookMs: 500})], loss: 'refusedAfterWait'},
	{name: 'decode memory was reserved late', lines: [line('reserved', {waitedMs: 500}), answered({firstByteMs: 950})], loss: 'waitedForMemory'},
	{name: 'slow prefill', lines: [line('reserved', {waitedMs: 0}), line('prefilled', {tookMs: 800}), answered({firstByteMs: 950})], loss: 'promptReadLate'},
	{name: 'a second send', lines: [line('sentAgain'), answered({firstByteMs: 950})], loss: 'sentAgain'},
	{name: 'slow endpoint', lines: [answered({firstByteMs: 950})], loss: 'slowEndpoint'},
	{name: 'a long gap between events', lines: [answered({longestGapMs: 700})], loss: 'pause'},
	{name: 'the stream continued at another endpoint', lines: [line('continued'), answered({longestGapMs: 700})], loss: 'endpointLost'},
	{name: 'the stream ended early', lines: [end('streamBroken', {outcome: 'brokenOff'})], loss: 'endpointLost'},
	{name: 'an error response of the endpoint', lines: [answered({status: 500})], loss: 'endpointError'},
	{name: 'served on a retry by the caller', lines: [answered({secondTry: true})], loss: 'callerCameBack'},
	{name: 'the caller disconnected', lines: [end('requestEnded', {outcome: 'callerLeft'})], loss: 'callerLeft'},
	{name: 'no answer in time', lines: [end('timeoutSpent', {outcome: 'refused'})], loss: 'outcomeUnknown'},
	{name: 'beyond the share of its workspace', lines: [end('overloaded', {outcome: 'refused', tookMs: 60, detail: 'share'})], loss: 'share'},
	{name: 'no chance to be on time', lines: [end('overloaded', {outcome: 'refused', tookMs: 500, detail: 'late'})], loss: 'late'},
	{name: 'no room at the endpoints of a plain service', lines: [end('overloaded', {outcome: 'refused', tookMs: 60, detail: 'callQueue'})], loss: 'callQueue'},
	{name: 'the caller did not read a stream', lines: [line('callerUnread'), end('requestEnded', {outcome: 'callerLeft'})], loss: 'unread'},
	{name: 'the caller did not read a response that was ready in time', lines: [answered({}), line('callerUnread')], loss: 'unread'},
	{name: 'its host was lost', lines: [line('reserved', {waitedMs: 0})], loss: 'noEnd'},
];

type WasteCase = {
	readonly name: string;
	readonly lines: readonly LogLine[];
	readonly wastes: readonly PrefillWaste[];
};

const read = line('prefilled', {outcome: 'read'});

const wasteCases: readonly WasteCase[] = [
	{name: 'none if the stream began', lines: [read, answered({})], wastes: []},
	{name: 'none if no prompt was read', lines: [line('prefilled', {outcome: 'left to the decode replica'}), end('overloaded', {outcome: 'refused'})], wastes: []},
	{name: 'none if the stream moved after it began', lines: [read, line('continued'), end('streamBroken', {outcome: 'brokenOff'})], wastes: []},
	{name: 'the decode replica refused', lines: [read, line('sendFailed', {step: 'decode', outcome: 'notRun'}), end('overloaded', {outcome: 'refused'})], wastes: ['decodeRefused']},
	{name: 'the decode replica was lost after it had begun', lines: [read, line('sendFailed', {step: 'decode', outcome: 'unknown', reason: 'cut'}), line('continued'), answered({})], wastes: []},
	{name: 'the decode replica was lost', lines: [read, line('sendFailed', {step: 'decode', outcome: 'unknown'}), read, answered({})], wastes: ['decodeLost']},
	{name: 'the caller disconnected', lines: [read, end('requestEnded', {outcome: 'callerLeft'})], wastes: ['callerLeft']},
	{name: 'time was up', lines: [read, end('overloaded', {outcome: 'refused'})], wastes: ['notDecoded']},
];

describe('losses', () => {
	for (const {name, lines, loss} of cases) {
		it(name, () => {
			expect(findLoss(lines)?.loss).toEqual(loss);
		});
	}

	for (const {name, lines, wastes} of wasteCases) {
		it(`wasted prefills: ${name}`, () => {
			expect(findWastedPrefills(lines)).toEqual([...wastes]);
		});
	}

	it('counts wasted prefills also of requests that were in time', () => {
		const lines = [line('prefilled', {outcome: 'read'}), line('sendFailed', {step: 'decode', outcome: 'notRun'}), line('prefilled', {outcome: 'read'}), answered({})];
		expect(countLosses(lines, 2).map(({losses, wastedPrefills}) => [losses, wastedPrefills])).toEqual([[{}, {decodeRefused: 1}]]);
	});

	it('are counted by arrival time', () => {
		const lines = [end('overloaded', {outcome: 'refused', tookMs: 60, request: 'a'}), end('overloaded', {outcome: 'refused', tookMs: 60, request: 'b'}), answered({request: 'c', firstByteMs: 950})];
		const [early, late] = countLosses(lines, 2);
		expect([early?.losses, late?.losses]).toEqual([{slowEndpoint: 1}, {refused: 2}]);
		expect((late?.from ?? 0) - (early?.from ?? 0)).toEqual(2);
	});
});
