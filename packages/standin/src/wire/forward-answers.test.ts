/** Guards against a response of another host that answers another forward and is taken for the present one's: a request that is reported as not run, or sent again, although it runs. */
import {type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {systemClock} from '@gatehead/policy/utils/clock';
import {readBody} from '@gatehead/relay/upstream/exchange';
import {type ForwardResult} from '@gatehead/relay/upstream/peer-forwarder';
import {type Job} from '@gatehead/relay/work/job';
import {codes} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {
	createForwarder, createJob, headMs, nameForward,
} from './lone-forwarder.js';
import {startScriptedEndpoint, writeResponse, type ScriptedCall} from './scripted-endpoint.js';

type Case = {
	readonly name: string;
	readonly respond: (call: ScriptedCall) => string;
	readonly outcome: 'answer' | 'refused' | 'unknown';
};

const ownError = {'gatehead-error': String(codes.overloaded.number), 'Content-Type': 'application/json'};

const cases: readonly Case[] = [
	{
		name: 'an error that repeats the forward\'s id', outcome: 'refused', respond: call => writeResponse(503, {...ownError, ...nameForward(call)}),
	},
	{
		name: 'an error that repeats another id', outcome: 'unknown', respond: () => writeResponse(503, {...ownError, 'gatehead-forward-id': 'another'}),
	},
	{
		name: 'an error without an id', outcome: 'unknown', respond: () => writeResponse(503, ownError),
	},
	{
		name: 'an endpoint\'s response that repeats the forward\'s id', outcome: 'answer', respond: call => writeResponse(200, {...nameForward(call), 'Request-Id': call.id, 'Server-Seal': 'seal'}, 'whole'),
	},
	{
		name: 'an endpoint\'s response to another request', outcome: 'unknown', respond: call => writeResponse(200, {...nameForward(call), 'Request-Id': 'another', 'Server-Seal': 'seal'}, 'whole'),
	},
];

type Cut = (socket: Socket) => void;

const cuts: Readonly<Record<string, Cut>> = {
	closed(socket) {
		socket.end();
	},
	reset(socket) {
		socket.resetAndDestroy();
	},
};

/** Distance between two places of the cut, in bytes. */
const stride = 4;
const answered = 'HTTP/1.1 200 OK\r\ngatehead-forward-id: FORWARD\r\nRequest-Id: own\r\nServer-Seal: seal\r\n';

const cutHeads = [
	{name: 'with a length', text: `${answered}Content-Length: 123\r\n\r\n`},
	{name: 'in chunks', text: `${answered}Transfer-Encoding: chunked\r\n\r\n`},
	{name: 'without framing', text: `${answered}\r\n`},
	{name: 'behind an informational one', text: `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${answered}Content-Length: 123\r\n\r\n`},
] as const;

/** Largest body, in bytes. */
const maxBytes = 1000;

/** Guards against a response of another host that ends early and is taken for complete, too. */
describe('responses to forwarded requests', () => {
	/** Forwards a job to another host, which responds to each call as given; `cut`: where its response ends. */
	async function forward(respond: Case['respond'], job: Job, cut?: Cut): Promise<ForwardResult['kind']> {
		const peer = await startScriptedEndpoint(call => {
			call.socket.write(respond(call), () => {
				cut?.(call.socket);
			});
		});
		const forwarder = createForwarder(peer.address);
		try {
			const result = await forwarder.send(job, {attempts: 2, headMs});
			return result.kind === 'answer'
				? await readBody(result.response, systemClock, {maxBytes}).then(() => result.kind, () => 'unknown' as const)
				: result.kind;
		} finally {
			forwarder.close();
			peer.stop();
		}
	}

	for (const {name, respond, outcome} of cases) {
		it(`${name}: ${outcome}`, async () => {
			const job = createJob();
			const kind = await forward(respond, job);
			expect({kind, mayHaveRun: job.runs.mayHaveRun}).toEqual({kind: outcome, mayHaveRun: outcome !== 'refused'});
		});
	}

	for (const [name, cut] of Object.entries(cuts)) {
		for (const {name: head, text} of cutHeads) {
			it(`a response ${head} that is ${name} at any byte of its head, or behind it, does not count`, async () => {
				for (let bytes = 0; bytes <= text.length; bytes += bytes < text.length - stride ? stride : 1) {
					const job = createJob();
					const kind = await forward(call => text.slice(0, bytes).replace('FORWARD', nameForward(call)['gatehead-forward-id'] ?? ''), job, cut);
					expect({bytes, kind, mayHaveRun: job.runs.mayHaveRun}).toEqual({bytes, kind: 'unknown', mayHaveRun: true});
				}
			});
		}
	}

	it('a refusal does not take back a send that was written meanwhile', async () => {
		const job = createJob();
		const kind = await forward(call => {
			job.runs.enter();
			return writeResponse(503, {...ownError, ...nameForward(call)});
		}, job);
		expect({kind, mayHaveRun: job.runs.mayHaveRun, runs: job.runs.count}).toEqual({kind: 'refused', mayHaveRun: true, runs: 1});
	});
});

/** Why this host itself cancels a forward before it is sent. */
const cancellations = ['the caller leaves while a connection is opened', 'there is no retry budget'] as const;

// A host that nothing was sent to got no other request for a second, so requests were refused although it served
describe('a forward that this host cancels', () => {
	for (const cancellation of cancellations) {
		it(`does not keep the next one from the other host: ${cancellation}`, async () => {
			const peer = await startScriptedEndpoint(call => {
				call.socket.write(writeResponse(200, {...nameForward(call), 'Request-Id': call.id, 'Server-Seal': 'seal'}, 'whole'));
			});
			let hasBudget = cancellation !== 'there is no retry budget';
			const forwarder = createForwarder(peer.address, () => hasBudget);
			const caller = new AbortController();
			try {
				const canceled = forwarder.send(createJob(), {attempts: 2, headMs, signal: caller.signal});
				if (hasBudget) {
					caller.abort('callerLeft');
				}

				const first = await canceled;
				hasBudget = true;
				const second = await forwarder.send(createJob(), {attempts: 2, headMs});
				expect([first.kind, second.kind]).toEqual(['unavailable', 'answer']);
			} finally {
				forwarder.close();
				peer.stop();
			}
		});
	}
});
