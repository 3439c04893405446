/**
 * Tracks the connections of an HTTP server, rejects malformed requests and
 * closes idle connections. Safety: a malformed request is rejected before
 * anything is sent to an endpoint, and an idle connection is one whose
 * responses have all been delivered and on which nothing else has arrived.
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {rejectMalformedRequest} from './malformed-request.js';

/** Use of a connection that has carried a request. */
type ConnectionUse = {
	/** Responses that are not delivered yet. */
	openResponses: number;
	/** Bytes read by the time the last response was delivered. */
	bytesRead: number;
	/** Idle timeout that was in effect then, in milliseconds. */
	idleTimeoutMs: number;
};

/** Open connections of one server. */
export class CallerConnections {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #uses = new Map<Socket, ConnectionUse>();

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
		server.prependListener('request', ({socket}: IncomingMessage, response: ServerResponse) => {
			this.#trackResponse(socket, response);
		});
		// Without a listener Node closes the connection
		server.on('timeout', (socket: Socket) => {
			this.#handleIdleTimeout(socket);
		});
	}

	/** Closes idle connections. Node's `closeIdleConnections` also closes those on which a complete response is still being delivered. */
	closeIdle(): void {
		for (const [socket, {bytesRead}] of this.#uses) {
			this.#closeIfUnused(socket, bytesRead);
		}
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

	#trackResponse(socket: Socket, response: ServerResponse): void {
		const use = this.#useOf(socket);
		use.openResponses += 1;
		response.once('close', () => {
			use.openResponses -= 1;
			use.bytesRead = socket.bytesRead;
			use.idleTimeoutMs = this.#server.keepAliveTimeout;
		});
	}

	/** Keeps a connection open for longer if the idle timeout was raised while it was idle: callers rely on the newest one. */
	#handleIdleTimeout(socket: Socket): void {
		const use = this.#useOf(socket);
		const {keepAliveTimeout} = this.#server;
		if (keepAliveTimeout > use.idleTimeoutMs) {
			use.idleTimeoutMs = keepAliveTimeout;
			socket.setTimeout(keepAliveTimeout);
		} else {
			this.#closeIfUnused(socket, socket.bytesRead);
		}
	}

	/** Closes a connection without a response, unless more than `bytesRead` has arrived. On a busy host timers can run before a request that arrived in time is read. */
	#closeIfUnused(socket: Socket, bytesRead: number): void {
		setImmediate(() => {
			if (this.#uses.get(socket)?.openResponses === 0 && socket.bytesRead === bytesRead) {
				socket.destroy();
			}
		});
	}

	#useOf(socket: Socket): ConnectionUse {
		let use = this.#uses.get(socket);
		if (use === undefined) {
			use = {openResponses: 0, bytesRead: 0, idleTimeoutMs: this.#server.keepAliveTimeout};
			this.#uses.set(socket, use);
			socket.once('close', () => {
				this.#uses.delete(socket);
			});
		}

		return use;
	}
}
