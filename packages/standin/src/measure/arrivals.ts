/** Seeded arrivals of model requests, with the load as a multiple of what the engines can carry. */
import {
	targetOf, type Bundle, type Caller, type Target,
} from '@gatehead/schema/bundle';
import {countTokens, digestBlocks} from '@gatehead/schema/prompt-blocks';
import {seedRandom, type Random} from '@gatehead/policy/utils/random';
import {answerLength} from '../engine/answer.js';
import {traitsOf} from '../engine/traits.js';
import {
	nextArrivalMs, planCall, trafficKinds, type RequestKind,
} from '../utils/traffic.js';

const millisecondsPerSecond = 1000;
const prefillStartMs = 4;
const samples = 2000;
const sampleSeed = 7;

/** A request with all that a clairvoyant knows of it. */
export type Arrival = {
	readonly number: number;
	readonly at: number;
	readonly caller: Caller;
	readonly target: Target;
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly blocks: readonly string[];
	readonly maxTokens: number;
	/** Tokens that the answer will have. */
	readonly length: number;
};

/** What one request costs at the engines, in milliseconds. */
export type Cost = {
	readonly prefillMs: number;
	readonly transferMs: number;
	readonly decodeMs: number;
};

/** The engines' time a second of each kind. */
export type Capacity = {
	readonly prefillPlaces: number;
	readonly decodeSlots: number;
	readonly links: number;
};

function modelKinds(name: string): readonly RequestKind[] {
	return (trafficKinds[name] ?? []).filter(each => each.model !== undefined);
}

function plan(bundle: Bundle, kinds: readonly RequestKind[], number: number, at: number, random: Random): Arrival {
	const {kind, body} = planCall(kinds, number, random);
	const caller = bundle.callers.find(each => each.name === kind.caller);
	if (caller === undefined) {
		throw new RangeError(`The bundle has no caller ${kind.caller}.`);
	}

	const prompt = String(body.prompt);
	const maxTokens = Number(body.max_tokens);
	return {
		number, at, caller, target: targetOf(bundle.rules, caller.priority), model: String(body.model), prompt, promptTokens: countTokens(prompt), blocks: digestBlocks(prompt), maxTokens, length: answerLength(prompt, maxTokens),
	};
}

/** Cost of a request at a full batch and without any cached prefix. */
export function costOf({engines, models}: Bundle, {promptTokens, length}: Arrival): Cost {
	const prefill = engines.find(each => each.role === 'prefill');
	const decode = engines.find(each => each.role === 'decode');
	const kvBytes = models[0]?.kvBytesPerToken ?? 1;
	if (prefill === undefined || decode === undefined) {
		throw new RangeError('The bundle has engines of both roles.');
	}

	const {stepMs, stepMsPerStream, slots} = traitsOf(decode, kvBytes, '');
	return {
		prefillMs: prefillStartMs + (promptTokens * millisecondsPerSecond / prefill.prefillTokensPerSecond),
		transferMs: promptTokens * kvBytes * millisecondsPerSecond / prefill.linkBytesPerSecond,
		decodeMs: length * (stepMs + (stepMsPerStream * slots)),
	};
}

/** Places, slots and links of a bundle. */
export function capacityOf({engines}: Bundle): Capacity {
	const prefills = engines.filter(each => each.role === 'prefill');
	const decodes = engines.filter(each => each.role === 'decode');
	return {
		prefillPlaces: prefills.reduce((sum, {slots}) => sum + slots, 0),
		decodeSlots: decodes.reduce((sum, {slots}) => sum + slots, 0),
		links: prefills.length,
	};
}

/** Requests a second that the engines can carry, from the mean cost of the deployment's traffic. */
export function findFullRate(bundle: Bundle): number {
	const random = seedRandom(sampleSeed);
	const kinds = modelKinds(bundle.deployment);
	const {prefillPlaces, decodeSlots, links} = capacityOf(bundle);
	let prefillMs = 0;
	let transferMs = 0;
	let decodeMs = 0;
	for (let number = 0; number < samples; number += 1) {
		const cost = costOf(bundle, plan(bundle, kinds, number, 0, random));
		prefillMs += cost.prefillMs;
		transferMs += cost.transferMs;
		decodeMs += cost.decodeMs + cost.transferMs;
	}

	return samples * millisecondsPerSecond * Math.min(prefillPlaces / prefillMs, decodeSlots / decodeMs, links / transferMs);
}

/** Load over time, as multiples of the full rate. */
export type LoadShape = (at: number) => number;

/** Arrivals up to `endMs`. */
export function planArrivals(bundle: Bundle, shape: LoadShape, endMs: number, seed: number): Arrival[] {
	const random = seedRandom(seed);
	const kinds = modelKinds(bundle.deployment);
	const fullRate = findFullRate(bundle);
	const arrivals: Arrival[] = [];
	let at = nextArrivalMs(fullRate * shape(0), random);
	while (at < endMs) {
		arrivals.push(plan(bundle, kinds, arrivals.length, at, random));
		at += nextArrivalMs(fullRate * shape(at), random);
	}

	return arrivals;
}
