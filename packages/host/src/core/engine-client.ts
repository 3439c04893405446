/**
 * HTTP client of the model engines. Safety: every response is validated
 * against its schema before it is returned; callers compare request and
 * attempt of stream lines.
 */
import {type Agent, type IncomingMessage} from 'node:http';
import {type z} from 'zod';
import {
	cancelResult, engineRefusal, enginePaths, engineReport, orderResult, prefillResult, streamLine,
	type CancelOrder, type CancelResult, type DecodeOrder, type EngineOrder, type EngineRefusal, type EngineReport, type OrderResult, type PrefillOrder, type PrefillResult, type ResumeOrder, type StreamLine,
} from '@gatehead/schema/engine-protocol';
import {check} from '@gatehead/schema/check';
import {fail} from '@gatehead/schema/failure';
import {receiveChunks} from '../utils/receive-chunks.js';
import {
	CallError, makeKeepAliveAgent, readText, sendCall,
} from './http-call.js';

const maxResponseLength = 4_000_000;
/** Maximum length of a line of a stream, in UTF-16 code units; a line holds one token. */
const maxLineLength = 65_536;
const refusalStatus = 409;

/** A result, or a refusal, by which the engine states that it neither runs the request nor holds resources for it. */
export type EngineReply<Result> = {readonly kind: 'done'; readonly result: Result} | {readonly kind: 'refused'; readonly refusal: EngineRefusal};

/** Lines of a decode stream as they arrive. */
export type DecodeStream = AsyncIterable<StreamLine>;

/** Calls engines over keep-alive connections. Throws `endpointFault` for an unexpected status or content, `SyntaxError` for a body that is not JSON, and `CallError` for a failed call. */
export class EngineClient {
	readonly #agent: Agent = makeKeepAliveAgent();
	#isClosed = false;

	/** Builds a prompt's KV cache. */
	async prefill(address: string, order: PrefillOrder, signal: AbortSignal): Promise<EngineReply<PrefillResult>> {
		return this.#call(address, enginePaths.prefill, order, prefillResult, signal);
	}

	/** Imports a prefill result and opens its token stream. */
	async decode(address: string, order: DecodeOrder, signal: AbortSignal): Promise<EngineReply<DecodeStream>> {
		return this.#openStream(address, enginePaths.decode, order, signal);
	}

	/** Opens the rest of a stream that the engine still holds, from token `from` on. */
	async resume(address: string, order: ResumeOrder, signal: AbortSignal): Promise<EngineReply<DecodeStream>> {
		return this.#openStream(address, enginePaths.resume, order, signal);
	}

	/** Cancels a request; the result says whether the engine still holds resources of it. */
	async cancel(address: string, order: CancelOrder, signal: AbortSignal): Promise<CancelResult> {
		const reply = await this.#call(address, enginePaths.cancel, order, cancelResult, signal);
		return reply.kind === 'done' ? reply.result : {held: true};
	}

	/** Sends a fenced order. */
	async order(address: string, order: EngineOrder, signal: AbortSignal): Promise<OrderResult> {
		const reply = await this.#call(address, enginePaths.orders, order, orderResult, signal);
		return reply.kind === 'done' ? reply.result : fail('endpointFault', {detail: 'the engine refused the order'});
	}

	/** Reads what the engine holds, its load and its fence. */
	async report(address: string, signal: AbortSignal): Promise<EngineReport> {
		const response = await sendCall({
			address, method: 'GET', path: enginePaths.report, signal,
		}, this.#agent);
		return check(engineReport, JSON.parse(await readText(response, maxResponseLength)), 'endpointFault');
	}

	/** Closes idle and active connections; later posts fail without being sent. */
	close(): void {
		this.#isClosed = true;
		this.#agent.destroy();
	}

	async #post(address: string, path: string, order: unknown, signal: AbortSignal): Promise<IncomingMessage> {
		if (this.#isClosed) {
			throw new CallError(false, new Error('the engine client is closed'));
		}

		return sendCall({
			address, method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(order), signal,
		}, this.#agent);
	}

	async #call<Schema extends z.ZodType>(address: string, path: string, order: unknown, schema: Schema, signal: AbortSignal): Promise<EngineReply<z.infer<Schema>>> {
		const response = await this.#post(address, path, order, signal);
		const text = await readText(response, maxResponseLength);
		return response.statusCode === 200 ? {kind: 'done', result: check(schema, JSON.parse(text), 'endpointFault')} : readRefusal(response, text);
	}

	async #openStream(address: string, path: string, order: unknown, signal: AbortSignal): Promise<EngineReply<DecodeStream>> {
		const response = await this.#post(address, path, order, signal);
		return response.statusCode === 200 ? {kind: 'done', result: readLines(response)} : readRefusal(response, await readText(response, maxResponseLength));
	}
}

function readRefusal(response: IncomingMessage, text: string): {readonly kind: 'refused'; readonly refusal: EngineRefusal} {
	if (response.statusCode !== refusalStatus) {
		fail('endpointFault', {detail: `unexpected status ${response.statusCode}`});
	}

	return {kind: 'refused', refusal: check(engineRefusal, JSON.parse(text), 'endpointFault')};
}

async function * readLines(response: IncomingMessage): AsyncGenerator<StreamLine> {
	let rest = '';
	const decoder = new TextDecoder();
	for await (const chunk of receiveChunks(response)) {
		const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		if (rest.length > maxLineLength) {
			fail('endpointFault', {detail: 'a line of the stream exceeds the size limit'});
		}

		for (const line of lines) {
			yield check(streamLine, JSON.parse(line), 'endpointFault');
		}
	}

	if (rest !== '') {
		yield check(streamLine, JSON.parse(rest), 'endpointFault');
	}
}
