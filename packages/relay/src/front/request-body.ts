/** Reads the bodies of callers' requests. Safety: a request that was rejected before its body was complete is not returned, so it never runs. */
import {type IncomingMessage} from 'node:http';
import {isRejected} from '@gatehead/host/front/rejected-requests';
import {fail, Failure} from '@gatehead/schema/failure';
import {readBytes} from '../utils/read-bytes.js';

/** Reads a request's body; undefined if it has none. Throws `bodyTooLarge`, `requestSlow` or `callerGone`. */
export async function readRequestBody(request: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined> {
	const {'content-length': length, 'transfer-encoding': coding} = request.headers;
	let body: Uint8Array | undefined;
	if (length === undefined && coding === undefined) {
		request.resume();
	} else {
		body = await readBytes(request, maxBytes, () => new Failure('bodyTooLarge')).catch((error: unknown) => {
			throw error instanceof Failure ? error : new Failure('callerGone', {cause: error});
		});
	}

	if (isRejected(request)) {
		fail('requestSlow');
	}

	return body;
}
