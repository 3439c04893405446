/**
 * The connections of a server towards callers: what makes no request is
 * refused, and all are cut at the end. Safety: of what is refused here nothing
 * was passed on, so nothing ran.
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {refuseRaw} from './raw-refusal.js';

/** The connections of one server. */
export class CallerConnections {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(server: Server) {
		this.#server = server;
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			refuseRaw(error, socket);
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Stops listening and cuts what is still connected. */
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
