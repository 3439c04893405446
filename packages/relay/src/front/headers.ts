/** Selects the headers to forward between callers and endpoints. Safety: hop-by-hop headers are never forwarded, as they describe the framing of another connection. */
import {type IncomingMessage} from 'node:http';

const hopByHopHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade']);

/** Whether a header is hop-by-hop; the `Connection` header can list more of them. */
function isHopByHopHeader(name: string, connection: string | undefined): boolean {
	if (hopByHopHeaders.has(name)) {
		return true;
	}

	return (connection ?? '').toLowerCase().split(',').some(token => token.trim() === name);
}

/** Returns a message's raw headers, as alternating names and values, without hop-by-hop headers and those whose lowercase name `isForwarded` rejects. */
export function forwardHeaders({rawHeaders, headers: {connection}}: IncomingMessage, isForwarded: (name: string) => boolean): string[] {
	const headers: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const lowerName = name.toLowerCase();
		if (!isHopByHopHeader(lowerName, connection) && isForwarded(lowerName)) {
			headers.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return headers;
}
