/** An endpoint of the platform on raw connections, so that a test decides on every byte that it sends. */
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {ownAddress} from '../utils/ports.js';

const headEnd = '\r\n\r\n';

/** A call as it reached the endpoint. */
export type ScriptedCall = {
	/** Id of the request; empty: a control call. */
	readonly id: string;
	readonly target: string;
	/** Values by name in small letters. */
	readonly headers: ReadonlyMap<string, string>;
	readonly socket: Socket;
	/** The caller's port. */
	readonly port: number | undefined;
	/** Ids of the calls that came before on the connection. */
	readonly earlierIds: readonly string[];
};

/** A running endpoint. */
export type ScriptedEndpoint = {
	readonly address: string;
	/** Connections that are open. */
	readonly sockets: ReadonlySet<Socket>;
	/** Refuses new connections from now on. */
	refuse(): void;
	stop(): void;
};

/** Bytes of a response whose body has a length. */
export function writeResponse(status: number, headers: Readonly<Record<string, string>>, body = ''): string {
	const fields = Object.entries({...headers, 'Content-Length': String(body.length)}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status} Status\r\n${fields.join('')}\r\n${body}`;
}

function readHead(head: string): Pick<ScriptedCall, 'target' | 'headers'> {
	const [line = '', ...fields] = head.split('\r\n');
	return {
		target: line.split(' ')[1] ?? '',
		headers: new Map(fields.map(field => {
			const colon = field.indexOf(':');
			return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
		})),
	};
}

/** Passes each request on a connection to `answer`: once it is whole, or before a body of at least `earlyBytes` is read. */
function serve(socket: Socket, answer: (call: ScriptedCall) => void, earlyBytes: number): void {
	const earlierIds: string[] = [];
	let received = '';
	let isAnswered = false;
	socket.setNoDelay(true);
	socket.on('error', () => {
		// The host closes connections that it does not use any more
	});
	socket.on('data', (chunk: Uint8Array) => {
		received += Buffer.from(chunk).toString('latin1');
		const end = received.indexOf(headEnd);
		if (end === -1) {
			return;
		}

		const {target, headers} = readHead(received.slice(0, end));
		const length = Number(headers.get('content-length') ?? 0);
		const isWhole = received.length >= end + headEnd.length + length;
		if (!isWhole && length < earlyBytes) {
			return;
		}

		const wasAnswered = isAnswered;
		isAnswered = !isWhole;
		received = isWhole ? received.slice(end + headEnd.length + length) : received;
		if (wasAnswered) {
			return;
		}

		const id = headers.get('request-id') ?? '';
		answer({
			id, target, headers, socket, port: socket.remotePort, earlierIds: [...earlierIds],
		});
		earlierIds.push(id);
	});
}

/** Starts an endpoint that calls `answer` for each request; what it writes to the connection is the response. `backlog`: connections that wait to be accepted, at most; `earlyBytes`: size of a body that is not read before the answer. */
export async function startScriptedEndpoint(answer: (call: ScriptedCall) => void, backlog?: number, earlyBytes = Number.POSITIVE_INFINITY): Promise<ScriptedEndpoint> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		serve(socket, answer, earlyBytes);
	});
	await new Promise<void>(resolve => {
		server.listen({port: 0, host: ownAddress, backlog}, resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
	return {
		address: `${ownAddress}:${port}`,
		sockets,
		refuse() {
			server.close();
		},
		stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
