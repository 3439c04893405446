/**
 * Waits for the head of the response to a request. Safety: settles exactly
 * once, whatever arrives; an endpoint that sends anything but a response
 * cannot leave its request pending.
 */
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {type Duplex} from 'node:stream';

/** Delivered by Node as a final response if it names no protocol. */
const switchingProtocols = 101;

/** What may arrive instead of a final response, and its outcome. */
type HeadHandlers = {
	readonly response: (response: IncomingMessage) => void;
	readonly upgrade: (response: IncomingMessage, socket: Duplex) => void;
	readonly connect: (response: IncomingMessage, socket: Duplex) => void;
	readonly error: (error: Error) => void;
	readonly close: () => void;
};

/** Resolves with the final response of a request that was created just now; rejects if there will be none. Errors that follow the head are left to the response's reader. */
export async function receiveHead(request: ClientRequest): Promise<IncomingMessage> {
	return new Promise<IncomingMessage>((resolve, reject) => {
		// Node hands the connection over, and destroying the request no longer closes it
		const rejectSwitch = (_response: IncomingMessage, socket: Duplex) => {
			socket.destroy();
			reject(new Error('the endpoint switched protocols, which was not asked for'));
		};

		const handlers: HeadHandlers = {
			response(response) {
				if (response.statusCode === switchingProtocols) {
					rejectSwitch(response, response.socket);
				} else {
					resolve(response);
				}
			},
			upgrade: rejectSwitch,
			connect: rejectSwitch,
			error: reject,
			close() {
				reject(new Error('the connection closed without a response'));
			},
		};
		for (const [event, handler] of Object.entries(handlers)) {
			request.on(event, handler);
		}
	});
}
