/**
 * Scheduler of one cell: orders waiting requests and assigns prefill and decode
 * engines. A prefill starts only when a decode slot is free or forecast to be
 * free in time for its result. Wrong decisions cost goodput or wasted
 * prefills; the engines enforce their own limits.
 */
import {type Engine, type Objective} from '@gatehead/schema/bundle';
import {type EngineReport} from '@gatehead/schema/engine-protocol';
import {type LeaseRequest, type LeaseClaim} from '@gatehead/schema/peer-message';
import {type Random} from '../utils/random.js';
import {OutputLengths} from './output-lengths.js';
import {DecodePool, leaseKey} from './decode-pool.js';
import {LeaseTable, leaseFromClaim} from './lease-table.js';
import {PrefillPool, type PrefillEstimate} from './prefill-pool.js';
import {RefusalBackoff} from './refusal-backoff.js';
import {riskByObjective, type Risk} from './risk.js';
import {SlotForecast} from './slot-forecast.js';
import {WaitingQueue, type QueuedRequest} from './waiting-queue.js';

/** Allowance for the first decode step and message latency, in milliseconds. */
const firstStepMs = 35;
/** A new request is refused on arrival if the queued work ahead would take more than this share of its slack. */
const maxWaitShare = 0.7;
/** Share of a request's slack reserved as a margin for a late slot. */
const marginShare = 0.02;
/** Assumed hold time of a prefill result whose lease was taken over from another keeper. */
const claimedResultHoldMs = 1000;
/** How long a request waits while no engine is usable, for example until a new keeper has received reports. */
const noEngineTimeoutMs = 1500;

/** A decision about one request: a grant of a prefill or decode engine, or a refusal. */
export type Decision
	= | {readonly kind: 'prefill'; readonly request: string; readonly attempt: number; readonly engine: string}
		| {readonly kind: 'decode'; readonly request: string; readonly attempt: number; readonly engine: string}
		| {readonly kind: 'refuse'; readonly request: string; readonly attempt: number; readonly code: 'overloaded' | 'shareExceeded' | 'endpointsDown'; readonly retryAfterMs: number};

export type SchedulerOptions = {
	readonly engines: readonly Engine[];
	readonly kvBytesPerToken: number;
	readonly objective: Objective;
	readonly random: Random;
	readonly shareOf: (caller: string) => number | undefined;
	/** Maximum number of concurrent leases of a caller in this cell; undefined for no limit. */
	readonly limitOf: (caller: string) => number | undefined;
	/** Whether an engine is leaving and gets no new work. */
	readonly isLeaving: (engine: Engine) => boolean;
};

export class Scheduler {
	readonly #decode: DecodePool;
	readonly #prefill: PrefillPool;
	readonly #queue: WaitingQueue;
	readonly #lengths = new OutputLengths();
	readonly #refusalBackoff = new RefusalBackoff();
	readonly #risk: Risk;
	readonly #random: Random;
	readonly #limitOf: (caller: string) => number | undefined;
	readonly #leases = new LeaseTable();
	readonly #pendingRefusals: Decision[] = [];

	constructor({engines, kvBytesPerToken, objective, random, shareOf, limitOf, isLeaving}: SchedulerOptions) {
		this.#decode = new DecodePool(engines.filter(each => each.role === 'decode'), isLeaving, this.#lengths);
		this.#prefill = new PrefillPool(engines.filter(each => each.role === 'prefill'), isLeaving, kvBytesPerToken);
		this.#queue = new WaitingQueue(shareOf);
		this.#risk = riskByObjective[objective];
		this.#random = random;
		this.#limitOf = limitOf;
	}

	/** Whether any request or lease waits for a decision. */
	get isBusy(): boolean {
		return this.#queue.size > 0 || this.#pendingRefusals.length > 0 || this.#leases.hasPending;
	}

	/** Share of decode slots in use, from 0 to 1. */
	get load(): number {
		return this.#decode.load;
	}

	/** Current counts, for operators. */
	describe(): {readonly waiting: number; readonly leases: number; readonly slots: number; readonly free: number} {
		return {
			waiting: this.#queue.size, leases: this.#leases.size, slots: this.#decode.countSlots(), free: this.#decode.countFreeSlots(),
		};
	}

	/** Queues a request. A repeated ask keeps the deadline and waiting time of the first and is never refused on arrival. */
	ask(ask: LeaseRequest, now: number): void {
		const key = leaseKey(ask);
		if (this.#leases.has(key)) {
			return;
		}

		const known = this.#queue.remove(key);
		const waiting: QueuedRequest = {
			ask, key, deadline: known?.deadline ?? now + ask.slackMs, queuedAt: known?.queuedAt ?? now, holdMs: this.#decode.expectedHoldMs(ask.priority, ask.maxTokens),
		};
		const code = known === undefined ? this.#findRefusal(waiting, now) : undefined;
		if (code === undefined) {
			this.#queue.add(waiting);
		} else {
			this.#refuse(waiting, code, now);
		}
	}

