/** Guards against requests that run although they were rejected because they arrived late. */
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {
	connect, type AddressInfo, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn, setTimeout as pause} from 'node:timers/promises';
import {CallerConnections} from '@gatehead/host/front/caller-connections';
import {readBody} from '@gatehead/host/front/request-reader';
import {expect} from 'earl';
import {readRequestBody} from './request-body.js';

const address = '127.0.0.1';
const bodyBytes = 1000;
/** Time for a request to arrive, in milliseconds. */
const timeoutMs = 200;
const checkMs = 20;
/** When the rest of a late request arrives, in milliseconds. */
const lateMs = 2 * timeoutMs;
/** Time that a request runs, in milliseconds: longer than until then. */
const runMs = 3 * timeoutMs;

/** Blocks the event loop, as a busy host does. */
function block(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

function write(path: string, body: string, length = body.length): string {
	return `POST ${path} HTTP/1.1\r\nHost: calls.example\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

const cases: ReadonlyArray<{readonly name: string; readonly first: string; readonly late: string; /** Whether the host is busy from when the rest arrives until it is late. */ readonly isBusy?: boolean; readonly statuses: readonly string[]; readonly runs: readonly string[]}> = [
	{
		name: 'a request whose body is completed late', first: write('/late', 'be', 4), late: 'gin', statuses: ['408'], runs: [],
	},
	{
		name: 'a request whose head is completed late', first: 'POST /late HTTP/1.1\r\n', late: 'Content-Length: 0\r\nHost: calls.example\r\n\r\n', statuses: ['408'], runs: [],
	},
	{
		name: 'a request that arrives late on a new connection', first: '', late: write('/late', 'body'), statuses: ['408'], runs: [],
	},
	{
		name: 'a request behind a running one whose body is completed late', first: `${write('/running', 'body')}${write('/late', 'be', 4)}`, late: 'gin', statuses: ['200', '408'], runs: ['/running'],
	},
	{
		name: 'a request whose body is completed in time, at a host that is busy until it is late', first: write('/late', 'be', 4), late: 'gin', isBusy: true, statuses: ['408'], runs: [],
	},
	{
		name: 'a request that arrives in time on a new connection, at a host that is busy until it is late', first: '', late: write('/late', 'body'), isBusy: true, statuses: ['408'], runs: [],
	},
];

const readers: Readonly<Record<string, (request: IncomingMessage) => Promise<Uint8Array | undefined>>> = {
	relay: async request => readRequestBody(request, bodyBytes),
	host: async request => readBody(request, {bodyBytes}),
};

describe('late requests', () => {
	for (const [reader, read] of Object.entries(readers)) {
		for (const {name, first, late, isBusy = false, statuses, runs} of cases) {
			it(`${name} is rejected and does not run (${reader})`, async () => {
				const ran: string[] = [];
				const server = createServer({requestTimeout: timeoutMs, headersTimeout: timeoutMs, connectionsCheckingInterval: checkMs}, (request, response) => {
					read(request).then(async () => {
						ran.push(request.url ?? '');
						await pause(runMs);
						response.end('answer');
					}).catch(() => {
						// The request does not run
					});
				});
				const connections = new CallerConnections(server);
				server.listen(0, address);
				await once(server, 'listening');
				const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
				const caller = connect({host: address, port, allowHalfOpen: true});
				let text = '';
				caller.on('data', (chunk: Uint8Array) => {
					text += new TextDecoder().decode(chunk);
				});
				try {
					const connected = once(server, 'connection');
					caller.write(first);
					const [connection] = await connected as [Socket]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the event's parameter
					// The time for a request to arrive runs from when its first bytes are read
					while (connection.bytesRead < first.length) {
						await pause(1);
					}

					await (isBusy ? nextTurn() : pause(lateMs));
					caller.write(late);
					if (isBusy) {
						block(lateMs);
					}

					if (!caller.readableEnded) {
						await once(caller, 'end');
					}

					await pause(checkMs);
					expect([...text.matchAll(/HTTP\/1\.1 (?<status>\d{3})/gv)].map(({groups}) => groups?.status ?? '')).toEqual([...statuses]);
					expect(ran).toEqual([...runs]);
				} finally {
					caller.destroy();
					await connections.close();
				}
			});
		}
	}
});
