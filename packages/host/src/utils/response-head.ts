/**
 * Waits for the head of the response to a request. Safety: settles exactly
 * once, whatever arrives; an endpoint that sends anything but a response
 * cannot leave its request pending, nor occupy this process with bytes that
 * never become one.
 */
import {type ClientRequest, type IncomingMessage, type InformationEvent} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {ignore} from '@gatehead/policy/utils/ignore';
import {watchEnd} from './response-end.js';
import {findHeadFault} from './response-syntax.js';

/** Informational responses accepted before the final one. Endpoints send `100` at most. */
const maxInformational = 8;
/** Bytes accepted until the final response's head has ended. Node bounds one head, but neither their number nor blank lines before them. */
const maxHeadBytes = 131_072;

/** Delivered by Node as a final response if it names no protocol. */
const switchingProtocols = 101;
/** Statuses of final responses (RFC 9110, section 15). Node passes on any number of three digits. */
const finalStatuses = {least: 200, most: 599};

/** What may arrive instead of a final response, and its outcome. */
type HeadHandlers = {
	readonly response: (response: IncomingMessage) => void;
	readonly upgrade: (response: IncomingMessage, socket: Duplex) => void;
	readonly connect: (response: IncomingMessage, socket: Duplex) => void;
	readonly information: (head: InformationEvent) => void;
	readonly socket: (socket: Socket) => void;
	readonly error: (error: Error) => void;
	readonly close: () => void;
};

/** Resolves with the final response of a request that was created just now, with `parserOptions`; rejects if there will be none, or if its head is malformed. Errors that follow the head are left to the response's reader. */
export async function receiveHead(request: ClientRequest): Promise<IncomingMessage> {
	// By default Node silently drops fields behind the first thousand, Content-Length among them; the size of a head is bounded anyway
	request.maxHeadersCount = 0;
	return new Promise<IncomingMessage>((resolve, reject) => {
		let informational = 0;
		// Node hands the connection over, and destroying the request no longer closes it
		const rejectSwitch = (_response: IncomingMessage, socket: Duplex) => {
			socket.destroy();
			reject(new Error('the endpoint switched protocols, which was not asked for'));
		};

		let isRejected = false;
		const rejectHead = (fault: string) => {
			isRejected = true;
			reject(new Error(`the endpoint sent a malformed head: ${fault}`));
			request.destroy();
		};

		const handlers: HeadHandlers = {
			response(response) {
				// Node still emits what has arrived behind a malformed informational response
				if (isRejected) {
					response.on('error', ignore);
					return;
				}

				if (response.statusCode === switchingProtocols) {
					rejectSwitch(response, response.socket);
					return;
				}

				const fault = findStatusFault(response) ?? findHeadFault(response);
				if (fault === undefined) {
					watchEnd(request, response);
					resolve(response);
					return;
				}

				response.on('error', ignore);
				rejectHead(fault);
			},
			upgrade: rejectSwitch,
			connect: rejectSwitch,
			information(head) {
				informational += 1;
				const fault = informational > maxInformational ? 'too many informational responses' : findHeadFault(head);
				if (fault !== undefined) {
					rejectHead(fault);
				}
			},
			socket(socket) {
				if (socket.destroyed) {
					// Its close may have been reported before, and no other event follows
					request.destroy();
					reject(new Error('the connection was closed before the request was assigned to it'));
					return;
				}

				limitHead(request, socket);
			},
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

/** Describes an undefined status of a final response; undefined if it is defined. */
function findStatusFault({statusCode = 0}: IncomingMessage): string | undefined {
	return statusCode < finalStatuses.least || statusCode > finalStatuses.most ? `the undefined status ${statusCode}` : undefined;
}

/** Destroys a request whose connection delivers too much before the head of its response has ended. */
function limitHead(request: ClientRequest, socket: Socket): void {
	const bytesBefore = socket.bytesRead;
	const check = () => {
		if (socket.bytesRead - bytesBefore > maxHeadBytes) {
			request.destroy(new Error('the response head exceeds the size limit'));
		}
	};

	const stop = () => {
		socket.off('data', check);
	};

	socket.on('data', check);
	request.once('response', stop);
	request.once('close', stop);
}
