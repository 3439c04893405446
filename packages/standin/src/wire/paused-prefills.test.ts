/** Guards against requests that are rejected because their prefill replica pauses, and against prompts that are read again beyond the retry budget. */
import {setTimeout as wait} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {writeResponse} from './scripted-endpoint.js';
import {
	startScriptedWorld, streamOf, type EndpointCall, type ScriptedParts, type ScriptedWorld,
} from './scripted-world.js';
import {until} from './world.js';

/** Time for which a replica falls silent, in milliseconds: longer than a host waits before it looks for another one. */
const shortPauseMs = 3300;
/** Time for which it falls silent where it is to be replaced, in milliseconds: longer than that takes on a busy machine. */
const longPauseMs = 8000;
/** Deadline of the callers, in milliseconds. */
const deadlineMs = 20_000;

/** Where a response stops until its replica goes on. */
type PausePlace = 'head' | 'body';

type Case = {
	readonly name: string;
	readonly place: PausePlace;
	readonly pauseMs: number;
	/** Prefills that pause; later ones are rejected or served. */
	readonly paused: number;
	readonly isOtherFull?: boolean;
	/** Prefills that replicas get. */
	readonly expectedPrefills: number;
	/** Whether the decode replica gets a result; otherwise it reads the prompt itself. */
	readonly isResultTaken: boolean;
	readonly parts: ScriptedParts;
};

const cases: readonly Case[] = [
	{
		name: 'no retry budget', place: 'head', pauseMs: shortPauseMs, paused: 1, expectedPrefills: 1, isResultTaken: true, parts: {prefill: 1, decode: 1, retryAllowance: 0},
	},
	{
		name: 'no retry budget for another replica', place: 'head', pauseMs: shortPauseMs, paused: 1, expectedPrefills: 1, isResultTaken: true, parts: {prefill: 2, decode: 1, retryAllowance: 0},
	},
	{
		name: 'no retry budget, behind the head of the response', place: 'body', pauseMs: shortPauseMs, paused: 1, expectedPrefills: 1, isResultTaken: true, parts: {prefill: 1, decode: 1, retryAllowance: 0},
	},
	{
		name: 'a pause shorter than the time after which another replica is sought, behind the head', place: 'body', pauseMs: 1500, paused: 1, expectedPrefills: 1, isResultTaken: true, parts: {prefill: 2, decode: 1},
	},
	{
		name: 'another replica', place: 'head', pauseMs: longPauseMs, paused: 1, expectedPrefills: 2, isResultTaken: true, parts: {prefill: 2, decode: 1},
	},
	{
		name: 'no other replica', place: 'head', pauseMs: longPauseMs, paused: 1, expectedPrefills: 1, isResultTaken: false, parts: {prefill: 1, decode: 1},
	},
	{
		name: 'the other replica is full', place: 'head', pauseMs: longPauseMs, paused: 1, isOtherFull: true, expectedPrefills: 2, isResultTaken: false, parts: {prefill: 2, decode: 1},
	},
	{
		name: 'the other replica pauses as well', place: 'head', pauseMs: longPauseMs, paused: 2, expectedPrefills: 2, isResultTaken: false, parts: {prefill: 2, decode: 1},
	},
];

/** Answers a prefill soundly, but for a pause. */
async function answerPaused(scripted: ScriptedWorld, call: EndpointCall, {place, pauseMs}: Case): Promise<void> {
	if (place === 'head') {
		await wait(pauseMs);
		scripted.answerSoundly(call);
		return;
	}

	const response = writeResponse(200, {'Request-Id': call.id, 'Keep-Alive': 'timeout=5'}, JSON.stringify({prefillHandle: 'paused', tokens: 1, version: 1}));
	const bodyAt = response.indexOf('{');
	call.socket.write(response.slice(0, bodyAt));
	await wait(pauseMs);
	call.socket.write(response.slice(bodyAt));
}

/** Lets prefills pause as a case says; returns the ids of all requests whose prompts were sent. */
function playPrefills(scripted: ScriptedWorld, played: Case): string[] {
	const prompts: string[] = [];
	scripted.intercept = (call, kind) => {
		if (kind !== 'prefill') {
			return false;
		}

		prompts.push(call.id);
		if (prompts.length <= played.paused) {
			void answerPaused(scripted, call, played);
			return true;
		}

		if (played.isOtherFull) {
			call.socket.write(writeResponse(503, {'Request-Id': call.id, 'Not-Executed': '1'}));
		}

		return played.isOtherFull ?? false;
	};

	return prompts;
}

describe('a request whose prefill replica pauses is served', {concurrency: 5}, () => {
	for (const path of ['/stream/1', '/resumable/1']) {
		for (const each of cases) {
			it(`${each.name}, ${path}`, async () => {
				const scripted = await startScriptedWorld(each.parts);
				try {
					const prompts = playPrefills(scripted, each);
					const id = 'prompt';
					const {status, isWhole, body} = await sendRequest({
						address: scripted.caller, id, path, headers: {'Deadline-Ms': String(deadlineMs)},
					});
					expect({status, isWhole, body}).toEqual({status: 200, isWhole: true, body: streamOf(id)});
					expect({prompts: prompts.length, runs: scripted.runs.length, results: scripted.takenResults.map(result => result !== '')}).toEqual({prompts: each.expectedPrefills, runs: 1, results: [each.isResultTaken]});
				} finally {
					await scripted.stop();
				}
			});
		}
	}

	it('not later than it is known that the replica is gone: the request is rejected then', async () => {
		const scripted = await startScriptedWorld({prefill: 1, decode: 1, retryAllowance: 0});
		try {
			let prompts = 0;
			scripted.intercept = (_call, kind) => {
				prompts += kind === 'prefill' ? 1 : 0;
				return kind === 'prefill';
			};

			const rejected = sendRequest({
				address: scripted.caller, id: 'gone', path: '/stream/1', headers: {'Deadline-Ms': String(deadlineMs)},
			});
			await until(() => prompts > 0);
			scripted.world.store.remove('servers/prefill-0');
			const {status} = await rejected;
			expect({status, prompts, runs: scripted.runs}).toEqual({status: 503, prompts: 1, runs: []});
			expect(scripted.world.lines.filter(({code, facts}) => code === 'sentAgain' && facts.outcome === 'no budget').length).toBeGreaterThan(0);
		} finally {
			await scripted.stop();
		}
	});
});
