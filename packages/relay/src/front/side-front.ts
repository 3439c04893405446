/**
 * The small servers beside callers' requests: whether this host is ready,
 * which hosts callers should use, and its figures. Efficiency only.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {listenAt} from '@gatehead/host/utils/listen';
import {answerLookup} from '@gatehead/policy/relay/lookup-answer';
import {timeToLive} from '@gatehead/policy/core/lookup';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayStatus} from '@gatehead/schema/relay-status';
import {type RelayContext} from '../core/context.js';

/** Most addresses of one answer: what callers take. */
const mostAddresses = 64;
const okStatus = 200;
const notFoundStatus = 404;
const unavailableStatus = 503;
/** Rest of these servers' connections, in milliseconds: checks come once a second, readers of figures every few. */
const restMs = 15_000;

/** What these servers tell of. */
export type SideFrontParts = {
	readonly context: RelayContext;
	readonly isReady: () => boolean;
	readonly listMembers: () => readonly MemberRecord[];
	/** Brings gauges up to date before they are read. */
	readonly refresh: () => void;
	readonly describe: () => RelayStatus;
};

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

function send(response: ServerResponse, status: number, body: string, type = 'application/json'): void {
	response.writeHead(status, {'Content-Type': type, 'Content-Length': new TextEncoder().encode(body).length});
	response.end(body);
}

/** Serves checks, lookups and figures, each at its own address. */
export class SideFront {
	readonly #parts: SideFrontParts;
	readonly #servers: Server[] = [];

	constructor(parts: SideFrontParts) {
		this.#parts = parts;
	}

	/** Starts to listen at all addresses of the settings. */
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
					this.#parts.refresh();
					send(response, okStatus, await this.#parts.context.metrics.print(), 'text/plain; version=0.0.4');
				},
				'/status': (_request, response) => {
					send(response, okStatus, JSON.stringify(this.#parts.describe()));
				},
			});
		}
	}

	/** Stops listening. */
	close(): void {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#lookUp(request: IncomingMessage, response: ServerResponse): void {
		const {context: {dialect, metrics, random, settings: {timing}}, listMembers} = this.#parts;
		const query = new URLSearchParams((request.url ?? '').split('?', 2)[1] ?? '');
		const addresses = answerLookup(listMembers(), dialect.readLookup(query).hall, mostAddresses);
		metrics.add('lookups');
		if (addresses.length === 0) {
			send(response, unavailableStatus, '{}');
			return;
		}

		send(response, okStatus, dialect.writeLookup(addresses, Math.min(timing.lookupTtlMs, timeToLive(timing.lookupTtlMs, random))));
	}

	async #serve(address: string, handlers: Readonly<Record<string, Handler>>): Promise<void> {
		const server = createServer({keepAliveTimeout: restMs}, (request, response) => {
			const path = (request.url ?? '').split('?', 1)[0] ?? '';
			const handler = Object.hasOwn(handlers, path) ? handlers[path] : undefined;
			if (handler === undefined) {
				send(response, notFoundStatus, '{}');
			} else {
				void handler(request, response);
			}
		});
		this.#servers.push(server);
		await listenAt(server, address);
	}
}
