/** Binds an HTTP server to one of the process's own addresses. Neither safety nor efficiency rests here. */
import {type Server} from 'node:http';
import {joinAddress, splitAddress} from '@gatehead/schema/address';
import {Failure} from '@gatehead/schema/failure';

/** Starts to listen; resolves with the bound address, whose port the system chose where the wanted one is 0. */
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
