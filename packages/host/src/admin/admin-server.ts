/**
 * Administration interface for operators, authenticated by token, mutual TLS
 * or both. Safety: all routes are read-only.
 */
import {timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {digestOf} from '@gatehead/schema/canonical-json';
import {fail, toFailure} from '@gatehead/schema/failure';
import {type Settings} from '@gatehead/schema/settings';
import {type BundleStore} from '../core/bundle-store.js';
import {type Context} from '../core/context.js';
import {sendFailure, sendJson} from '../front/reply.js';
import {listenAt} from '../utils/listen.js';
import {type Keeper} from '../keeper/keeper.js';
import {type Membership} from '../peer/membership.js';

export type AdminOptions = {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly membership: Membership;
	readonly keeper: Keeper;
	readonly isReady: () => boolean;
	readonly countInFlight: () => number;
	readonly isConfigurationUnavailable: () => boolean;
};

type RouteHandler = (options: AdminOptions, url: URL) => unknown;

/** Replaces the keys in the settings with the number of ticket keys, the operators' names and whether TLS is configured. */
function redactSettings({keys, ...rest}: Settings): unknown {
	return {...rest, keys: {tickets: keys.tickets.length, operators: keys.operators.map(each => each.name), hasTls: keys.tls !== undefined}};
}

function describeBundle({bundles, context}: AdminOptions): unknown {
	const {inForce} = bundles;
	if (inForce === undefined) {
		return {
			version: 0, digest: '', since: null, forMs: 0,
		};
	}

	const {bundle: {version, deployment}, manifestDigest, adoptedAtWall, adoptedAt} = inForce;
	return {
		deployment, version, digest: manifestDigest, since: new Date(adoptedAtWall).toISOString(), forMs: Math.round(context.clock.now() - adoptedAt),
	};
}

function describeStatus(options: AdminOptions): unknown {
	const {context: {self, settings}, membership, keeper, isReady, countInFlight, isConfigurationUnavailable} = options;
	return {
		...self,
		hall: settings.hall,
		isReady: isReady(),
		state: membership.members.self.state,
		bundle: describeBundle(options),
		isConfigurationDown: isConfigurationUnavailable(),
		open: countInFlight(),
		members: membership.members.list().map(({host, state, hall, incarnation, load}) => ({
			host, state, hall, incarnation, load,
		})),
		cells: keeper.describe(),
	};
}

/** Groups the counters that are tagged with a caller by caller. */
function describeUsage({context, bundles}: AdminOptions): unknown {
	const usage = new Map<string, Record<string, number>>();
	for (const [name, amount] of Object.entries(context.counters.list())) {
		const {metric, tag} = /^(?<metric>[^\{]+)\{(?<tag>[^\}]+)\}$/v.exec(name)?.groups ?? {};
		const caller = bundles.inForce?.bundle.callers.find(each => each.name === tag);
		if (metric !== undefined && caller !== undefined) {
			usage.set(caller.name, {...usage.get(caller.name), [metric]: amount});
		}
	}

	return bundles.inForce?.bundle.callers.map(({name, member, priority, share}) => ({
		caller: name, member, priority, share, counts: usage.get(name) ?? {},
	})) ?? [];
}

/** Routes with their handlers; docs/API.md documents the responses. */
export const adminRoutes: Readonly<Record<string, RouteHandler>> = {
	'/v1/health': ({context}) => ({host: context.self.host, ok: true}),
	'/v1/ready': ({isReady}) => (isReady() ? {ready: true} : fail('notReady', {retryAfterMs: 1000})),
	'/v1/status': describeStatus,
	'/v1/bundle': describeBundle,
	'/v1/members': ({membership}) => membership.members.list(),
	'/v1/leases': ({keeper}) => keeper.describe(),
	'/v1/usage': describeUsage,
	'/v1/counters': ({context}) => context.counters.list(),
	'/v1/settings': ({context}) => redactSettings(context.settings),
	'/v1/timeline': ({context}, url) => ({
		host: context.self.host, dropped: context.timeline.dropped, events: context.timeline.listAfter(url.searchParams.get('after') ?? ''),
	}),
};

/** HTTP server of the administration interface. */
export class AdminServer {
	readonly #options: AdminOptions;
	readonly #server: Server;

	constructor(options: AdminOptions) {
		this.#options = options;
		const handle = (request: IncomingMessage, response: ServerResponse) => {
			this.#handle(request, response);
		};

		const {tls} = options.context.settings.keys;
		this.#server = tls === undefined
			? createServer(handle)
			: createTlsServer({
				ca: readFileSync(tls.ca), cert: readFileSync(tls.certificate), key: readFileSync(tls.key), requestCert: true, rejectUnauthorized: true,
			}, handle);
	}

	/** Starts listening and resolves with the bound address. */
	async listen(): Promise<string> {
		return listenAt(this.#server, this.#options.context.settings.listen.admin, this.#options.context);
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeAllConnections();
		await closed;
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		try {
			this.#authenticate(request);
			const url = new URL(request.url ?? '/', 'http://host');
			const handler = request.method === 'GET' ? adminRoutes[url.pathname] : undefined;
			sendJson(response, 200, (handler ?? fail('routeUnknown'))(this.#options, url));
		} catch (error) {
			sendFailure(response, toFailure(error));
		}
	}

	/** Checks the bearer token if the settings hold a token digest. Client certificates are checked by the TLS server. */
	#authenticate({headers}: IncomingMessage): void {
		const {adminTokenDigest} = this.#options.context.settings.keys;
		if (adminTokenDigest === undefined) {
			return;
		}

		const received = digestOf(headers.authorization?.replace(/^Bearer /v, '') ?? '');
		if (!timingSafeEqual(Buffer.from(received), Buffer.from(adminTokenDigest))) {
			fail('peerRefused');
		}
	}
}
