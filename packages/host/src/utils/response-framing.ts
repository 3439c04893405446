/** How the end of an HTTP/1.1 response's body is marked (RFC 9112, section 6.3). */
import {type IncomingMessage} from 'node:http';

/** `connection`: only the end of the connection marks it; `none`: such a response has no body. */
export type Framing = 'length' | 'chunks' | 'connection' | 'none';

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether a response to the method has no body, whatever its headers state. */
export function isBodiless(method: string | undefined, status: number | undefined): boolean {
	return method === 'HEAD' || bodilessStatuses.has(status ?? 0);
}

/** Framing of a response to a request with the given method. */
export function framingOf({headers, statusCode}: Pick<IncomingMessage, 'headers' | 'statusCode'>, method: string | undefined): Framing {
	if (isBodiless(method, statusCode)) {
		return 'none';
	}

	// Node rejects responses that state both, and codings that do not end with `chunked`
	if (headers['transfer-encoding'] !== undefined) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}
