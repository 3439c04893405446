/** Which headers are passed on, from callers to endpoints and back. Safety: those of one connection never are, so that no side is told of a framing that is not its own. */
import {type IncomingMessage} from 'node:http';

/** Headers that concern one connection alone. */
const hopHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade']);

/** Whether a header concerns one connection alone; `connection` lists further ones. */
function isHopHeader(name: string, connection: string | undefined): boolean {
	if (hopHeaders.has(name)) {
		return true;
	}

	return (connection ?? '').toLowerCase().split(',').some(each => each.trim() === name);
}

/** A message's headers as they came, names and values by turns, but for those of its connection and those that `isPassed` leaves out, asked by names in small letters. */
export function passHeaders({rawHeaders, headers: {connection}}: IncomingMessage, isPassed: (name: string) => boolean): string[] {
	const headers: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const small = name.toLowerCase();
		if (!isHopHeader(small, connection) && isPassed(small)) {
			headers.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return headers;
}
