/** What callers send and get: the convention that their clients already speak, with a numbered code and `ran` in every error. Safety: `ran` tells a caller whether it may repeat a call. */
import {z} from 'zod';

/** Paths towards callers. */
export const callerPaths = {
	hosts: '/v1/hosts',
	completions: '/v1/completions',
	chat: '/v1/chat/completions',
	services: '/services/',
} as const;

/** Headers that gatehead adds to the convention. */
export const callerHeaders = {
	/** `TICKET~NAME`: names a request so that a repeated call finds the first. */
	key: 'idempotency-key',
	/** Number of the last event that the caller has, to get the rest of a stream. */
	lastEvent: 'last-event-id',
	/** Set by a host that forwards a call to the ticket's host. */
	forwarded: 'gatehead-forwarded',
} as const;

const longestPrompt = 4_000_000;
const mostTokens = z.number().int().positive().max(1_000_000).default(256);

const common = {
	model: z.string().max(200),
	max_tokens: mostTokens,
	stream: z.boolean().default(false),
	adapter: z.string().max(200).optional(),
};

/** Body of `POST /v1/completions`. Unknown fields of the convention are let through unread. */
export const completionBody = z.object({...common, prompt: z.string().min(1).max(longestPrompt)});

/** Body of `POST /v1/chat/completions`. */
export const chatBody = z.object({
	...common,
	messages: z.array(z.object({role: z.string().max(40), content: z.string().max(longestPrompt)})).min(1).max(1000),
});

/** Answer of `GET /v1/hosts`: addresses in the order to try, for `ttlMs`, with a ticket of each. */
export const hostsAnswer = z.object({
	ttlMs: z.number(),
	hosts: z.array(z.object({
		host: z.string(), address: z.string(), hall: z.string(), ticket: z.string(),
	})),
});

/** The error body. */
export const errorBody = z.object({
	error: z.object({
		message: z.string(), type: z.string(), code: z.number(), ran: z.enum(['no', 'yes', 'unknown']), retryAfterMs: z.number().optional(),
	}),
});

/** Body of a completion call. */
export type CompletionBody = z.infer<typeof completionBody>;
/** Body of a chat call. */
export type ChatBody = z.infer<typeof chatBody>;
/** Answer to a lookup. */
export type HostsAnswer = z.infer<typeof hostsAnswer>;
/** Body of an error. */
export type ErrorBody = z.infer<typeof errorBody>;
