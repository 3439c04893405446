/** Catalogue: when a caller counts as gone while its answer is written. */
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
	/** Whether the socket takes what is written. */
	readonly isReading: boolean;
	/** Time until the socket is free again, if it is at all. */
	readonly drainsAfterMs: number | undefined;
	readonly isGone: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a caller that reads stays', isReading: true, drainsAfterMs: undefined, isGone: false,
	},
	{
		name: 'a caller that stops reading is gone after the stall', isReading: false, drainsAfterMs: undefined, isGone: true,
	},
	{
		name: 'a caller that reads on in time stays', isReading: false, drainsAfterMs: stallMs / 2, isGone: false,
	},
];

/** Opens a real response, whose `write` says what the case wants. */
async function openResponse(isReading: boolean): Promise<{readonly response: ServerResponse; readonly close: () => void}> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const call = httpRequest({host: '127.0.0.1', port: typeof address === 'object' && address !== null ? address.port : 0, agent: false});
	call.once('error', () => {
		// The cut is what the test is about
	});
	call.end();
	const [, response] = await once(server, 'request') as [unknown, ServerResponse]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the event's own arguments
	if (!isReading) {
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

describe('writing an answer', () => {
	for (const {name, isReading, drainsAfterMs, isGone} of cases) {
		it(name, async () => {
			const clock = new ManualClock();
			const {response, close} = await openResponse(isReading);
			let isUnread = false;
			const answer = new TokenStream(() => {
				isUnread = true;
			});
			new AnswerWriter(response, {
				request: 'r', model: 'm', dialect: 'completion', isStream: true, run: '', from: 0,
			}, answer, clock, stallMs).start();
			answer.append(0, 'word');
			if (drainsAfterMs !== undefined) {
				clock.advance(drainsAfterMs);
				response.emit('drain');
			}

			const closed = isGone ? once(response, 'close') : undefined;
			clock.advance(2 * stallMs);
			await closed;
			expect(isUnread).toEqual(isGone);
			expect(response.destroyed).toEqual(isGone);
			close();
		});
	}
});
