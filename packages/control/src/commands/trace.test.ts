/** The sentence that `gateheadctl trace` prints for each outcome of a request. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseLine, type LogLine} from '../utils/log-lines.js';
import {explainEnd} from './trace.js';

function line(name: string, fields: Readonly<Record<string, string | number>> = {}): LogLine {
	return {
		name, code: 1, host: 'a', request: 'r', ...fields,
	};
}

const failed = line('sendFailed', {
	step: 'plain', endpoint: 'e1', outcome: 'unknown', reason: 'reset',
});

type Case = {
	readonly name: string;
	readonly steps: readonly LogLine[];
	readonly cause: string;
};

const cases: readonly Case[] = [
	{name: 'refused under overload', steps: [line('overloaded', {tookMs: 120, detail: '3 ahead'})], cause: 'Refused, not run: no decode memory available in time (3 ahead).'},
	{name: 'no endpoint', steps: [failed, line('endpointsDown', {tookMs: 3})], cause: 'Refused, not run: no endpoint accepted it; the last send (plain) to e1 failed with outcome unknown: reset.'},
	{name: 'response lost', steps: [failed, line('answerLost', {tookMs: 3})], cause: 'Outcome unknown: it may have run, but its response was lost; the last send (plain) to e1 failed with outcome unknown: reset.'},
	{name: 'timeout expired', steps: [line('timeoutSpent', {tookMs: 1200})], cause: 'Outcome unknown: the timeout of the caller or route expired (after 1200 ms); no send failed.'},
	{
		name: 'interrupted stream', steps: [failed, line('streamBroken', {tookMs: 900, endpoint: 'e2', detail: 'aborted'})], cause: 'Interrupted: the stream of e2 ended early (aborted) and could not be resumed; the last send (plain) to e1 failed with outcome unknown: reset.',
	},
	{
		name: 'answered', steps: [line('requestEnded', {
			outcome: 'answered', endpoint: 'e2', status: 200, firstByteMs: 20, tookMs: 30,
		})], cause: 'Answered by e2 with status 200; first byte after 20 ms, complete after 30 ms.',
	},
	{name: 'caller disconnected', steps: [line('requestEnded', {outcome: 'callerLeft', tookMs: 30})], cause: 'The caller disconnected after 30 ms.'},
	{
		name: 'an unknown key', steps: [line('requestEnded', {
			outcome: 'refused', reason: 'callerUnknown', version: 7, tookMs: 2,
		})], cause: 'Refused, not run: its key was missing, unknown or revoked in configuration 7.',
	},
	{
		name: 'outdated list of keys', steps: [line('requestEnded', {
			outcome: 'refused', reason: 'keysOutdated', evidenceAgeMs: 5400, tookMs: 80,
		})], cause: 'Refused, not run: the host could not verify that its list of keys was current (last confirmed 5400 ms earlier).',
	},
	{
		name: 'exhausted quota', steps: [line('requestEnded', {
			outcome: 'refused', reason: 'quotaSpent', detail: 'guides asked for 900 tokens', tookMs: 4,
		})], cause: 'Refused, not run: the quota of its workspace was exhausted (guides asked for 900 tokens).',
	},
	{
		name: 'content that crashes endpoints', steps: [line('requestEnded', {
			outcome: 'refused', reason: 'contentHeld', detail: 'c1', tookMs: 1,
		})], cause: 'Refused, not run: endpoints crashed while running its content (c1); see contentHeldSince.',
	},
	{name: 'content blocked while the request waited', steps: [line('contentHeld', {tookMs: 40, detail: 'c1'})], cause: 'Refused, not run: endpoints crashed while running its content (c1); see contentHeldSince.'},
	{name: 'no final line', steps: [failed], cause: 'No final log line: the host was lost, or the line was dropped (see linesLeftOut).'},
];

describe('trace', () => {
	for (const {name, steps, cause: says} of cases) {
		it(name, () => {
			expect(explainEnd(steps)).toEqual(says);
		});
	}

	it('parses lines with a log collector\'s prefix and ignores other lines', () => {
		expect(parseLine('  12.3 front-1 {"name":"started","code":5014,"host":"front-1"}')?.host).toEqual('front-1');
		expect(parseLine('no line at all')).toEqual(undefined);
		expect(parseLine('{broken')).toEqual(undefined);
	});
});
