/**
 * The HTTP server towards callers: limits, authentication, the table of routes, and numbered errors for all that goes wrong.
 * Safety: a refusal given before the guard was asked never says "not run" of a keyed request.
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
import {answerCompletion} from './completions.js';
import {identify, indexCallers} from './intake.js';
import {answerLookup} from './lookups.js';
import {type Call, type FrontParts} from './parts.js';
import {sendFailure} from './reply.js';
import {type CallParts} from './service-call.js';
import {answerService} from './services.js';

const base36 = 36;
const mostHeaderBytes = 16_384;

type Handler = (call: Call) => Promise<void> | void;

/** Serves callers. */
export class CallerFront {
	readonly #parts: FrontParts;
	readonly #calls: CallParts;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #routes: Readonly<Record<string, Handler>>;
	#callers: ReadonlyMap<string, Caller> = new Map();
	#made = 0;
	#open = 0;
	#isStopping = false;

	constructor(parts: FrontParts, calls: CallParts) {
		this.#parts = parts;
		this.#calls = calls;
		this.#routes = this.#makeRoutes();
		const {limits: {connections, headerMs}} = parts.context.settings;
		this.#server = createServer({
			maxHeaderSize: mostHeaderBytes, headersTimeout: headerMs, requestTimeout: headerMs, connectionsCheckingInterval: Math.min(headerMs, 1000),
		}, (request, response) => {
			void this.#answer(request, response);
		});
		this.#server.maxConnections = connections;
		this.#connections = new CallerConnections(this.#server);
		parts.bundles.onAdopted(({bundle}) => {
			this.#callers = indexCallers(bundle);
		});
	}

	/** Requests in work. */
	get open(): number {
		return this.#open;
	}

	/** Starts to listen; resolves with the bound address. */
	async listen(): Promise<string> {
		return listenAt(this.#server, this.#parts.context.settings.listen.caller);
	}

	/** Whether new requests are told to go to another host. */
	get isStopping(): boolean {
		return this.#isStopping;
	}

	/** From now on new requests are told to go to another host. */
	refuseNew(): void {
		this.#isStopping = true;
	}

	/** Stops listening and cuts what is still connected. */
	async close(): Promise<void> {
		await this.#connections.close();
	}

	#makeRoutes(): Readonly<Record<string, Handler>> {
		const parts = this.#parts;
		const makeId = () => this.#makeId();
		return {
			[`GET ${callerPaths.hosts}`](call) {
				answerLookup(parts, call);
			},
			async [`POST ${callerPaths.completions}`](call) {
				await answerCompletion(parts, call, 'completion', makeId);
			},
			async [`POST ${callerPaths.chat}`](call) {
				await answerCompletion(parts, call, 'chat', makeId);
			},
		};
	}

	/** Names a request that came without a key. */
	#makeId(): string {
		const {host, incarnation} = this.#parts.context.self;
		this.#made += 1;
		return `${host}.${incarnation.toString(base36)}.${this.#made.toString(base36)}`;
	}

	#findHandler(method: string, path: string): Handler {
		if (path.startsWith(callerPaths.services)) {
			return async call => answerService(this.#parts, this.#calls, call, () => this.#makeId());
		}

		return this.#routes[`${method} ${path}`] ?? fail('routeUnknown');
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#open += 1;
		response.once('close', () => {
			this.#open -= 1;
		});
		try {
			await this.#handle(request, response);
		} catch (error) {
			const failure = beTrue(toFailure(error), request);
			this.#parts.context.counters.count('refused', failure.code);
			if (failure.code === 'internal') {
				this.#parts.context.log('internal', {detail: failure.message});
			}

			sendFailure(response, failure);
			// A body that was not read to its end would block the connection
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

		if (this.#open > settings.limits.requests) {
			fail('tooManyConnections', {retryAfterMs: 1000});
		}

		const inForce = isReady() ? bundles.inForce : undefined;
		if (inForce === undefined) {
			fail('notReady', {retryAfterMs: 1000});
		}

		const caller = identify(request, this.#callers);
		await handler({
			request, response, url, caller, inForce, arrivedAt: clock.now(),
		});
	}
}

/** Refusals that say nothing about an earlier try under the same key. */
const blind: ReadonlySet<Code> = new Set(['notReady', 'tooManyConnections', 'serviceUnknown', 'callerUnknown']);

function hasKey({headers}: IncomingMessage): boolean {
	return headers[callerHeaders.key] !== undefined;
}

/** A refusal that was given before the guard was asked cannot say "not run" of a request with a key: an earlier try may have run. */
function beTrue(failure: Failure, request: IncomingMessage): Failure {
	if (!blind.has(failure.code) || !hasKey(request)) {
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
