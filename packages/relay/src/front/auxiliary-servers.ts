/** HTTP servers for readiness checks, host lookups, metrics and status. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {listenAt} from '@gatehead/host/utils/listen';
import {answerLookup} from '@gatehead/policy/relay/lookup-answer';
import {timeToLive} from '@gatehead/policy/core/lookup';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {toFailure} from '@gatehead/schema/failure';
import {type RelayStatus} from '@gatehead/schema/relay-status';
import {type RelayContext} from '../core/context.js';

/** Maximum number of addresses in a lookup response that callers accept. */
const maxAddresses = 64;
const okStatus = 200;
const notFoundStatus = 404;
const faultStatus = 500;
const unavailableStatus = 503;
/** Keep-alive timeout, in milliseconds: longer than the interval of readiness checks and metric scrapes. */
const keepAliveTimeoutMs = 15_000;

/** Dependencies of the servers. */
export type AuxiliaryServersParts = {
	readonly context: Pick<RelayContext, 'settings' | 'dialect' | 'metrics' | 'random' | 'log' | 'startWait'>;
	readonly isReady: () => boolean;
	readonly listMembers: () => readonly MemberRecord[];
	/** Updates gauges before a scrape. */
	readonly refreshGauges: () => void;
	readonly describe: () => RelayStatus;
};

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

function send(response: ServerResponse, status: number, body: string, type = 'application/json'): void {
	response.writeHead(status, {'Content-Type': type, 'Content-Length': new TextEncoder().encode(body).length});
	response.end(body);
}

/** Serves readiness, lookups and metrics, each at its own address. */
export class AuxiliaryServers {
	readonly #parts: AuxiliaryServersParts;
	readonly #servers: Server[] = [];

	constructor(parts: AuxiliaryServersParts) {
		this.#parts = parts;
	}

	/** Starts listening on all configured addresses. */
	async listen(): Promise<void> {
		const {settings: {listen}, dialect} = this.#parts.context;
		await this.#serve(listen.ready, {
			[dialect.readyPath]: (_request, response) => {
				send(response, this.#parts.isReady() ? okStatus : unavailableStatus, '{}');
			},
		});
		await this.#serve(listen.lookup, {
			[dialect.lookupPath]: (request, response) => {
				this.#lookUp(request, response);
			},
		});
		if (listen.metrics !== undefined) {
			await this.#serve(listen.metrics, {
				'/metrics': async (_request, response) => {
					this.#parts.refreshGauges();
					send(response, okStatus, await this.#parts.context.metrics.toText(), 'text/plain; version=0.0.4');
				},
				'/status': (_request, response) => {
					send(response, okStatus, JSON.stringify(this.#parts.describe()));
				},
			});
		}
	}

	/** Stops listening and closes all connections. */
	close(): void {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#lookUp(request: IncomingMessage, response: ServerResponse): void {
		const {context: {dialect, metrics, random, settings: {timing}}, listMembers} = this.#parts;
		const query = new URLSearchParams((request.url ?? '').split('?', 2)[1] ?? '');
		const addresses = answerLookup(listMembers(), dialect.readLookup(query).hall, maxAddresses);
		metrics.add('lookups');
		if (addresses.length === 0) {
			send(response, unavailableStatus, '{}');
			return;
		}

		send(response, okStatus, dialect.writeLookup(addresses, Math.min(timing.lookupTtlMs, timeToLive(timing.lookupTtlMs, random))));
	}

	/** Answers a request. A fault must not end the process, whose other requests are not affected. */
	async #respond(handler: Handler | undefined, request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (handler === undefined) {
			send(response, notFoundStatus, '{}');
			return;
		}

		try {
			await handler(request, response);
		} catch (error) {
			this.#parts.context.log('internal', {detail: toFailure(error).message});
			if (!response.headersSent) {
				send(response, faultStatus, '{}');
			}
		}
	}

	async #serve(address: string, handlers: Readonly<Record<string, Handler>>): Promise<void> {
		const server = createServer({keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
			const path = (request.url ?? '').split('?', 1)[0] ?? '';
			void this.#respond(Object.hasOwn(handlers, path) ? handlers[path] : undefined, request, response);
		});
		this.#servers.push(server);
		await listenAt(server, address, this.#parts.context);
	}
}
