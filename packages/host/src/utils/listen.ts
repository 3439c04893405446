/** Binds servers to addresses. */
import {type Server} from 'node:net';
import {joinAddress, splitAddress} from '@gatehead/schema/address';
import {Failure} from '@gatehead/schema/failure';
import {errorCode} from './error-code.js';
import {type Log} from './log.js';
import {type StartWait} from './start-wait.js';

/** Errors of the system that may be over at the next attempt: another process holds the address, the interface has none yet, or a resource is short. */
const passingErrors = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']);

/** What listening takes from the process. */
export type ListenContext = {
	readonly log: Log;
	/** Absent: an address that cannot be bound is not waited for. */
	readonly startWait?: StartWait | undefined;
};

async function bind(server: Server, address: string): Promise<void> {
	const {ip, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		const fail = (error: Error) => {
			server.off('listening', succeed);
			reject(new Failure('addressInUse', {cause: error, detail: address}));
		};

		const succeed = () => {
			server.off('error', fail);
			resolve();
		};

		server.once('error', fail);
		server.once('listening', succeed);
		server.listen(port, ip);
	});
}

/** Starts listening and resolves with the bound address; later errors of the server are logged, and it goes on listening. With port 0 the system chooses the port. Throws `addressInUse`. */
export async function listenAt(server: Server, address: string, {log, startWait}: ListenContext): Promise<string> {
	const attempt = async () => bind(server, address);
	await (startWait === undefined ? attempt() : startWait.retry(address, attempt, error => passingErrors.has(errorCode(error))));
	// Node reports a connection that the system could not accept as an error of the server
	server.on('error', error => {
		log('acceptFailed', {address, detail: error.message});
	});
	const {ip, port} = splitAddress(address);
	const bound = server.address();
	return joinAddress({ip, port: typeof bound === 'object' && bound !== null ? bound.port : port});
}