	/** Removes a request from the queue. */
	withdraw(key: string): void {
		this.#queue.remove(key);
	}

	/** Records that a prefill finished; its result expires after `holdMs`. */
	prefillFinished(key: string, holdMs: number, now: number): void {
		const lease = this.#leases.get(key);
		if (lease?.stage !== 'prefill') {
			return;
		}

		lease.stage = 'ready';
		lease.readyAt = now;
		lease.resultExpiresAt = now + holdMs;
		this.#prefill.complete(lease.prefillEngine, key, lease.ask.blocks, now);
	}

	/** Records that the decode engine has imported the KV cache. */
	decodeStarted(key: string, now: number): void {
		const lease = this.#leases.get(key);
		if (lease !== undefined) {
			this.#decode.markStarted(lease.engine, key, now);
		}
	}

	/** Records that a decode engine rejected the work, or with `isLost` that it is unreachable. */
	decodeRejected(key: string, engine: string, isLost: boolean, now: number): void {
		const lease = this.#leases.get(key);
		if (isLost) {
			this.markUnhealthy(engine);
		}

		if (lease?.stage !== 'decode' || lease.engine !== engine) {
			return;
		}

		this.#decode.releaseSlot(engine, key, now);
		this.#decode.markFull(engine);
		lease.stage = 'ready';
	}

	/** Ends a lease, or removes a request that has none from the queue. `tokens` is the output length, or 0 if it must not be recorded. */
	release(key: string, tokens: number, now: number): void {
		const lease = this.#leases.remove(key);
		if (lease === undefined) {
			this.#queue.remove(key);
			return;
		}

		this.#prefill.releaseSlot(lease.prefillEngine, key, now);
		this.#decode.releaseSlot(lease.engine, key, now);
		if (lease.stage === 'decode' && tokens > 0) {
			this.#lengths.observe(lease.ask.priority, tokens, lease.ask.maxTokens);
		}
	}

