/**
 * One attempt of a model request: prefill lease, prefill, decode lease, KV
 * cache import, token stream. Safety: a stream line is used only if it carries
 * this request and attempt, and a token only under its own number; if the
 * attempt ends early, engines that may hold its resources are sent cancels
 * until they confirm.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {type PrefillResult, type StreamLine} from '@gatehead/schema/engine-protocol';
import {Failure, fail} from '@gatehead/schema/failure';
import {type LeaseRequest} from '@gatehead/schema/peer-message';
import {type TokenStream} from './token-stream.js';
import {type Canceller} from './canceller.js';
import {type Context} from './context.js';
import {type EngineClient, type DecodeStream} from './engine-client.js';
import {type LeaseProvider} from './lease-provider.js';
import {StallTimer} from './stall-timer.js';
import {type ExecutionState, type ModelRequest} from './model-request.js';

const maxResumes = 2;

export type AttemptOptions = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly canceller: Canceller;
	readonly leases: LeaseProvider;
	/** Finds an engine in the bundle in force. */
	readonly findEngine: (name: string) => Engine | undefined;
};

/** Outcome of an attempt; after `failed`, another attempt may follow. */
export type AttemptOutcome = 'complete' | 'failed';

/** Prefill result and the engine that holds it. */
type PrefilledResult = {
	readonly engine: Engine;
	readonly result: PrefillResult;
	/** Time on the context's clock at which the engine discards the result, in milliseconds. */
	readonly expiresAt: number;
};

export class Attempt {
	readonly #options: AttemptOptions;
	readonly #request: ModelRequest;
	readonly #state: ExecutionState;
	readonly #stream: TokenStream;
	readonly #signal: AbortSignal;
	readonly #number: number;
	/** Tokens of earlier attempts, which this attempt continues. */
	readonly #previousTokens: readonly string[];
	/** Engines that may hold resources of this attempt. */
	readonly #holders = new Map<string, Engine>();
	#hasLease = false;

	constructor(options: AttemptOptions, request: ModelRequest, state: ExecutionState, stream: TokenStream, signal: AbortSignal) {
		this.#options = options;
		this.#request = request;
		this.#state = state;
		this.#stream = stream;
		this.#signal = signal;
		this.#number = state.attempts;
		this.#previousTokens = [...stream.tokens];
	}

	/** Executes the attempt. Throws the failure of the lease provider if it refuses a lease. */
	async execute(): Promise<AttemptOutcome> {
		try {
			const prefilled = await this.#prefill();
			const isComplete = prefilled !== undefined && await this.#decode(prefilled);
			return isComplete ? 'complete' : 'failed';
		} finally {
			this.#releaseResources();
		}
	}

	get #lease() {
		return {request: this.#request.id, attempt: this.#number};
	}

