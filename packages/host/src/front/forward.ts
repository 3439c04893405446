/**
 * Proxies a keyed request to the host that owns it. Safety: this host runs
 * nothing itself; if the connection to the owner fails, the error reports
 * `ran: unknown`.
 */
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {pipeline} from 'node:stream';
import {ignore} from '@gatehead/policy/utils/ignore';
import {splitAddress} from '@gatehead/schema/address';
import {callerHeaders} from '@gatehead/schema/caller-protocol';
import {Failure} from '@gatehead/schema/failure';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {receiveChunks} from '../utils/receive-chunks.js';
import {receiveHead} from '../utils/response-head.js';
import {parserOptions} from '../utils/response-syntax.js';
import {type Call, type FrontParts} from './parts.js';
import {sendFailure} from './reply.js';

const forwardedHeaders = ['authorization', 'content-type', callerHeaders.key, callerHeaders.lastEvent] as const;

function selectHeaders({headers}: IncomingMessage, length: number): Record<string, string> {
	const passed: Record<string, string> = {[callerHeaders.forwarded]: '1', 'content-length': String(length)};
	for (const name of forwardedHeaders) {
		const value = headers[name];
		if (typeof value === 'string') {
			passed[name] = value;
		}
	}

	return passed;
}

/** Whether another host already forwarded this request; it is forwarded only once. */
export function isForwarded({headers}: IncomingMessage): boolean {
	return headers[callerHeaders.forwarded] !== undefined;
}

/** Proxies a request to its owner and streams the response back. */
export function forwardRequest({context}: FrontParts, {request, response, url}: Pick<Call, 'request' | 'response' | 'url'>, body: Uint8Array, member: MemberRecord): void {
	context.counters.count('forwarded');
	context.timeline.record({kind: 'requestForwarded', peer: member.host});
	const {ip, port} = splitAddress(member.callerAddress);
	const proxyRequest = httpRequest({
		host: ip, port, method: request.method, path: url.pathname + url.search, headers: selectHeaders(request, body.length), agent: false, ...parserOptions,
	});
	receiveHead(proxyRequest).then(proxyResponse => {
		// The end of a planned stop has rejected the request
		if (response.headersSent) {
			proxyResponse.destroy();
			return;
		}

		response.writeHead(proxyResponse.statusCode ?? 502, proxyResponse.headers);
		pipeline(receiveChunks(proxyResponse), response, ignore);
	}, (error: unknown) => {
		sendFailure(response, new Failure('ownerUnreachable', {cause: error}));
	});
	response.once('close', () => {
		proxyRequest.destroy();
	});
	proxyRequest.end(body);
}
