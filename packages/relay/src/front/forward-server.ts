/**
 * HTTP server for requests that other hosts forward because they have lost
 * their links to endpoints. Safety: it listens on an address that callers do
 * not reach, and asks for a certificate where hosts have them.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createSecureServer} from 'node:https';
import {CallerConnections} from '@gatehead/host/front/caller-connections';
import {listenAt} from '@gatehead/host/utils/listen';
import {type RelayContext} from '../core/context.js';
import {forwardHeaderBytes} from '../core/forward-facts.js';
import {readPeerTls} from '../core/peer-tls.js';

/** Time for which an idle connection between hosts stays open, in milliseconds. */
const keepAliveMs = 10_000;

type ForwardContext = Pick<RelayContext, 'settings' | 'log' | 'startWait'>;

/** Server for forwarded requests. */
export class ForwardServer {
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #context: ForwardContext;

	constructor(context: ForwardContext, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
		const {settings: {limits, keys}} = context;
		this.#context = context;
		const listener = (request: IncomingMessage, response: ServerResponse) => {
			void handle(request, response);
		};

		const options = {maxHeaderSize: limits.headerBytes + forwardHeaderBytes, noDelay: true, keepAliveTimeout: keepAliveMs};
		const tls = readPeerTls(keys.tls);
		this.#server = tls === undefined
			? createServer(options, listener)
			: createSecureServer({
				...options, ...tls, requestCert: true, rejectUnauthorized: true,
			}, listener);
		// By default Node silently drops fields behind the first thousand; the size of a head is bounded anyway
		this.#server.maxHeadersCount = 0;
		this.#connections = new CallerConnections(this.#server);
	}

	/** Starts listening; resolves to the bound address. */
	async listen(address: string): Promise<string> {
		return listenAt(this.#server, address, this.#context);
	}

	/** Connections and requests that have arrived so far. */
	get arrivals(): number {
		return this.#connections.arrivals;
	}

	/** Refuses new connections; requests on accepted ones are still read. */
	stopListening(): void {
		this.#connections.stopListening();
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		await this.#connections.close();
	}
}
