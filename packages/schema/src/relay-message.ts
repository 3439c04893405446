/** Messages between relay hosts, validated on receipt. Of two configurations, the higher version is used, whichever host sent it. */
import {z} from 'zod';
import {owner} from './engine-protocol.js';
import {validItems} from './list.js';
import {memberRecord} from './peer-message.js';
import {position} from './position.js';
import {
	listedEndpoint, maxEndpointIdLength, maxSoftwareVersionLength, routing, serviceName,
} from './routing.js';

/** An endpoint that a host has paused, and the time left. */
export const pause = z.object({endpoint: z.string(), leftMs: z.number()});

/** An endpoint that has left, although a directory restored from a backup may list it as ready up to the position; valid for `leftMs`. */
export const departure = position.extend({id: z.string().max(maxEndpointIdLength), leftMs: z.number().nonnegative()});
/** The limit allows for a restored directory that has lost the planned stop of a whole fleet. */
const departures = z.array(departure).max(2000).default([]);

/** A quota's level as last received from a keeper, and its age; a new keeper starts from it. */
export const quotaLevel = z.object({level: z.number(), keeper: z.string(), ageMs: z.number().nonnegative()});

/** Endpoints that terminated while they ran requests of one content, or with one part in their prompts, with ages; `refuted` lists those that do not count against it. */
export const crashReport = z.object({
	suspect: z.enum(['content', 'part']).default('content'),
	content: z.string().length(64),
	bytes: z.number().int().nonnegative(),
	ends: z.array(z.object({end: z.string().max(400), ageMs: z.number().nonnegative()})).max(32),
	refuted: z.array(z.string().max(400)).max(64),
});

/** An endpoint's rate limit in requests per second over all hosts, and the age of the response that announced it; without `perS`, the response announced none. */
export const rateLimit = z.object({endpoint: z.string().max(maxEndpointIdLength), perS: z.number().nonnegative().optional(), ageMs: z.number().nonnegative()});
const rateLimits = z.array(rateLimit).max(2000);

/** Endpoints that have announced a drain in a response. */
const drainingEndpoints = z.array(z.string().max(maxEndpointIdLength)).max(2000);

/** Key of a stream's record: a digest, so that the ids that callers choose are neither long nor legible. */
const streamKey = z.string().max(64);
const softwareVersion = z.string().max(maxSoftwareVersionLength);

/** The service and software version at which a stream began, and how long its caller may resume it. */
export const streamRecord = z.object({
	service: serviceName, softwareVersion, leftMs: z.number().nonnegative(), isAmbiguous: z.boolean(),
});

/** What an engine holds of a request: evidence of the software version that ran it. `size`: events of a run in progress, or tokens of a cached part with what was generated behind it. */
export const runTrace = z.object({
	key: streamKey, service: serviceName, softwareVersion, size: z.number().nonnegative(), leftMs: z.number().nonnegative(),
});

/** What an endpoint's pace is relative to: events of a stream, prompt tokens, or plain calls. */
export const paceActivity = z.enum(['decode', 'prefill', 'call']);

const endpointId = z.string().max(maxEndpointIdLength);
const durationMs = z.number().nonnegative().max(3_600_000);
/** Maximum number of tokens that hosts tell each other of one request. */
export const maxRequestTokens = 10_000_000;
/** Larger numbers are reduced to their maximum, so that a sender whose report holds one still sends the report. */
const tokens = z.number().nonnegative().transform(count => Math.min(count, maxRequestTokens));
const maxHolds = 1e12;
const holds = z.number().nonnegative().transform(sum => Math.min(sum, maxHolds));
const observedCount = z.number().int().nonnegative().max(1_000_000);
const workspaceName = z.string().max(200);

