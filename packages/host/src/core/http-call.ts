/**
 * HTTP calls to endpoints, whose errors say whether the request may have been
 * sent. Safety: an error with `mayHaveBeenSent` false is thrown only before
 * the first byte of the request is written, so it proves "not run".
 */
import {
	Agent, request as httpRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@gatehead/schema/address';
import {receiveChunks} from '../utils/receive-chunks.js';
import {receiveHead} from '../utils/response-head.js';
import {parserOptions} from '../utils/response-syntax.js';

const maxIdleSockets = 64;

/** An HTTP request to send. */
export type Call = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
	readonly signal?: AbortSignal;
};

/** Error of a call. */
export class CallError extends Error {
	/** Whether the request may have reached the endpoint. */
	readonly mayHaveBeenSent: boolean;

	constructor(mayHaveBeenSent: boolean, cause: unknown) {
		super(cause instanceof Error ? cause.message : String(cause), {cause});
		this.mayHaveBeenSent = mayHaveBeenSent;
	}
}

/** Creates a keep-alive connection pool for idempotent calls. */
export function makeKeepAliveAgent(): Agent {
	return new Agent({keepAlive: true, maxFreeSockets: maxIdleSockets, noDelay: true});
}

async function sendRequest(call: ClientRequest, body: Call['body']): Promise<IncomingMessage> {
	call.end(body);
	return receiveHead(call).catch((error: unknown) => {
		throw new CallError(true, error);
	});
}

function makeRequestOptions({address, method, path, headers, body, signal}: Call) {
	const {ip, port} = splitAddress(address);
	const length = body === undefined ? {} : {'content-length': String(typeof body === 'string' ? new TextEncoder().encode(body).length : body.length)};
	return {
		host: ip, port, method, path, headers: {...headers, ...length}, signal, ...parserOptions,
	};
}

/** Sends an idempotent call over a pooled connection and resolves with the response headers. */
export async function sendCall(call: Call, agent: Agent): Promise<IncomingMessage> {
	return sendRequest(httpRequest({...makeRequestOptions(call), agent}), call.body);
}

async function openSocket({address, signal}: Call): Promise<Socket> {
	const {ip, port} = splitAddress(address);
	return new Promise((resolve, reject) => {
		const socket = connect({
			host: ip, port, noDelay: true,
		});
		const abort = () => {
			socket.destroy();
			reject(new CallError(false, new Error('aborted while connecting')));
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

/** Sends a non-idempotent call over a new connection: connects, then writes the request only if `maySend` returns true. */
export async function sendOnce(call: Call, maySend: () => boolean): Promise<IncomingMessage> {
	const socket = await openSocket(call);
	if (!maySend()) {
		socket.destroy();
		throw new CallError(false, new Error('the request was withdrawn before it was sent'));
	}

	return sendRequest(httpRequest({...makeRequestOptions(call), createConnection: () => socket}), call.body);
}

/** Reads a response body as text; throws `CallError` if it is truncated or has more than `maxLength` UTF-16 code units. */
export async function readText(response: IncomingMessage, maxLength: number): Promise<string> {
	const decoder = new TextDecoder('utf-8', {ignoreBOM: true});
	let text = '';
	try {
		for await (const chunk of receiveChunks(response)) {
			text += decoder.decode(chunk, {stream: true});
			if (text.length > maxLength) {
				throw new Error('the response is larger than the size limit');
			}
		}
	} catch (error) {
		throw new CallError(true, error);
	}

	return text + decoder.decode();
}
