/**
 * Authenticates a request and reads its body and headers. Errors are thrown as `Failure`, before anything is sent to an endpoint.
 * Safety: a caller is identified by its bearer token alone.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Bundle, type Caller} from '@gatehead/schema/bundle';
import {callerHeaders, maxOutputTokens} from '@gatehead/schema/caller-protocol';
import {digestOf} from '@gatehead/schema/canonical-json';
import {fail} from '@gatehead/schema/failure';
import {type Limits} from '@gatehead/schema/settings';
import {isRejected} from './rejected-requests.js';

const bearerPattern = /^Bearer (?<token>\S{1,500})$/v;

/** Finds the caller by the digest of its bearer token; throws `callerUnknown` or `headerInvalid`. */
export function authenticate(request: IncomingMessage, callers: ReadonlyMap<string, Caller>): Caller {
	const {authorization} = request.headers;
	const token = bearerPattern.exec(authorization ?? '')?.groups?.token;
	if (token === undefined) {
		fail(authorization === undefined ? 'callerUnknown' : 'headerInvalid', {detail: 'Authorization: Bearer TOKEN'});
	}

	return callers.get(digestOf(token)) ?? fail('callerUnknown');
}

/** Indexes callers by token digest. */
export function indexCallers({callers}: Bundle): ReadonlyMap<string, Caller> {
	return new Map(callers.map(each => [each.tokenDigest, each]));
}

/** Reads the whole body; throws `bodyTooLarge` above `bodyBytes`, or `requestSlow`. */
export async function readBody(request: IncomingMessage, {bodyBytes}: Pick<Limits, 'bodyBytes'>): Promise<Uint8Array> {
	if (Number(request.headers['content-length'] ?? 0) > bodyBytes) {
		fail('bodyTooLarge', {detail: `at most ${bodyBytes} bytes`});
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request) {
		const part = toBytes(chunk);
		size += part.length;
		if (size > bodyBytes) {
			fail('bodyTooLarge', {detail: `at most ${bodyBytes} bytes`});
		}

		chunks.push(part);
	}

	if (isRejected(request)) {
		fail('requestSlow');
	}

	return Buffer.concat(chunks);
}

/** Parses a JSON body; throws `bodyNotJson`. */
export function parseBody(body: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(body));
	} catch {
		return fail('bodyNotJson');
	}
}

/** Returns a header's value, or undefined if absent; throws `headerInvalid` if it is repeated. */
export function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	if (Array.isArray(value)) {
		fail('headerInvalid', {detail: `${name} stands twice`});
	}

	return value;
}

/** The last event that a caller received of a stream. */
export type StreamPosition = {
	readonly engine: string;
	readonly attempt: number;
	/** Number of the last token received. */
	readonly lastToken: number;
	/** Run of the keyed request; empty without a key. */
	readonly runId: string;
};

const positionPattern = /^(?<engine>[a-z0-9.\-]{1,64})\/(?<attempt>\d{1,4})\/(?<last>\d{1,9})(?:\/(?<run>[a-z0-9.\-]{1,100}))?$/v;

/** Parses `Last-Event-ID`; undefined if absent, throws `headerInvalid` if malformed. */
export function readStreamPosition(request: IncomingMessage): StreamPosition | undefined {
	const header = readHeader(request, callerHeaders.lastEvent);
	if (header === undefined) {
		return undefined;
	}

	const {engine, attempt, last, run} = positionPattern.exec(header)?.groups ?? {};
	if (engine === undefined || Number(last) >= maxOutputTokens) {
		fail('headerInvalid', {detail: 'Last-Event-ID: the id of the last event of the stream'});
	}

	return {
		engine, attempt: Number(attempt), lastToken: Number(last), runId: run ?? '',
	};
}

function toBytes(chunk: unknown): Uint8Array {
	return chunk instanceof Uint8Array ? chunk : new TextEncoder().encode(String(chunk));
}
