/** A request that nobody answers must not pass for one whose caller left. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {ignore} from '@gatehead/policy/utils/ignore';
import {seedRandom} from '@gatehead/policy/utils/random';
import {expect} from 'earl';
import {CallerPool, sendUntil} from './callers.js';

describe('callers that get no response', () => {
	for (const {name, leavingShare, hasLeft} of [{name: 'leave if that is their part', leavingShare: 1, hasLeft: true}, {name: 'give up otherwise', leavingShare: 0, hasLeft: false}]) {
		it(name, {timeout: 20_000}, async () => {
			const server = createServer(ignore);
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
			const connections = new CallerPool(1000);
			let isOver = false;
			try {
				const sending = sendUntil({
					random: seedRandom(1), hosts: [`127.0.0.1:${port}`], connections, longBodyShare: 0, longBodyBytes: 0, leavingShare, patienceMs: 100, paths: ['/once/'],
				}, 100, () => isOver);
				isOver = true;
				const attempts = await sending;
				expect(attempts.map(attempt => [attempt.hasLeft, attempt.hasGivenUp])).toEqual([[hasLeft, !hasLeft]]);
			} finally {
				connections.destroy();
				server.closeAllConnections();
				server.close();
			}
		});
	}
});
