/**
 * One HTTP exchange with an endpoint. Safety: `left` is true from the moment
 * on at which a byte of the request may have reached the endpoint; only an
 * error with `left` unset proves that the request did not run.
 */
import {
	request as httpRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {splitAddress} from '@gatehead/schema/address';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {readBytes} from '../utils/read-bytes.js';
import {spoil, type Connections} from './connections.js';

/** What is sent. */
export type Order = {
	readonly address: string;
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Names and values by turns. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
};

/** Why an exchange failed. */
export type ExchangeFault = 'connect' | 'reset' | 'silent' | 'aborted' | 'tooLarge';

/** A failed exchange. */
export class ExchangeError extends Error {
	readonly left: boolean;
	readonly fault: ExchangeFault;

	constructor(fault: ExchangeFault, left: boolean, cause?: unknown) {
		super(`${fault}${cause instanceof Error ? `: ${cause.message}` : ''}`, {cause});
		this.fault = fault;
		this.left = left;
	}
}

/** Answers whose connection failed behind their head: Node calls one without a length complete even then. */
const cutAnswers = new WeakSet<IncomingMessage>();

/** Whether an answer that has ended lacks a part. */
export function isCut(response: IncomingMessage): boolean {
	return !response.complete || cutAnswers.has(response);
}

/** Whether an answer ends with its connection alone. */
function isUnframed({headers}: IncomingMessage): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Tells a closed connection from a reset one. libuv reports a plain end where
 * a reset comes together with the last bytes, and the error is lost; a write
 * brings it out. The other side has closed and reads no more.
 */
function probeEnd(response: IncomingMessage): void {
	const {socket} = response;
	socket.prependOnceListener('end', () => {
		if (socket.writable) {
			socket.write('\r\n', error => {
				if (error) {
					cutAnswers.add(response);
				}
			});
		}
	});
}

/** Waits until a reset that came with an answer's last bytes has shown itself. */
export async function settleEnd(response: IncomingMessage): Promise<void> {
	if (isUnframed(response)) {
		await setImmediate();
		await setImmediate();
	}
}

/** How long an exchange may take until its head is there, and what ends it. */
export type ExchangeLimits = {
	readonly clock: Clock;
	readonly connectMs: number;
	/** Time until the answer's head, from the start. */
	readonly headMs: number;
	readonly signal: AbortSignal;
	/** Asked right before the first byte leaves; false: nothing is sent. */
	readonly mayLeave?: () => boolean;
};

type ExchangeState = {
	left: boolean;
	fault: ExchangeFault;
	timer: Timer | undefined;
};

/** Writes the request once its connection is there. */
function writeOn(call: ClientRequest, socket: Socket, order: Order, limits: ExchangeLimits, state: ExchangeState): void {
	if (limits.signal.aborted || limits.mayLeave?.() === false) {
		state.fault = 'aborted';
		call.destroy(new Error('no longer wanted'));
		return;
	}

	state.left = true;
	state.fault = 'reset';
	state.timer?.stop();
	state.timer = limits.clock.after(limits.headMs, () => {
		state.fault = 'silent';
		call.destroy(new Error('no answer'));
	});
	if (order.body === undefined) {
		call.end();
	} else {
		call.end(order.body);
	}

	call.once('response', () => {
		// An answer that comes before the body is written leaves the rest of the body in the connection
		if (!call.writableFinished) {
			spoil(socket);
		}
	});
}

/** Sends a request and resolves with the answer's head; raises an `ExchangeError`. */
export async function exchange(order: Order, connections: Connections, limits: ExchangeLimits): Promise<IncomingMessage> {
	const {ip, port} = splitAddress(order.address);
	const state: ExchangeState = {left: false, fault: 'connect', timer: undefined};
	return new Promise<IncomingMessage>((resolve, reject) => {
		const call = httpRequest({
			host: ip, port, method: order.method, path: order.target, headers: order.headers, agent: connections,
		});
		state.timer = limits.clock.after(limits.connectMs, () => {
			call.destroy(new Error('no connection'));
		});
		const abort = () => {
			state.fault = 'aborted';
			call.destroy(new Error('aborted'));
		};

		limits.signal.addEventListener('abort', abort, {once: true});
		call.once('socket', socket => {
			if (socket.connecting) {
				socket.once('connect', () => {
					writeOn(call, socket, order, limits, state);
				});
			} else {
				writeOn(call, socket, order, limits, state);
			}
		});
		call.once('response', response => {
			state.timer?.stop();
			call.once('error', () => {
				cutAnswers.add(response);
			});
			if (isUnframed(response)) {
				probeEnd(response);
			}

			response.once('close', () => {
				limits.signal.removeEventListener('abort', abort);
			});
			resolve(response);
		});
		// Kept for good: an error may follow the answer's head, where the answer's own reader hears of it
		call.on('error', error => {
			state.timer?.stop();
			limits.signal.removeEventListener('abort', abort);
			reject(new ExchangeError(state.fault, state.left, error));
		});
	});
}

/** Reads a whole body of at most `most` bytes; raises an `ExchangeError` where it is cut or too large. */
export async function readBody(response: IncomingMessage, most: number): Promise<Uint8Array> {
	const body = await readBytes(response, most, () => new ExchangeError('tooLarge', true)).catch((error: unknown) => {
		throw error instanceof ExchangeError ? error : new ExchangeError('reset', true, error);
	});
	await settleEnd(response);
	if (isCut(response)) {
		throw new ExchangeError('reset', true, new Error('the answer was cut'));
	}

	return body;
}
