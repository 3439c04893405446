/**
 * The prefill stage of a generation: a prefill replica processes the prompt,
 * and a decode replica fetches the result. If every prefill replica fails, the
 * decode replica prefills the prompt itself.
 */
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {maxPrefillWaitMs} from '@gatehead/policy/relay/prefill-limit';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {readBody} from '../upstream/exchange.js';
import {type Job} from './job.js';
import {type WorkParts} from './parts.js';
import {placementNeeds} from './placement-needs.js';

/** Maximum prefill replicas per round; after three failures the decode replica is faster. */
const maxAttempts = 3;
/** Time until a prefill replica counts as unresponsive, in milliseconds. Covers waiting in its queue, since prefilling a prompt twice costs more than the wait. */
const prefillTimeoutMs = 2500;
/** Time from a response's headers to its end, in milliseconds: its body is short and ready. */
const bodyTimeoutMs = 500;
/** Maximum response size; a regular response holds a result handle and two numbers. */
const maxBodyBytes = 1_048_576;
const okStatus = 200;
/** Time for which a rejected prompt makes another rejection likely, in milliseconds. */
const rejectionMemoryMs = 5000;

const weights: PlacementWeights = {
	otherHall: 0.25, newConnection: 0.1, failureRate: 1, otherSubset: 0.6, noise: 0.1,
};

/** Handle of a prefill result and the replica that holds it. */
export type PrefillResult = {
	readonly endpoint: Endpoint;
	readonly result: string;
};

/** Prefills of one request's prompt, over all rounds. */
export class Prefill {
	readonly #parts: WorkParts;
	readonly #job: Job;
	/** Whether a replica accepted the prompt, in any round. */
	#isAccepted = false;

	constructor(parts: WorkParts, job: Job) {
		this.#parts = parts;
		this.#job = job;
	}

	/** Prefills the prompt for a decode replica, until the signal aborts; undefined if that replica has to prefill it itself. */
	async run(decode: Endpoint, signal: AbortSignal): Promise<PrefillResult | undefined> {
		const {endpoints, news, orders, context: {clock, log, metrics}} = this.#parts;
		const job = this.#job;
		if (isOff(this.#parts.context, 'readingApart')) {
			return undefined;
		}

		const tokens = job.facts.promptTokens;
		const candidates = this.#candidates(decode);
		for (const endpoint of candidates) {
			if (signal.aborted || job.isContentHeld || this.#isRisky(endpoint) || !(await this.#maySend())) {
				return undefined;
			}

			const queue = endpoints.queueOf(endpoint.id);
			const startedAt = clock.now();
			const expectedMs = queue.estimateMs(tokens, startedAt);
			const {arrivedAt, isCallerRetry, route: {targetMs}} = job;
			const maxExpectedMs = maxPrefillWaitMs({targetMs, leftMs: arrivedAt + targetMs - startedAt, isRetry: isCallerRetry});
			if (expectedMs > maxExpectedMs && endpoints.queueOf(decode.id).estimateMs(tokens, startedAt) < expectedMs) {
				log('prefilled', {
					request: job.id, endpoint: endpoint.id, outcome: 'left to the decode replica', expectedMs: Math.round(expectedMs),
				});
				return undefined;
			}

			const reading = queue.start(tokens, startedAt);
			news.announcePrompt(endpoint.id, tokens);
			const result = await this.#runAt(endpoint, signal);
			if (result === undefined) {
				queue.abandon(reading);
			} else {
				const tokensMs = queue.complete(reading, clock.now());
				endpoints.managed.record(endpoint, 'prefill', tokens, tokensMs ?? 0);
				const tookMs = clock.now() - startedAt;
				metrics.time('prefill', tookMs);
				orders.splitOf(job.service.name).recordPrefill(tokens * queue.tokenMs);
				log('prefilled', {
					request: job.id, endpoint: endpoint.id, softwareVersion: endpoint.softwareVersion, outcome: 'read', tokens, expectedMs: Math.round(expectedMs), tookMs: Math.round(tookMs),
				});
				return {endpoint, result};
			}
		}

		return undefined;
	}

	/** Releases an unused result. */
	release(prefilled: PrefillResult | undefined): void {
		if (prefilled !== undefined) {
			this.#parts.ownCalls.freeResult(prefilled.endpoint, prefilled.result);
		}
	}

	/** Counts the prompt's tokens as used or wasted, by whether a decode replica took the result. */
	recordUse(prefilled: PrefillResult | undefined, isUsed: boolean): void {
		if (prefilled !== undefined) {
			this.#parts.context.metrics.add('prefillTokens', {use: isUsed ? 'used' : 'wasted'}, this.#job.facts.promptTokens);
		}
	}

	/** Prefill replicas in order of preference. Failing ones are left out, since the decode replica can prefill the prompt. */
	#candidates(decode: Endpoint): Endpoint[] {
		const {endpoints, context: {clock}} = this.#parts;
		const ordered = endpoints.order(this.#job.service.name, {
			stage: 'prefill', hall: decode.hall, weights, capacityTokens: 0, preferredVersion: versionOf(decode), needs: placementNeeds(this.#job, clock.now()),
		});
		const usable = ordered.filter(({id}) => endpoints.isUsable(id));
		return usable.slice(0, maxAttempts);
	}

	/** The first prefill that a replica accepts does not count as an arrival. */
	#recordAcceptance(result: string | undefined): void {
		if (result !== undefined && !this.#isAccepted) {
			this.#isAccepted = true;
			this.#parts.budgets.discount(this.#job);
		}
	}

	/** Whether a prefill may be sent: after the first arrival, both it and the decode need a permit. */
	async #maySend(): Promise<boolean> {
		const {budgets} = this.#parts;
		const job = this.#job;
		return job.arrivals === 0 || (await budgets.ensure(job, 'prefill') && budgets.acquire(job, 'prefill'));
	}

	/** Whether the prefill is likely to be rejected with no budget left for the decode. Without the prefill, the decode is the first send and free. */
	#isRisky(endpoint: Endpoint): boolean {
		const {endpoints, budgets, context: {clock}} = this.#parts;
		return endpoints.queueOf(endpoint.id).hasRejectedSince(clock.now() - rejectionMemoryMs) && !budgets.hasLeft(this.#job.service.name);
	}

	async #runAt(endpoint: Endpoint, signal: AbortSignal): Promise<string | undefined> {
		const {sender, context: {dialect}} = this.#parts;
		const sent = await sender.send({
			job: this.#job, step: 'prefill', endpoint, facts: {isPrefill: true}, tokens: this.#job.facts.promptTokens, headMs: prefillTimeoutMs, signal,
		});
		if (sent.kind !== 'answer') {
			if (sent.reason === 'refused') {
				this.#parts.endpoints.queueOf(endpoint.id).recordRejection(this.#parts.context.clock.now());
			}

			return undefined;
		}

		try {
			const body = new TextDecoder().decode(await readBody(sent.response, this.#parts.context.clock, {maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs}));
			const result = sent.response.statusCode === okStatus ? dialect.readPrefill(body) : undefined;
			this.#recordAcceptance(result);
			sent.end(result === undefined ? 'error' : 'good');
			return result;
		} catch (error) {
			sent.end('broken', String(error));
			return undefined;
		}
	}
}
