/**
 * One HTTP call towards an endpoint, with the one fact that refusals rest
 * on: whether the order may have left. Safety: `left` is set before the
 * first byte is written, so a failure with `left` unset proves "not run".
 */
import {
	Agent, request as httpRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@gatehead/schema/address';

const mostIdleSockets = 64;

/** A call's target and content. */
export type Call = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
	readonly signal?: AbortSignal;
};

/** A call that failed, and whether its order may have reached the endpoint. */
export class CallError extends Error {
	readonly left: boolean;

	constructor(left: boolean, cause: unknown) {
		super(cause instanceof Error ? cause.message : String(cause), {cause});
		this.left = left;
	}
}

/** Connections kept for calls that may be repeated. */
export function makeAgent(): Agent {
	return new Agent({keepAlive: true, maxFreeSockets: mostIdleSockets, noDelay: true});
}

async function finish(call: ClientRequest, body: Call['body']): Promise<IncomingMessage> {
	return new Promise((resolve, reject) => {
		call.once('response', resolve);
		call.once('error', error => {
			reject(new CallError(true, error));
		});
		call.end(body);
	});
}

function optionsOf({address, method, path, headers, body, signal}: Call) {
	const {ip, port} = splitAddress(address);
	const length = body === undefined ? {} : {'content-length': String(typeof body === 'string' ? new TextEncoder().encode(body).length : body.length)};
	return {
		host: ip, port, method, path, headers: {...headers, ...length}, signal,
	};
}

/** Sends a call that may be repeated over a kept connection. */
export async function sendCall(call: Call, agent: Agent): Promise<IncomingMessage> {
	return finish(httpRequest({...optionsOf(call), agent}), call.body);
}

async function openSocket({address, signal}: Call): Promise<Socket> {
	const {ip, port} = splitAddress(address);
	return new Promise((resolve, reject) => {
		const socket = connect({
			host: ip, port, noDelay: true,
		});
		const abort = () => {
			socket.destroy();
			reject(new CallError(false, new Error('aborted')));
		};

		signal?.addEventListener('abort', abort, {once: true});
		socket.once('connect', () => {
			signal?.removeEventListener('abort', abort);
			resolve(socket);
		});
		socket.once('error', error => {
			reject(new CallError(false, error));
		});
	});
}

/** Sends a call that may not be repeated over a connection of its own: connects first, asks `mayLeave` once more, then writes. */
export async function sendOnce(call: Call, mayLeave: () => boolean): Promise<IncomingMessage> {
	const socket = await openSocket(call);
	if (!mayLeave()) {
		socket.destroy();
		throw new CallError(false, new Error('no longer wanted'));
	}

	return finish(httpRequest({...optionsOf(call), agent: false, createConnection: () => socket}), call.body);
}

/** Reads a response's whole body as text, up to `most` bytes. */
export async function readText(response: IncomingMessage, most: number): Promise<string> {
	response.setEncoding('utf8');
	let text = '';
	for await (const chunk of response) {
		text += String(chunk);
		if (text.length > most) {
			response.destroy();
			throw new CallError(true, new Error('answer over the size limit'));
		}
	}

	return text;
}
