/**
 * What the relay routes by: the configuration in force and the endpoints now
 * known, as gatehead names them. Whoever publishes them translates into these
 * schemas. Safety: `kind` and `isResumable` say what may run more than once.
 */
import {z} from 'zod';
import {address} from './address.js';
import {position} from './position.js';

const name = z.string().min(1).max(200);
const milliseconds = z.number().nonnegative();
const count = z.number().int().nonnegative();
/** Longest id: a name, and the instant of a start. */
export const longestId = 240;

/** `stream` answers with events; `repeatable` may run more than once; `once` runs at most once. */
export const routeKind = z.enum(['stream', 'repeatable', 'once']);

/** One of the services that share a route's requests. */
export const serviceShare = z.object({service: name, weight: z.number().nonnegative()});

/** Where requests of one authority and path prefix go. */
export const route = z.object({
	name,
	authority: z.string(),
	pathPrefix: z.string(),
	kind: routeKind,
	/** Whether a stream may continue at another endpoint after its last event. */
	isResumable: z.boolean(),
	/** Most endpoints that may run one request. */
	maxAttempts: count.min(1),
	/** Longest time that one request is held, in milliseconds. */
	timeoutMs: milliseconds,
	/** Time within which the first byte is worth its full credit, in milliseconds. */
	targetMs: milliseconds,
	/** Longest pause between two events of a stream that is in time, in milliseconds; absent: no bound. */
	gapTargetMs: milliseconds.optional(),
	priority: count,
	/** Requests need no key; absent: they do, where the configuration has workspaces. */
	isPublic: z.boolean().optional(),
	shares: z.array(serviceShare).min(1),
});

/** What a quota counts: requests, or the tokens of prompts and answers. */
export const quotaUnit = z.enum(['requests', 'tokens']);

/** What the requests of one workspace may use at all hosts together: a rate, and what may come at once above it. */
export const quota = z.object({
	unit: quotaUnit,
	ratePerS: z.number().positive(),
	burst: z.number().nonnegative(),
	/** Tokens that a request counts which does not say how many it has. */
	unnamedTokens: z.number().nonnegative(),
});

/** Callers who share keys, a priority and a quota. */
export const workspace = z.object({
	name,
	/** Digests of the keys that its callers show; the keys themselves are kept nowhere. */
	keyDigests: z.array(z.string()),
	/** 0 goes first; it counts before the route's. */
	priority: count,
	/** Absent: no limit. */
	quota: quota.optional(),
});

/** Engines that read prompts and generate apart. */
export const enginePool = z.object({
	/** Memory of one engine, in tokens. */
	capacityTokens: count,
	/** How long a prefill result is kept, in milliseconds. */
	resultLifeMs: milliseconds,
	/** Longest reservation of memory, in milliseconds; 0: none is offered. */
	reservationMs: milliseconds,
});

/** A service and what bounds its use. */
export const service = z.object({
	name,
	/** Connections that one endpoint takes from all hosts together. */
	maxConnections: count.min(1),
	/** Present where the service is a model. */
	engine: enginePool.optional(),
});

/** Bounds on what callers may send. */
export const callerLimits = z.object({
	headerBytes: count, bodyBytes: count, headerMs: milliseconds, idleMs: milliseconds,
});

/** A whole configuration; a higher version replaces a lower one. */
export const routing = z.object({
	version: count,
	routes: z.array(route),
	services: z.array(service),
	callerLimits,
	/** Absent: no request needs a key. */
	workspaces: z.array(workspace).optional(),
});

/** One start of one endpoint: what starts again is another, also under the name that it had. Unlike its name, its id is kept for it alone. */
export const endpoint = z.object({
	id: z.string().min(1).max(longestId),
	/** The name that it answers to, which its next start may have too; absent: its id. */
	instance: name.optional(),
	service: name,
	address,
	hall: z.string(),
	/** `leaving`: no new work. */
	state: z.enum(['ready', 'leaving']),
	/** What an engine does; absent at plain services. */
	stage: z.enum(['prefill', 'decode']).optional(),
	slots: count,
	/** Revision of the directory at which its entry was made anew: it lapses when the endpoint ends. Absent: not known. */
	listedSince: z.number().int().optional(),
	/** Its entry cannot be read now: it may still serve, and gets nothing new. */
	isUnreadable: z.boolean().optional(),
});

/** An endpoint with the position in the directory's history at which it was last written. */
export const listedEndpoint = position.extend({endpoint});

/** What a route's requests may do. */
export type RouteKind = z.infer<typeof routeKind>;
/** What a quota counts. */
export type QuotaUnit = z.infer<typeof quotaUnit>;
/** A workspace's limit. */
export type Quota = z.infer<typeof quota>;
/** Callers who share keys. */
export type Workspace = z.infer<typeof workspace>;
/** Where requests go. */
export type Route = z.infer<typeof route>;
/** A service. */
export type Service = z.infer<typeof service>;
/** Bounds on callers. */
export type CallerLimits = z.infer<typeof callerLimits>;
/** A whole configuration. */
export type Routing = z.infer<typeof routing>;
/** One run of one endpoint. */
export type Endpoint = z.infer<typeof endpoint>;
/** An endpoint and its position. */
export type ListedEndpoint = z.infer<typeof listedEndpoint>;

/** The name that an endpoint answers to. */
export function instanceOf({id, instance}: Pick<Endpoint, 'id' | 'instance'>): string {
	return instance ?? id;
}