/** Load of one service at one host. Observations are those since the sender's previous report; the rest replaces what that one said. */
export const loadReport = z.object({
	/** Observed paces: `units` events, prompt tokens or calls took `totalMs` in sum. */
	paces: z.array(z.object({
		endpoint: endpointId, activity: paceActivity, units: z.number().positive().transform(units => Math.min(units, maxRequestTokens)), totalMs: durationMs,
	})).max(256).default([]),
	/** Streams that run at replicas for the sender. */
	streams: z.array(z.object({
		endpoint: endpointId, promptTokens: tokens, estimateTokens: tokens, doneTokens: tokens,
	})).max(512).default([]),
	/** Completed outputs by the bin of their length relative to the estimate. */
	outputs: z.array(observedCount).max(64).default([]),
	/** Requests that wait, in the order in which the sender serves them; `urgency` is the route's priority. `isReturn`: it has a promise, as a retry at its scheduled time or as an accepted wait. */
	heads: z.array(z.object({
		urgency: z.number().nonnegative(), workspace: workspaceName.optional(), ageMs: durationMs, leftMs: z.number(), isReturn: z.boolean(), tokens,
	})).max(8).default([]),
	/** Use of the service per workspace, in tokens of memory times seconds. */
	use: z.array(z.object({workspace: workspaceName.optional(), tokenSeconds: z.number().nonnegative().max(10_000_000)})).max(256).default([]),
	/** Completed requests, their memory in tokens and the time for which they held it, as sums. */
	holds: z.object({count: observedCount, tokens: holds, heldMs: holds}).optional(),
	/** Returns of callers that the sender has promised, by time from now, workspace and urgency. */
	returns: z.array(z.object({
		inMs: durationMs, workspace: workspaceName.optional(), urgency: z.number().nonnegative().default(0), count: z.number().int().positive(),
	})).max(64).default([]),
	/** Plain calls in flight, and those that arrived since the previous report. */
	inFlight: z.array(z.object({endpoint: endpointId, count: z.number().int().nonnegative()})).max(256).default([]),
	arrivals: z.number().int().nonnegative().default(0),
});