	/** Takes over a lease that another keeper granted. */
	adopt(claim: LeaseClaim, now: number): void {
		const key = leaseKey(claim);
		if (this.#leases.has(key)) {
			return;
		}

		const {stage, engine, maxTokens, priority} = claim;
		this.#queue.remove(key);
		this.#leases.add(leaseFromClaim(claim, now, now + claimedResultHoldMs));
		if (stage === 'decode') {
			this.#decode.reserveSlot(engine, {
				key, priority, maxTokens, startedAt: now,
			});
		}
	}

	/** Current grant of a lease, to resend if the message was lost; undefined if there is none. */
	findGrant(key: string): Decision | undefined {
		const lease = this.#leases.get(key);
		if (lease === undefined || lease.stage === 'ready') {
			return undefined;
		}

		const {ask: {request, attempt}, stage, engine, prefillEngine} = lease;
		return stage === 'decode'
			? {
				kind: 'decode', request, attempt, engine,
			}
			: {
				kind: 'prefill', request, attempt, engine: prefillEngine,
			};
	}

	/** Keys of all leases, for comparison with the holders' claims. */
	listLeases(): string[] {
		return this.#leases.listKeys();
	}

	/** Updates an engine's state from its report. */
	report(report: EngineReport, now: number): void {
		this.#decode.report(report, now);
		this.#prefill.report(report);
	}

	/** Marks an unresponsive engine as unhealthy; returns whether it was healthy before. */
	markUnhealthy(engine: string): boolean {
		const wasHealthyDecode = this.#decode.markUnhealthy(engine);
		return this.#prefill.markUnhealthy(engine) || wasHealthyDecode;
	}

	/** Makes all decisions that are possible at `now`. */
	decide(now: number): Decision[] {
		const decisions = this.#pendingRefusals.splice(0);
		this.#refuseUnservable(now, decisions);
		this.#assignDecodeSlots(now, decisions);
		this.#startPrefills(now, decisions);
		return decisions;
	}

	#findRefusal({ask, deadline, holdMs}: QueuedRequest, now: number): Extract<Decision, {kind: 'refuse'}>['code'] | undefined {
		if (ask.accepted) {
			return undefined;
		}

		const slots = this.#decode.countSlots();
		const limit = this.#limitOf(ask.caller);
		if (limit !== undefined && this.#leases.countActive(ask.caller) >= limit) {
			return 'shareExceeded';
		}

		if (slots === 0) {
			return undefined;
		}

		const waitMs = this.#queue.workAheadMs(ask.priority, holdMs) / slots;
		return waitMs > maxWaitShare * Math.max(0, deadline - now) ? 'overloaded' : undefined;
	}

	#refuse({ask, key}: QueuedRequest, code: Extract<Decision, {kind: 'refuse'}>['code'], now: number): void {
		this.#queue.remove(key);
		this.#pendingRefusals.push({
			kind: 'refuse', request: ask.request, attempt: ask.attempt, code, retryAfterMs: this.#refusalBackoff.recordRefusal(now, this.#random),
		});
	}

	/** Refuses requests that can no longer be served in time. */
	#refuseUnservable(now: number, decisions: Decision[]): void {
		const unservable = this.#queue.removeWhere(waiting => this.#isUnservable(waiting, now));
		for (const waiting of unservable) {
			decisions.push(this.#makeRefusal(waiting, now));
		}
	}

	/** Whether a request would miss its deadline even with a free decode slot, or has waited too long for a usable engine. */
	#isUnservable({ask, deadline, queuedAt}: QueuedRequest, now: number): boolean {
		const estimate = this.#prefill.estimateBest(ask, now);
		if (estimate === undefined || this.#decode.countSlots() === 0) {
			return now - queuedAt > noEngineTimeoutMs;
		}

		return !ask.accepted && estimate.readyAt + estimate.transferMs + firstStepMs > deadline;
	}

	#makeRefusal({ask: {request, attempt}}: QueuedRequest, now: number): Decision {
		return {
			kind: 'refuse', request, attempt, code: this.#decode.countSlots() === 0 ? 'endpointsDown' : 'overloaded', retryAfterMs: this.#refusalBackoff.recordRefusal(now, this.#random),
		};
	}

	/** Whether the request is expected to miss its deadline, given the forecast of decode slots. */
	#wouldMissDeadline({ask, deadline, queuedAt}: QueuedRequest, {readyAt, transferMs}: PrefillEstimate, now: number): boolean {
		if (ask.accepted) {
			return false;
		}

		const slotAt = this.#forecastSlots(now).expectedSlotAt(readyAt);
		const margin = marginShare * (deadline - queuedAt);
		return Math.max(readyAt, slotAt) + transferMs + firstStepMs + margin > deadline;
	}

	#forecastSlots(now: number): SlotForecast {
		return new SlotForecast(this.#decode, this.#risk, this.#leases.listReadyTimes(), now);
	}

	/** Assigns free decode slots to finished prefills, in order of deadline. */
	#assignDecodeSlots(now: number, decisions: Decision[]): void {
		for (const lease of this.#leases.listReady(now)) {
			const engine = this.#decode.selectEngine(lease.hall, lease.ask.adapter);
			if (engine === undefined) {
				return;
			}

			const {key, ask: {request, attempt, priority, maxTokens}} = lease;
			lease.stage = 'decode';
			lease.engine = engine;
			this.#decode.reserveSlot(engine, {
				key, priority, maxTokens, startedAt: now,
			});
			decisions.push({
				kind: 'decode', request, attempt, engine,
			});
		}
	}

	#startPrefills(now: number, decisions: Decision[]): void {
		for (let waiting = this.#queue.peek(now); waiting !== undefined; waiting = this.#queue.peek(now)) {
			const estimate = this.#prefill.estimateBest(waiting.ask, now);
			if (!estimate?.isSlotAvailable) {
				return;
			}

			if (this.#wouldMissDeadline(waiting, estimate, now)) {
				this.#queue.remove(waiting.key);
				decisions.push(this.#makeRefusal(waiting, now));
				continue;
			}

			if (!this.#forecastSlots(now).willHaveSlot(estimate.readyAt, this.#prefill.resultHoldMsOf(estimate.engine))) {
				return;
			}

			this.#queue.dequeue(waiting, now);
			this.#refusalBackoff.recordGrant(now);
			this.#addLease(waiting, estimate, now);
			decisions.push({
				kind: 'prefill', request: waiting.ask.request, attempt: waiting.ask.attempt, engine: estimate.engine,
			});
		}
	}

	#addLease({key, ask, deadline}: QueuedRequest, estimate: PrefillEstimate, now: number): void {
		this.#prefill.reserveSlot(estimate, key, now);
		this.#leases.add({
			key, ask, deadline, prefillEngine: estimate.engine, hall: estimate.hall, stage: 'prefill', readyAt: estimate.readyAt, resultExpiresAt: Number.POSITIVE_INFINITY, engine: '',
		});
	}
}
