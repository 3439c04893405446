/** Guards against error responses that promise "not run" for a request that may have run. */
import {once} from 'node:events';
import {createServer, type IncomingMessage, request as httpRequest} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Reply} from './reply.js';

const address = '127.0.0.1';

const cases: ReadonlyArray<{readonly name: string; readonly mayHaveRun: boolean; readonly isRepeatable: boolean; readonly isToHost: boolean; readonly status: number}> = [
	{
		name: 'a request that has not run', mayHaveRun: false, isRepeatable: false, isToHost: false, status: 503,
	},
	{
		name: 'a request that may have run', mayHaveRun: true, isRepeatable: false, isToHost: false, status: 502,
	},
	{
		name: 'a repeatable request that may have run', mayHaveRun: true, isRepeatable: true, isToHost: false, status: 503,
	},
	{
		name: 'a forwarded request that has not run', mayHaveRun: false, isRepeatable: false, isToHost: true, status: 503,
	},
	{
		name: 'a forwarded request that may have run, and is repeatable by the configuration of this host only', mayHaveRun: true, isRepeatable: true, isToHost: true, status: 502,
	},
];

describe('error responses', () => {
	for (const {name, mayHaveRun, isRepeatable, isToHost, status} of cases) {
		it(`${name}: ${status}`, async () => {
			const server = createServer((_request, response) => {
				new Reply(response, () => 0, () => true, isToHost).sendError('contentHeld', {mayHaveRun, isRepeatable});
			});
			server.listen(0, address);
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			try {
				const call = httpRequest({host: address, port, agent: false});
				const response = new Promise<IncomingMessage>((resolve, reject) => {
					call.once('response', resolve);
					call.once('error', reject);
				});
				call.end();
				const {statusCode} = await response;
				expect(statusCode).toEqual(status);
			} finally {
				server.close();
				server.closeAllConnections();
			}
		});
	}
});