/** A message between relay hosts. */
export const relayMessage = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('hello'), from: owner, record: memberRecord}),
	z.object({kind: z.literal('doubt'), record: memberRecord}),
	z.object({
		kind: z.literal('heartbeat'), isAnswer: z.boolean(), news: z.array(memberRecord).max(10_000), clock: z.string(), routingVersion: z.number(), directoryRevision: z.number(), directoryEpoch: position.shape.epoch, departures, pauses: z.array(pause).max(1000), heldContents: z.array(crashReport).max(64).default([]), draining: drainingEndpoints.default([]),
	}),
	/** Requests the configuration, if it is newer, and the endpoints written after a position; all endpoints for revision -1. */
	z.object({
		kind: z.literal('directoryWanted'), routingVersion: z.number(), revision: z.number(), epoch: position.shape.epoch,
	}),
	/** Response to `directoryWanted`. `ageMs`: time since the originating host read the directory; `isWitnessed`: the sender or the originating host read it while the directory was available; `kept`: entries in `ids` that the directory no longer lists and that the sender keeps for a grace period; `outdatedVersion`: version of the sender's configuration if it knows that a newer one is published which it cannot use; `newest`: version of the sender's configuration and latest position at which the sender knows it to have been the newest. */
	z.object({
		kind: z.literal('directory'), routing: routing.optional(), outdatedVersion: z.number().nonnegative().optional(), newest: position.extend({version: z.number().nonnegative()}).optional(), revision: z.number(), epoch: position.shape.epoch, departures, ageMs: z.number().nonnegative().default(0), isWitnessed: z.boolean(), endpoints: validItems(listedEndpoint, 10_000), ids: z.array(z.string()).max(10_000), kept: z.array(z.object({id: z.string(), leftMs: z.number().nonnegative()})).max(10_000),
	}),
	z.object({kind: z.literal('paused'), pause}),
	/** Drain notices that the sender has just received; sent to all hosts, and repeated in heartbeats. */
	z.object({kind: z.literal('draining'), endpoints: drainingEndpoints}),
	/** New reports of contents that crash endpoints; sent to all hosts. */
	z.object({kind: z.literal('crashes'), reports: z.array(crashReport).max(64)}),
	/** A prefill was sent to an endpoint; sent to the hosts that share it. */
	z.object({kind: z.literal('reading'), endpoint: z.string(), tokens: z.number()}),
	/** Memory was reserved at an endpoint, for an estimated `heldMs`; sent to the hosts that share it. */
	z.object({
		kind: z.literal('placed'), endpoint: z.string(), tokens: z.number(), heldMs: z.number(),
	}),
	/** Asks when the configuration was last confirmed as the newest; `mostAgeMs`: maximum useful age. */
	z.object({
		kind: z.literal('freshnessWanted'), ask: z.number(), routingVersion: z.number(), mostAgeMs: z.number(),
	}),
	/** Response to `freshnessWanted`; without `ageMs`, the sender does not know. Includes the configuration if the requester's is older. */
	z.object({
		kind: z.literal('freshness'), ask: z.number(), ageMs: z.number().nonnegative().optional(), routing: routing.optional(),
	}),
	/** Requests a part of a workspace's quota from its keeper: `least` for queued requests, `wanted` for expected ones in addition. */
	z.object({
		kind: z.literal('quotaWanted'), ask: z.number(), workspace: z.string(), least: z.number().nonnegative(), wanted: z.number().nonnegative(), isStandIn: z.boolean(), heard: quotaLevel.optional(),
	}),
	/** Response to `quotaWanted`: the amount granted, or the delay before the next request. `isUnknown`: the sender has just started and does not know its share, so another keeper is to be asked. */
	z.object({
		kind: z.literal('quotaGranted'), ask: z.number(), granted: z.number().nonnegative(), waitMs: z.number().nonnegative(), level: z.number(), keeper: z.string(), isUnknown: z.boolean().optional(),
	}),
	/** The host that grants permits for rate-limited endpoints asks another host to lend its share; includes the limits if the other host has an older version. */
	z.object({
		kind: z.literal('rateRound'), round: z.number(), hosts: z.number().int().positive(), version: z.number(), limits: rateLimits.optional(),
	}),
	/** Response to `rateRound`: the share, as a fraction of all, and the known version of the limits. */
	z.object({
		kind: z.literal('rateLoan'), round: z.number(), share: z.number().nonnegative().max(1), version: z.number(),
	}),
	/** Limits that endpoints have just announced, changed or ended; sent to the granter. */
	z.object({kind: z.literal('rateStated'), limits: rateLimits}),
	/** Asks the granter for permits, one for each request to send. */
	z.object({
		kind: z.literal('rateWanted'), ask: z.number(), wanted: z.number().int().positive().max(10_000), limit: rateLimit,
	}),
	/** Response to `rateWanted`: the permits granted, or the delay before the next request. */
	z.object({
		kind: z.literal('rateGranted'), ask: z.number(), granted: z.number().int().nonnegative(), waitMs: z.number().nonnegative(),
	}),
	/** Asks for a part of the receiver's share of a service's retry allowance, in repeats. */
	z.object({
		kind: z.literal('retriesWanted'), ask: z.number(), service: serviceName, wanted: z.number().positive().max(10_000),
	}),
	/** Response to `retriesWanted`. */
	z.object({kind: z.literal('retriesGranted'), ask: z.number(), granted: z.number().nonnegative()}),
	/** Returns a part that the sender was granted and no longer uses. */
	z.object({
		kind: z.literal('retriesReturned'), ask: z.number(), service: serviceName, unused: z.number().nonnegative(),
	}),
	/** Records of streams that the receiver is to hold; with `ask`, it acknowledges them. */
	z.object({kind: z.literal('streamRecords'), ask: z.number().optional(), records: z.array(streamRecord.extend({key: streamKey})).max(2000)}),
	/** Acknowledges `streamRecords`. */
	z.object({kind: z.literal('streamRecordsHeld'), ask: z.number()}),
	/** Asks for the record of a stream, and for the software versions seen of a service in the last `windowMs`; without a key, for the versions alone. */
	z.object({
		kind: z.literal('streamWanted'), ask: z.number(), key: streamKey.optional(), service: serviceName, windowMs: z.number().nonnegative(),
	}),
	/** Response to `streamWanted`; `coverageMs`: time over which the sender has seen all versions. */
	z.object({
		kind: z.literal('streamFound'), ask: z.number(), record: streamRecord.optional(), versions: z.array(softwareVersion).max(1000), coverageMs: z.number().nonnegative(),
	}),
	/** Traces that the receiver is to hold. */
	z.object({kind: z.literal('runTraces'), traces: z.array(runTrace).max(2000)}),
	/** Asks for the traces under some keys. */
	z.object({kind: z.literal('tracesWanted'), ask: z.number(), keys: z.array(streamKey).max(8)}),
	/** Response to `tracesWanted`; `isComplete`: the sender has asked all engines that it has to ask after its start; `unheard`: services and versions of those that have not answered, absent if the sender cannot tell. */
	z.object({
		kind: z.literal('tracesFound'), ask: z.number(), traces: z.array(runTrace).max(2000), isComplete: z.boolean(), unheard: z.array(runTrace.pick({service: true, softwareVersion: true})).max(100).optional(),
	}),
	/** Number of requests that wait for memory at a service; sent to the hosts that share its endpoints. */
	z.object({
		kind: z.literal('waiting'), service: z.string(), count: z.number(), report: loadReport.optional(),
	}),
]);

/** The messages in one gRPC message. */
export const relayBatch = z.array(relayMessage).max(10_000);

/** Load of one service at one host, as received. */
export type LoadReport = z.infer<typeof loadReport>;
/** Load of one service at one host, as sent. */
export type LoadReportDraft = z.input<typeof loadReport>;
export type PaceActivity = z.infer<typeof paceActivity>;
export type CrashReport = z.infer<typeof crashReport>;
export type RelayMessage = z.infer<typeof relayMessage>;
/** The message of one kind. */
export type RelayMessageOf<Kind extends RelayMessage['kind']> = Extract<RelayMessage, {kind: Kind}>;
export type RateLimit = z.infer<typeof rateLimit>;
export type QuotaLevel = z.infer<typeof quotaLevel>;
export type RunTrace = z.infer<typeof runTrace>;
