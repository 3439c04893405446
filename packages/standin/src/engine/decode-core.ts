/**
 * The decode side of the stand-in engine, on a given clock: a memory of few
 * slots, continuous batching with one token for each stream a step, streams
 * that can be resumed and cancelled.
 */
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {
	type DecodeOrder, type EngineRefusal, type HeldStream, type Owner, type StreamLine,
} from '@gatehead/schema/engine-protocol';
import {digestOf} from '@gatehead/schema/canonical-json';
import {answerLength, answerToken} from './answer.js';
import {type EngineFaults, type EngineTraits} from './traits.js';

/** Takes the lines of a stream. */
export type LineSink = (line: StreamLine) => void;

type Stream = {
	readonly order: DecodeOrder;
	readonly digest: string;
	readonly length: number;
	readonly startedAt: number;
	owner: Owner;
	/** Number of the next token. */
	next: number;
	/** Tokens made here. */
	made: number;
	sink: LineSink | undefined;
	imported: boolean;
};

function keyOf(request: string, attempt: number): string {
	return `${request} ${attempt}`;
}

/** Streams in the engine's memory. */
export class DecodeCore {
	/** Answers begun, by request: the count that tests judge by. */
	readonly starts = new Map<string, number>();
	readonly #traits: EngineTraits;
	readonly #faults: EngineFaults;
	readonly #clock: Clock;
	readonly #streams = new Map<string, Stream>();
	#step: Timer | undefined;

	constructor(traits: EngineTraits, faults: EngineFaults, clock: Clock) {
		this.#traits = traits;
		this.#faults = faults;
		this.#clock = clock;
	}

	/** Streams in memory. */
	get size(): number {
		return this.#streams.size;
	}

	/** Milliseconds of one step with the present batch. */
	get tokenMs(): number {
		return this.#traits.stepMs + (this.#traits.stepMsPerStream * this.#streams.size);
	}

	/** Takes a slot for an import, or says why not. */
	reserve(order: DecodeOrder, sink: LineSink): EngineRefusal | undefined {
		if (this.#streams.has(keyOf(order.request, order.attempt))) {
			return {refused: 'duplicate'};
		}

		if (this.#streams.size >= this.#traits.slots) {
			return {refused: 'full'};
		}

		this.#streams.set(keyOf(order.request, order.attempt), {
			order, digest: digestOf(order.prompt), length: answerLength(order.prompt, order.maxTokens), startedAt: this.#clock.now(), owner: order.owner, next: order.given.length, made: 0, sink, imported: false,
		});
		return undefined;
	}

	/** Begins to generate once the import is whole; false when it was cancelled meanwhile. */
	begin(request: string, attempt: number): boolean {
		const stream = this.#streams.get(keyOf(request, attempt));
		if (stream === undefined) {
			return false;
		}

		stream.imported = true;
		this.starts.set(request, (this.starts.get(request) ?? 0) + 1);
		stream.sink?.({kind: 'imported', request, attempt});
		this.#schedule();
		return true;
	}

	/** Gives up an import that failed. */
	abandon(request: string, attempt: number): void {
		this.#streams.delete(keyOf(request, attempt));
	}

	/** Hands the rest of a stream to a new sink and owner; tokens already made are given again from `from`. */
	resume(request: string, attempt: number, from: number, owner: Owner, sink: LineSink): EngineRefusal | undefined {
		const stream = this.#streams.get(keyOf(request, attempt));
		if (stream === undefined || from < stream.order.given.length || from > stream.next) {
			return {refused: 'unknownStream'};
		}

		stream.owner = owner;
		stream.sink = sink;
		for (let n = Math.max(stream.order.given.length, from - this.#faults.repeatedOnResume); n < stream.next; n += 1) {
			sink({
				kind: 'token', request, attempt, n, text: answerToken(stream.digest, n),
			});
		}

		if (stream.next >= stream.length) {
			this.#end(stream);
		}

		return undefined;
	}

	/** Forgets where a stream's lines go; the stream goes on until it is cancelled or resumed. */
	detach(request: string, attempt: number, sink: LineSink): void {
		const stream = this.#streams.get(keyOf(request, attempt));
		if (stream?.sink === sink) {
			stream.sink = undefined;
		}
	}

	/** Releases all streams of a request up to and with `attempt`. */
	cancel(request: string, attempt: number): void {
		for (const [key, {order}] of this.#streams) {
			if (order.request === request && order.attempt <= attempt) {
				this.#streams.delete(key);
			}
		}
	}

	/** Whether a request holds a slot here. */
	holds(request: string, attempt: number): boolean {
		return this.listHeld().some(each => each.request === request && each.attempt <= attempt);
	}

	/** All streams in memory. */
	listHeld(): HeldStream[] {
		const now = this.#clock.now();
		return [...this.#streams.values()].map(({order, owner, next, startedAt}) => ({
			request: order.request, attempt: order.attempt, owner, tokens: next, maxTokens: order.maxTokens, ageMs: now - startedAt,
		}));
	}

	#schedule(): void {
		if (this.#step !== undefined || this.#streams.size === 0) {
			return;
		}

		this.#step = this.#clock.after(this.tokenMs, () => {
			this.#step = undefined;
			for (const stream of this.#streams.values()) {
				this.#generate(stream);
			}

			this.#schedule();
		});
	}

	#generate(stream: Stream): void {
		if (!stream.imported || stream.made >= this.#faults.silentAfterTokens || stream.next >= stream.length) {
			return;
		}

		const {order: {request, attempt}, digest, next: n} = stream;
		stream.next += 1;
		stream.made += 1;
		stream.sink?.({
			kind: 'token', request, attempt, n, text: answerToken(digest, n),
		});
		if (stream.next >= stream.length) {
			this.#end(stream);
		}
	}

	/** A whole answer leaves memory once somebody took it; without a taker it stays for a resume or a cancel. */
	#end(stream: Stream): void {
		const {order: {request, attempt, maxTokens}, sink, length} = stream;
		if (sink === undefined) {
			return;
		}

		this.#streams.delete(keyOf(request, attempt));
		sink({
			kind: 'end', request, attempt, tokens: length, reason: length >= maxTokens ? 'length' : 'stop',
		});
	}
}
