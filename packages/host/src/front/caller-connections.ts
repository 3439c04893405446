/**
 * Tracks the connections of an HTTP server, rejects malformed requests and
 * closes all connections on shutdown. Safety: a malformed request is rejected
 * before anything is sent to an endpoint.
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {rejectMalformedRequest} from './malformed-request.js';

/** Open connections of one server. */
export class CallerConnections {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(server: Server) {
		this.#server = server;
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			rejectMalformedRequest(error, socket);
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Stops listening and destroys all open connections. */
	async close(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await closed;
	}
}
