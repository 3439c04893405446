/** Requests that are malformed or late. Safety: such a request neither runs nor is answered by its handler, even if the rest of it arrives after its rejection. */
import {type IncomingMessage} from 'node:http';

const rejected = new WeakSet<IncomingMessage>();

/** Marks a request whose connection gets the error response. */
export function markRejected(request: IncomingMessage): void {
	rejected.add(request);
}

export function isRejected(request: IncomingMessage): boolean {
	return rejected.has(request);
}
