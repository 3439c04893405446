/**
 * Routing configuration and endpoints, independent of the platform that
 * publishes them. Safety: `kind` and `isResumable` determine which requests may
 * run more than once.
 */
import {z} from 'zod';
import {address} from './address.js';
import {list} from './list.js';
import {position} from './position.js';

const name = z.string().min(1).max(200);
/** Name of a service. */
export const serviceName = name;
/** Maximum duration in a configuration, in milliseconds: a week. Longer ones are reduced to it, since timers and sums of durations cannot hold every number. */
export const maxDurationMs = 604_800_000;
const milliseconds = z.number().nonnegative().transform(duration => Math.min(duration, maxDurationMs));
const count = z.number().int().nonnegative();
/** Maximum length of an endpoint id: a name and a start time. */
export const maxEndpointIdLength = 240;

/** Maximum length of a software version. */
export const maxSoftwareVersionLength = 200;

/** `stream`: responds with events; `repeatable`: may run more than once; `once`: runs at most once. */
export const routeKind = z.enum(['stream', 'repeatable', 'once']);

/** A service of a route and its weight. */
export const serviceShare = z.object({service: name, weight: z.number().nonnegative()});

/** Routes requests by authority and path prefix. */
export const route = z.object({
	name,
	authority: z.string(),
	pathPrefix: z.string(),
	kind: routeKind,
	/** Whether a stream may continue at another endpoint after its last event. */
	isResumable: z.boolean(),
	/** Maximum number of endpoints that may run one request. */
	maxAttempts: count.min(1),
	/** Request timeout, in milliseconds. */
	timeoutMs: milliseconds,
	/** Target time to the first byte, in milliseconds. */
	targetMs: milliseconds,
	/** Target for the maximum gap between two events of a stream, in milliseconds; none if absent. */
	gapTargetMs: milliseconds.optional(),
	priority: count,
	/** Whether requests need no key; if absent, they need one if the configuration has workspaces. */
	isPublic: z.boolean().optional(),
	shares: list(serviceShare).refine(shares => shares.length > 0, 'at least one service'),
});

/** What a quota counts: requests, or tokens of prompts and responses. */
export const quotaUnit = z.enum(['requests', 'tokens']);

/** Maximum of a quota's numbers, in its unit; larger ones are reduced to it, since levels and shares of them must be exact enough to change by one. */
const maxQuota = 1_000_000_000_000;
const quotaAmount = z.number().nonnegative().transform(amount => Math.min(amount, maxQuota));

/** Limit of one workspace over all hosts: a rate, and a burst above it. */
export const quota = z.object({
	unit: quotaUnit,
	ratePerS: z.number().positive().transform(rate => Math.min(rate, maxQuota)),
	burst: quotaAmount,
	/** Tokens charged for a request that does not state its number of tokens. */
	unnamedTokens: quotaAmount,
});

/** Callers who share keys, a priority and a quota. */
export const workspace = z.object({
	name,
	/** Digests of its keys; the keys themselves are never stored. */
	keyDigests: list(z.string()),
	/** 0 is the highest; takes precedence over the priority of the route. */
	priority: count,
	/** Unlimited if absent. */
	quota: quota.optional(),
	/** Weight of its share of a scarce service, relative to the other workspaces; 1 if absent. */
	weight: z.number().optional(),
});

/** Engines of a model with separate prefill and decode. */
export const enginePool = z.object({
	/** KV cache memory of one engine, in tokens. */
	capacityTokens: count,
	/** How long a prefill result is kept, in milliseconds. */
	resultLifeMs: milliseconds,
	/** Maximum duration of a memory reservation, in milliseconds; 0 if reservations are not supported. */
	reservationMs: milliseconds,
	/** Requests that one engine runs concurrently; unknown if absent. */
	slots: count.min(1).optional(),
	/** Output tokens in one event of a stream; unknown if absent. */
	eventTokens: count.min(1).optional(),
});

/** A service and its limits. */
export const service = z.object({
	name,
	/** Maximum number of connections to one endpoint over all hosts. */
	maxConnections: count.min(1),
	/** Present if the service is a model. */
	engine: enginePool.optional(),
});

/** Limits on requests and connections of callers. */
export const callerLimits = z.object({
	headerBytes: count, bodyBytes: count, headerMs: milliseconds, idleMs: milliseconds,
});

/** A configuration; a higher version replaces a lower one. */
export const routing = z.object({
	version: count,
	routes: list(route),
	services: list(service),
	callerLimits,
	/** If absent, no request needs a key. */
	workspaces: list(workspace).optional(),
});

/** One incarnation of an endpoint: each start has a unique id, but can reuse the name of an earlier one. */
export const endpoint = z.object({
	id: z.string().min(1).max(maxEndpointIdLength),
	/** The instance name, which later incarnations may reuse; the id if absent. */
	instance: name.optional(),
	service: name,
	address,
	hall: z.string(),
	/** `leaving`: gets no new requests. */
	state: z.enum(['ready', 'leaving']),
	/** Stage of an engine; absent for services without a model. */
	stage: z.enum(['prefill', 'decode']).optional(),
	slots: count,
	/** Version of the software that it runs, unlike that of its model's weights. Versions have no order; absent if its entry states none. */
	softwareVersion: z.string().max(maxSoftwareVersionLength).optional(),
	/** Directory revision at which its entry was created; the entry expires when the endpoint ends. Absent if unknown. */
	listedSince: z.number().int().optional(),
	/** Whether its entry cannot be parsed: it may still serve, but gets no new requests. */
	isUnreadable: z.boolean().optional(),
});

/** An endpoint and the position in the directory's history at which it was last written. */
export const listedEndpoint = position.extend({endpoint});

export type RouteKind = z.infer<typeof routeKind>;
export type QuotaUnit = z.infer<typeof quotaUnit>;
export type Quota = z.infer<typeof quota>;
export type EnginePool = z.infer<typeof enginePool>;
export type Workspace = z.infer<typeof workspace>;
export type Route = z.infer<typeof route>;
export type Service = z.infer<typeof service>;
export type CallerLimits = z.infer<typeof callerLimits>;
export type Routing = z.infer<typeof routing>;
export type Endpoint = z.infer<typeof endpoint>;
export type ListedEndpoint = z.infer<typeof listedEndpoint>;

/** The instance name of an endpoint. */
export function instanceOf({id, instance}: Pick<Endpoint, 'id' | 'instance'>): string {
	return instance ?? id;
}

/** The software version of an endpoint; endpoints whose entries state none have the same. */
export function versionOf({softwareVersion = ''}: Pick<Endpoint, 'softwareVersion'>): string {
	return softwareVersion;
}
