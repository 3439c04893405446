/**
 * Typed calls to one kind of endpoint, the model engines. Safety: what comes
 * back is checked against the schema and against request and attempt before
 * anyone sees it.
 */
import {type Agent, type IncomingMessage} from 'node:http';
import {createInterface} from 'node:readline';
import {type z} from 'zod';
import {
	cancelResult, engineRefusal, enginePaths, engineReport, orderResult, prefillResult, streamLine,
	type CancelOrder, type CancelResult, type DecodeOrder, type EngineOrder, type EngineRefusal, type EngineReport, type OrderResult, type PrefillOrder, type PrefillResult, type ResumeOrder, type StreamLine,
} from '@gatehead/schema/engine-protocol';
import {check} from '@gatehead/schema/check';
import {fail} from '@gatehead/schema/failure';
import {
	CallError, makeAgent, readText, sendCall,
} from './http-call.js';

const mostAnswerBytes = 4_000_000;
const refusedStatus = 409;

/** An answer, or the engine's own word that it runs and holds nothing. */
export type Answered<Result> = {readonly kind: 'done'; readonly result: Result} | {readonly kind: 'refused'; readonly refusal: EngineRefusal};

/** A decode stream's lines as they come. */
export type Lines = AsyncIterable<StreamLine>;

/** Calls to engines over kept connections. */
export class EngineClient {
	readonly #agent: Agent = makeAgent();
	#isClosed = false;

	/** Builds a prompt's KV cache. */
	async prefill(address: string, order: PrefillOrder, signal: AbortSignal): Promise<Answered<PrefillResult>> {
		return this.#ask(address, enginePaths.prefill, order, prefillResult, signal);
	}

	/** Imports a result and opens the stream. */
	async decode(address: string, order: DecodeOrder, signal: AbortSignal): Promise<Answered<Lines>> {
		return this.#open(address, enginePaths.decode, order, signal);
	}

	/** Opens the rest of a stream that the engine still holds. */
	async resume(address: string, order: ResumeOrder, signal: AbortSignal): Promise<Answered<Lines>> {
		return this.#open(address, enginePaths.resume, order, signal);
	}

	/** Releases what a request holds; the engine says whether it still holds any of it. */
	async cancel(address: string, order: CancelOrder, signal: AbortSignal): Promise<CancelResult> {
		const answered = await this.#ask(address, enginePaths.cancel, order, cancelResult, signal);
		return answered.kind === 'done' ? answered.result : {held: true};
	}

	/** Gives a fenced order. */
	async order(address: string, order: EngineOrder, signal: AbortSignal): Promise<OrderResult> {
		const answered = await this.#ask(address, enginePaths.orders, order, orderResult, signal);
		return answered.kind === 'done' ? answered.result : fail('endpointFault', {detail: 'the order was not understood'});
	}

	/** Asks what the engine holds and how it is loaded. */
	async report(address: string, signal: AbortSignal): Promise<EngineReport> {
		const response = await sendCall({
			address, method: 'GET', path: enginePaths.report, signal,
		}, this.#agent);
		return check(engineReport, JSON.parse(await readText(response, mostAnswerBytes)), 'endpointFault');
	}

	/** Closes kept connections; nothing is sent any more. */
	close(): void {
		this.#isClosed = true;
		this.#agent.destroy();
	}

	async #post(address: string, path: string, order: unknown, signal: AbortSignal): Promise<IncomingMessage> {
		if (this.#isClosed) {
			throw new CallError(false, new Error('this process is ending'));
		}

		return sendCall({
			address, method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(order), signal,
		}, this.#agent);
	}

	async #ask<Schema extends z.ZodType>(address: string, path: string, order: unknown, schema: Schema, signal: AbortSignal): Promise<Answered<z.infer<Schema>>> {
		const response = await this.#post(address, path, order, signal);
		const text = await readText(response, mostAnswerBytes);
		return response.statusCode === 200 ? {kind: 'done', result: check(schema, JSON.parse(text), 'endpointFault')} : readRefusal(response, text);
	}

	async #open(address: string, path: string, order: unknown, signal: AbortSignal): Promise<Answered<Lines>> {
		const response = await this.#post(address, path, order, signal);
		return response.statusCode === 200 ? {kind: 'done', result: readLines(response)} : readRefusal(response, await readText(response, mostAnswerBytes));
	}
}

function readRefusal(response: IncomingMessage, text: string): {readonly kind: 'refused'; readonly refusal: EngineRefusal} {
	if (response.statusCode !== refusedStatus) {
		fail('endpointFault', {detail: `status ${response.statusCode}`});
	}

	return {kind: 'refused', refusal: check(engineRefusal, JSON.parse(text), 'endpointFault')};
}

async function * readLines(response: IncomingMessage): AsyncGenerator<StreamLine> {
	for await (const line of createInterface({input: response, crlfDelay: Number.POSITIVE_INFINITY})) {
		yield check(streamLine, JSON.parse(line), 'endpointFault');
	}

	if (!response.complete) {
		fail('endpointFault', {detail: 'the stream was cut'});
	}
}
