/** A caller of the platform, as a stand-in: sends one request and says what came back. */
import {Buffer} from 'node:buffer';
import {
	request as httpRequest, type Agent, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders,
} from 'node:http';
import {splitAddress} from '@gatehead/schema/address';

/** One request. */
export type CallerRequest = {
	readonly address: string;
	readonly id: string;
	readonly method?: string;
	readonly path: string;
	readonly body?: string;
	readonly headers?: OutgoingHttpHeaders;
	/** Closes the connection once this much of the answer is there. */
	readonly leaveAfterBytes?: number;
	/** Keeps connections open for further requests; absent: each request has one of its own. */
	readonly agent?: Agent | undefined;
};

/** What a caller saw. */
export type CallerAnswer = {
	/** 0: the connection closed without an answer. */
	readonly status: number;
	readonly headers: IncomingMessage['headers'];
	readonly body: string;
	readonly isWhole: boolean;
	/** Nothing came for so long that the caller left: more than any promise allows. */
	readonly isGivenUp: boolean;
	/** Whether there was a connection. */
	readonly isConnected: boolean;
};

/** Time without a byte after which a caller leaves, in milliseconds: ten times its patience, so that a request that nobody answers ends its test and is told of. */
export const longestSilenceMs = 30_000;

const none: CallerAnswer = {
	status: 0, headers: {}, body: '', isWhole: false, isGivenUp: false, isConnected: false,
};

async function readAnswer(response: IncomingMessage, leaveAfterBytes: number): Promise<CallerAnswer> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
			size += chunk.length;
			if (size >= leaveAfterBytes) {
				response.destroy();
			}
		}
	} catch {
		// A cut answer is what the caller reports
	}

	return {
		status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString('utf8'), isWhole: response.complete, isGivenUp: false, isConnected: true,
	};
}

/** Returns whether a call has a connection by now. */
export function watchConnection(call: ClientRequest): () => boolean {
	let isConnected = false;
	call.once('socket', socket => {
		isConnected = !socket.connecting;
		if (socket.connecting) {
			socket.once('connect', () => {
				isConnected = true;
			});
		}
	});
	return () => isConnected;
}

/** Sends a request. */
export async function sendRequest({address, id, method = 'POST', path, body = 'question', headers = {}, leaveAfterBytes = Number.POSITIVE_INFINITY, agent}: CallerRequest): Promise<CallerAnswer> {
	const {ip, port} = splitAddress(address);
	return new Promise(resolve => {
		const call = httpRequest({
			host: ip, port, method, path, agent: agent ?? false, headers: {
				Host: 'calls.example', 'Request-Id': id, 'Deadline-Ms': '3000', 'Token-Counts': '1000,40', 'Length-Hint': '40', 'Content-Length': body.length, ...headers,
			},
		});
		const isConnected = watchConnection(call);
		call.setTimeout(longestSilenceMs, () => {
			resolve({...none, isGivenUp: true, isConnected: isConnected()});
			call.destroy();
		});
		call.once('response', response => {
			void readAnswer(response, leaveAfterBytes).then(resolve);
		});
		call.once('error', () => {
			resolve({...none, isConnected: isConnected()});
		});
		call.end(body);
	});
}
