/**
 * Messages between hosts, encoded by msgpackr and sent over one long-lived gRPC
 * stream per pair; validated on receipt. Membership in them is only a hint:
 * no safety property depends on it.
 */
import {z} from 'zod';
import {owner} from './engine-protocol.js';
import {signedManifest} from './signed-bundle.js';

/** Membership state of a host; `leaving` during a planned stop. */
export const memberState = z.enum(['alive', 'leaving', 'suspect', 'dead']);

/** The hosts among which a host divides fleet-wide bounds, as a digest of their names. `formedDigest`: the digest at which a founder became established. */
export const censusRecord = z.object({
	digest: z.string().max(32), isEstablished: z.boolean(), isFirstStart: z.boolean(), formedDigest: z.string().max(32).optional(),
});

/** A host in the membership list. The record with the higher incarnation, then the higher counter, wins. */
export const memberRecord = z.object({
	host: z.string(),
	hall: z.string(),
	region: z.string(),
	incarnation: z.number(),
	counter: z.number().int(),
	state: memberState,
	callerAddress: z.string(),
	peerAddress: z.string(),
	adminAddress: z.string(),
	load: z.number(),
	/** `away`: the directory rejects this host, which should read it for others; `answers`: it has answered this host since another host reported `away`. */
	directory: z.enum(['away', 'answers']).optional(),
	/** Where it takes forwarded requests; absent if it takes none. */
	forwardAddress: z.string().optional(),
	/** Services to whose endpoints it has lost its links. */
	unreachable: z.array(z.string()).max(1000).optional(),
	/** Absent in earlier versions. */
	census: censusRecord.optional(),
	/** Whether it still asks engines after its start what they hold of earlier runs. */
	isSurveying: z.boolean().optional(),
});

/** A request for a lease, queued at a cell's keeper. */
export const leaseAsk = z.object({
	request: z.string(),
	attempt: z.number().int(),
	caller: z.string(),
	priority: z.number().int(),
	adapter: z.string().optional(),
	promptTokens: z.number(),
	maxTokens: z.number(),
	/** Digests of the prompt's leading blocks; the longest matching prefix wins. */
	blocks: z.array(z.string()).max(64),
	/** Time left until the first-token target when the message was sent, in milliseconds. */
	slackMs: z.number(),
	/** True once the request is admitted: it is no longer rejected. */
	accepted: z.boolean(),
});

/** A lease in use; its holder renews it at the keeper with each heartbeat. */
export const leaseClaim = z.object({
	request: z.string(), attempt: z.number().int(), stage: z.enum(['prefill', 'ready', 'decode']), engine: z.string(), prefillEngine: z.string(), maxTokens: z.number(), priority: z.number(), caller: z.string(), tokens: z.number(),
});

/** A message between hosts. */
export const peerMessage = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('hello'), from: owner, record: memberRecord}),
	z.object({
		kind: z.literal('heartbeat'), isAnswer: z.boolean(), news: z.array(memberRecord).max(10_000), bundleVersion: z.number().int(), manifestDigest: z.string(), clock: z.string(),
	}),
	z.object({kind: z.literal('doubt'), record: memberRecord}),
	z.object({kind: z.literal('bundleWanted'), have: z.array(z.string()).max(100)}),
	z.object({kind: z.literal('bundle'), signed: signedManifest, sections: z.record(z.string(), z.string())}),
	z.object({kind: z.literal('ask'), cell: z.string(), ask: leaseAsk}),
	z.object({
		kind: z.literal('withdraw'), cell: z.string(), request: z.string(), attempt: z.number(),
	}),
	z.object({
		kind: z.literal('prefillGrant'), cell: z.string(), request: z.string(), attempt: z.number(), engine: z.string(),
	}),
	z.object({
		kind: z.literal('decodeGrant'), cell: z.string(), request: z.string(), attempt: z.number(), engine: z.string(),
	}),
	z.object({
		kind: z.literal('refusal'), cell: z.string(), request: z.string(), attempt: z.number(), code: z.enum(['overloaded', 'shareExceeded', 'endpointsDown']), retryAfterMs: z.number(),
	}),
	z.object({
		kind: z.literal('notKeeper'), cell: z.string(), request: z.string(), attempt: z.number(),
	}),
	z.object({
		kind: z.literal('prefilled'), cell: z.string(), request: z.string(), attempt: z.number(), cachedTokens: z.number(), holdMs: z.number(),
	}),
	z.object({
		kind: z.literal('started'), cell: z.string(), request: z.string(), attempt: z.number(),
	}),
	z.object({
		kind: z.literal('bounced'), cell: z.string(), request: z.string(), attempt: z.number(), engine: z.string(), lost: z.boolean(),
	}),
	z.object({
		kind: z.literal('release'), cell: z.string(), request: z.string(), attempt: z.number(), tokens: z.number(), goodput: z.boolean(),
	}),
	z.object({
		kind: z.literal('claims'), cell: z.string(), claims: z.array(leaseClaim).max(10_000),
	}),
]);

/** One gRPC message: all messages to a peer from one turn of the event loop. */
export const peerBatch = z.array(peerMessage).max(10_000);

export type MemberState = z.infer<typeof memberState>;
export type MemberRecord = z.infer<typeof memberRecord>;
export type LeaseRequest = z.infer<typeof leaseAsk>;
export type LeaseClaim = z.infer<typeof leaseClaim>;
export type PeerMessage = z.infer<typeof peerMessage>;
/** The message of one kind. */
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, {kind: Kind}>;
