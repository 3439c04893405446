/**
 * The prefill stage of a generation: a prefill replica processes the prompt,
 * and a decode replica fetches the result. If every prefill replica fails, the
 * decode replica prefills the prompt itself. A silent replica is given up only
 * for another one, right before the prompt is sent there, or once the decode
 * replica may read the prompt within the retry budget.
 */
import {type PlacementWeights} from '@gatehead/policy/relay/placement';
import {maxPrefillWaitMs} from '@gatehead/policy/relay/prefill-limit';
import {ignore} from '@gatehead/policy/utils/ignore';
import {versionOf, type Endpoint} from '@gatehead/schema/routing';
import {isOff} from '../core/experiment.js';
import {openShare, readBody} from '../upstream/exchange.js';
import {stallReason} from '../upstream/sender.js';
import {timeLeft, type Job} from './job.js';
import {type WorkParts} from './parts.js';
import {placementNeeds} from './placement-needs.js';
import {Takeover} from './takeover.js';

/** Maximum prefill replicas per round; after three failures the decode replica is faster. */
const maxAttempts = 3;
/** Time until a replacement is sought for a prefill replica, in milliseconds. Covers waiting in its queue, since prefilling a prompt twice costs more than the wait. */
const idleTimeoutMs = 2500;
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

/** End of the prefill stage; `prefilled` is undefined if the prompt is left to the decode replica. */
type PrefillEnd = {
	readonly prefilled: PrefillResult | undefined;
};

