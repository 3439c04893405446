/** Traffic of the two deployments: who calls what, with prompts of their usual lengths, from a seed. */
import {pick, type Random} from '@gatehead/policy/utils/random';
import {wholeAnswer} from '../engine/answer.js';

const charactersPerToken = 4;
const wordCount = 997;

/** A kind of request, with the range of its prompt and answer lengths in tokens. */
export type RequestKind = {
	readonly name: string;
	readonly caller: string;
	/** Share of all calls. */
	readonly weight: number;
	readonly model?: {
		readonly name: string;
		readonly promptTokens: readonly [number, number];
		readonly maxTokens: readonly [number, number];
		/** Part of the prompt that all requests of this kind begin with. */
		readonly sharedTokens: number;
	};
	/** Path of a plain service. */
	readonly service?: string;
	readonly needsTicket?: boolean;
};

/** One call to make. */
export type PlannedCall = {
	readonly kind: RequestKind;
	readonly number: number;
	readonly path: string;
	readonly body: Readonly<Record<string, unknown>>;
	/** The one right answer of a model request. */
	readonly expected: (() => string) | undefined;
};

/** Kinds of each example deployment. */
export const trafficKinds: Readonly<Record<string, readonly RequestKind[]>> = {
	tour: [
		{
			name: 'kiosk question', caller: 'kiosk', weight: 5, model: {
				name: 'assistant', promptTokens: [40, 300], maxTokens: [40, 120], sharedTokens: 0,
			},
		},
		{
			name: 'itinerary rewrite', caller: 'guide', weight: 2, model: {
				name: 'assistant', promptTokens: [2000, 10_000], maxTokens: [150, 400], sharedTokens: 1024,
			},
		},
		{
			name: 'quarter walk', caller: 'historic-quarter', weight: 1, model: {
				name: 'assistant', promptTokens: [500, 4000], maxTokens: [100, 300], sharedTokens: 256,
			},
		},
		{
			name: 'capacity lookup', caller: 'cashier', weight: 2, service: '/services/capacity/today',
		},
		{
			name: 'ticket label', caller: 'cashier', weight: 2, service: '/services/ticket-labels/print', needsTicket: true,
		},
	],
	buoy: [
		{
			name: 'briefing, Recife', caller: 'port-recife', weight: 2, model: {
				name: 'sea-state', promptTokens: [800, 3000], maxTokens: [80, 200], sharedTokens: 512,
			},
		},
		{
			name: 'briefing, Natal', caller: 'port-natal', weight: 2, model: {
				name: 'sea-state', promptTokens: [800, 3000], maxTokens: [80, 200], sharedTokens: 512,
			},
		},
		{
			name: 'catch question', caller: 'fishing', weight: 3, model: {
				name: 'sea-state', promptTokens: [60, 400], maxTokens: [40, 150], sharedTokens: 0,
			},
		},
		{
			name: 'survey analysis', caller: 'wind-survey', weight: 1, model: {
				name: 'sea-state', promptTokens: [4000, 16_000], maxTokens: [200, 500], sharedTokens: 1024,
			},
		},
		{
			name: 'anomaly flag', caller: 'port-natal', weight: 1, service: '/services/flags/latest',
		},
		{
			name: 'telemetry pull', caller: 'wind-survey', weight: 2, service: '/services/telemetry/pull', needsTicket: true,
		},
	],
};

function between([low, high]: readonly [number, number], random: Random): number {
	return Math.round(low + ((high - low) * random.next()));
}

function fill(tokens: number, random: Random): string {
	let text = '';
	while (text.length < tokens * charactersPerToken) {
		text += `w${Math.floor(random.next() * wordCount)} `;
	}

	return text.slice(0, tokens * charactersPerToken);
}

function chooseKind(kinds: readonly RequestKind[], random: Random): RequestKind {
	const dealt = kinds.flatMap(kind => Array.from<RequestKind>({length: kind.weight}).fill(kind));
	const kind = pick(random, dealt);
	if (kind === undefined) {
		throw new RangeError('There is at least one kind of traffic.');
	}

	return kind;
}

/** Plans the next call. */
export function planCall(kinds: readonly RequestKind[], number: number, random: Random): PlannedCall {
	const kind = chooseKind(kinds, random);
	const {model} = kind;
	if (model === undefined) {
		return {
			kind, number, path: kind.service ?? '/', body: {number, text: fill(4, random)}, expected: undefined,
		};
	}

	const tokens = between(model.promptTokens, random);
	const shared = `${kind.name} `.repeat(model.sharedTokens).slice(0, model.sharedTokens * charactersPerToken);
	const prompt = `${shared}${fill(Math.max(10, tokens - model.sharedTokens), random)} #${number}`;
	const maxTokens = between(model.maxTokens, random);
	return {
		kind,
		number,
		path: '/v1/completions',
		body: {
			model: model.name, prompt, max_tokens: maxTokens, stream: true,
		},
		expected: () => wholeAnswer(prompt, maxTokens),
	};
}

/** Time to the next arrival of an open-loop stream of `rate` a second, in milliseconds. */
export function nextArrivalMs(rate: number, random: Random): number {
	return -Math.log(1 - random.next()) * 1000 / rate;
}
