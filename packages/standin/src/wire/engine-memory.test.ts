/** What a stand-in engine lists of its memory: runs while they are in progress, prompt parts afterwards, and nothing after a restart. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {makeReplicaLog, startReplica, type StandinReplica} from './replica-server.js';
import {StreamCaller, writePrompt} from './stream-caller.js';
import {until} from './world.js';

const anyPort = '127.0.0.1:0';
const name = 'memory';
const ownPart = writePrompt(name).split(',').at(-1)?.split(':', 1)[0] ?? '';

type Listed = {
	readonly status: number;
	readonly runs?: unknown;
	readonly held?: unknown;
	readonly epoch?: number;
};

async function call({address}: StandinReplica, path: string, headers: Readonly<Record<string, string>> = {}): Promise<Listed> {
	const {status, body} = await sendRequest({
		address, id: 'list', method: 'GET', path, body: '', headers,
	});
	return {status, ...JSON.parse(body) as Record<string, unknown>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test's own words
}

/** Resolves when no run is in progress. */
async function waitUntilIdle(replica: StandinReplica): Promise<void> {
	for (let isIdle = false; !isIdle;) {
		const {runs} = await call(replica, '/api/report');
		isIdle = JSON.stringify(runs) === '[]';
	}
}

type Case = {
	readonly name: string;
	readonly stage: 'prefill' | 'decode';
	readonly isRunningOn?: boolean;
	/** Events that the caller waits for before it closes its connection. */
	readonly leavesAt?: number;
	readonly headers?: Readonly<Record<string, string>>;
	/** Tokens of the stream's own part once the run has ended. */
	readonly tokens: number;
};

const cases: readonly Case[] = [
	{name: 'a whole stream', stage: 'decode', tokens: 806},
	{
		name: 'a stream whose caller leaves', stage: 'decode', leavesAt: 2, tokens: 802,
	},
	{
		name: 'a stream whose caller leaves unnoticed', stage: 'decode', leavesAt: 2, isRunningOn: true, tokens: 806,
	},
	{
		name: 'a stream that goes on', stage: 'decode', headers: {'Last-Event-Id': '4'}, leavesAt: 1, tokens: 805,
	},
	{
		name: 'a prefilled prompt', stage: 'prefill', headers: {Stage: 'prefill'}, tokens: 800,
	},
];

describe('memory of a stand-in engine', () => {
	for (const {name: caseName, stage, isRunningOn = false, leavesAt = Number.POSITIVE_INFINITY, headers = {}, tokens} of cases) {
		it(caseName, async () => {
			const log = makeReplicaLog();
			const replica = await startReplica({
				id: 'engine', stage, slots: 1, log, eventGapMs: 50,
			}, anyPort);
			try {
				replica.isRunningOn = isRunningOn;
				const caller = new StreamCaller(name);
				caller.leavesAt = leavesAt;
				const ended = caller.resumeOnce(replica.address, {headers: {'Expect-Instance': 'engine', ...headers}});
				if (stage === 'decode') {
					await until(() => caller.events.length > 0);
					const {runs} = await call(replica, '/api/report');
					const event = Number(headers['Last-Event-Id'] ?? 0) + 1;
					expect(leavesAt === 1 || JSON.stringify(runs) === JSON.stringify([[`${name}-0`, 1000 + event, event, 5]])).toEqual(true);
				}

				await ended;
				await waitUntilIdle(replica);
				const before = await call(replica, '/api/kv-list');
				expect(before.held).toEqual([['', 'shared', 200, 'm'], ['', ownPart, tokens, 'm']]);
				const foreign = await call(replica, '/api/kv-list', {'Expect-Instance': 'another'});
				expect(foreign.status).toEqual(421);
				await replica.kill();
				await replica.revive();
				const after = await call(replica, '/api/kv-list');
				expect([after.held, after.epoch === before.epoch]).toEqual([[], false]);
			} finally {
				await replica.kill();
			}
		});
	}
});
