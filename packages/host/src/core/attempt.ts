/**
 * One attempt of a model request: prefill place, prefill, decode slot,
 * import, stream. Safety: tokens reach the answer only under this request,
 * this attempt and their own number; whatever the attempt may hold at an
 * engine when it ends early is cancelled until confirmed.
 */
import {type Engine} from '@gatehead/schema/bundle';
import {type PrefillResult, type StreamLine} from '@gatehead/schema/engine-protocol';
import {Failure, fail} from '@gatehead/schema/failure';
import {type LeaseAsk} from '@gatehead/schema/peer-message';
import {type Answer} from './answer.js';
import {type Canceller} from './canceller.js';
import {type Context} from './context.js';
import {type EngineClient, type Lines} from './engine-client.js';
import {type LeaseDesk} from './lease-desk.js';
import {StallWatch} from './stall.js';
import {type Run, type Work} from './work.js';

const mostResumes = 2;

/** What an attempt works with. */
export type AttemptParts = {
	readonly context: Context;
	readonly client: EngineClient;
	readonly canceller: Canceller;
	readonly desk: LeaseDesk;
	/** Finds an engine of the bundle in force. */
	readonly findEngine: (name: string) => Engine | undefined;
};

/** How an attempt ended: `whole`, or `failed` where another attempt may follow. */
export type AttemptEnd = 'whole' | 'failed';

/** Result of a prefill with the engine that holds it. */
type Prefilled = {
	readonly engine: Engine;
	readonly result: PrefillResult;
	/** Own clock's instant at which the result lapses. */
	readonly lapsesAt: number;
};

/** One attempt. */
export class Attempt {
	readonly #parts: AttemptParts;
	readonly #work: Work;
	readonly #run: Run;
	readonly #answer: Answer;
	readonly #signal: AbortSignal;
	readonly #number: number;
	readonly #given: readonly string[];
	/** Engines that may hold something of this attempt. */
	readonly #holders = new Map<string, Engine>();
	#isLeased = false;

	constructor(parts: AttemptParts, work: Work, run: Run, answer: Answer, signal: AbortSignal) {
		this.#parts = parts;
		this.#work = work;
		this.#run = run;
		this.#answer = answer;
		this.#signal = signal;
		this.#number = run.attempts;
		this.#given = [...answer.tokens];
	}

	/** Runs the attempt to its end. Raises a refusal of the decisions as it is. */
	async carryOut(): Promise<AttemptEnd> {
		try {
			const prefilled = await this.#prefill();
			const isWhole = prefilled !== undefined && await this.#decode(prefilled);
			return isWhole ? 'whole' : 'failed';
		} finally {
			this.#clean();
		}
	}

	get #lease() {
		return {request: this.#work.id, attempt: this.#number};
	}

