/** Reads the bodies of callers' requests. Safety: a request that was rejected before its body was complete is not returned, so it never runs. */
import {type IncomingMessage} from 'node:http';
import {isRejected} from '@gatehead/host/front/rejected-requests';
import {fail, Failure} from '@gatehead/schema/failure';
import {type IncomingShare} from '../utils/incoming-memory.js';
import {readBytes} from '../utils/read-bytes.js';

/** Reads a request's body; undefined if it has none. Throws `bodyTooLarge`, `memoryFull`, `requestSlow` or `callerGone`. `share`: memory of this host that the body takes; absent: it is not counted. */
export async function readRequestBody(request: IncomingMessage, maxBytes: number, share?: IncomingShare): Promise<Uint8Array | undefined> {
	const {'content-length': length, 'transfer-encoding': coding} = request.headers;
	let body: Uint8Array | undefined;
	if (length === undefined && coding === undefined) {
		request.resume();
	} else {
		const blocks = await readBytes(request, request, {maxBytes, makeTooLarge: () => new Failure('bodyTooLarge'), share}).catch((error: unknown) => {
			throw error instanceof Failure ? error : new Failure('callerGone', {cause: error});
		});
		if (share?.isReleased === true) {
			fail(request.destroyed ? 'callerGone' : 'memoryFull');
		}

		body = blocks.toBytes();
		share?.keep();
	}

	if (isRejected(request)) {
		fail('requestSlow');
	}

	return body;
}
