/** Free ports for processes that must know theirs before they start. */
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

/**
 * Loopback addresses of this process alone. Connections that others open take
 * their ports at 127.0.0.1, so a port that was found stays free here.
 */
export const ownNetwork = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
/** An address of this process alone. */
export const ownAddress = `${ownNetwork}.1`;

/** Reserves free ports by binding and closing them. */
export async function findPorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports: number[] = [];
	for (const server of servers) {
		server.listen(0, ownAddress);
		await once(server, 'listening');
		const address = server.address();
		ports.push(typeof address === 'object' && address !== null ? address.port : 0);
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return ports;
}

/** Free addresses of this process alone, for processes that must know theirs before they start. */
export async function findAddresses(count: number): Promise<string[]> {
	const ports = await findPorts(count);
	return ports.map(port => `${ownAddress}:${port}`);
}