	#recordEvent(kind: Parameters<Context['timeline']['record']>[0]['kind'], endpoint?: string, detail?: string): void {
		this.#options.context.timeline.record({
			kind, request: this.#request.id, attempt: this.#number, caller: this.#request.caller.name, endpoint, detail,
		});
	}

	#startStallTimer(): StallTimer {
		const {clock, settings} = this.#options.context;
		return new StallTimer(clock, settings.timing.endpointStallMs, this.#signal);
	}

	#getEngine(name: string): Engine {
		return this.#options.findEngine(name) ?? fail('endpointFault', {detail: `${name} is not in the bundle in force`});
	}

	#makeLeaseRequest(): LeaseRequest {
		const {id, caller, adapter, promptTokens, maxTokens, blocks, target, arrivedAt} = this.#request;
		const previousTokens = this.#previousTokens.length;
		return {
			request: id,
			attempt: this.#number,
			caller: caller.name,
			priority: caller.priority,
			adapter,
			promptTokens: promptTokens + previousTokens,
			maxTokens: maxTokens - previousTokens,
			blocks: [...blocks],
			slackMs: arrivedAt + target.ttftMs - this.#options.context.clock.now(),
			accepted: this.#number > 1,
		};
	}

	#makeEngineRequest() {
		const {id, model, adapter, caller, prompt} = this.#request;
		return {
			request: id, attempt: this.#number, owner: this.#options.context.self, model: model.name, adapter, priority: caller.priority, prompt, given: [...this.#previousTokens],
		};
	}

	async #prefill(): Promise<PrefilledResult | undefined> {
		const {leases, client, context: {clock, counters}} = this.#options;
		this.#recordEvent('asked');
		const engine = this.#getEngine(await leases.acquirePrefill(this.#request.model.name, this.#makeLeaseRequest(), this.#signal));
		this.#hasLease = true;
		this.#recordEvent('prefillGranted', engine.name);
		counters.count('prefillStarted');
		this.#state.mayHaveBeenSent = true;
		this.#holders.set(engine.name, engine);
		const timer = this.#startStallTimer();
		try {
			this.#recordEvent('prefillStarted', engine.name);
			const reply = await client.prefill(engine.address, this.#makeEngineRequest(), timer.signal);
			if (reply.kind === 'refused') {
				this.#holders.delete(engine.name);
				this.#reportFailure(engine, reply.refusal.refused, false);
				return undefined;
			}

			this.#recordEvent('prefillEnded', engine.name);
			return {engine, result: reply.result, expiresAt: clock.now() + reply.result.holdMs};
		} catch (error) {
			this.#reportFailure(engine, String(error), true);
			return undefined;
		} finally {
			timer.stop();
		}
	}

	/** Acquires decode leases until an engine imports the prefill result, or the result expires. */
	async #decode(prefilled: PrefilledResult): Promise<boolean> {
		for (;;) {
			const engine = await this.#acquireDecodeSlot(prefilled);
			if (engine === undefined) {
				this.#recordWastedPrefill('lapsed');
				return false;
			}

			const outcome = await this.#startDecode(prefilled, engine);
			if (outcome !== 'retry') {
				return outcome === 'complete';
			}
		}
	}

	async #acquireDecodeSlot({result, expiresAt}: PrefilledResult): Promise<Engine | undefined> {
		const {leases, context: {clock}} = this.#options;
		const timer = new StallTimer(clock, expiresAt - clock.now(), this.#signal);
		try {
			const name = await leases.acquireDecode(this.#lease, result.cachedTokens, expiresAt - clock.now(), timer.signal);
			this.#recordEvent('decodeGranted', name);
			return this.#getEngine(name);
		} catch (error) {
			if (this.#signal.aborted || !timer.signal.aborted) {
				throw error;
			}

			return undefined;
		} finally {
			timer.stop();
		}
	}

	async #startDecode({engine: source, result}: PrefilledResult, engine: Engine): Promise<'complete' | 'retry' | 'failed'> {
		const timer = this.#startStallTimer();
		this.#holders.set(engine.name, engine);
		try {
			const reply = await this.#options.client.decode(engine.address, {
				...this.#makeEngineRequest(), source: {address: source.address, handle: result.handle}, maxTokens: this.#request.maxTokens,
			}, timer.signal);
			if (reply.kind === 'refused') {
				this.#holders.delete(engine.name);
				this.#reportFailure(engine, reply.refusal.refused, false);
				if (reply.refusal.refused !== 'lapsed') {
					return 'retry';
				}

				this.#recordWastedPrefill(reply.refusal.refused);
				return 'failed';
			}

			this.#holders.delete(source.name);
			this.#options.context.counters.count('prefillUsed');
			return await this.#readWithResume(reply.result, engine, timer) ? 'complete' : 'failed';
		} catch (error) {
			this.#reportFailure(engine, String(error), true);
			return this.#signal.aborted ? 'failed' : 'retry';
		} finally {
			timer.stop();
		}
	}

	/** Reads a stream to its end, and resumes an interrupted one at the same engine up to `maxResumes` times. */
	async #readWithResume(lines: DecodeStream, engine: Engine, timer: StallTimer): Promise<boolean> {
		if (await this.#readLines(lines, engine, timer)) {
			return true;
		}

		for (let resumes = 0; resumes < maxResumes && !this.#signal.aborted; resumes += 1) {
			const resumed = await this.#resume(engine);
			if (resumed === 'unavailable') {
				break;
			}

			if (resumed === 'complete') {
				return true;
			}
		}

		this.#reportFailure(engine, 'stream interrupted and not resumed', true);
		return false;
	}

	async #readLines(lines: DecodeStream, engine: Engine, timer: StallTimer): Promise<boolean> {
		try {
			for await (const line of lines) {
				timer.reset();
				if (this.#handleLine(line, engine)) {
					return true;
				}
			}
		} catch (error) {
			this.#recordEvent('attemptFailed', engine.name, String(error));
		}

		return false;
	}

	/** Resumes the stream and reads on; a resumed stream has a stall timer of its own. */
	async #resume(engine: Engine): Promise<'complete' | 'interrupted' | 'unavailable'> {
		const {client, context: {self, counters}} = this.#options;
		const timer = this.#startStallTimer();
		try {
			const reply = await client.resume(engine.address, {
				request: this.#request.id, attempt: this.#number, owner: self, from: this.#stream.tokens.length,
			}, timer.signal);
			if (reply.kind === 'refused') {
				return 'unavailable';
			}

			counters.count('resumed');
			this.#recordEvent('resumed', engine.name);
			return await this.#readLines(reply.result, engine, timer) ? 'complete' : 'interrupted';
		} catch {
			return 'unavailable';
		} finally {
			timer.stop();
		}
	}

	/** Handles one line; returns true once the stream is complete. Lines of another request or attempt are ignored. */
	#handleLine(line: StreamLine, engine: Engine): boolean {
		if (line.request !== this.#request.id || line.attempt !== this.#number) {
			this.#options.context.log('endpointFault', {endpoint: engine.name, detail: 'received a stream line of another request or attempt'});
			return false;
		}

		if (line.kind === 'imported') {
			this.#options.leases.reportStarted(this.#lease);
			this.#recordEvent('decodeStarted', engine.name);
			return false;
		}

		if (line.kind === 'token') {
			this.#appendToken(line.n, line.text, engine);
			return false;
		}

		if (line.tokens !== this.#stream.tokens.length) {
			return false;
		}

		this.#holders.delete(engine.name);
		this.#recordEvent('decodeEnded', engine.name);
		this.#stream.finish({kind: 'complete', reason: line.reason});
		return true;
	}

	#appendToken(n: number, text: string, engine: Engine): void {
		const now = this.#options.context.clock.now();
		this.#stream.position = `${engine.name}/${this.#number}`;
		if (!this.#stream.append(n, text)) {
			return;
		}

		if (this.#state.firstTokenAt === undefined) {
			this.#state.firstTokenAt = now;
			this.#recordEvent('firstToken', engine.name);
		}

		this.#state.lastTokenAt = now;
	}

	#reportFailure(engine: Engine, detail: string, isLost: boolean): void {
		this.#recordEvent('attemptFailed', engine.name, detail);
		if (!this.#signal.aborted) {
			this.#options.leases.reportFailure(this.#lease, engine.name, isLost);
		}
	}

	#recordWastedPrefill(cause: string): void {
		this.#options.context.counters.count('prefillWasted', cause);
		this.#recordEvent('prefillWasted', undefined, cause);
	}

	/** Sends cancels to engines that may hold resources, and releases the lease once all have confirmed. */
	#releaseResources(): void {
		const {leases, canceller} = this.#options;
		const lease = this.#lease;
		const outcome = {tokens: this.#stream.tokens.length - this.#previousTokens.length, goodput: this.#stream.end?.kind === 'complete'};
		const holders = [...this.#holders.values()];
		const release = () => {
			holders.pop();
			if (this.#hasLease && holders.length === 0) {
				leases.release(lease, outcome);
			}
		};

		if (holders.length === 0) {
			release();
		}

		for (const {name, address} of this.#holders.values()) {
			canceller.cancel({
				engine: name, address, ...lease, onConfirmed: release,
			});
		}
	}
}

/** Creates the failure of a request that has no attempts left. */
export function makeAttemptsSpentFailure(state: ExecutionState): Failure {
	return new Failure('attemptsSpent', {ran: state.mayHaveBeenSent ? 'unknown' : 'no'});
}
