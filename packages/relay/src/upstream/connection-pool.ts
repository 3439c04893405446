/**
 * Keep-alive connections to one endpoint, pooled by Node's HTTP agent. Safety:
 * a connection that delivered unsolicited bytes, or a response before the
 * whole request was written, is never reused.
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
	/** Requests sent before the current one. */
	earlierRequests: number;
	/** Names of reservations granted on the connection; undefined: none. */
	reservations: Set<string> | undefined;
};

/** Reservations granted on one connection after which it is not reused; bounds the names kept. */
const maxReservations = 1024;

const states = new WeakMap<Duplex, ConnectionState>();

function stateOf(socket: Duplex): ConnectionState {
	let state = states.get(socket);
	if (state === undefined) {
		state = {
			idleMs: defaultIdleMs, idleUntil: Number.POSITIVE_INFINITY, isUnusable: false, earlierRequests: 0, reservations: undefined,
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

/** Whether an idle connection's timeout has passed. On a busy host a request can come before the timer, when the endpoint may have closed the connection already. */
export function isOverdue(socket: Duplex): boolean {
	return stateOf(socket).idleUntil <= performance.now();
}

/** Number of requests that a connection carried before the current one. */
export function countEarlierRequests(socket: Duplex): number {
	return stateOf(socket).earlierRequests;
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

/** Closes a connection that is not in use. Its agent must forget it first: a destroyed connection stays in the agent's list until it reports its close, and a request would fail on it. */
function closeConnection(socket: Duplex): void {
	socket.emit('agentRemove');
	socket.destroy();
}

function closeOnData(this: Socket): void {
	closeConnection(this);
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

	/** Closes the idle connections that match. */
	closeIdle(isMatch: (socket: Socket) => boolean): void {
		for (const sockets of Object.values(this.freeSockets)) {
			// Closing a connection changes the list
			for (const socket of [...sockets ?? []].filter(each => isMatch(each))) {
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
	override keepSocketAlive(socket: Duplex): boolean { // eslint-disable-line @typescript-eslint/strict-void-return -- Node reads the value, its types do not say so
		const {idleMs, isUnusable} = stateOf(socket);
		if (isUnusable || idleMs <= 0 || socket.readableLength > 0 || !(socket instanceof Socket)) {
			return false;
		}

		stateOf(socket).idleUntil = performance.now() + idleMs;
		socket.setTimeout(idleMs);
		// Bytes on an idle connection belong to no request
		socket.on('data', closeOnData);
		return true;
	}

	/** Called by Node when an idle connection is reused. */
	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		// Removes the error listener that Node's agent adds to idle connections
		super.reuseSocket(socket, request);
		socket.off('data', closeOnData);
		stateOf(socket).earlierRequests += 1;
		if (socket instanceof Socket) {
			socket.setTimeout(0);
		}
	}
}
