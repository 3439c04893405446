/** When an attempt gives a silent token stream up: one that is watched too little occupies its engine after its caller has left, or until the caller does. */
import {setImmediate as turn} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type StreamLine} from '@gatehead/schema/engine-protocol';
import {expect} from 'earl';
import {Attempt, type AttemptOptions, type AttemptOutcome} from './attempt.js';
import {type ExecutionState, type ModelRequest} from './model-request.js';
import {TokenStream} from './token-stream.js';

const endpointStallMs = 3000;
/** Turns of the event loop that let an attempt take note of what has happened. */
const turns = 20;
const request = 'r';
const attempt = 1;

const token = (n: number): StreamLine => ({
	kind: 'token', request, attempt, n, text: `t${n}`,
});
const end = (tokens: number): StreamLine => ({
	kind: 'end', request, attempt, tokens, reason: 'stop',
});

/** Yields lines, then stays silent until the signal aborts. */
async function * streamLines(lines: readonly StreamLine[], signal: AbortSignal): AsyncGenerator<StreamLine> {
	yield * lines;
	await new Promise<never>((_resolve, reject) => {
		const fail = () => {
			reject(new Error('aborted'));
		};

		signal.addEventListener('abort', fail, {once: true});
		if (signal.aborted) {
			fail();
		}
	});
}

class Bench {
	readonly clock = new ManualClock();
	readonly caller = new AbortController();
	readonly stream = new TokenStream(ignore);
	cancelled = 0;
	resumes = 0;
	outcome: AttemptOutcome | undefined;

	/** `streams`: lines of the stream, and of each that resumes it. */
	constructor(streams: ReadonlyArray<readonly StreamLine[]>) {
		const used = {
			context: {
				clock: this.clock, settings: {timing: {endpointStallMs}}, self: {host: 'h', incarnation: 1}, log: ignore, timeline: {record: ignore}, counters: {count: ignore},
			},
			client: {
				prefill: async () => ({kind: 'done', result: {handle: 'p', cachedTokens: 0, holdMs: 60_000}}),
				decode: async (_address: string, _order: unknown, signal: AbortSignal) => ({kind: 'done', result: streamLines(streams[0] ?? [], signal)}),
				resume: async (_address: string, _order: unknown, signal: AbortSignal) => {
					this.resumes += 1;
					return {kind: 'done', result: streamLines(streams[this.resumes] ?? [], signal)};
				},
			},
			canceller: {
				cancel: () => {
					this.cancelled += 1;
				},
			},
			leases: {
				acquirePrefill: async () => 'prefill', acquireDecode: async () => 'decode', reportStarted: ignore, reportFailure: ignore, release: ignore,
			},
			findEngine: (name: string) => ({name, address: '127.0.0.1:9'}),
		};
		const options = used as unknown as AttemptOptions; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the attempt uses nothing else of its dependencies
		const read = {
			id: request, caller: {name: 'c', priority: 0}, model: {name: 'm'}, blocks: [], maxTokens: 9, promptTokens: 1, target: {ttftMs: 1000, tokenMs: 100}, arrivedAt: 0,
		};
		const work = read as unknown as ModelRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the attempt reads no other properties of a request
		const state: ExecutionState = {
			attempts: attempt, mayHaveBeenSent: false, firstTokenAt: undefined, lastTokenAt: undefined,
		};
		void this.#run(new Attempt(options, work, state, this.stream, this.caller.signal));
	}

	async play(step: Step): Promise<void> {
		for (let count = 0; count < turns; count += 1) {
			await turn();
		}

		if (step === 'leave') {
			this.caller.abort();
		} else {
			this.clock.advance(step);
		}

		for (let count = 0; count < turns; count += 1) {
			await turn();
		}
	}

	async #run(each: Attempt): Promise<void> {
		this.outcome = await each.execute();
	}
}

/** Milliseconds that pass, or the caller leaves. */
type Step = number | 'leave';

type Case = {
	readonly name: string;
	readonly streams: ReadonlyArray<readonly StreamLine[]>;
	readonly steps: readonly Step[];
	readonly resumes: number;
	readonly tokens: number;
	/** Undefined: the attempt goes on. */
	readonly outcome: AttemptOutcome | undefined;
};

const cases: readonly Case[] = [
	{
		name: 'a silence below the limit is waited for', streams: [[token(0)]], steps: [endpointStallMs - 1], resumes: 0, tokens: 1, outcome: undefined,
	},
	{
		name: 'a silent stream is resumed at its engine', streams: [[token(0)], [token(1), end(2)]], steps: [endpointStallMs], resumes: 1, tokens: 2, outcome: 'complete',
	},
	{
		name: 'a stream that falls silent again is resumed again', streams: [[token(0)], [token(1)], [token(2), end(3)]], steps: [endpointStallMs, endpointStallMs], resumes: 2, tokens: 3, outcome: 'complete',
	},
	{
		name: 'a stream that was resumed twice is given up', streams: [[token(0)], [token(1)], [token(2)]], steps: [endpointStallMs, endpointStallMs, endpointStallMs], resumes: 2, tokens: 3, outcome: 'failed',
	},
	{
		name: 'a caller that leaves ends a stream', streams: [[token(0)]], steps: ['leave'], resumes: 0, tokens: 1, outcome: 'failed',
	},
	{
		name: 'a caller that leaves ends a stream that was resumed', streams: [[token(0)], [token(1)]], steps: [endpointStallMs, 'leave'], resumes: 1, tokens: 2, outcome: 'failed',
	},
];

describe('an attempt whose token stream falls silent', () => {
	for (const {name, streams, steps, resumes, tokens, outcome} of cases) {
		it(name, async () => {
			const bench = new Bench(streams);
			for (const step of steps) {
				await bench.play(step);
			}

			expect({
				outcome: bench.outcome, resumes: bench.resumes, tokens: bench.stream.tokens.length, isCancelled: bench.cancelled > 0,
			}).toEqual({
				outcome, resumes, tokens, isCancelled: outcome === 'failed',
			});
		});
	}
});
