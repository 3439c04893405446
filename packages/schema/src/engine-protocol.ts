/**
 * Protocol between gatehead and a model engine: HTTP with JSON bodies; a decode
 * stream is JSON lines. Safety: every line of a stream carries its request and
 * attempt, so that it is never attributed to another one.
 */
import {z} from 'zod';

export const enginePaths = {
	prefill: '/engine/prefill',
	decode: '/engine/decode',
	resume: '/engine/resume',
	cancel: '/engine/cancel',
	export: '/engine/export',
	report: '/engine/report',
	orders: '/engine/orders',
} as const;

/** The host process that owns a stream or result. */
export const owner = z.object({host: z.string(), incarnation: z.number()});

const work = z.object({
	request: z.string(), attempt: z.number().int(), owner, model: z.string(), adapter: z.string().optional(), priority: z.number().int(),
});

/** Asks a prefill engine to build the KV cache of a prompt and of the tokens generated so far. */
export const prefillOrder = work.extend({prompt: z.string(), given: z.array(z.string())});

/** A prefill result that the engine keeps under `handle` for `holdMs`. */
export const prefillResult = z.object({
	handle: z.string(), promptTokens: z.number(), cachedTokens: z.number(), bytes: z.number(), holdMs: z.number(),
});

/** Asks a decode engine to import a prefill result and to generate. */
export const decodeOrder = work.extend({
	source: z.object({address: z.string(), handle: z.string()}), prompt: z.string(), given: z.array(z.string()), maxTokens: z.number().int(),
});

/** Resumes a stream that the engine still holds, from token number `from`, under a new owner. */
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

/** Releases all resources of a request, for its attempts up to and including `attempt`. */
export const cancelOrder = z.object({request: z.string(), attempt: z.number().int(), owner: owner.optional()});

/** Result of a cancel: whether the engine still holds resources of the request. */
export const cancelResult = z.object({held: z.boolean()});

/** A stream that a decode engine holds. */
export const heldStream = z.object({
	request: z.string(), attempt: z.number().int(), owner, tokens: z.number(), maxTokens: z.number(), ageMs: z.number(),
});

/** A finished or running prefill that a prefill engine holds. */
export const heldResult = z.object({
	request: z.string(), attempt: z.number().int(), owner, bytes: z.number(), ageMs: z.number(),
});

/** A prompt block that an engine cached or evicted; `sequence` reveals missed events. */
export const cacheEvent = z.object({sequence: z.number().int(), kind: z.enum(['stored', 'evicted']), block: z.string()});

/** Load and held resources of an engine, as of `lagMs` ago. */
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

/** Assigns an engine its role and model. The fencing token is the bundle's version. */
export const engineOrder = z.object({
	fence: z.number().int(),
	role: z.enum(['prefill', 'decode']),
	model: z.object({name: z.string(), version: z.string(), adapters: z.array(z.string())}),
	owner,
});

/** Result of an order: whether the engine applied it, and the highest fencing token it has seen. */
export const orderResult = z.object({obeyed: z.boolean(), fence: z.number().int()});

/** Why an engine did not run a request; it then holds no resources of it. */
export const engineRefusal = z.object({
	refused: z.enum(['full', 'notLoaded', 'lapsed', 'unknownStream', 'malformed', 'fenced', 'stopping', 'duplicate']), detail: z.string().optional(),
});

export type Owner = z.infer<typeof owner>;
export type PrefillOrder = z.infer<typeof prefillOrder>;
export type PrefillResult = z.infer<typeof prefillResult>;
export type DecodeOrder = z.infer<typeof decodeOrder>;
export type ResumeOrder = z.infer<typeof resumeOrder>;
export type StreamLine = z.infer<typeof streamLine>;
export type CancelOrder = z.infer<typeof cancelOrder>;
export type CancelResult = z.infer<typeof cancelResult>;
export type HeldStream = z.infer<typeof heldStream>;
export type HeldResult = z.infer<typeof heldResult>;
export type CacheEvent = z.infer<typeof cacheEvent>;
export type EngineReport = z.infer<typeof engineReport>;
export type EngineOrder = z.infer<typeof engineOrder>;
export type OrderResult = z.infer<typeof orderResult>;
export type EngineRefusal = z.infer<typeof engineRefusal>;
