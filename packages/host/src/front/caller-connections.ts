/**
 * Tracks the connections of an HTTP server, rejects malformed requests and
 * closes idle connections. Safety: the rejection of a malformed or late
 * request follows the responses to earlier ones, and the request never runs;
 * an idle connection is one whose responses have all been delivered and on
 * which nothing else has arrived.
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type Code} from '@gatehead/schema/codes';
import {canProbe, probeCaller} from './half-closed-caller.js';
import {rejectMalformedRequest} from './malformed-request.js';
import {isRejected, markRejected} from './rejected-requests.js';

/** Time for which a caller can read a rejection and go on sending, in milliseconds; closing earlier could reset the connection before the rejection is read. */
const lingerMs = 2000;

/** Why a connection was closed from this side. */
export type CloseCause = 'idle' | 'stop' | 'fault';

/** Handlers for what happens to connections. */
export type ConnectionListener = {
	/** A malformed or late request gets an error response. */
	readonly onRejected: (code: Code) => void;
	/** Whether requests are answered whose caller has ended its side of the connection and reads on; absent: it has left. */
	readonly answersHalfClosed?: boolean;
	/** A connection is closed from this side; `pending`: requests on it whose response is not delivered. */
	readonly onClosed: (cause: CloseCause, pending: number) => void;
};

const noListener: ConnectionListener = {onRejected: ignore, onClosed: ignore};

/** Use of a connection. */
type ConnectionUse = {
	/** Responses that are not delivered yet. */
	readonly openResponses: Set<ServerResponse>;
	/** Bytes read by the time the last response was delivered. */
	bytesRead: number;
	/** Idle timeout that was in effect then, in milliseconds. */
	idleTimeoutMs: number;
	/** Why nothing that arrives from now on is processed; undefined: it is. */
	fault: NodeJS.ErrnoException | undefined;
};

/** Whether a request that may be running has no complete response yet. */
function isAwaitingResponse({openResponses}: ConnectionUse): boolean {
	return [...openResponses].some(({req}) => !isRejected(req));
}

/** Closes the responses of a closed connection that wait for an earlier one. Node reports the close of the earlier one only. */
function closeQueued(responses: ReadonlySet<ServerResponse>): void {
	for (const response of [...responses].filter(({socket}) => socket === null)) {
		response.destroy();
		response.emit('close');
	}
}

/** Open connections of one server. */
export class CallerConnections {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #uses = new Map<Socket, ConnectionUse>();
	readonly #listener: ConnectionListener;
	#arrivals = 0;

	constructor(server: Server, listener: ConnectionListener = noListener) {
		this.#server = server;
		this.#listener = listener;
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#handleFault(error, socket);
		});
		// Without a listener Node closes the connection, with the requests before this one
		server.on('connect', (_request: IncomingMessage, socket: Socket) => {
			// Node no longer reads the connection, nor handles its errors
			socket.on('error', ignore);
			this.#handleFault(new Error('the host is no tunnel'), socket);
		});
		// Node's option for it has no type; it keeps the connection open until the last response
		Object.assign(server, {httpAllowHalfOpen: listener.answersHalfClosed === true});
		server.on('connection', socket => {
			this.#arrivals += 1;
			this.#sockets.add(socket);
			if (listener.answersHalfClosed === true) {
				socket.once('end', () => {
					this.#handleEnd(socket);
				});
			}

			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
			this.#arrivals += 1;
			this.#trackResponse(request, response);
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

	/** Whether no other request has arrived on its connection behind the one that a response answers. The end of a response that closes the connection loses all that are behind it. */
	isLast(response: ServerResponse): boolean {
		const {openResponses} = this.#uses.get(response.req.socket) ?? {};
		return openResponses === undefined || [...openResponses].at(-1) === response;
	}

	/** Connections and requests that have arrived so far. */
	get arrivals(): number {
		return this.#arrivals;
	}

	/** Open connections. */
	get count(): number {
		return this.#sockets.size;
	}

	/** Stops listening; accepted connections stay open. Node's `close` of an HTTP server also destroys those on which a complete response is still being delivered. */
	stopListening(): void {
		NetServer.prototype.close.call(this.#server);
	}

	/** Stops listening and destroys all open connections. */
	async close(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const socket of this.#sockets) {
			this.#closeSocket(socket, 'stop');
		}

		await closed;
	}

	#trackResponse(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const use = this.#useOf(socket);
		if (use.fault !== undefined) {
			markRejected(request);
		}

		use.openResponses.add(response);
		response.once('close', () => {
			use.openResponses.delete(response);
			use.bytesRead = socket.bytesRead;
			use.idleTimeoutMs = this.#server.keepAliveTimeout;
			this.#rejectFault(socket, use);
		});
	}

	/** Answers the requests of a caller that has ended its side, if it can be found out whether it reads on. One that closes the connection in the middle of a response would go unnoticed while nothing is written. */
	#handleEnd(socket: Socket): void {
		const current = [...this.#uses.get(socket)?.openResponses ?? []].find(response => response.socket !== null);
		// The connection of a request that its caller has ended, or that is rejected, is being closed
		if (current === undefined || isRejected(current.req) || !socket.writable) {
			return;
		}

		if (canProbe(current)) {
			probeCaller(current);
		} else if (!current.writableEnded) {
			socket.end();
			return;
		}

		current.once('close', () => {
			this.#handleEnd(socket);
		});
	}

	/** Handles malformed bytes, or a request that is not complete in time. */
	#handleFault(error: NodeJS.ErrnoException, socket: Socket): void {
		if (this.#uses.get(socket)?.fault !== undefined) {
			return;
		}

		if (!socket.writable) {
			socket.destroy();
			return;
		}

		const use = this.#useOf(socket);
		for (const {req} of use.openResponses) {
			if (!req.complete) {
				markRejected(req);
			}
		}

		// A caller that closes its side in the middle of a request has left
		if (socket.readableEnded && isAwaitingResponse(use)) {
			socket.end();
			return;
		}

		use.fault = error;
		this.#rejectFault(socket, use);
	}

	/** Responds to malformed bytes once the responses to the requests before them are delivered. */
	#rejectFault(socket: Socket, use: ConnectionUse): void {
		if (use.fault === undefined || isAwaitingResponse(use) || !socket.writable) {
			return;
		}

		this.#listener.onRejected(rejectMalformedRequest(use.fault, socket));
		const timer = setTimeout(() => {
			this.#closeSocket(socket, 'fault');
		}, lingerMs);
		socket.once('close', () => {
			clearTimeout(timer);
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
			if (this.#uses.get(socket)?.openResponses.size === 0 && socket.bytesRead === bytesRead) {
				this.#closeSocket(socket, 'idle');
			}
		});
	}

	#closeSocket(socket: Socket, cause: CloseCause): void {
		this.#listener.onClosed(cause, this.#uses.get(socket)?.openResponses.size ?? 0);
		socket.destroy();
	}

	#useOf(socket: Socket): ConnectionUse {
		let use = this.#uses.get(socket);
		if (use === undefined) {
			use = {
				openResponses: new Set(), bytesRead: 0, idleTimeoutMs: this.#server.keepAliveTimeout, fault: undefined,
			};
			this.#uses.set(socket, use);
			const {openResponses} = use;
			socket.once('close', () => {
				this.#uses.delete(socket);
				closeQueued(openResponses);
			});
		}

		return use;
	}
}
