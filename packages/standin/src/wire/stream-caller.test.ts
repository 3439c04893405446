/** A stream that nobody answers must end its test, and be told from one that was answered. */
import {once} from 'node:events';
import {Agent, createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {StreamCaller} from './stream-caller.js';

const silenceMs = 100;

type Case = {
	readonly name: string;
	readonly answer: (response: ServerResponse) => void;
	readonly hasGivenUp: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'no answer', hasGivenUp: true, answer() {
			// The caller hears nothing
		},
	},
	{
		name: 'an answer without an end', hasGivenUp: true, answer(response) {
			response.writeHead(200).write('id: 1\ndata: x\n\n');
		},
	},
	{
		name: 'an answer', hasGivenUp: false, answer(response) {
			response.writeHead(200).end('id: 1\ndata: x\n\n');
		},
	},
];

describe('a caller of streams', () => {
	for (const {name, answer, hasGivenUp} of cases) {
		it(`${hasGivenUp ? 'gives up' : 'does not give up'} where there is ${name}`, {timeout: 10_000}, async () => {
			const agent = new Agent({keepAlive: true});
			const server = createServer((_request, response) => {
				answer(response);
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			try {
				const caller = new StreamCaller('s', undefined, agent);
				caller.silenceMs = silenceMs;
				await caller.begin(`127.0.0.1:${(server.address() as AddressInfo).port}`); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server
				await caller.ended;
				expect(caller.hasGivenUp).toEqual(hasGivenUp);
			} finally {
				agent.destroy();
				server.closeAllConnections();
				server.close();
			}
		});
	}
});
