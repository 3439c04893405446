/**
 * Keep-alive connections to one endpoint, pooled by Node's HTTP agent. Safety:
 * a connection that delivered unsolicited bytes, or a response before the
 * whole request was written, is never reused, and carries no request id twice.
 */
import {Agent, type ClientRequest} from 'node:http';
import {Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {connect as connectSecurely} from 'node:tls';
import {type PeerTls} from '../core/peer-tls.js';

/** Idle timeout where the endpoint states none, in milliseconds: such an endpoint closes idle connections within a second. */
const defaultIdleMs = 300;
/** Subtracted from the idle timeout that the endpoint states, in milliseconds: endpoints state whole seconds, and timers fire late. */
const idleMarginMs = 1000;
/** Longest idle timeout, in milliseconds: endpoints may drop idle connections without closing them. */
const maxIdleMs = 20_000;

type ConnectionState = {
	idleMs: number;
	/** Time at which the idle timeout passes, by `performance.now()`. */
	idleUntil: number;
	isUnusable: boolean;
	/** Requests written so far. */
	requests: number;
	/** Ids of those of callers. */
	requestIds: Set<string>;
	/** Length of these ids together, in characters. */
	requestIdsLength: number;
	/** Names of reservations granted on the connection; undefined: none. */
	reservations: Set<string> | undefined;
};

/** Reservations granted on one connection after which it is not reused; bounds the names kept. */
const maxReservations = 1024;

/** Requests of callers on one connection after which it is not reused; bounds the ids kept. */
const maxRequestIds = 256;
/** Length of these ids together from which it is not reused, in characters: their callers choose them. */
const maxRequestIdsLength = 8192;

const states = new WeakMap<Duplex, ConnectionState>();

function stateOf(socket: Duplex): ConnectionState {
	let state = states.get(socket);
	if (state === undefined) {
		state = {
			idleMs: defaultIdleMs, idleUntil: Number.POSITIVE_INFINITY, isUnusable: false, requests: 0, requestIds: new Set(), requestIdsLength: 0, reservations: undefined,
		};
		states.set(socket, state);
	}

	return state;
}

/** Sets a connection's idle timeout from the one that the endpoint states, in milliseconds; undefined: it states none. */
export function setIdleTimeout(socket: Duplex, idleMs: number | undefined): void {
	stateOf(socket).idleMs = idleMs === undefined ? defaultIdleMs : Math.min(maxIdleMs, idleMs - idleMarginMs);
}

/** Keeps a connection from being reused. */
export function preventReuse(socket: Duplex): void {
	stateOf(socket).isUnusable = true;
}

/** What log lines show of a connection. */
export type ConnectionTrace = {
	/** Port of this host. */
	readonly connection: number;
	/** Requests that the connection carried before the current one; 0: it is new. */
	readonly earlierRequests: number;
};

/** Describes an open connection that a request is about to be written to. */
export function traceConnection(socket: Socket): ConnectionTrace {
	return {connection: socket.localPort ?? 0, earlierRequests: stateOf(socket).requests};
}

/** Records that a request is written to a connection; `id`: the caller's, which responses repeat. */
export function recordRequest(socket: Duplex, id: string | undefined): void {
	const state = stateOf(socket);
	state.requests += 1;
	if (id !== undefined) {
		state.requestIds.add(id);
		state.requestIdsLength += id.length;
		state.isUnusable ||= state.requestIds.size >= maxRequestIds || state.requestIdsLength >= maxRequestIdsLength;
	}
}

/** Whether a connection has carried a request with this id. */
export function hasCarried(socket: Duplex, id: string | undefined): boolean {
	return id !== undefined && stateOf(socket).requestIds.has(id);
}

/** Whether an idle connection is closed by either side. On a busy host a request can come before the timer of the idle timeout, when the endpoint may have closed the connection already. */
function isClosing(socket: Socket): boolean {
	return socket.destroyed || socket.readableEnded || stateOf(socket).idleUntil <= performance.now();
}

/** Records a reservation granted on a connection. Returns false for a duplicate of an earlier grant; the connection is then closed, since later responses on it are displaced too. */
export function recordReservation(socket: Duplex, reservation: string): boolean {
	const state = stateOf(socket);
	state.reservations ??= new Set();
	if (state.reservations.has(reservation)) {
		closeConnection(socket);
		return false;
	}

	state.reservations.add(reservation);
	state.isUnusable ||= state.reservations.size >= maxReservations;
	return true;
}

/** Closes a connection and removes it from its agent at once. The agent looks for it among the idle ones only once it is destroyed; a connection that stays there is used again after its last event, and the request on it never settles. */
function closeConnection(socket: Duplex): void {
	socket.destroy();
	socket.emit('agentRemove');
}

function closeOnData(this: Socket): void {
	closeConnection(this);
}

/** Whether a connection that is done with a request may carry another one. */
function isReusable(socket: Duplex): boolean {
	const {idleMs, isUnusable} = stateOf(socket);
	return !isUnusable && idleMs > 0 && socket.readableLength === 0;
}

/** Connection pool of one endpoint. */
export class ConnectionPool extends Agent {
	readonly #onOpen: () => void;
	readonly #tls: PeerTls | undefined;

	/** `onOpen` is called for each new connection; with `tls`, connections are encrypted and both sides show a certificate. */
	constructor(socketLimit: number, onOpen: () => void, tls?: PeerTls) {
		super({
			keepAlive: true, maxSockets: socketLimit, maxFreeSockets: socketLimit, scheduling: 'lifo', noDelay: true,
		});
		this.#onOpen = onOpen;
		this.#tls = tls;
		// While all connections are in use, Node passes one that becomes free to the next request without calling `keepSocketAlive`
		this.prependListener('free', (socket: Duplex) => {
			if (!isReusable(socket)) {
				socket.destroy();
			}
		});
	}

	/** Whether an idle connection is available. */
	get hasIdle(): boolean {
		return Object.values(this.freeSockets).some(sockets => sockets !== undefined && sockets.length > 0);
	}

	/** Whether any connection is established, idle or in use. */
	get isConnected(): boolean {
		const sockets = [...Object.values(this.freeSockets), ...Object.values(this.sockets)].flat();
		return sockets.some(socket => socket !== undefined && !socket.destroyed && !socket.connecting);
	}

	/** Closes the idle connections that match or that Node's agent would use although they are closed: it keeps them until their close is reported. */
	closeIdle(isMatch: (socket: Socket) => boolean): void {
		for (const sockets of Object.values(this.freeSockets)) {
			// Closing a connection changes the list
			for (const socket of [...sockets ?? []].filter(each => isClosing(each) || isMatch(each))) {
				closeConnection(socket);
			}
		}
	}

	override createConnection(...parameters: Parameters<Agent['createConnection']>): ReturnType<Agent['createConnection']> {
		this.#onOpen();
		const [{host, port}] = parameters;
		return this.#tls === undefined ? super.createConnection(...parameters) : connectSecurely({...this.#tls, host: host ?? undefined, port: Number(port)});
	}

	/** Called by Node when a request is done; returns whether the connection stays in the pool. */
	override keepSocketAlive(socket: Duplex): boolean { // eslint-disable-line @typescript-eslint/strict-void-return -- Node uses the return value, which its types omit
		if (!isReusable(socket) || !(socket instanceof Socket)) {
			return false;
		}

		const state = stateOf(socket);
		state.idleUntil = performance.now() + state.idleMs;
		socket.setTimeout(state.idleMs);
		// Bytes on an idle connection belong to no request
		socket.on('data', closeOnData);
		return true;
	}

	/** Called by Node when an idle connection is reused. */
	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		// Removes the error listener that Node's agent adds to idle connections
		super.reuseSocket(socket, request);
		socket.off('data', closeOnData);
		if (socket instanceof Socket) {
			socket.setTimeout(0);
		}
	}
}