/** Attempts to prefill a prompt for one decode replica. */
type PrefillAttempt = {
	readonly decode: Endpoint;
	/** Replicas that were not tried yet, best first. */
	readonly untried: Endpoint[];
	readonly signal: AbortSignal;
	/** Gives up a silent replica; called right before the prompt is sent to another one. */
	readonly commit: () => void;
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
		if (isOff(this.#parts.context, 'readingApart')) {
			return undefined;
		}

		return this.#tryReplicas({
			decode, untried: this.#candidates(decode), signal, commit: ignore,
		});
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

	/** Tries the replicas one after another; undefined if the decode replica has to prefill the prompt. */
	async #tryReplicas(attempt: PrefillAttempt): Promise<PrefillResult | undefined> {
		const {signal, untried} = attempt;
		for (let endpoint = untried.shift(); endpoint !== undefined; endpoint = untried.shift()) {
			if (signal.aborted || this.#job.isContentHeld || this.#isRisky(endpoint) || !(await this.#maySend()) || this.#isLeftToDecode(endpoint, attempt)) {
				return undefined;
			}

			const end = await this.#prefillAt(endpoint, attempt);
			if (end !== undefined) {
				return end.prefilled;
			}
		}

		return undefined;
	}

	/** Whether the decode replica is expected to prefill the prompt earlier than a prefill replica, which would take too long. */
	#isLeftToDecode(endpoint: Endpoint, {decode}: PrefillAttempt): boolean {
		const {endpoints, context: {clock, log}} = this.#parts;
		const job = this.#job;
		const tokens = job.facts.promptTokens;
		const now = clock.now();
		const expectedMs = endpoints.queueOf(endpoint.id).estimateMs(tokens, now);
		const {arrivedAt, isCallerRetry, route: {targetMs}} = job;
		const maxExpectedMs = maxPrefillWaitMs({targetMs, leftMs: arrivedAt + targetMs - now, isRetry: isCallerRetry});
		if (expectedMs <= maxExpectedMs || endpoints.queueOf(decode.id).estimateMs(tokens, now) >= expectedMs) {
			return false;
		}

		log('prefilled', {
			request: job.id, endpoint: endpoint.id, outcome: 'left to the decode replica', expectedMs: Math.round(expectedMs),
		});
		return true;
	}

	/** Prefills the prompt at a replica, or at what replaces it while it is silent; undefined if it failed. */
	async #prefillAt(endpoint: Endpoint, attempt: PrefillAttempt): Promise<PrefillEnd | undefined> {
		const {endpoints, news, orders, context: {clock, log, metrics}} = this.#parts;
		const job = this.#job;
		const tokens = job.facts.promptTokens;
		const queue = endpoints.queueOf(endpoint.id);
		const startedAt = clock.now();
		const reading = queue.start(tokens, startedAt);
		news.announcePrompt(endpoint.id, tokens);
		let takeover: Takeover<PrefillEnd> | undefined;
		const controller = new AbortController();
		const result = await this.#send(endpoint, AbortSignal.any([attempt.signal, controller.signal]), () => {
			attempt.commit();
			takeover = new Takeover<PrefillEnd>({
				clock,
				idleMs: idleTimeoutMs,
				signal: attempt.signal,
				begin: async ({signal, commit}) => this.#replace(endpoint, {...attempt, signal, commit}),
				endSilent() {
					controller.abort(stallReason);
				},
				onError(error) {
					log('internal', {detail: `replacing a prefill replica failed: ${String(error)}`});
				},
			});
		});
		if (result === undefined) {
			queue.abandon(reading);
			return takeover?.settle();
		}

		const prefilled = {endpoint, result};
		const tokensMs = queue.complete(reading, clock.now());
		endpoints.managed.record(endpoint, 'prefill', tokens, tokensMs ?? 0);
		const tookMs = clock.now() - startedAt;
		metrics.time('prefill', tookMs);
		orders.splitOf(job.service.name).recordPrefill(tokens * queue.tokenMs);
		log('prefilled', {
			request: job.id, endpoint: endpoint.id, softwareVersion: endpoint.softwareVersion, outcome: 'read', tokens, expectedMs: Math.round(reading.expectedMs), tookMs: Math.round(tookMs),
		});
		const replaced = await takeover?.settle();
		if (replaced === undefined) {
			return {prefilled};
		}

		this.release(prefilled);
		return replaced;
	}

	/** Seeks a replacement for a silent replica: another one, or else the decode replica if the retry budget allows its send. Undefined: there is none yet. */
	async #replace(silent: Endpoint, attempt: PrefillAttempt): Promise<PrefillEnd | undefined> {
		const {budgets, endpoints} = this.#parts;
		const {signal} = attempt;
		let isReplaced = false;
		const prefilled = await this.#tryReplicas({
			...attempt, commit() {
				isReplaced = true;
				attempt.commit();
			},
		});
		if (isReplaced) {
			return {prefilled};
		}

		// A replica that is gone will not go on
		const mayDecode = !signal.aborted && (await budgets.ensure(this.#job, 'prefill') || !endpoints.book.isKnown(silent.id));
		if (!mayDecode || signal.aborted) {
			if (!signal.aborted) {
				// The replica may be silent for long, and other requests need the permits
				budgets.release(this.#job);
				endpoints.judge(silent, 'silent');
			}

			return undefined;
		}

		attempt.commit();
		return {prefilled: undefined};
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

	/** Sends the prompt to a replica; undefined if that failed. */
	async #send(endpoint: Endpoint, signal: AbortSignal, onWrite: () => void): Promise<string | undefined> {
		const {sender, context: {clock, dialect, incoming}} = this.#parts;
		const sent = await sender.send({
			job: this.#job, step: 'prefill', endpoint, facts: {isPrefill: true}, tokens: this.#job.facts.promptTokens, headMs: timeLeft(this.#job, clock.now()) + 1, signal, onWrite,
		});
		if (sent.kind !== 'answer') {
			if (sent.reason === 'refused') {
				this.#parts.endpoints.queueOf(endpoint.id).recordRejection(clock.now());
			}

			return undefined;
		}

		try {
			const body = new TextDecoder().decode(await readBody(sent.response, clock, {maxBytes: maxBodyBytes, share: openShare(incoming, 'prefill', sent.response)}));
			const result = sent.response.statusCode === okStatus ? dialect.readPrefill(body) : undefined;
			this.#recordAcceptance(result);
			sent.end(result === undefined ? 'error' : 'good');
			return result;
		} catch (error) {
			const isReplaced = signal.reason === stallReason;
			sent.end(signal.aborted && !isReplaced ? 'cancelled' : 'broken', isReplaced ? stallReason : String(error));
			return undefined;
		}
	}
}
