/** Binds HTTP servers to addresses. */
import {type Server} from 'node:http';
import {joinAddress, splitAddress} from '@gatehead/schema/address';
import {Failure} from '@gatehead/schema/failure';

/** Starts listening and resolves with the bound address; with port 0 the system chooses the port. Throws `addressInUse`. */
export async function listenAt(server: Server, address: string): Promise<string> {
	const {ip, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', error => {
			reject(new Failure('addressInUse', {cause: error, detail: address}));
		});
		server.listen(port, ip, resolve);
	});
	const bound = server.address();
	return joinAddress({ip, port: typeof bound === 'object' && bound !== null ? bound.port : port});
}
