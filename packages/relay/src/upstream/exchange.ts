/**
 * One HTTP exchange with an endpoint. Safety: `mayHaveBeenSent` is true as
 * soon as a byte of the request may have reached the endpoint. Only an error
 * with `mayHaveBeenSent` false proves that the request did not run. No part of
 * a response is used before it is known to answer the request, and every
 * exchange settles exactly once, whatever arrives.
 */
import {
	request as httpRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {receiveChunks} from '@gatehead/host/utils/receive-chunks';
import {receiveHead} from '@gatehead/host/utils/response-head';
import {parserOptions} from '@gatehead/host/utils/response-syntax';
import {splitAddress} from '@gatehead/schema/address';
import {type IncomingPlace} from '@gatehead/policy/relay/incoming-budget';
import {type ByteBlocks} from '@gatehead/policy/utils/byte-blocks';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {type IncomingMemory, type IncomingShare} from '../utils/incoming-memory.js';
import {readBytes} from '../utils/read-bytes.js';
import {startTimeout} from '../utils/start-timeout.js';
import {
	hasCarried, preventReuse, recordRequest, type ConnectionPool,
} from './connection-pool.js';

/** A request to an endpoint. */
export type OutgoingRequest = {
	readonly address: string;
	readonly method: string;
	/** Path and query, as the caller sent them. */
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
};

/** `foreign`: the response does not answer the request. */
export type ExchangeFault = 'connect' | 'reset' | 'silent' | 'aborted' | 'tooLarge' | 'foreign';

/** A failed exchange. `mayHaveBeenSent`: a byte of the request may have reached the endpoint. `isLinkFailure`: an attempt to connect failed. */
export class ExchangeError extends Error {
	readonly mayHaveBeenSent: boolean;
	readonly fault: ExchangeFault;
	readonly isLinkFailure: boolean;

	constructor(fault: ExchangeFault, mayHaveBeenSent: boolean, cause?: unknown, isLinkFailure = false) {
		super(`${fault}${cause instanceof Error ? `: ${cause.message}` : ''}`, {cause});
		this.fault = fault;
		this.mayHaveBeenSent = mayHaveBeenSent;
		this.isLinkFailure = isLinkFailure;
	}

	/** Whether nothing listens at the address. */
	get isRefused(): boolean {
		return this.isLinkFailure && this.cause instanceof Error && 'code' in this.cause && this.cause.code === 'ECONNREFUSED';
	}
}

/** Timeouts, cancellation and verification of an exchange. */
export type ExchangeOptions<Facts> = {
	readonly clock: Clock;
	readonly connectMs: number;
	/** Time until the response headers, from when the request is written, in milliseconds. */
	readonly headMs: number;
	readonly signal: AbortSignal;
	/** Reads what the response states; undefined if it does not answer this request. Nothing else of a response is used before. */
	readonly verify: (response: IncomingMessage) => Facts | undefined;
	/** Id of the request, which responses repeat. Connections that carried it before, also for a caller that sends it again, are not used: a duplicate of the earlier response could not be told from a new one there. */
	readonly requestId?: string;
	/** Called with the connection right before the first byte is written; if it returns false, nothing is sent. */
	readonly maySend?: (socket: Socket) => boolean;
	/** Whether the connection is closed once the response has ended while a part of the body is unread; otherwise both stay until the endpoint closes the connection. */
	readonly releasesBody?: boolean;
	/** Called when a new connection is established. */
	readonly onConnected?: () => void;
};

/** A response that answers the request, and what it states. */
export type VerifiedResponse<Facts> = {
	readonly response: IncomingMessage;
	readonly facts: Facts;
};

type ExchangeState = {
	mayHaveBeenSent: boolean;
	fault: ExchangeFault;
	timer: Timer | undefined;
	/** Whether a new connection was attempted; false while all connections of the pool are in use. */
	isConnecting: boolean;
	/** Whether the request got a connection that had carried others. */
	isKept: boolean;
	/** Whether the time for a connection has passed. */
	isLate: boolean;
	hasFailed: boolean;
};

/** Turns of the event loop in which a close that has arrived on a kept connection is read: the turn that is under way may be past its reads. */
const closeTurns = 2;

/** Writes the request to its established connection. */
function sendRequest<Facts>(clientRequest: ClientRequest, socket: Socket, outgoing: OutgoingRequest, options: ExchangeOptions<Facts>, state: ExchangeState): void {
	if (socket.destroyed || options.signal.aborted || hasCarried(socket, options.requestId) || options.maySend?.(socket) === false) {
		state.fault = 'aborted';
		clientRequest.destroy(new Error('canceled before the request was sent'));
		return;
	}

	recordRequest(socket, options.requestId);
	state.mayHaveBeenSent = true;
	state.fault = 'reset';
	state.timer?.stop();
	state.timer = startTimeout(options.clock, options.headMs, () => {
		state.fault = 'silent';
		clientRequest.destroy(new Error('timed out waiting for the response headers'));
	});
	if (outgoing.body === undefined) {
		clientRequest.end();
	} else {
		clientRequest.end(outgoing.body);
	}

	clientRequest.once('response', response => {
		// The rest of the body would still go out on the connection
		if (clientRequest.writableFinished) {
			return;
		}

		preventReuse(socket);
		if (options.releasesBody === true) {
			response.once('close', () => {
				releaseBody(clientRequest);
			});
		}
	});
}

/** Writes the request to a kept connection, unless the endpoint turns out to have closed it before: on a busy host that may be unread, and whether a request written behind it has run is not known. */
async function sendOnKept<Facts>(clientRequest: ClientRequest, socket: Socket, outgoing: OutgoingRequest, options: ExchangeOptions<Facts>, state: ExchangeState): Promise<void> {
	state.isKept = true;
	for (let turn = 0; turn < closeTurns; turn += 1) {
		await nextTurn();
	}

	if (!state.hasFailed) {
		sendRequest(clientRequest, socket, outgoing, options, state);
	}
}

/** Destroys a request. Node reports this only once the request has a connection, for which it may wait as long as the pool's are in use. */
function destroyRequest(clientRequest: ClientRequest, error: Error): void {
	const isWaiting = clientRequest.socket === null;
	clientRequest.destroy(error);
	if (isWaiting) {
		clientRequest.emit('error', error);
	}
}

/** Closes the connection of a request whose body the endpoint has not read. */
function releaseBody(clientRequest: ClientRequest): void {
	if (!clientRequest.writableFinished) {
		clientRequest.destroy();
	}
}

/** Sends a request and resolves once the headers of its response arrive; rejects with an `ExchangeError`. */
export async function exchange<Facts>(outgoing: OutgoingRequest, connections: ConnectionPool, options: ExchangeOptions<Facts>): Promise<VerifiedResponse<Facts>> {
	const {ip, port} = splitAddress(outgoing.address);
	const {clock, signal, requestId} = options;
	const state: ExchangeState = {
		mayHaveBeenSent: false, fault: 'connect', timer: undefined, isConnecting: false, isKept: false, isLate: false, hasFailed: false,
	};
	connections.closeIdle(socket => requestId !== undefined && hasCarried(socket, requestId));
	const clientRequest = httpRequest({
		host: ip, port, method: outgoing.method, path: outgoing.target, headers: outgoing.headers, agent: connections, ...parserOptions,
	});
	state.timer = startTimeout(clock, options.connectMs, () => {
		state.isLate = true;
		destroyRequest(clientRequest, new Error('timed out waiting for a connection'));
	});
	const abort = () => {
		state.fault = 'aborted';
		destroyRequest(clientRequest, new Error('aborted'));
	};

	signal.addEventListener('abort', abort, {once: true});
	clientRequest.once('socket', socket => {
		if (socket.connecting) {
			state.isConnecting = true;
			socket.once('connect', () => {
				options.onConnected?.();
				sendRequest(clientRequest, socket, outgoing, options, state);
			});
		} else if (clientRequest.reusedSocket) {
			void sendOnKept(clientRequest, socket, outgoing, options, state);
		} else {
			sendRequest(clientRequest, socket, outgoing, options, state);
		}
	});
	clientRequest.once('response', response => {
		state.timer?.stop();
		response.once('close', () => {
			signal.removeEventListener('abort', abort);
		});
	});
	try {
		const response = await receiveHead(clientRequest);
		if (!state.mayHaveBeenSent) {
			response.on('error', ignore);
			throw new Error('a response came before the request');
		}

		return verifyResponse(response, options);
	} catch (error) {
		state.hasFailed = true;
		state.timer?.stop();
		signal.removeEventListener('abort', abort);
		// Each such failure takes a closed connection out of the pool
		if (state.isKept && state.fault === 'connect' && !state.isLate) {
			clientRequest.destroy();
			return exchange(outgoing, connections, options);
		}

		throw error instanceof ExchangeError ? error : new ExchangeError(state.fault, state.mayHaveBeenSent, error, state.isConnecting && state.fault === 'connect');
	}
}

/** Returns what a response states. Closes the connection and throws if the response does not answer the request: what follows on the connection cannot be attributed either. */
function verifyResponse<Facts>(response: IncomingMessage, {verify}: Pick<ExchangeOptions<Facts>, 'verify'>): VerifiedResponse<Facts> {
	response.on('error', ignore);
	const facts = verify(response);
	if (facts === undefined) {
		preventReuse(response.socket);
		response.destroy();
		throw new ExchangeError('foreign', true, new Error('the response does not answer this request'));
	}

	return {response, facts};
}

/** Bounds of a response's body. */
export type BodyLimits = {
	readonly maxBytes: number;
	/** Time from the head to the end of the body, in milliseconds; undefined: as long as the exchange may take. */
	readonly timeoutMs?: number | undefined;
	/** Share of the host's memory that the body takes; absent: it is not counted. */
	readonly share?: IncomingShare | undefined;
};

/** Opens the share of a response. It gives way as one that is too large; once it is complete, `onUnread` closes the reply that it is sent with. */
export function openShare(incoming: IncomingMemory, place: IncomingPlace, response: IncomingMessage, onUnread: () => void = ignore): IncomingShare {
	return incoming.open(place, {
		giveWay() {
			if (response.readableEnded) {
				onUnread();
			} else {
				response.destroy(makeMemoryError());
			}
		},
	});
}

/** Error of a response that gave way to others. */
export function makeMemoryError(): ExchangeError {
	return new ExchangeError('tooLarge', true, new Error('the host has no memory for the response'));
}

/** Reads a body into one piece; rejects as `readBlocks` does. Its share is released. */
export async function readBody(response: IncomingMessage, clock: Clock, limits: BodyLimits): Promise<Uint8Array> {
	try {
		const blocks = await readBlocks(response, clock, limits);
		return blocks.toBytes();
	} finally {
		limits.share?.release();
	}
}

/** Reads a body; rejects with an `ExchangeError` if it is truncated, too large or late, and releases its share. */
export async function readBlocks(response: IncomingMessage, clock: Clock, {maxBytes, timeoutMs, share}: BodyLimits): Promise<ByteBlocks> {
	const timer = timeoutMs === undefined
		? undefined
		: startTimeout(clock, timeoutMs, () => {
			response.destroy(new ExchangeError('silent', true, new Error('timed out waiting for the end of the body')));
		});
	try {
		return await readBytes(receiveChunks(response), response, {maxBytes, makeTooLarge: () => new ExchangeError('tooLarge', true), share});
	} catch (error) {
		share?.release();
		throw error instanceof ExchangeError ? error : new ExchangeError('reset', true, error);
	} finally {
		timer?.stop();
	}
}

/** Largest body of a response that is discarded so that its connection can be reused, in bytes. */
const maxDiscardedBytes = 16_384;
/** Time for such a body to end, in milliseconds. */
const discardTimeoutMs = 250;

/** Discards the body of a response whose head was enough. Closes the connection if the body is long or late. */
export function discardBody(response: IncomingMessage, clock: Clock): void {
	let size = 0;
	const timer = clock.after(discardTimeoutMs, () => {
		response.destroy();
	});
	response.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size > maxDiscardedBytes) {
			response.destroy();
		}
	});
	response.once('close', () => {
		timer.stop();
	});
}
