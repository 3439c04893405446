/** Waits for the head of the response to a request. */
import {type ClientRequest, type IncomingMessage} from 'node:http';

/** Resolves with the final response of a request that was created just now; rejects if there will be none. Errors that follow the head are left to the response's reader. */
export async function receiveHead(request: ClientRequest): Promise<IncomingMessage> {
	return new Promise<IncomingMessage>((resolve, reject) => {
		request.once('response', resolve);
		// Never removed: errors may follow the head, and are handled by the response's reader
		request.on('error', reject);
	});
}
