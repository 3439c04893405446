/** Guards against a complete response that is replaced by an error because the deadline passes, or the host's stop ends, while the end of the response is checked. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom} from '@gatehead/policy/utils/random';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {IncomingMemory} from '../utils/incoming-memory.js';
import {Metrics} from '../utils/metrics.js';
import {type Job} from './job.js';
import {type WorkParts} from './parts.js';
import {runPlain} from './plain.js';
import {RunLedger} from './run-ledger.js';

const endpoint: Endpoint = {
	id: 'e', service: 's', address: '127.0.0.1:1', hall: 'one', state: 'ready', slots: 6,
};

const targetMs = 300;
const deadlineMs = 1500;

/** Body of the endpoint's response. */
const body = 'whole';

function makeResponse(status: number): IncomingMessage {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what a call reads of a response
	return Object.assign(Readable.from([Buffer.from(body)]), {
		statusCode: status, headers: {}, rawTrailers: [], complete: true,
	}) as unknown as IncomingMessage;
}

type Case = {
	readonly kind: 'repeatable' | 'once';
	readonly status: number;
	/** Why the request is aborted while the end of its response is checked. */
	readonly reason: 'deadline' | 'hostStopping' | 'callerLeft';
	/** What the caller gets: the status of the response, or an error. */
	readonly sent: number | 'error' | 'nothing';
};

const cases: readonly Case[] = [
	{
		kind: 'repeatable', status: 200, reason: 'deadline', sent: 200,
	},
	{
		kind: 'repeatable', status: 404, reason: 'hostStopping', sent: 404,
	},
	{
		kind: 'repeatable', status: 500, reason: 'deadline', sent: 'error',
	},
	{
		kind: 'repeatable', status: 200, reason: 'callerLeft', sent: 'nothing',
	},
	{
		kind: 'once', status: 200, reason: 'deadline', sent: 200,
	},
	{
		kind: 'once', status: 500, reason: 'hostStopping', sent: 500,
	},
];

/** Runs a call; returns what its caller gets. */
async function play({kind, status, reason}: Case): Promise<Case['sent']> {
	const clock = new ManualClock();
	const metrics = new Metrics(undefined, {});
	const controller = new AbortController();
	let sent: Case['sent'] = 'nothing';
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a call uses nothing else of these
	const parts = {
		context: {
			clock,
			log: ignore,
			random: seedRandom(1),
			metrics,
			incoming: new IncomingMemory({
				clock, log: ignore, metrics, limitBytes: 1, collectGarbage: ignore,
			}),
			settings: {hall: 'one', experiments: {off: []}},
		},
		endpoints: {
			order: () => [endpoint], hasVersion: () => true, shortestWaitMs: ignore, noteFull: ignore,
		},
		evidence: {isComplete: () => true},
		sender: {
			send: async () => ({
				kind: 'answer',
				response: makeResponse(status),
				async confirmEnd() {
					controller.abort(reason);
				},
				end: ignore,
			}),
		},
		forwarder: {isNeeded: () => false},
		reachability: {isUnreachable: () => false},
		guard: {findHold: ignore},
		budgets: {ensure: async () => true, acquire: async () => true},
		calls: {isManaged: false},
		streams: {record: ignore},
	} as unknown as WorkParts;
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a call reads no other properties of a job
	const job = {
		id: 'r',
		facts: {},
		route: {
			kind, targetMs, maxAttempts: 2, shares: [],
		},
		service: {name: 's'},
		method: 'GET',
		arrivedAt: clock.now(),
		deadlineAt: clock.now() + deadlineMs,
		signal: controller.signal,
		runs: new RunLedger(),
		sends: 1,
		isContentHeld: false,
		reply: {
			keepUntilClosed: ignore,
			forwardHead({statusCode = 0}: IncomingMessage) {
				sent = statusCode;
			},
			end: ignore,
			sendError(code: string) {
				sent = 'error';
				return code;
			},
		},
	} as unknown as Job;
	await runPlain(parts, job);
	return sent;
}

describe('a complete response whose check outlasts the request', () => {
	for (const each of cases) {
		const {kind, status, reason, sent} = each;
		it(`${kind}, status ${status}, ${reason}: ${sent}`, async () => {
			expect(await play(each)).toEqual(sent);
		});
	}
});
