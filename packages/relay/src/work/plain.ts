/**
 * Requests to plain services. Safety: a request that may run once is sent
 * again only where it provably did not run. One that may be repeated is sent
 * to a second endpoint when the first fails or is slow, within the budget.
 */
import {type IncomingMessage} from 'node:http';
import {retryAfterWait} from '@gatehead/policy/relay/retry-after';
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {type Mechanism} from '@gatehead/schema/relay-settings';
import {type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {readBody} from '../upstream/exchange.js';
import {answeredElsewhere, type Sent} from '../upstream/sender.js';
import {type ExtraCause} from './budgets.js';
import {timeLeft, type Job} from './job.js';
import {type JobEnd} from './job-end.js';
import {type WorkParts} from './parts.js';

/** Longest answer that is read whole before it is passed on, so that a cut one is never begun. */
const mostBytes = 8_388_608;
/** Share of the target after which a slow answer is asked for a second time elsewhere: a second answer can then still be in time. */
const slowShare = 0.45;
/** Least time before an answer counts as slow, in milliseconds: about a usual answer's own time. */
const leastSlowMs = 60;
/** When a caller may come back after no endpoint could be had, in milliseconds: within its target where that is short. */
const comeBackMs = 400;
/** Endpoints tried one after the other where none of them runs the request: more than any plain service at hand has. */
const mostTries = 4;
const leastErrorStatus = 500;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** How endpoints of plain services are weighed: the near one until it has work in hand, so that its connections stay in use. */
const weights: PlacementWeights = {
	farHall: 0.12, newConnection: 0.1, badness: 2, otherSubset: 0, noise: 0.05,
};

/** An answer, read whole. */
type WholeAnswer = {
	readonly endpoint: Endpoint;
	readonly response: IncomingMessage;
	readonly body: Uint8Array;
};

/** What came of one send, with its body. */
type Tried
	= | {readonly kind: 'whole'; readonly answer: WholeAnswer}
		| Exclude<Sent, {kind: 'answer'}>;

/** What came of one of the sends that run side by side. */
type RivalResult = {
	readonly rival: AbortController;
	readonly tried: Tried;
};

/** A send that may run beside another; its controller ends it. */
type Rival = {
	readonly controller: AbortController;
	readonly result: Promise<RivalResult>;
};

/** Works on a request to a plain service until it has its final answer. */
export async function workPlain(parts: WorkParts, job: Job): Promise<JobEnd> {
	const plain = new PlainWork(parts, job);
	return job.route.kind === 'repeatable' ? plain.workRepeatable() : plain.workOnce();
}

class PlainWork {
	readonly #parts: WorkParts;
	readonly #job: Job;
	readonly #tried = new Set<string>();
	/** Endpoints that it went to, but for those that had no permit for it. */
	#tries = 0;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
	}

	/** One endpoint after the other, as long as none runs it. */
	async workOnce(): Promise<JobEnd> {
		let cause: ExtraCause | undefined;
		while (this.#tries < mostTries) {
			const endpoint = this.#choose();
			if (endpoint === undefined || (cause !== undefined && !this.#mayRepeat(cause))) {
				break;
			}

			const tried = await this.#try(endpoint, this.#job.signal);
			if (tried.kind === 'whole') {
				return this.#pass(tried.answer);
			}

			if (tried.kind === 'unknown' || this.#job.signal.aborted || this.#job.isHeld) {
				return this.#giveUp(endpoint);
			}

			cause = causes[tried.reason] ?? 'refused';
		}

		return this.#giveUp();
	}

	/** A second endpoint is asked when the first fails or is slow; the first good answer counts. */
	async workRepeatable(): Promise<JobEnd> {
		const rivals = new Map<AbortController, Promise<RivalResult>>();
		let failed: WholeAnswer | undefined;
		let cause: ExtraCause | undefined;
		let isOver = false;
		try {
			for (;;) {
				if (!isOver && rivals.size < 2 && (rivals.size === 0 || cause === 'slow')) {
					const rival = this.#start(cause);
					isOver = rival === undefined;
					if (rival !== undefined) {
						rivals.set(rival.controller, rival.result);
					}
				}

				if (rivals.size === 0) {
					return failed === undefined ? this.#giveUp() : this.#pass(failed);
				}

				const first = await this.#race([...rivals.values()], rivals.size === 1 && !isOver);
				if (first === undefined) {
					cause = 'slow';
					continue;
				}

				rivals.delete(first.rival);
				const {tried} = first;
				if (this.#job.signal.aborted) {
					return this.#giveUp();
				}

				if (tried.kind === 'whole' && (tried.answer.response.statusCode ?? leastErrorStatus) < leastErrorStatus) {
					return this.#pass(tried.answer);
				}

				failed = tried.kind === 'whole' ? tried.answer : failed;
				cause = causeOf(tried);
				if (cause === 'broken') {
					await this.#parts.guard.mayRunAgain(this.#job);
				}
			}
		} finally {
			for (const rival of rivals.keys()) {
				rival.abort(answeredElsewhere);
			}
		}
	}

	/** Starts one more send, where an endpoint, an attempt and the budget are left. */
	#start(cause: ExtraCause | undefined): Rival | undefined {
		const endpoint = this.#choose();
		if (endpoint === undefined || this.#tries >= mostTries || this.#job.isHeld || this.#job.runs >= this.#job.route.maxAttempts || (cause !== undefined && !this.#mayRepeat(cause))) {
			return undefined;
		}

		const controller = new AbortController();
		const signal = AbortSignal.any([this.#job.signal, controller.signal]);
		const send = async () => ({rival: controller, tried: await this.#try(endpoint, signal)});
		return {controller, result: send()};
	}

	/** The first result, or undefined where it is slow. */
	async #race<Result>(results: ReadonlyArray<Promise<Result>>, isTimed: boolean): Promise<Result | undefined> {
		const {clock} = this.#parts.context;
		if (!isTimed) {
			return Promise.race(results);
		}

		const slowAt = this.#job.arrivedAt + Math.max(leastSlowMs, slowShare * this.#job.route.targetMs);
		return new Promise<Result | undefined>((resolve, reject) => {
			const timer = clock.after(slowAt - clock.now(), () => {
				resolve(undefined);
			});
			for (const result of results) {
				result.then(value => {
					timer.stop();
					resolve(value);
				}, reject);
			}
		});
	}

	#choose(): Endpoint | undefined {
		const {endpoints, context: {settings: {hall}}} = this.#parts;
		const ordered = endpoints.order(this.#job.service.name, {
			stage: undefined, hall, weights, bearable: 0,
		});
		return ordered.find(({id}) => !this.#tried.has(id));
	}

	/** A connection that never came needs no budget: nothing arrived there. */
	#mayRepeat(cause: ExtraCause): boolean {
		const mechanism = optionalCauses[cause];
		if (mechanism !== undefined && isOff(this.#parts.context, mechanism)) {
			return false;
		}

		return cause === 'connect' || this.#parts.budgets.take(this.#job, cause);
	}

	async #try(endpoint: Endpoint, signal: AbortSignal): Promise<Tried> {
		const {sender, context: {clock}} = this.#parts;
		this.#tried.add(endpoint.id);
		this.#tries += 1;
		const sent = await sender.send({
			job: this.#job, step: 'plain', endpoint, facts: {}, tokens: 0, headMs: timeLeft(this.#job, clock.now()) + 1, signal,
		});
		if (sent.kind !== 'answer') {
			if (sent.reason === 'refused') {
				this.#parts.endpoints.noteFull(endpoint.id, 0);
			} else if (sent.reason === 'limited') {
				this.#tries -= 1;
			}

			return sent;
		}

		try {
			const body = await readBody(sent.response, mostBytes);
			sent.end('good');
			return {kind: 'whole', answer: {endpoint, response: sent.response, body}};
		} catch (error) {
			sent.end(signal.aborted ? 'cancelled' : 'broken', String(error));
			this.#parts.context.log('sendFailed', {
				request: this.#job.id, step: 'plain', endpoint: endpoint.id, outcome: 'unknown', reason: 'cut', detail: String(error),
			});
			return {kind: 'unknown', reason: 'reset'};
		}
	}

	#pass({response, body, endpoint}: WholeAnswer): JobEnd {
		const {reply, method} = this.#job;
		if (method === 'HEAD' || bodilessStatuses.has(response.statusCode ?? 0)) {
			reply.begin(response);
			reply.end();
		} else {
			reply.begin(response, body.length);
			reply.end(body);
		}

		return {outcome: 'answered', endpoint: endpoint.id};
	}

	/** When a caller may come back where no endpoint takes requests now. */
	#waitMs(): number | undefined {
		const {endpoints, context: {clock, random}} = this.#parts;
		const waitMs = endpoints.shortestWaitMs(this.#job.service.name, undefined);
		return waitMs === undefined ? undefined : retryAfterWait(waitMs, timeLeft(this.#job, clock.now()), random);
	}

	#giveUp(endpoint?: Endpoint): JobEnd {
		const {reply, route, signal, mayHaveRun, sends, isHeld, content} = this.#job;
		if (signal.aborted && signal.reason === 'callerLeft') {
			return {outcome: 'callerLeft', endpoint: endpoint?.id};
		}

		if (isHeld && !signal.aborted) {
			const code = reply.refuse('contentHeld', {retryAfterMs: this.#parts.guard.holdMs(content) ?? comeBackMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
			return {
				outcome: 'refused', code, endpoint: endpoint?.id, detail: content.digest,
			};
		}

		const waitMs = this.#waitMs();
		const ended = mayHaveRun || sends > 0 ? 'timeoutSpent' : 'overloaded';
		const unsent = waitMs === undefined ? 'endpointsDown' : 'endpointsUnavailable';
		const wanted = mayHaveRun ? 'answerLost' : unsent;
		const code = reply.refuse(signal.aborted ? ended : wanted, {retryAfterMs: waitMs ?? comeBackMs, mayHaveRun, isRepeatable: route.kind === 'repeatable'});
		return {outcome: 'refused', code, endpoint: endpoint?.id};
	}
}

/** Causes that an experiment can switch off. */
const optionalCauses: Readonly<Partial<Record<ExtraCause, Mechanism>>> = {error: 'errorRetries', slow: 'slowCopies'};

const causes: Readonly<Record<string, ExtraCause>> = {
	connect: 'connect', refused: 'refused', otherEndpoint: 'refused', limited: 'connect',
};

function causeOf(tried: Tried): ExtraCause {
	if (tried.kind === 'whole') {
		return 'error';
	}

	return tried.kind === 'notRun' ? causes[tried.reason] ?? 'connect' : 'broken';
}
