/** The HTTP API for callers, modelled on the OpenAI API; each error has a numbered code and `ran`. Safety: `ran` tells a caller whether it may repeat a call. */
import {z} from 'zod';

export const callerPaths = {
	hosts: '/v1/hosts',
	completions: '/v1/completions',
	chat: '/v1/chat/completions',
	services: '/services/',
} as const;

/** Headers with a meaning of their own in this API. */
export const callerHeaders = {
	/** `TICKET~NAME`: identifies a request, so that a repeated call is matched to the first. */
	key: 'idempotency-key',
	/** Number of the last event received, to resume a stream after it. */
	lastEvent: 'last-event-id',
	/** Set by a host that forwards a call to the host that issued its ticket. */
	forwarded: 'gatehead-forwarded',
} as const;

const maxPromptLength = 4_000_000;
/** Maximum number of tokens of one output. */
export const maxOutputTokens = 1_000_000;
const maxTokens = z.number().int().positive().max(maxOutputTokens).default(256);

const commonFields = {
	model: z.string().max(200),
	max_tokens: maxTokens,
	stream: z.boolean().default(false),
	adapter: z.string().max(200).optional(),
};

/** Body of `POST /v1/completions`. Unknown fields are ignored. */
export const completionBody = z.object({...commonFields, prompt: z.string().min(1).max(maxPromptLength)});

/** Body of `POST /v1/chat/completions`. */
export const chatBody = z.object({
	...commonFields,
	messages: z.array(z.object({role: z.string().max(40), content: z.string().max(maxPromptLength)})).min(1).max(1000),
});

/** Response of `GET /v1/hosts`: addresses in the order to try them, valid for `ttlMs`, each with a ticket. */
export const hostsAnswer = z.object({
	ttlMs: z.number(),
	hosts: z.array(z.object({
		host: z.string(), address: z.string(), hall: z.string(), ticket: z.string(),
	})),
});

export const errorBody = z.object({
	error: z.object({
		message: z.string(), type: z.string(), code: z.number(), ran: z.enum(['no', 'yes', 'unknown']), retryAfterMs: z.number().optional(),
	}),
});

export type CompletionBody = z.infer<typeof completionBody>;
export type ChatBody = z.infer<typeof chatBody>;
export type HostsResponse = z.infer<typeof hostsAnswer>;
export type ErrorBody = z.infer<typeof errorBody>;
