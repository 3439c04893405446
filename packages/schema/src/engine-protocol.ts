/**
 * What is said between gatehead and a model engine, over HTTP with JSON
 * bodies; a decode stream is JSON lines. Safety: every stream carries its
 * request, attempt and owner, so that an answer can never be taken for another's.
 */
import {z} from 'zod';

/** Paths of the engine's interface. */
export const enginePaths = {
	prefill: '/engine/prefill',
	decode: '/engine/decode',
	resume: '/engine/resume',
	cancel: '/engine/cancel',
	export: '/engine/export',
	report: '/engine/report',
	orders: '/engine/orders',
} as const;

/** One incarnation of one host: the process that a stream or result belongs to. */
export const owner = z.object({host: z.string(), incarnation: z.number()});

const work = z.object({
	request: z.string(), attempt: z.number().int(), owner, model: z.string(), adapter: z.string().optional(), priority: z.number().int(),
});

/** Asks a prefill engine to build the KV cache of a prompt and the tokens already given. */
export const prefillOrder = work.extend({prompt: z.string(), given: z.array(z.string())});

/** The result waits at the prefill engine under `handle` for `holdMs`. */
export const prefillResult = z.object({
	handle: z.string(), promptTokens: z.number(), cachedTokens: z.number(), bytes: z.number(), holdMs: z.number(),
});

/** Asks a decode engine to import a result and to generate. */
export const decodeOrder = work.extend({
	source: z.object({address: z.string(), handle: z.string()}), prompt: z.string(), given: z.array(z.string()), maxTokens: z.number().int(),
});

/** Asks for the rest of a stream that the engine still has, from token number `from`, under a new owner. */
export const resumeOrder = z.object({
	request: z.string(), attempt: z.number().int(), owner, from: z.number().int(),
});

/** One line of a decode stream. */
export const streamLine = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('imported'), request: z.string(), attempt: z.number()}),
	z.object({
		kind: z.literal('token'), request: z.string(), attempt: z.number(), n: z.number().int(), text: z.string(),
	}),
	z.object({
		kind: z.literal('end'), request: z.string(), attempt: z.number(), tokens: z.number().int(), reason: z.enum(['stop', 'length']),
	}),
]);

/** Asks to release all that a request holds, up to and with `attempt`. */
export const cancelOrder = z.object({request: z.string(), attempt: z.number().int(), owner: owner.optional()});

/** The engine's word after a cancel: what of the request it still holds. */
export const cancelResult = z.object({held: z.boolean()});

/** A stream that a decode engine holds. */
export const heldStream = z.object({
	request: z.string(), attempt: z.number().int(), owner, tokens: z.number(), maxTokens: z.number(), ageMs: z.number(),
});

/** A prefill result or a prefill in work that a prefill engine holds. */
export const heldResult = z.object({
	request: z.string(), attempt: z.number().int(), owner, bytes: z.number(), ageMs: z.number(),
});

/** Prompt blocks that an engine began or ceased to cache; `sequence` shows gaps. */
export const cacheEvent = z.object({sequence: z.number().int(), kind: z.enum(['stored', 'evicted']), block: z.string()});

/** Load and holdings, as they were `lagMs` ago. */
export const engineReport = z.object({
	name: z.string(),
	role: z.enum(['prefill', 'decode']),
	fence: z.number().int(),
	models: z.array(z.object({name: z.string(), version: z.string(), adapters: z.array(z.string())})),
	slots: z.number().int(),
	streams: z.array(heldStream),
	results: z.array(heldResult),
	queued: z.number().int(),
	tokenMs: z.number(),
	lagMs: z.number(),
	cacheEvents: z.array(cacheEvent),
});

/** A fenced order: what the engine has to serve and as what. The fence is the bundle's version. */
export const engineOrder = z.object({
	fence: z.number().int(),
	role: z.enum(['prefill', 'decode']),
	model: z.object({name: z.string(), version: z.string(), adapters: z.array(z.string())}),
	owner,
});

/** The engine's word on an order: whether it obeyed and the highest fence it saw. */
export const orderResult = z.object({obeyed: z.boolean(), fence: z.number().int()});

/** Why an engine did not run what it was asked; it then holds nothing of it. */
export const engineRefusal = z.object({
	refused: z.enum(['full', 'notLoaded', 'lapsed', 'unknownStream', 'malformed', 'fenced', 'stopping', 'duplicate']), detail: z.string().optional(),
});

/** One incarnation of one host. */
export type Owner = z.infer<typeof owner>;
/** An order to prefill. */
export type PrefillOrder = z.infer<typeof prefillOrder>;
/** A prefill result. */
export type PrefillResult = z.infer<typeof prefillResult>;
/** An order to import and decode. */
export type DecodeOrder = z.infer<typeof decodeOrder>;
/** An order to resume a stream. */
export type ResumeOrder = z.infer<typeof resumeOrder>;
/** A line of a decode stream. */
export type StreamLine = z.infer<typeof streamLine>;
/** An order to cancel. */
export type CancelOrder = z.infer<typeof cancelOrder>;
/** The engine's word after a cancel. */
export type CancelResult = z.infer<typeof cancelResult>;
/** A stream that an engine holds. */
export type HeldStream = z.infer<typeof heldStream>;
/** A result that an engine holds. */
export type HeldResult = z.infer<typeof heldResult>;
/** A change of an engine's prefix cache. */
export type CacheEvent = z.infer<typeof cacheEvent>;
/** An engine's report. */
export type EngineReport = z.infer<typeof engineReport>;
/** An order to load or change role. */
export type EngineOrder = z.infer<typeof engineOrder>;
/** The engine's word on an order. */
export type OrderResult = z.infer<typeof orderResult>;
/** An engine's refusal. */
export type EngineRefusal = z.infer<typeof engineRefusal>;
