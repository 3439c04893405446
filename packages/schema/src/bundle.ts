/**
 * Schema of the bundle: models, engines, services, callers and rules. Safety:
 * a bundle is adopted only if it is signed and its version is higher (see `signed-bundle.ts`).
 */
import {z} from 'zod';
import {address} from './address.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,63}$/v, 'a name of up to 64 small letters, digits, dots and hyphens');
const positive = z.number().int().positive();

/** A model with its context window and the size of its KV cache. */
export const model = z.strictObject({
	name,
	version: name,
	windowTokens: positive,
	kvBytesPerToken: positive,
	adapters: z.array(z.strictObject({name, version: name})).default([]),
});

/** Role of an engine: `prefill` builds the KV cache, `decode` generates from it. */
export const role = z.enum(['prefill', 'decode']);

/** A model engine with its capacity. */
export const engine = z.strictObject({
	name,
	hall: name,
	address,
	pool: name,
	role,
	model: name,
	adapters: z.array(name).default([]),
	/** Concurrent requests: those that fit into a decode engine's memory, or that a prefill engine processes in parallel. */
	slots: positive.max(4096),
	/** Throughput of a prefill engine, in prompt tokens per second. */
	prefillTokensPerSecond: positive.default(20_000),
	/** Rate at which results are transferred from a prefill engine. */
	linkBytesPerSecond: positive.default(10_000_000_000),
	/** How long a prefill engine keeps a result that is not imported. */
	resultHoldMs: positive.max(60_000).default(800),
	/** Whether the engine authenticates the sender of an order. */
	checksSender: z.boolean().default(false),
	/** Set while the endpoint is leaving: it gets no new requests. */
	leaving: z.boolean().default(false),
});

/** A service without a model, and its replicas. */
export const service = z.strictObject({
	name,
	/** If false, a call runs at most once and needs a ticket. */
	repeatable: z.boolean(),
	checksSender: z.boolean().default(false),
	timeoutMs: positive.max(600_000).default(10_000),
	replicas: z.array(z.strictObject({
		name, hall: name, address, leaving: z.boolean().default(false),
	})).min(1),
});

/** A workspace or application that sends requests; usage is grouped by `member`. */
export const caller = z.strictObject({
	name,
	/** The organization that is billed for the usage. */
	member: name,
	/** 0 is the highest. */
	priority: z.number().int().min(0).max(9),
	/** Weight relative to other callers when capacity is short. */
	share: z.number().positive().max(1_000_000),
	/** SHA-256 of the bearer token, in hexadecimal. */
	tokenDigest: z.string().regex(/^[0-9a-f]{64}$/v, '64 hexadecimal digits'),
	/** Maximum number of concurrent requests over all hosts; unlimited if absent. */
	limit: positive.optional(),
});

/** Latency targets of one priority: time to the first token, and time per token. */
export const target = z.strictObject({
	priority: z.number().int().min(0).max(9),
	ttftMs: positive,
	tokenMs: positive,
});

/** What scheduling optimizes: responses within their targets, or little wasted prefill work. */
export const objective = z.enum(['goodput', 'wastedPrefill']);

/** Scheduling rules for all models. */
export const rules = z.strictObject({
	objective,
	targets: z.array(target).min(1),
	lookupTtlMs: positive.max(3_600_000).default(20_000),
	/** Maximum number of attempts per request. */
	attempts: positive.max(20).default(4),
});

/** A whole bundle; references between its sections are checked. */
export const bundle = z.strictObject({
	deployment: name,
	version: positive,
	models: z.array(model).min(1),
	engines: z.array(engine).min(1),
	services: z.array(service).default([]),
	callers: z.array(caller).min(1),
	rules,
}).superRefine((value, context) => {
	for (const issue of findIssues(value)) {
		context.addIssue({code: 'custom', path: [...issue.path], message: issue.expected});
	}
});

export type Model = z.infer<typeof model>;
export type Engine = z.infer<typeof engine>;
export type Role = z.infer<typeof role>;
export type Service = z.infer<typeof service>;
export type Caller = z.infer<typeof caller>;
export type Target = z.infer<typeof target>;
export type Objective = z.infer<typeof objective>;
export type Rules = z.infer<typeof rules>;
export type Bundle = z.infer<typeof bundle>;
/** A bundle as written, before defaults are applied. */
export type BundleDraft = z.input<typeof bundle>;

type BundleIssue = {
	readonly path: ReadonlyArray<string | number>;
	readonly expected: string;
};

type BundleSections = {
	readonly models: readonly Model[];
	readonly engines: readonly Engine[];
	readonly services: readonly Service[];
	readonly callers: readonly Caller[];
	readonly rules: Rules;
};

function * findDuplicates(section: string, names: readonly string[]): Generator<BundleIssue> {
	const seen = new Set<string>();
	for (const [index, each] of names.entries()) {
		if (seen.has(each)) {
			yield {path: [section, index], expected: `a unique value, ${each} is used twice`};
		}

		seen.add(each);
	}
}

function * findEngineIssues({models, engines}: BundleSections): Generator<BundleIssue> {
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

function * findRoleIssues({models, engines}: BundleSections): Generator<BundleIssue> {
	for (const [index, each] of models.entries()) {
		for (const requiredRole of role.options) {
			if (!engines.some(candidate => candidate.model === each.name && candidate.role === requiredRole)) {
				yield {path: ['models', index], expected: `at least one ${requiredRole} engine for model ${each.name}`};
			}
		}
	}
}

function * findTargetIssues({callers, rules}: BundleSections): Generator<BundleIssue> {
	for (const [index, each] of callers.entries()) {
		if (!rules.targets.some(candidate => candidate.priority === each.priority)) {
			yield {path: ['callers', index, 'priority'], expected: 'a priority that has a target in rules.targets'};
		}
	}
}

function * findIssues(sections: BundleSections): Generator<BundleIssue> {
	yield * findDuplicates('models', sections.models.map(each => each.name));
	yield * findDuplicates('engines', sections.engines.map(each => each.name));
	yield * findDuplicates('services', sections.services.map(each => each.name));
	yield * findDuplicates('callers', sections.callers.map(each => each.name));
	yield * findDuplicates('callers', sections.callers.map(each => each.tokenDigest));
	yield * findEngineIssues(sections);
	yield * findRoleIssues(sections);
	yield * findTargetIssues(sections);
}

/** Latency targets of a priority. The schema guarantees one for each priority in use; for any other, returns the last. */
export function targetOf({targets}: Rules, priority: number): Target {
	const found = targets.find(each => each.priority === priority) ?? targets.at(-1);
	if (found === undefined) {
		throw new RangeError('A validated bundle has at least one target.');
	}

	return found;
}
