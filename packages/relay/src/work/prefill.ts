/**
 * The first half of a generation: its prompt is read at a prefill replica,
 * the result is used by a decode replica. Efficiency only: a prompt that
 * nobody has read is read by the decode replica itself.
 */
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {mostReadingMs} from '@gatehead/policy/relay/reading-limit';
import {type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {readBody} from '../upstream/exchange.js';
import {type Job} from './job.js';
import {type WorkParts} from './parts.js';

/** Prefill replicas tried in one round: after three failures a decode replica reads sooner. */
const mostPrefills = 3;
/** Time that a prefill may take before its replica counts as silent, in milliseconds: a prompt that is read twice costs nearly as much as its answer is worth, so a queue is waited for. */
const prefillMs = 2500;
/** Longest answer of a prefill: a name and two numbers are far shorter. */
const mostBytes = 1_048_576;
const okStatus = 200;
/** Reasons with which nothing arrived at a replica. */
const unsentReasons: ReadonlySet<string> = new Set(['connect', 'held', 'limited']);

const weights: PlacementWeights = {
	farHall: 0.25, newConnection: 0.1, badness: 1, otherSubset: 0.6, noise: 0.1,
};

/** A prefill's result, and where it lies. */
export type Source = {
	readonly endpoint: Endpoint;
	readonly result: string;
};

/** The readings of one request's prompt at prefill replicas. */
export class Prefill {
	readonly #parts: WorkParts;
	readonly #job: Job;
	/** Sends that may have reached a replica, in all rounds: those behind the first need the budget. */
	#sends = 0;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
	}

	/** Has the prompt read for a decode replica; undefined where no prefill replica did, so that this replica reads it. */
	async read(decode: Endpoint): Promise<Source | undefined> {
		const {endpoints, budgets, news, orders, context: {clock, log, metrics}} = this.#parts;
		const job = this.#job;
		if (isOff(this.#parts.context, 'readingApart')) {
			return undefined;
		}

		const tokens = job.facts.promptTokens;
		const candidates = this.#candidates(decode.hall);
		for (const endpoint of candidates) {
			if (job.signal.aborted || job.isHeld || (this.#sends > 0 && !budgets.take(job, 'prefill'))) {
				return undefined;
			}

			const queue = endpoints.queueOf(endpoint.id);
			const startedAt = clock.now();
			const expectedMs = queue.expect(tokens, startedAt);
			const {arrivedAt, isSecondTry, route: {targetMs}} = job;
			const mostMs = mostReadingMs({targetMs, leftMs: arrivedAt + targetMs - startedAt, isReturned: isSecondTry});
			if (expectedMs > mostMs && endpoints.queueOf(decode.id).expect(tokens, startedAt) < expectedMs) {
				log('prefilled', {
					request: job.id, endpoint: endpoint.id, outcome: 'left to the decode replica', expectedMs: Math.round(expectedMs),
				});
				return undefined;
			}

			const reading = queue.begin(tokens, startedAt);
			news.tellReading(endpoint.id, tokens);
			const result = await this.#readAt(endpoint);
			if (result === undefined) {
				queue.abandon(reading);
			} else {
				queue.finish(reading, clock.now());
				const tookMs = clock.now() - startedAt;
				metrics.time('prefill', tookMs);
				orders.splitOf(job.service.name).noteRead(tokens * queue.tokenMs);
				log('prefilled', {
					request: job.id, endpoint: endpoint.id, outcome: 'read', tokens, expectedMs: Math.round(expectedMs), tookMs: Math.round(tookMs),
				});
				return {endpoint, result};
			}
		}

		return undefined;
	}

	/** Gives a result back that nobody uses. */
	free(source: Source | undefined): void {
		if (source !== undefined) {
			this.#parts.ownCalls.freeResult(source.endpoint, source.result);
		}
	}

	/** Counts a prompt's tokens by whether a decode replica took the result. */
	count(source: Source | undefined, isUsed: boolean): void {
		if (source !== undefined) {
			this.#parts.context.metrics.add('prefillTokens', {use: isUsed ? 'used' : 'wasted'}, this.#job.facts.promptTokens);
		}
	}

	/** Prefill replicas in the order to try them; one that fails is left out, since a decode replica can read the prompt. */
	#candidates(hall: string): Endpoint[] {
		const {endpoints} = this.#parts;
		const ordered = endpoints.order(this.#job.service.name, {
			stage: 'prefill', hall, weights, bearable: 0,
		});
		const usable = ordered.filter(({id}) => endpoints.isUsable(id));
		return usable.slice(0, mostPrefills);
	}

	async #readAt(endpoint: Endpoint): Promise<string | undefined> {
		const {sender, context: {dialect}} = this.#parts;
		const sent = await sender.send({
			job: this.#job, step: 'prefill', endpoint, facts: {isPrefill: true}, tokens: this.#job.facts.promptTokens, headMs: prefillMs, signal: this.#job.signal,
		});
		if (sent.kind !== 'answer') {
			// A connection that never came brought nothing there, nor did what was held back or had no permit
			this.#sends += unsentReasons.has(sent.reason) ? 0 : 1;
			if (sent.reason === 'refused') {
				this.#parts.endpoints.queueOf(endpoint.id).refuse(this.#parts.context.clock.now());
			}

			return undefined;
		}

		this.#sends += 1;
		try {
			const body = new TextDecoder().decode(await readBody(sent.response, mostBytes));
			const result = sent.response.statusCode === okStatus ? dialect.readPrefill(body) : undefined;
			sent.end(result === undefined ? 'error' : 'good');
			return result;
		} catch (error) {
			sent.end('broken', String(error));
			this.#parts.context.log('sendFailed', {
				request: this.#job.id, step: 'prefill', endpoint: endpoint.id, outcome: 'unknown', reason: 'cut', detail: String(error),
			});
			return undefined;
		}
	}
}