	#note(kind: Parameters<Context['timeline']['note']>[0]['kind'], endpoint?: string, detail?: string): void {
		this.#parts.context.timeline.note({
			kind, request: this.#work.id, attempt: this.#number, caller: this.#work.caller.name, endpoint, detail,
		});
	}

	#watch(): StallWatch {
		const {clock, settings} = this.#parts.context;
		return new StallWatch(clock, settings.timing.endpointStallMs, this.#signal);
	}

	#engine(name: string): Engine {
		return this.#parts.findEngine(name) ?? fail('endpointFault', {detail: `${name} is not in the bundle in force`});
	}

	#ask(): LeaseAsk {
		const {id, caller, adapter, promptTokens, maxTokens, blocks, target, arrivedAt} = this.#work;
		const given = this.#given.length;
		return {
			request: id,
			attempt: this.#number,
			caller: caller.name,
			priority: caller.priority,
			adapter,
			promptTokens: promptTokens + given,
			maxTokens: maxTokens - given,
			blocks: [...blocks],
			slackMs: arrivedAt + target.ttftMs - this.#parts.context.clock.now(),
			accepted: this.#number > 1,
		};
	}

	#order() {
		const {id, model, adapter, caller, prompt} = this.#work;
		return {
			request: id, attempt: this.#number, owner: this.#parts.context.self, model: model.name, adapter, priority: caller.priority, prompt, given: [...this.#given],
		};
	}

	async #prefill(): Promise<Prefilled | undefined> {
		const {desk, client, context: {clock, counters}} = this.#parts;
		this.#note('asked');
		const engine = this.#engine(await desk.askPrefill(this.#work.model.name, this.#ask(), this.#signal));
		this.#isLeased = true;
		this.#note('prefillGranted', engine.name);
		counters.count('prefillStarted');
		this.#run.hasLeft = true;
		this.#holders.set(engine.name, engine);
		const watch = this.#watch();
		try {
			this.#note('prefillStarted', engine.name);
			const answered = await client.prefill(engine.address, this.#order(), watch.signal);
			if (answered.kind === 'refused') {
				this.#holders.delete(engine.name);
				this.#bounce(engine, answered.refusal.refused, false);
				return undefined;
			}

			this.#note('prefillEnded', engine.name);
			return {engine, result: answered.result, lapsesAt: clock.now() + answered.result.holdMs};
		} catch (error) {
			this.#bounce(engine, String(error), true);
			return undefined;
		} finally {
			watch.stop();
		}
	}

	/** Asks for slots until an engine takes the result, or the result lapses; a transfer that failed is tried again while it lives. */
	async #decode(prefilled: Prefilled): Promise<boolean> {
		for (;;) {
			const engine = await this.#askSlot(prefilled);
			if (engine === undefined) {
				this.#waste('lapsed');
				return false;
			}

			const taken = await this.#import(prefilled, engine);
			if (taken !== 'again') {
				return taken === 'whole';
			}
		}
	}

	async #askSlot({result, lapsesAt}: Prefilled): Promise<Engine | undefined> {
		const {desk, context: {clock}} = this.#parts;
		const watch = new StallWatch(clock, lapsesAt - clock.now(), this.#signal);
		try {
			const name = await desk.askDecode(this.#lease, result.cachedTokens, lapsesAt - clock.now(), watch.signal);
			this.#note('decodeGranted', name);
			return this.#engine(name);
		} catch (error) {
			if (this.#signal.aborted || !watch.signal.aborted) {
				throw error;
			}

			return undefined;
		} finally {
			watch.stop();
		}
	}

	async #import({engine: source, result}: Prefilled, engine: Engine): Promise<'whole' | 'again' | 'failed'> {
		const watch = this.#watch();
		this.#holders.set(engine.name, engine);
		try {
			const answered = await this.#parts.client.decode(engine.address, {
				...this.#order(), source: {address: source.address, handle: result.handle}, maxTokens: this.#work.maxTokens,
			}, watch.signal);
			if (answered.kind === 'refused') {
				this.#holders.delete(engine.name);
				this.#bounce(engine, answered.refusal.refused, false);
				if (answered.refusal.refused !== 'lapsed') {
					return 'again';
				}

				this.#waste(answered.refusal.refused);
				return 'failed';
			}

			this.#holders.delete(source.name);
			this.#parts.context.counters.count('prefillUsed');
			return await this.#read(answered.result, engine, watch) ? 'whole' : 'failed';
		} catch (error) {
			this.#bounce(engine, String(error), true);
			return this.#signal.aborted ? 'failed' : 'again';
		} finally {
			watch.stop();
		}
	}

	/** Reads a stream; one that is cut is resumed at the same engine, as long as that still has it. */
	async #read(lines: Lines, engine: Engine, watch: StallWatch): Promise<boolean> {
		let current: Lines | undefined = lines;
		for (let resumes = 0; current !== undefined; resumes += 1) {
			if (await this.#readLines(current, engine, watch)) {
				return true;
			}

			if (this.#signal.aborted || resumes >= mostResumes) {
				break;
			}

			current = await this.#resume(engine);
		}

		this.#bounce(engine, 'stream lost', true);
		return false;
	}

	async #readLines(lines: Lines, engine: Engine, watch: StallWatch): Promise<boolean> {
		try {
			for await (const line of lines) {
				watch.touch();
				if (this.#takeLine(line, engine)) {
					return true;
				}
			}
		} catch (error) {
			this.#note('attemptFailed', engine.name, String(error));
		}

		return false;
	}

	async #resume(engine: Engine): Promise<Lines | undefined> {
		const {client, context: {self, counters}} = this.#parts;
		const watch = this.#watch();
		try {
			const answered = await client.resume(engine.address, {
				request: this.#work.id, attempt: this.#number, owner: self, from: this.#answer.tokens.length,
			}, watch.signal);
			if (answered.kind === 'refused') {
				return undefined;
			}

			counters.count('resumed');
			this.#note('resumed', engine.name);
			return answered.result;
		} catch {
			return undefined;
		} finally {
			watch.stop();
		}
	}

	/** Takes one line; true at the stream's whole end. A line of another request or attempt is dropped. */
	#takeLine(line: StreamLine, engine: Engine): boolean {
		if (line.request !== this.#work.id || line.attempt !== this.#number) {
			this.#parts.context.log('endpointFault', {endpoint: engine.name, detail: 'a line of another request'});
			return false;
		}

		if (line.kind === 'imported') {
			this.#parts.desk.started(this.#lease);
			this.#note('decodeStarted', engine.name);
			return false;
		}

		if (line.kind === 'token') {
			this.#takeToken(line.n, line.text, engine);
			return false;
		}

		if (line.tokens !== this.#answer.tokens.length) {
			return false;
		}

		this.#holders.delete(engine.name);
		this.#note('decodeEnded', engine.name);
		this.#answer.finish({kind: 'whole', reason: line.reason});
		return true;
	}

	#takeToken(n: number, text: string, engine: Engine): void {
		const now = this.#parts.context.clock.now();
		this.#answer.position = `${engine.name}/${this.#number}`;
		if (!this.#answer.take(n, text)) {
			return;
		}

		if (this.#run.firstTokenAt === undefined) {
			this.#run.firstTokenAt = now;
			this.#note('firstToken', engine.name);
		}

		this.#run.lastTokenAt = now;
	}

	#bounce(engine: Engine, detail: string, isLost: boolean): void {
		this.#note('attemptFailed', engine.name, detail);
		if (!this.#signal.aborted) {
			this.#parts.desk.bounced(this.#lease, engine.name, isLost);
		}
	}

	#waste(cause: string): void {
		this.#parts.context.counters.count('prefillWasted', cause);
		this.#note('prefillWasted', undefined, cause);
	}

	/** Cancels where something may be held, and gives the lease back once nothing is. */
	#clean(): void {
		const {desk, canceller} = this.#parts;
		const lease = this.#lease;
		const end = {tokens: this.#answer.tokens.length - this.#given.length, goodput: this.#answer.end?.kind === 'whole'};
		const holders = [...this.#holders.values()];
		const release = () => {
			holders.pop();
			if (this.#isLeased && holders.length === 0) {
				desk.release(lease, end);
			}
		};

		if (holders.length === 0) {
			release();
		}

		for (const {name, address} of this.#holders.values()) {
			canceller.cancel({
				engine: name, address, ...lease, confirmed: release,
			});
		}
	}
}

/** The failure of a request whose attempts are spent. */
export function attemptsSpent(run: Run): Failure {
	return new Failure('attemptsSpent', {ran: run.hasLeft ? 'unknown' : 'no'});
}
