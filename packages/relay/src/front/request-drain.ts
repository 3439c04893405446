/** Reads the rest of requests that are answered early. Closing a connection with unread bytes resets it, and the response can be lost. */
import {type IncomingMessage} from 'node:http';

/** Longest time to read on, in milliseconds. */
const maxMs = 1000;
/** Most bytes to read on: as long as bodies that callers may send. */
const maxBytes = 4_194_304;

/** Discards the rest of a request; resolves once it is complete, its connection is closed, or a bound is reached. */
export async function drainRequest(request: IncomingMessage): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			resolve();
		};

		const timer = setTimeout(finish, maxMs);
		let size = 0;
		request.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				finish();
			}
		});
		for (const event of ['end', 'error', 'close']) {
			request.once(event, finish);
		}
	});
}
