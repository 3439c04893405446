/** Detection of callers that stop reading their response. */
import {once} from 'node:events';
import {createServer, request as httpRequest, type ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {TokenStream} from '../core/token-stream.js';
import {AnswerWriter} from './answer-writer.js';

const stallMs = 400;

type Case = {
	readonly name: string;
	/** Whether `write` reports that the socket accepts more data. */
	readonly acceptsWrites: boolean;
	/** Delay before the `drain` event; undefined: the socket never drains. */
	readonly drainDelayMs: number | undefined;
	readonly isClosed: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'keeps the connection of a caller that reads', acceptsWrites: true, drainDelayMs: undefined, isClosed: false,
	},
	{
		name: 'closes the connection of a caller that stops reading for the stall timeout', acceptsWrites: false, drainDelayMs: undefined, isClosed: true,
	},
	{
		name: 'keeps the connection of a caller that resumes reading before the timeout', acceptsWrites: false, drainDelayMs: stallMs / 2, isClosed: false,
	},
];

/** Opens a response on a real connection; `write` returns false where `acceptsWrites` is false. */
async function openResponse(acceptsWrites: boolean): Promise<{readonly response: ServerResponse; readonly close: () => void}> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const call = httpRequest({host: '127.0.0.1', port: typeof address === 'object' && address !== null ? address.port : 0, agent: false});
	call.once('error', () => {
		// The tested code may destroy the connection
	});
	call.end();
	const [, response] = await once(server, 'request') as [unknown, ServerResponse]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the event's own arguments
	if (!acceptsWrites) {
		response.write = () => false;
	}

	return {
		response, close() {
			call.destroy();
			server.close();
			server.closeAllConnections();
		},
	};
}

describe('AnswerWriter', () => {
	for (const {name, acceptsWrites, drainDelayMs, isClosed} of cases) {
		it(name, async () => {
			const clock = new ManualClock();
			const {response, close} = await openResponse(acceptsWrites);
			let wasAbandoned = false;
			const answer = new TokenStream(() => {
				wasAbandoned = true;
			});
			new AnswerWriter(response, {
				request: 'r', model: 'm', dialect: 'completion', isStream: true, runId: '', firstToken: 0,
			}, answer, clock, stallMs).start();
			answer.append(0, 'word');
			if (drainDelayMs !== undefined) {
				clock.advance(drainDelayMs);
				response.emit('drain');
			}

			const closed = isClosed ? once(response, 'close') : undefined;
			clock.advance(2 * stallMs);
			await closed;
			expect(wasAbandoned).toEqual(isClosed);
			expect(response.destroyed).toEqual(isClosed);
			close();
		});
	}
});
