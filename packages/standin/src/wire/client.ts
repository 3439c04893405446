/** A caller of the platform, as a stand-in: sends one request and says what came back. */
import {Buffer} from 'node:buffer';
import {request as httpRequest, type IncomingMessage, type OutgoingHttpHeaders} from 'node:http';
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
};

/** Time without a byte after which a caller leaves, in milliseconds: ten times its patience, so that a request that nobody answers ends its test and is told of. */
export const longestSilenceMs = 30_000;

const none: CallerAnswer = {
	status: 0, headers: {}, body: '', isWhole: false, isGivenUp: false,
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
		status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString('utf8'), isWhole: response.complete, isGivenUp: false,
	};
}

/** Sends a request over a connection of its own. */
export async function sendRequest({address, id, method = 'POST', path, body = 'question', headers = {}, leaveAfterBytes = Number.POSITIVE_INFINITY}: CallerRequest): Promise<CallerAnswer> {
	const {ip, port} = splitAddress(address);
	return new Promise(resolve => {
		const call = httpRequest({
			host: ip, port, method, path, agent: false, headers: {
				Host: 'calls.example', 'Request-Id': id, 'Deadline-Ms': '3000', 'Token-Counts': '1000,40', 'Length-Hint': '40', 'Content-Length': body.length, ...headers,
			},
		});
		call.setTimeout(longestSilenceMs, () => {
			resolve({...none, isGivenUp: true});
			call.destroy();
		});
		call.once('response', response => {
			void readAnswer(response, leaveAfterBytes).then(resolve);
		});
		call.once('error', () => {
			resolve(none);
		});
		call.end(body);
	});
}
