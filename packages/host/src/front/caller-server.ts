/**
 * HTTP server for callers: limits, authentication, routing and error responses.
 * Safety: an error raised before the ledger was checked never reports `ran: no` for a request with a key.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {callerHeaders, callerPaths} from '@gatehead/schema/caller-protocol';
import {type Caller} from '@gatehead/schema/bundle';
import {type Code} from '@gatehead/schema/codes';
import {fail, Failure, toFailure} from '@gatehead/schema/failure';
import {listenAt} from '../utils/listen.js';
import {CallerConnections} from './caller-connections.js';
import {handleCompletion} from './completions.js';
import {authenticate, indexCallers} from './request-reader.js';
import {handleLookup} from './lookups.js';
import {type Call, type FrontParts} from './parts.js';
import {sendFailure} from './reply.js';
import {type ServiceCallParts} from './service-call.js';
import {handleServiceCall} from './services.js';

const base36 = 36;
const maxHeaderBytes = 16_384;

type Handler = (call: Call) => Promise<void> | void;

/** HTTP server for callers. */
export class CallerServer {
	readonly #parts: FrontParts;
	readonly #calls: ServiceCallParts;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #routes: Readonly<Record<string, Handler>>;
	/** Responses that are not closed yet. */
	readonly #open = new Set<ServerResponse>();
	#callers: ReadonlyMap<string, Caller> = new Map();
	#requestIdCount = 0;
	#isStopping = false;

	constructor(parts: FrontParts, calls: ServiceCallParts) {
		this.#parts = parts;
		this.#calls = calls;
		this.#routes = this.#createRoutes();
		const {limits: {connections, headerMs}} = parts.context.settings;
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, headersTimeout: headerMs, requestTimeout: headerMs, connectionsCheckingInterval: Math.min(headerMs, 1000),
		}, (request, response) => {
			void this.#respond(request, response);
		});
		// By default Node silently drops fields behind the first thousand; the size of a head is bounded anyway
		this.#server.maxHeadersCount = 0;
		this.#server.maxConnections = connections;
		this.#connections = new CallerConnections(this.#server);
		parts.bundles.onAdopted(({bundle}) => {
			this.#callers = indexCallers(bundle);
		});
	}

	/** Number of requests in progress. */
	get openRequests(): number {
		return this.#open.size;
	}

	/** Connections and requests that have arrived so far. */
	get arrivals(): number {
		return this.#connections.arrivals;
	}

	/** Starts listening; resolves with the bound address. */
	async listen(): Promise<string> {
		return listenAt(this.#server, this.#parts.context.settings.listen.caller, this.#parts.context);
	}

	/** Whether new requests are rejected with `hostStopping`. */
	get isStopping(): boolean {
		return this.#isStopping;
	}

	/** Rejects new requests with `hostStopping` from now on. */
	rejectNewRequests(): void {
		this.#isStopping = true;
	}

	/** Rejects the requests in progress, which may have run. A response that has begun breaks off after what is written of it. */
	rejectOpen(): void {
		for (const response of this.#open) {
			if (!response.headersSent) {
				this.#parts.context.counters.count('refused', 'hostStopping');
				sendFailure(response, new Failure('hostStopping', {retryAfterMs: 0, ran: 'unknown'}));
			} else if (!response.writableEnded) {
				response.socket?.destroySoon();
			}
		}
	}

	/** Stops listening and destroys all open connections. */
	async close(): Promise<void> {
		await this.#connections.close();
	}

	#createRoutes(): Readonly<Record<string, Handler>> {
		const parts = this.#parts;
		const createRequestId = () => this.#createRequestId();
		return {
			[`GET ${callerPaths.hosts}`](call) {
				handleLookup(parts, call);
			},
			async [`POST ${callerPaths.completions}`](call) {
				await handleCompletion(parts, call, 'completion', createRequestId);
			},
			async [`POST ${callerPaths.chat}`](call) {
				await handleCompletion(parts, call, 'chat', createRequestId);
			},
		};
	}

	/** Returns an id that is unique across hosts and incarnations. */
	#createRequestId(): string {
		const {host, incarnation} = this.#parts.context.self;
		this.#requestIdCount += 1;
		return `${host}.${incarnation.toString(base36)}.${this.#requestIdCount.toString(base36)}`;
	}

	#findHandler(method: string, path: string): Handler {
		if (path.startsWith(callerPaths.services)) {
			return async call => handleServiceCall(this.#parts, this.#calls, call, () => this.#createRequestId());
		}

		return this.#routes[`${method} ${path}`] ?? fail('routeUnknown');
	}

	async #respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#open.add(response);
		response.once('close', () => {
			this.#open.delete(response);
		});
		try {
			await this.#handle(request, response);
		} catch (error) {
			const failure = withUnknownRan(toFailure(error), request);
			this.#parts.context.counters.count('refused', failure.code);
			if (failure.code === 'internal') {
				this.#parts.context.log('internal', {detail: failure.message});
			}

			sendFailure(response, failure);
			// An unread request body would block the next request on this connection
			if (!request.complete) {
				response.once('finish', () => {
					request.destroy();
				});
			}
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {context: {clock, settings}, bundles, isReady} = this.#parts;
		const url = parseUrl(request);
		const handler = this.#findHandler(request.method ?? 'GET', url.pathname);
		if (this.#isStopping && !hasKey(request)) {
			fail('hostStopping', {retryAfterMs: 0});
		}

		if (this.#open.size > settings.limits.requests) {
			fail('tooManyConnections', {retryAfterMs: 1000});
		}

		const inForce = isReady() ? bundles.inForce : undefined;
		if (inForce === undefined) {
			fail('notReady', {retryAfterMs: 1000});
		}

		const caller = authenticate(request, this.#callers);
		await handler({
			request, response, url, caller, inForce, arrivedAt: clock.now(),
		});
	}
}

/** Errors raised before the ledger is checked whose cause lies in this host or its bundle, so that an earlier attempt under the same key may have passed. */
const codesBeforeKeyLookup: ReadonlySet<Code> = new Set(['notReady', 'tooManyConnections', 'serviceUnknown', 'callerUnknown']);

function hasKey({headers}: IncomingMessage): boolean {
	return headers[callerHeaders.key] !== undefined;
}

/** Sets `ran` to `unknown` on an error raised before the ledger was checked, if the request has a key: an earlier attempt may have run. */
function withUnknownRan(failure: Failure, request: IncomingMessage): Failure {
	if (!codesBeforeKeyLookup.has(failure.code) || !hasKey(request)) {
		return failure;
	}

	return new Failure(failure.code, {
		detail: failure.detail, retryAfterMs: failure.retryAfterMs, ran: 'unknown', cause: failure,
	});
}

function parseUrl({url}: IncomingMessage): URL {
	try {
		return new URL(url ?? '/', 'http://host');
	} catch {
		return fail('routeUnknown');
	}
}
