/**
 * `POST /v1/completions` and `/v1/chat/completions`. Safety: the host that owns
 * a key runs it once; repeated calls under the key read the same answer.
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
import {resumeStream} from './stream-resumption.js';
import {checkUnanswered, waitForTurn} from './response-turn.js';
import {AnswerWriter, type Dialect} from './answer-writer.js';
import {enterLedger, findRequestOwner} from './request-owner.js';
import {forwardRequest, isForwarded} from './forward.js';
import {
	readHeader, parseBody, readBody, readStreamPosition,
} from './request-reader.js';
import {type Call, type FrontParts, type Job} from './parts.js';

type ParsedRequest = {
	readonly body: CompletionBody | ChatBody;
	readonly prompt: string;
};

const bodyParsers: Record<Dialect, (data: unknown) => ParsedRequest> = {
	completion(data) {
		const body = check(completionBody, data, 'bodyInvalid', true);
		return {body, prompt: body.prompt};
	},
	chat(data) {
		const body = check(chatBody, data, 'bodyInvalid', true);
		return {body, prompt: body.messages.map(({role, content}) => `${role}: ${content}`).join('\n')};
	},
};

function createWork({inForce: {bundle}, caller, arrivedAt}: Call, {body, prompt}: ParsedRequest, id: string): ModelRequest {
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

/** Starts a request; it is cancelled when its last reader disconnects. */
function startRequest(parts: FrontParts, work: ModelRequest, maxAttempts: number, onEnded: () => void): TokenStream {
	const abort = new AbortController();
	const {context} = parts;
	const answer = new TokenStream(() => {
		context.timeline.record({kind: 'callerGone', request: work.id, caller: work.caller.name});
		abort.abort();
	});
	context.counters.count('accepted', work.caller.name);
	context.timeline.record({kind: 'requestArrived', request: work.id, caller: work.caller.name});
	const run = async () => {
		await dispatch(parts.attempts, work, answer, abort.signal, maxAttempts);
		onEnded();
	};

	// Deferred so that the caller can attach its reader first
	queueMicrotask(() => {
		void run();
	});
	return answer;
}

function startKeyedRequest(parts: FrontParts, work: ModelRequest, body: Uint8Array, {id, ticket}: IdempotencyKey, maxAttempts: number): TokenStream {
	const {entry: {job}} = enterLedger(parts, {
		id,
		bodyDigest: digestOf(Buffer.from(body).toString('base64')),
		lapsesAt: parts.context.toMonotonicTime(ticket.expires),
		createJob(): Job {
			const answer = startRequest(parts, work, maxAttempts, () => {
				completeEntry(parts, id, answer);
			});
			return {kind: 'completion', answer};
		},
	});
	return job.kind === 'completion' ? job.answer : fail('keyReused');
}

/** Removes a failed request from the ledger, as a model request may be retried; keeps a complete answer for repeated calls. */
function completeEntry({ledger}: FrontParts, id: string, {end}: TokenStream): void {
	if (end?.kind === 'failed') {
		ledger.withdraw(id);
		return;
	}

	ledger.end(id);
}

/** Handles a completion request; errors are thrown as `Failure`. */
export async function handleCompletion(parts: FrontParts, call: Call, dialect: Dialect, createRequestId: () => string): Promise<void> {
	const {request, response, caller, inForce: {bundle}} = call;
	const {settings, clock} = parts.context;
	const rawBody = await readBody(request, settings.limits);
	const hasWaited = await waitForTurn(response);
	checkUnanswered(response);
	// The time behind other responses is no delay of this request
	const arrivedAt = hasWaited ? clock.now() : call.arrivedAt;
	const parsed = bodyParsers[dialect](parseBody(rawBody));
	const key = readOptionalKey(call, caller, settings.keys.tickets);
	const position = readStreamPosition(request);
	const owner = key === undefined ? undefined : findRequestOwner(parts, key);
	if (owner?.kind === 'remote' && !isForwarded(request)) {
		forwardRequest(parts, call, rawBody, owner.member);
		return;
	}

	const isOwner = key !== undefined && owner?.kind === 'local';
	const runId = createRequestId();
	const work = createWork({...call, arrivedAt}, parsed, key === undefined ? runId : `${key.id}.${runId}`);
	const maxAttempts = bundle.rules.attempts;
	const answer = findOrStartAnswer();
	new AnswerWriter(response, {
		request: work.id, model: work.model.name, dialect, isStream: parsed.body.stream, runId: key === undefined ? '' : runId, firstToken: position === undefined ? 0 : position.lastToken + 1,
	}, answer, clock, settings.timing.readerStallMs).start();

	function findOrStartAnswer(): TokenStream {
		if (isOwner) {
			return startKeyedRequest(parts, work, rawBody, key, maxAttempts);
		}

		if (parts.isStopping()) {
			fail('hostStopping', {retryAfterMs: 0});
		}

		if (position === undefined) {
			return startRequest(parts, work, maxAttempts, ignore);
		}

		return key === undefined ? fail('streamGone') : resumeStream(parts, work, key, position);
	}
}

function readOptionalKey({request}: Call, caller: Caller, keys: readonly string[]): IdempotencyKey | undefined {
	const header = readHeader(request, callerHeaders.key);
	return header === undefined ? undefined : readIdempotencyKey(header, caller.name, keys);
}
