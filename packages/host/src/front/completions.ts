/**
 * `POST /v1/completions` and `/v1/chat/completions`. Safety: one answer for
 * each key at its guard; a second call under the key reads the same answer.
 */
import {Buffer} from 'node:buffer';
import {ignore} from '@gatehead/policy/utils/ignore';
import {targetOf, type Caller} from '@gatehead/schema/bundle';
import {
	callerHeaders, chatBody, completionBody, type ChatBody, type CompletionBody,
} from '@gatehead/schema/caller-protocol';
import {digestOf} from '@gatehead/schema/canonical-json';
import {check} from '@gatehead/schema/check';
import {fail} from '@gatehead/schema/failure';
import {countTokens, digestBlocks} from '@gatehead/schema/prompt-blocks';
import {TokenStream} from '../core/token-stream.js';
import {dispatch} from '../core/dispatch.js';
import {readIdempotencyKey, type IdempotencyKey} from '../core/ticket.js';
import {type ModelRequest} from '../core/model-request.js';
import {takeOver} from './take-over.js';
import {AnswerWriter, type Dialect} from './answer-writer.js';
import {enterLedger, findCustody} from './custody.js';
import {forward, isForwarded} from './forward.js';
import {
	headerOf, parseBody, readBody, readPosition,
} from './intake.js';
import {type Call, type FrontParts, type Job} from './parts.js';

type Wish = {
	readonly body: CompletionBody | ChatBody;
	readonly prompt: string;
};

const readers: Record<Dialect, (data: unknown) => Wish> = {
	completion(data) {
		const body = check(completionBody, data, 'bodyInvalid', true);
		return {body, prompt: body.prompt};
	},
	chat(data) {
		const body = check(chatBody, data, 'bodyInvalid', true);
		return {body, prompt: body.messages.map(({role, content}) => `${role}: ${content}`).join('\n')};
	},
};

function makeWork({inForce: {bundle}, caller, arrivedAt}: Call, {body, prompt}: Wish, id: string): ModelRequest {
	const model = bundle.models.find(each => each.name === body.model) ?? fail('modelUnknown');
	if (body.adapter !== undefined && !model.adapters.some(each => each.name === body.adapter)) {
		fail('adapterUnknown');
	}

	const promptTokens = countTokens(prompt);
	if (promptTokens + body.max_tokens > model.windowTokens) {
		fail('promptTooLong', {detail: `${promptTokens} and ${body.max_tokens} tokens, window ${model.windowTokens}`});
	}

	return {
		id, caller, model, adapter: body.adapter, prompt, promptTokens, blocks: digestBlocks(prompt), maxTokens: body.max_tokens, target: targetOf(bundle.rules, caller.priority), arrivedAt,
	};
}

/** Starts a request; it is cancelled when its last reader leaves. */
function begin(parts: FrontParts, work: ModelRequest, mostAttempts: number, ended: () => void): TokenStream {
	const abort = new AbortController();
	const {context} = parts;
	const answer = new TokenStream(() => {
		context.timeline.record({kind: 'callerGone', request: work.id, caller: work.caller.name});
		abort.abort();
	});
	context.counters.count('accepted', work.caller.name);
	context.timeline.record({kind: 'requestArrived', request: work.id, caller: work.caller.name});
	const run = async () => {
		await dispatch(parts.attempts, work, answer, abort.signal, mostAttempts);
		ended();
	};

	// The reader must be attached before the first step, so the work starts after this turn
	queueMicrotask(() => {
		void run();
	});
	return answer;
}

function guard(parts: FrontParts, work: ModelRequest, body: Uint8Array, {id, ticket}: IdempotencyKey, mostAttempts: number): TokenStream {
	const {entry: {job}} = enterLedger(parts, {
		id,
		bodyDigest: digestOf(Buffer.from(body).toString('base64')),
		lapsesAt: parts.context.toMonotonicTime(ticket.expires),
		createJob(): Job {
			const answer = begin(parts, work, mostAttempts, () => {
				closeEntry(parts, id, answer);
			});
			return {kind: 'completion', answer};
		},
	});
	return job.kind === 'completion' ? job.answer : fail('keyReused');
}

/** A model request may be repeated: one that failed leaves the ledger, a whole answer stays to be read again. */
function closeEntry({ledger}: FrontParts, id: string, {end}: TokenStream): void {
	if (end?.kind === 'failed') {
		ledger.withdraw(id);
		return;
	}

	ledger.end(id);
}

/** Answers a model request. */
export async function answerCompletion(parts: FrontParts, call: Call, dialect: Dialect, makeId: () => string): Promise<void> {
	const {request, response, caller, inForce: {bundle}} = call;
	const {settings, clock} = parts.context;
	const raw = await readBody(request, settings.limits);
	const wish = readers[dialect](parseBody(raw));
	const key = readOptionalKey(call, caller, settings.keys.tickets);
	const position = readPosition(request);
	const custody = key === undefined ? undefined : findCustody(parts, key);
	if (custody?.kind === 'elsewhere' && !isForwarded(request)) {
		forward(parts, call, raw, custody.member);
		return;
	}

	const isHere = key !== undefined && custody?.kind === 'here';
	const run = makeId();
	const work = makeWork(call, wish, key === undefined ? run : `${key.id}.${run}`);
	const mostAttempts = bundle.rules.attempts;
	const answer = answerOf();
	new AnswerWriter(response, {
		request: work.id, model: work.model.name, dialect, isStream: wish.body.stream, run: key === undefined ? '' : run, from: position === undefined ? 0 : position.last + 1,
	}, answer, clock, settings.timing.readerStallMs).start();

	function answerOf(): TokenStream {
		if (isHere) {
			return guard(parts, work, raw, key, mostAttempts);
		}

		if (parts.isStopping()) {
			fail('hostStopping', {retryAfterMs: 0});
		}

		if (position === undefined) {
			return begin(parts, work, mostAttempts, ignore);
		}

		return key === undefined ? fail('streamGone') : takeOver(parts, work, key, position);
	}
}

function readOptionalKey({request}: Call, caller: Caller, keys: readonly string[]): IdempotencyKey | undefined {
	const header = headerOf(request, callerHeaders.key);
	return header === undefined ? undefined : readIdempotencyKey(header, caller.name, keys);
}
