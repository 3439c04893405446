/** Small helpers of the stand-ins' HTTP servers: a table of routes, JSON in and out, connections that end with the server. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {splitAddress, joinAddress} from '@gatehead/schema/address';

/** Answers one call; `url` holds path and query. */
export type Route = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void> | void;

/** Routes by `METHOD /path`. */
export type Routes = Readonly<Record<string, Route>>;

/** A server that listens. */
export type RunningServer = {
	readonly address: string;
	/** Cuts all connections and stops listening. */
	kill(): Promise<void>;
	/** Listens again on the same address after `kill`. */
	revive(): Promise<void>;
};

/** Reads a request's whole body as text. */
export async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk instanceof Uint8Array ? chunk : new Uint8Array());
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

async function answer(route: Route, request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
	try {
		await route(request, response, url);
	} catch (error) {
		if (!response.headersSent) {
			sendJson(response, 500, {error: String(error)});
		}
	}
}

async function listen(server: Server, address: string): Promise<string> {
	const {ip, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, ip, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const bound = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is no string
	return joinAddress({ip, port: bound.port});
}

/** Starts a server with a table of routes; a route that throws answers 500. */
export async function startServer(routes: Routes, address: string, fallback?: Route): Promise<RunningServer> {
	const sockets = new Set<Socket>();
	const server = createServer((request, response) => {
		const url = new URL(request.url ?? '/', 'http://standin');
		const route = routes[`${request.method} ${url.pathname}`] ?? fallback;
		if (route === undefined) {
			sendJson(response, 404, {});
			return;
		}

		void answer(route, request, response, url);
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	const bound = await listen(server, address);
	return {
		address: bound,
		async kill() {
			if (!server.listening) {
				return;
			}

			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
		async revive() {
			if (server.listening) {
				return;
			}

			await listen(server, bound);
		},
	};
}
