/** Addresses that were found stay free while others take their ports elsewhere on the machine. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {describe, it} from 'node:test';
import {splitAddress} from '@gatehead/schema/address';
import {expect} from 'earl';
import {findAddresses} from './ports.js';

async function bind(port: number, ip: string): Promise<Server> {
	const server = createServer().listen(port, ip);
	await once(server, 'listening');
	return server;
}

describe('ports', () => {
	it('an address that was found can be bound though its port is taken at the usual one', async () => {
		for (const address of await findAddresses(4)) {
			const {ip, port} = splitAddress(address);
			const other = await bind(port, '127.0.0.1').catch(() => undefined);
			const own = await bind(port, ip);
			expect(own.listening).toEqual(true);
			own.close();
			other?.close();
		}
	});
});
