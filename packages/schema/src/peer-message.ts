/**
 * Messages between hosts, over one long-lived gRPC stream a pair, packed by
 * msgpackr and checked here on arrival. Efficiency: nothing that these
 * messages say about who lives carries a promise.
 */
import {z} from 'zod';
import {owner} from './engine-protocol.js';
import {signedManifest} from './signed-bundle.js';

/** What is known of a host: `alive`, `suspect`, `dead`, and `leaving` by a planned stop. */
export const memberState = z.enum(['alive', 'leaving', 'suspect', 'dead']);

/** A host as its peers know it. A higher incarnation, then a higher counter, replaces what was known. */
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
	/** Absent: nothing worth telling. `away`: the directory turns this host away, which should read it for others; `answers`: it has answered this host since another one said so. */
	directory: z.enum(['away', 'answers']).optional(),
});

/** A request that waits for its turn at a cell's keeper. */
export const leaseAsk = z.object({
	request: z.string(),
	attempt: z.number().int(),
	caller: z.string(),
	priority: z.number().int(),
	adapter: z.string().optional(),
	promptTokens: z.number(),
	maxTokens: z.number(),
	/** Digests of the prompt's leading blocks, longest first match wins. */
	blocks: z.array(z.string()).max(64),
	/** Time left to the first-token target when the ask was sent, in milliseconds. */
	slackMs: z.number(),
	/** True once the caller has been promised an answer: it is not refused any more. */
	accepted: z.boolean(),
});

/** A lease that its holder still uses, as it tells the keeper each tick. */
export const leaseClaim = z.object({
	request: z.string(), attempt: z.number().int(), stage: z.enum(['prefill', 'ready', 'decode']), engine: z.string(), prefillEngine: z.string(), maxTokens: z.number(), priority: z.number(), caller: z.string(), tokens: z.number(),
});

/** Every message, by kind. */
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

/** What travels in one gRPC message: all that was said to a peer in one turn. */
export const peerBatch = z.array(peerMessage).max(10_000);

/** A member's state. */
export type MemberState = z.infer<typeof memberState>;
/** A host as its peers know it. */
export type MemberRecord = z.infer<typeof memberRecord>;
/** A request that waits for its turn. */
export type LeaseAsk = z.infer<typeof leaseAsk>;
/** A lease in use. */
export type LeaseClaim = z.infer<typeof leaseClaim>;
/** A message between hosts. */
export type PeerMessage = z.infer<typeof peerMessage>;
/** The message of one kind. */
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, {kind: Kind}>;
