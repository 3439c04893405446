/**
 * The administration interface: reads only, for operators who prove who they
 * are, by token or by mutual TLS. Safety: nothing here changes anything.
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

/** What the interface reads. */
export type AdminParts = {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly membership: Membership;
	readonly keeper: Keeper;
	readonly isReady: () => boolean;
	readonly countOpen: () => number;
	readonly isConfigurationDown: () => boolean;
};

type Reader = (parts: AdminParts, url: URL) => unknown;

/** Settings as operators may see them: without keys. */
function withoutSecrets({keys, ...rest}: Settings): unknown {
	return {...rest, keys: {tickets: keys.tickets.length, operators: keys.operators.map(each => each.name), hasTls: keys.tls !== undefined}};
}

function describeBundle({bundles, context}: AdminParts): unknown {
	const {inForce} = bundles;
	if (inForce === undefined) {
		return {
			version: 0, digest: '', since: null, forMs: 0,
		};
	}

	const {bundle: {version, deployment}, manifestDigest, sinceWall, since} = inForce;
	return {
		deployment, version, digest: manifestDigest, since: new Date(sinceWall).toISOString(), forMs: Math.round(context.clock.now() - since),
	};
}

function describeStatus(parts: AdminParts): unknown {
	const {context: {self, settings}, membership, keeper, isReady, countOpen, isConfigurationDown} = parts;
	return {
		...self,
		hall: settings.hall,
		isReady: isReady(),
		state: membership.members.self.state,
		bundle: describeBundle(parts),
		isConfigurationDown: isConfigurationDown(),
		open: countOpen(),
		members: membership.members.list().map(({host, state, hall, incarnation, load}) => ({
			host, state, hall, incarnation, load,
		})),
		cells: keeper.describe(),
	};
}

/** Splits counters that carry a caller into a row for each caller, with its member. */
function describeUsage({context, bundles}: AdminParts): unknown {
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

/** Every route with what it reads; docs/API.md lists them with units. */
export const adminRoutes: Readonly<Record<string, Reader>> = {
	'/v1/health': ({context}) => ({host: context.self.host, ok: true}),
	'/v1/ready': ({isReady}) => (isReady() ? {ready: true} : fail('notReady', {retryAfterMs: 1000})),
	'/v1/status': describeStatus,
	'/v1/bundle': describeBundle,
	'/v1/members': ({membership}) => membership.members.list(),
	'/v1/leases': ({keeper}) => keeper.describe(),
	'/v1/usage': describeUsage,
	'/v1/counters': ({context}) => context.counters.list(),
	'/v1/settings': ({context}) => withoutSecrets(context.settings),
	'/v1/timeline': ({context}, url) => ({
		host: context.self.host, dropped: context.timeline.dropped, events: context.timeline.listAfter(url.searchParams.get('after') ?? ''),
	}),
};

/** Serves operators. */
export class AdminFront {
	readonly #parts: AdminParts;
	readonly #server: Server;

	constructor(parts: AdminParts) {
		this.#parts = parts;
		const answer = (request: IncomingMessage, response: ServerResponse) => {
			this.#answer(request, response);
		};

		const {tls} = parts.context.settings.keys;
		this.#server = tls === undefined
			? createServer(answer)
			: createTlsServer({
				ca: readFileSync(tls.ca), cert: readFileSync(tls.certificate), key: readFileSync(tls.key), requestCert: true, rejectUnauthorized: true,
			}, answer);
	}

	/** Starts to listen; resolves with the bound address. */
	async listen(): Promise<string> {
		return listenAt(this.#server, this.#parts.context.settings.listen.admin);
	}

	/** Stops. */
	async close(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeAllConnections();
		await closed;
	}

	#answer(request: IncomingMessage, response: ServerResponse): void {
		try {
			this.#authenticate(request);
			const url = new URL(request.url ?? '/', 'http://host');
			const reader = request.method === 'GET' ? adminRoutes[url.pathname] : undefined;
			sendJson(response, 200, (reader ?? fail('routeUnknown'))(this.#parts, url));
		} catch (error) {
			sendFailure(response, toFailure(error));
		}
	}

	/** With a token digest in the settings the token is asked for, with TLS besides the certificate. */
	#authenticate({headers}: IncomingMessage): void {
		const {adminTokenDigest} = this.#parts.context.settings.keys;
		if (adminTokenDigest === undefined) {
			return;
		}

		const given = digestOf(headers.authorization?.replace(/^Bearer /v, '') ?? '');
		if (!timingSafeEqual(Buffer.from(given), Buffer.from(adminTokenDigest))) {
			fail('peerRefused');
		}
	}
}
