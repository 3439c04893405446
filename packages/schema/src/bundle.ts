/**
 * The versioned bundle: what serves, where, and for whom. Safety: a bundle
 * is adopted only by signature and rising version (see `signed-bundle.ts`).
 */
import {z} from 'zod';
import {address} from './address.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,63}$/v, 'a name of up to 64 small letters, digits, dots and hyphens');
const positive = z.number().int().positive();

/** A model, its window in tokens and the size of its KV cache in bytes a token. */
export const model = z.strictObject({
	name,
	version: name,
	windowTokens: positive,
	kvBytesPerToken: positive,
	adapters: z.array(z.strictObject({name, version: name})).default([]),
});

/** What an engine does: `prefill` builds the KV cache, `decode` generates from it. */
export const role = z.enum(['prefill', 'decode']);

/** A model engine with what the operators know of its speed. */
export const engine = z.strictObject({
	name,
	hall: name,
	address,
	pool: name,
	role,
	model: name,
	adapters: z.array(name).default([]),
	/** Requests that a decode engine's memory holds; places that a prefill engine works on at once. */
	slots: positive.max(4096),
	/** Prompt tokens a second of a prefill engine. */
	prefillTokensPerSecond: positive.default(20_000),
	/** Rate at which a prefill engine's results leave it. */
	linkBytesPerSecond: positive.default(10_000_000_000),
	/** How long a prefill engine keeps a result that nobody imports. */
	resultHoldMs: positive.max(60_000).default(800),
	/** Whether the engine checks who gives it an order. */
	checksSender: z.boolean().default(false),
	/** Set while the endpoint is leaving: it gets no new work. */
	leaving: z.boolean().default(false),
});

/** A plain service and its replicas. */
export const service = z.strictObject({
	name,
	/** False: a call runs at most once and needs a ticket. */
	repeatable: z.boolean(),
	checksSender: z.boolean().default(false),
	timeoutMs: positive.max(600_000).default(10_000),
	replicas: z.array(z.strictObject({
		name, hall: name, address, leaving: z.boolean().default(false),
	})).min(1),
});

/** Someone who calls: a workspace or application, for audit grouped by member. */
export const caller = z.strictObject({
	name,
	/** The firm or office that pays for the use. */
	member: name,
	/** 0 is the most urgent. */
	priority: z.number().int().min(0).max(9),
	/** Weight against others when capacity is short. */
	share: z.number().positive().max(1_000_000),
	/** SHA-256 of the bearer token, in hexadecimal. */
	tokenDigest: z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits'),
	/** Most requests in work at once at the whole system; absent: no limit. */
	limit: positive.optional(),
});

/** Latency targets of one priority. */
export const target = z.strictObject({
	priority: z.number().int().min(0).max(9),
	ttftMs: positive,
	tokenMs: positive,
});

/** What weighs more: answers in time, or no prefill work thrown away. */
export const objective = z.enum(['goodput', 'wastedPrefill']);

/** Rules that hold for all models. */
export const rules = z.strictObject({
	objective,
	targets: z.array(target).min(1),
	lookupTtlMs: positive.max(3_600_000).default(20_000),
	/** Times a request may be started at engines before it is given up. */
	attempts: positive.max(20).default(4),
});

/** The whole bundle. */
export const bundle = z.strictObject({
	deployment: name,
	version: positive,
	models: z.array(model).min(1),
	engines: z.array(engine).min(1),
	services: z.array(service).default([]),
	callers: z.array(caller).min(1),
	rules,
}).superRefine((value, context) => {
	for (const fault of findFaults(value)) {
		context.addIssue({code: 'custom', path: [...fault.path], message: fault.expected});
	}
});

/** A model of the bundle. */
export type Model = z.infer<typeof model>;
/** An engine of the bundle. */
export type Engine = z.infer<typeof engine>;
/** An engine's role. */
export type Role = z.infer<typeof role>;
/** A plain service of the bundle. */
export type Service = z.infer<typeof service>;
/** A caller of the bundle. */
export type Caller = z.infer<typeof caller>;
/** Latency targets of a priority. */
export type Target = z.infer<typeof target>;
/** The deployment's objective. */
export type Objective = z.infer<typeof objective>;
/** Rules of the bundle. */
export type Rules = z.infer<typeof rules>;
/** The whole bundle. */
export type Bundle = z.infer<typeof bundle>;
/** The bundle as an operator writes it, before defaults. */
export type BundleDraft = z.input<typeof bundle>;

type Fault = {
	readonly path: ReadonlyArray<string | number>;
	readonly expected: string;
};

type Parts = {
	readonly models: readonly Model[];
	readonly engines: readonly Engine[];
	readonly services: readonly Service[];
	readonly callers: readonly Caller[];
	readonly rules: Rules;
};

function * findRepeated(section: string, names: readonly string[]): Generator<Fault> {
	const seen = new Set<string>();
	for (const [index, each] of names.entries()) {
		if (seen.has(each)) {
			yield {path: [section, index], expected: `a name used once, and ${each} stands twice`};
		}

		seen.add(each);
	}
}

function * findEngineFaults({models, engines}: Parts): Generator<Fault> {
	for (const [index, each] of engines.entries()) {
		const served = models.find(candidate => candidate.name === each.model);
		if (served === undefined) {
			yield {path: ['engines', index, 'model'], expected: 'a model of this bundle'};
			continue;
		}

		for (const adapter of each.adapters) {
			if (!served.adapters.some(candidate => candidate.name === adapter)) {
				yield {path: ['engines', index, 'adapters'], expected: `adapters of model ${served.name}`};
			}
		}
	}
}

function * findRoleFaults({models, engines}: Parts): Generator<Fault> {
	for (const [index, each] of models.entries()) {
		for (const needed of role.options) {
			if (!engines.some(candidate => candidate.model === each.name && candidate.role === needed)) {
				yield {path: ['models', index], expected: `at least one ${needed} engine for model ${each.name}`};
			}
		}
	}
}

function * findTargetFaults({callers, rules}: Parts): Generator<Fault> {
	for (const [index, each] of callers.entries()) {
		if (!rules.targets.some(candidate => candidate.priority === each.priority)) {
			yield {path: ['callers', index, 'priority'], expected: 'a priority that rules.targets names'};
		}
	}
}

function * findFaults(parts: Parts): Generator<Fault> {
	yield * findRepeated('models', parts.models.map(each => each.name));
	yield * findRepeated('engines', parts.engines.map(each => each.name));
	yield * findRepeated('services', parts.services.map(each => each.name));
	yield * findRepeated('callers', parts.callers.map(each => each.name));
	yield * findRepeated('callers', parts.callers.map(each => each.tokenDigest));
	yield * findEngineFaults(parts);
	yield * findRoleFaults(parts);
	yield * findTargetFaults(parts);
}

/** Latency targets of a priority; the bundle's check makes sure that there are some. */
export function targetOf({targets}: Rules, priority: number): Target {
	const found = targets.find(each => each.priority === priority) ?? targets.at(-1);
	if (found === undefined) {
		throw new RangeError('A checked bundle has at least one target.');
	}

	return found;
}
