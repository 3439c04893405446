/** Holds a pipelined request back until the responses before it are sent: if one of them breaks off, it closes the connection, and the answers behind it would be lost. */
import {type ServerResponse} from 'node:http';
import {fail, Failure} from '@gatehead/schema/failure';

/** Resolves once the response is the next one on its connection, with whether it had to wait. Throws `callerGone` if the connection closes before. Requests that are not safe have to run in this order anyway (RFC 9112, section 9.3.2). */
export async function waitForTurn(response: ServerResponse): Promise<boolean> {
	if (response.socket !== null || response.destroyed) {
		return false;
	}

	await new Promise<void>((resolve, reject) => {
		const handleClose = () => {
			reject(new Failure('callerGone'));
		};

		response.once('close', handleClose);
		response.once('socket', () => {
			response.off('close', handleClose);
			resolve();
		});
	});
	return true;
}

/** Throws `hostStopping` if the end of a planned stop has rejected the request meanwhile, which must not run then. */
export function checkUnanswered({writableEnded}: ServerResponse): void {
	if (writableEnded) {
		fail('hostStopping', {retryAfterMs: 0, ran: 'unknown'});
	}
}
