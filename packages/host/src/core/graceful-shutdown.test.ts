/** Guards against requests that are closed unread because they arrive right when a planned stop has found nothing in flight. */
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {systemClock} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {expect} from 'earl';
import {CallerConnections} from '../front/caller-connections.js';
import {type Context} from './context.js';
import {shutDownGracefully} from './graceful-shutdown.js';

const local = '127.0.0.1';
const request = 'GET / HTTP/1.1\r\nHost: calls.example\r\n\r\n';

/** Connections on which a request arrives. */
const cases = [
	{name: 'an idle connection', isUsed: true},
	{name: 'a new connection', isUsed: false},
] as const;

describe('a request that arrives when a planned stop finds nothing in flight', () => {
	for (const {name, isUsed} of cases) {
		it(`gets a response on ${name}`, {timeout: 30_000}, async () => {
			const open = new Set<ServerResponse>();
			const server = createServer((_request, response) => {
				open.add(response);
				response.once('close', () => {
					open.delete(response);
				});
				response.writeHead(503).end();
			});
			const connections = new CallerConnections(server);
			server.listen(0, local);
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			const caller = connect({host: local, port});
			let received = '';
			caller.setEncoding('utf8');
			caller.on('error', ignore);
			caller.on('data', (text: string) => {
				received += text;
			});
			const closed = new Promise(resolve => {
				caller.once('close', resolve);
			});
			await once(caller, 'connect');
			if (isUsed) {
				caller.write(request);
				await once(caller, 'data');
			}

			received = '';
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- what the shutdown uses
			const context = {
				clock: systemClock, log: ignore, timeline: {record: ignore}, settings: {timing: {tickMs: 1}},
			} as unknown as Context;
			await shutDownGracefully({
				context,
				lookupTtlMs: () => 1,
				announceLeaving: ignore,
				refuseNewRequests() {
					caller.write(request);
				},
				countInFlight: () => open.size,
			});
			await connections.close();
			await closed;
			expect(received.startsWith('HTTP/1.1 503 ')).toEqual(true);
		});
	}
});
