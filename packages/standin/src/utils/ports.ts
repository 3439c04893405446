/** Free ports for processes that must know theirs before they start. */
import {once} from 'node:events';
import {createServer} from 'node:net';

/** Reserves free ports by binding and closing them. */
export async function findPorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports: number[] = [];
	for (const server of servers) {
		server.listen(0, '127.0.0.1');
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
