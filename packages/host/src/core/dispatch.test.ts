/** Guards against requests that are given up because their engine pauses in the last attempt, and against those that an engine that is gone leaves without an end. */
import {setImmediate as turn} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type StreamLine} from '@gatehead/schema/engine-protocol';
import {timing} from '@gatehead/schema/settings';
import {expect} from 'earl';
import {type AttemptOptions} from './attempt.js';
import {dispatch} from './dispatch.js';
import {type ModelRequest} from './model-request.js';
import {TokenStream, type StreamEnd} from './token-stream.js';

/** Turns of the event loop that let an attempt take note of what has happened. */
const turns = 20;
/** Steps in which time passes, and the time after which a request has to have ended, in milliseconds. */
const stepMs = 100;
const longestMs = 60_000;
/** Time for which a prefill result is held, in milliseconds. */
const holdMs = 6000;
/** Pause of a sound engine, in milliseconds. */
const pauseMs = 2200;
const {endpointStallMs} = timing.parse({});

/** Steps of a request at which an engine may fall silent. */
const steps = ['prefill', 'head', 'token'] as const;

type Step = typeof steps[number];

/** Plays the only attempt of a request whose engine falls silent at a step. */
async function play(silentStep: Step, silenceMs: number): Promise<{readonly end: StreamEnd | undefined; readonly tokens: readonly string[]}> {
	const clock = new ManualClock();
	const stream = new TokenStream(ignore);
	const request = 'r';
	const attempt = 1;
	const reach = async (step: Step, signal: AbortSignal) => {
		if (step !== silentStep) {
			return;
		}

		await new Promise<void>((resolve, reject) => {
			clock.after(silenceMs, resolve);
			signal.addEventListener('abort', () => {
				reject(new Error('aborted'));
			}, {once: true});
		});
	};

	async function * streamLines(from: number, signal: AbortSignal): AsyncGenerator<StreamLine> {
		for (let n = from; n < 2; n += 1) {
			yield {
				kind: 'token', request, attempt, n, text: `t${n}`,
			};
			await reach('token', signal);
		}

		yield {
			kind: 'end', request, attempt, tokens: 2, reason: 'stop',
		};
	}

	async function * resumeLines(from: number, signal: AbortSignal): AsyncGenerator<StreamLine> {
		await reach('token', signal);
		yield * streamLines(from, signal);
	}

	const used = {
		context: {
			clock, settings: {timing: {endpointStallMs}}, self: {host: 'h', incarnation: 1}, log: ignore, timeline: {record: ignore}, counters: {count: ignore, time: ignore},
		},
		client: {
			async prefill(_address: string, _order: unknown, signal: AbortSignal) {
				await reach('prefill', signal);
				return {kind: 'done', result: {handle: 'p', cachedTokens: 0, holdMs}};
			},
			async decode(_address: string, _order: unknown, signal: AbortSignal) {
				if (clock.now() >= holdMs) {
					return {kind: 'refused', refusal: {refused: 'lapsed'}};
				}

				await reach('head', signal);
				return {kind: 'done', result: streamLines(0, signal)};
			},
			resume: async (_address: string, {from}: {readonly from: number}, signal: AbortSignal) => ({kind: 'done', result: resumeLines(from, signal)}),
		},
		canceller: {cancel: ignore},
		leases: {
			acquirePrefill: async () => 'prefill',
			acquireDecode: async () => 'decode',
			reportStarted: ignore,
			reportFailure: ignore,
			release: ignore,
		},
		findEngine: (name: string) => ({name, address: '127.0.0.1:9'}),
	};
	const options = used as unknown as AttemptOptions; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the attempt uses nothing else of its dependencies
	const read = {
		id: request, caller: {name: 'c', priority: 0}, model: {name: 'm'}, blocks: [], maxTokens: 9, promptTokens: 1, target: {ttftMs: 1000, tokenMs: 100}, arrivedAt: 0,
	};
	const work = read as unknown as ModelRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the attempt reads no other properties of a request
	void dispatch(options, work, stream, new AbortController().signal, 1);
	for (let passedMs = 0; passedMs < longestMs && stream.end === undefined; passedMs += stepMs) {
		for (let count = 0; count < turns; count += 1) {
			await turn();
		}

		clock.advance(stepMs);
	}

	return {end: stream.end, tokens: stream.tokens};
}

describe('the last attempt of a request', () => {
	for (const step of steps) {
		it(`waits for an engine that pauses, at its ${step}`, async () => {
			const {end, tokens} = await play(step, pauseMs);
			expect({kind: end?.kind, tokens: [...tokens]}).toEqual({kind: 'complete', tokens: ['t0', 't1']});
		});

		it(`ends in an error that does not say "not run" if the engine is gone, at its ${step}`, async () => {
			const {end} = await play(step, longestMs * 2);
			expect(end?.kind === 'failed' ? {code: end.failure.code, ran: end.failure.ran} : end).toEqual({code: 'attemptsSpent', ran: 'unknown'});
		});
	}
});
