/**
 * Passes a keyed call on to the host that guards it, and its answer back.
 * Safety: this host runs nothing of it; if the way breaks, the caller is
 * told "unknown".
 */
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {pipeline} from 'node:stream';
import {ignore} from '@gatehead/policy/utils/ignore';
import {splitAddress} from '@gatehead/schema/address';
import {callerHeaders} from '@gatehead/schema/caller-protocol';
import {Failure} from '@gatehead/schema/failure';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type Call, type FrontParts} from './parts.js';
import {sendFailure} from './reply.js';

const passedHeaders = ['authorization', 'content-type', callerHeaders.key, callerHeaders.lastEvent] as const;

function headersOf({headers}: IncomingMessage, length: number): Record<string, string> {
	const passed: Record<string, string> = {[callerHeaders.forwarded]: '1', 'content-length': String(length)};
	for (const name of passedHeaders) {
		const value = headers[name];
		if (typeof value === 'string') {
			passed[name] = value;
		}
	}

	return passed;
}

/** Whether another host already passed this call on; it goes no further then. */
export function isForwarded({headers}: IncomingMessage): boolean {
	return headers[callerHeaders.forwarded] !== undefined;
}

/** Passes a call on; the answer goes straight to the caller. */
export function forward({context}: FrontParts, {request, response, url}: Call, body: Uint8Array, member: MemberRecord): void {
	context.counters.count('forwarded');
	context.timeline.record({kind: 'requestForwarded', peer: member.host});
	const {ip, port} = splitAddress(member.callerAddress);
	const onward = httpRequest({
		host: ip, port, method: request.method, path: url.pathname + url.search, headers: headersOf(request, body.length), agent: false,
	}, answer => {
		response.writeHead(answer.statusCode ?? 502, answer.headers);
		pipeline(answer, response, ignore);
	});
	onward.once('error', error => {
		sendFailure(response, new Failure('ownerUnreachable', {cause: error}));
	});
	response.once('close', () => {
		onward.destroy();
	});
	onward.end(body);
}
