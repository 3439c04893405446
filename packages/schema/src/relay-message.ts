/** Messages between relay hosts, checked on arrival. Efficiency, but for the configuration, whose version alone decides. */
import {z} from 'zod';
import {owner} from './engine-protocol.js';
import {memberRecord} from './peer-message.js';
import {position} from './position.js';
import {listedEndpoint, longestId, routing} from './routing.js';

/** An endpoint that a host has set aside. */
export const pause = z.object({endpoint: z.string(), leftMs: z.number()});

/** A start of an endpoint that has left although the directory's history may list it as ready up to a position, having come back from a copy; and for how long that counts. */
export const departure = position.extend({id: z.string().max(longestId), leftMs: z.number().nonnegative()});
/** Departures told at once: a directory that has lost the end of a whole fleet's planned stop. */
const departures = z.array(departure).max(2000).default([]);

/** What a host last heard of a quota's level, from which keeper, and how long ago: a keeper that begins starts from it. */
export const quotaLevel = z.object({level: z.number(), keeper: z.string(), ageMs: z.number().nonnegative()});

/** Starts of endpoints that ended under one content, how long ago, and those among all ends that say nothing against it. */
export const crashReport = z.object({
	content: z.string().length(64),
	bytes: z.number().int().nonnegative(),
	ends: z.array(z.object({end: z.string().max(400), ageMs: z.number().nonnegative()})).max(32),
	refuted: z.array(z.string().max(400)).max(64),
});

/** An endpoint's rate limit in requests a second over all hosts, and the age of the response that stated it; without `perS` that response stated none. */
export const rateLimit = z.object({endpoint: z.string().max(longestId), perS: z.number().nonnegative().optional(), ageMs: z.number().nonnegative()});
const rateLimits = z.array(rateLimit).max(2000);

/** Endpoints that have announced in a response that they drain. */
const drainingEndpoints = z.array(z.string().max(longestId)).max(2000);

/** Every message, by kind. */
export const relayMessage = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('hello'), from: owner, record: memberRecord}),
	z.object({kind: z.literal('doubt'), record: memberRecord}),
	z.object({
		kind: z.literal('heartbeat'), isAnswer: z.boolean(), news: z.array(memberRecord).max(10_000), clock: z.string(), routingVersion: z.number(), directoryRevision: z.number(), directoryEpoch: position.shape.epoch, departures, pauses: z.array(pause).max(1000), heldContents: z.array(crashReport).max(64).default([]), draining: drainingEndpoints.default([]),
	}),
	/** Asks for the configuration in force, where it is newer, and the endpoints written after a position; revision -1: all. */
	z.object({
		kind: z.literal('directoryWanted'), routingVersion: z.number(), revision: z.number(), epoch: position.shape.epoch,
	}),
	/** The answer to that; `ageMs`: how long ago the host that the news began with read them; `isWitnessed`: it was read while the directory answered, by its sender or by the host that the news began with; `kept`: entries among `ids` that have vanished and get a grace at its sender. */
	z.object({
		kind: z.literal('directory'), routing: routing.optional(), revision: z.number(), epoch: position.shape.epoch, departures, ageMs: z.number().nonnegative().default(0), isWitnessed: z.boolean(), endpoints: z.array(listedEndpoint).max(10_000), ids: z.array(z.string()).max(10_000), kept: z.array(z.object({id: z.string(), leftMs: z.number().nonnegative()})).max(10_000),
	}),
	z.object({kind: z.literal('paused'), pause}),
	/** Drain notices that the sender has just received; sent to all hosts, and with heartbeats for those that miss it. */
	z.object({kind: z.literal('draining'), endpoints: drainingEndpoints}),
	/** What is news about contents under which endpoints end; said to all. */
	z.object({kind: z.literal('crashes'), reports: z.array(crashReport).max(64)}),
	/** A prompt of so many tokens goes to an endpoint now; said to the hosts that share it. */
	z.object({kind: z.literal('reading'), endpoint: z.string(), tokens: z.number()}),
	/** So many tokens of memory were reserved at an endpoint, to be held for about so long; said to the hosts that share it. */
	z.object({
		kind: z.literal('placed'), endpoint: z.string(), tokens: z.number(), heldMs: z.number(),
	}),
	/** Asks how long ago the configuration was known to be the newest; `mostAgeMs`: an older answer is of no use. */
	z.object({
		kind: z.literal('freshnessWanted'), ask: z.number(), routingVersion: z.number(), mostAgeMs: z.number(),
	}),
	/** The answer to that; without `ageMs` its sender does not know. The configuration comes along where the asker's is older. */
	z.object({
		kind: z.literal('freshness'), ask: z.number(), ageMs: z.number().nonnegative().optional(), routing: routing.optional(),
	}),
	/** Asks the keeper of a workspace's quota for a part of it: `least` for what waits, `wanted` for what is expected besides. */
	z.object({
		kind: z.literal('quotaWanted'), ask: z.number(), workspace: z.string(), least: z.number().nonnegative(), wanted: z.number().nonnegative(), isStandIn: z.boolean(), heard: quotaLevel.optional(),
	}),
	/** The answer to that: what may be used at once, or when to ask again. */
	z.object({
		kind: z.literal('quotaGranted'), ask: z.number(), granted: z.number().nonnegative(), waitMs: z.number().nonnegative(), level: z.number(), keeper: z.string(),
	}),
	/** The host that grants permits for rate-limited endpoints asks another to lend its share; the limits come along where the other has an older version of them. */
	z.object({
		kind: z.literal('rateRound'), round: z.number(), hosts: z.number().int().positive(), version: z.number(), limits: rateLimits.optional(),
	}),
	/** The answer to that: the share, as a part of all, and the version of the limits that is known. */
	z.object({
		kind: z.literal('rateLoan'), round: z.number(), share: z.number().nonnegative().max(1), version: z.number(),
	}),
	/** Limits that endpoints have just stated, changed or ended; sent to the granter. */
	z.object({kind: z.literal('rateStated'), limits: rateLimits}),
	/** Asks the granter for permits to send so many requests. */
	z.object({
		kind: z.literal('rateWanted'), ask: z.number(), wanted: z.number().int().positive().max(10_000), limit: rateLimit,
	}),
	/** The answer to that: permits, or when to ask again. */
	z.object({
		kind: z.literal('rateGranted'), ask: z.number(), granted: z.number().int().nonnegative(), waitMs: z.number().nonnegative(),
	}),
	/** So many requests wait for memory at a service; said to the hosts that share its endpoints. */
	z.object({kind: z.literal('waiting'), service: z.string(), count: z.number()}),
]);

/** What travels in one gRPC message. */
export const relayBatch = z.array(relayMessage).max(10_000);

/** What a host tells of one content. */
export type CrashReport = z.infer<typeof crashReport>;
/** A message between relay hosts. */
export type RelayMessage = z.infer<typeof relayMessage>;
/** The message of one kind. */
export type RelayMessageOf<Kind extends RelayMessage['kind']> = Extract<RelayMessage, {kind: Kind}>;
/** An endpoint's rate limit as one host knows it. */
export type RateLimit = z.infer<typeof rateLimit>;
/** A quota's level as a host last heard it. */
export type QuotaLevel = z.infer<typeof quotaLevel>;
