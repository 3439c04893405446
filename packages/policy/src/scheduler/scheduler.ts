/**
 * Decisions of one cell's keeper: whose turn it is, at which prefill engine,
 * when, and at which decode engine. Decode first: a prefill starts only when
 * a decode slot is free or surely will be while its result lives.
 * Efficiency: a wrong decision costs goodput or waste, never a promise.
 */
import {type Engine, type Objective} from '@gatehead/schema/bundle';
import {type EngineReport} from '@gatehead/schema/engine-protocol';
import {type LeaseAsk, type LeaseClaim} from '@gatehead/schema/peer-message';
import {type Random} from '../utils/random.js';
import {AnswerLengths} from './answer-lengths.js';
import {DecodePool, leaseKey} from './decode-pool.js';
import {LeaseBook, makeClaimed} from './lease-book.js';
import {PrefillPool, type PrefillOffer} from './prefill-pool.js';
import {Pressure} from './pressure.js';
import {risks, type Risk} from './risk.js';
import {SlotOutlook} from './slot-outlook.js';
import {WaitingLine, type Waiting} from './waiting-line.js';

/** One decode step and the way of the messages, in milliseconds. */
const firstStepMs = 35;
/** A newcomer is refused at once when the work ahead would take this share of its slack or more. */
const hopelessFactor = 0.7;
/** Share of a request's slack that is kept as a margin against a late slot. */
const edgeShare = 0.02;
const comeBackMs = 1000;
/** How long a request waits for any engine at all, as while a new keeper has no reports yet. */
const downMs = 1500;

/** What the scheduler decides. */
export type Decision
	= | {readonly kind: 'prefill'; readonly request: string; readonly attempt: number; readonly engine: string}
		| {readonly kind: 'decode'; readonly request: string; readonly attempt: number; readonly engine: string}
		| {readonly kind: 'refuse'; readonly request: string; readonly attempt: number; readonly code: 'overloaded' | 'shareExceeded' | 'endpointsDown'; readonly retryAfterMs: number};

/** What a scheduler is made from. */
export type SchedulerParts = {
	readonly engines: readonly Engine[];
	readonly kvBytesPerToken: number;
	readonly objective: Objective;
	readonly random: Random;
	readonly shareOf: (caller: string) => number | undefined;
	/** Most requests in work at once of a caller in this cell; undefined: no limit. */
	readonly limitOf: (caller: string) => number | undefined;
	/** Whether an engine is leaving: it gets no new work. */
	readonly isLeaving: (engine: Engine) => boolean;
};

/** One cell's decisions. */
export class Scheduler {
	readonly #decode: DecodePool;
	readonly #prefill: PrefillPool;
	readonly #line: WaitingLine;
	readonly #lengths = new AnswerLengths();
	readonly #pressure = new Pressure();
	readonly #risk: Risk;
	readonly #random: Random;
	readonly #limitOf: (caller: string) => number | undefined;
	readonly #leases = new LeaseBook();
	readonly #early: Decision[] = [];

	constructor({engines, kvBytesPerToken, objective, random, shareOf, limitOf, isLeaving}: SchedulerParts) {
		this.#decode = new DecodePool(engines.filter(each => each.role === 'decode'), isLeaving, this.#lengths);
		this.#prefill = new PrefillPool(engines.filter(each => each.role === 'prefill'), isLeaving, kvBytesPerToken);
		this.#line = new WaitingLine(shareOf);
		this.#risk = risks[objective];
		this.#random = random;
		this.#limitOf = limitOf;
	}

	/** Whether anything waits for a decision. */
	get isBusy(): boolean {
		return this.#line.size > 0 || this.#early.length > 0 || this.#leases.hasWaiting;
	}

	/** Load from 0 to 1. */
	get load(): number {
		return this.#decode.load;
	}

	/** Numbers for operators. */
	describe(): {readonly waiting: number; readonly leases: number; readonly slots: number; readonly free: number} {
		return {
			waiting: this.#line.size, leases: this.#leases.size, slots: this.#decode.countSlots(), free: this.#decode.countFree(),
		};
	}

	/** Takes a request into the line; one that was asked before keeps its place. */
	ask(ask: LeaseAsk, now: number): void {
		const key = leaseKey(ask);
		if (this.#leases.has(key)) {
			return;
		}

		const known = this.#line.remove(key);
		const waiting: Waiting = {
			ask, key, deadline: known?.deadline ?? now + ask.slackMs, since: known?.since ?? now, holdMs: this.#decode.expectHoldMs(ask.priority, ask.maxTokens),
		};
		const code = known === undefined ? this.#findRefusal(waiting, now) : undefined;
		if (code === undefined) {
			this.#line.add(waiting);
		} else {
			this.#refuse(waiting, code, now);
		}
	}

	/** Takes a request out of the line. */
	withdraw(key: string): void {
		this.#line.remove(key);
	}

	/** Notes that a result is made and lives for `holdMs`. */
	prefilled(key: string, holdMs: number, now: number): void {
		const lease = this.#leases.get(key);
		if (lease?.stage !== 'prefill') {
			return;
		}

		lease.stage = 'ready';
		lease.readyAt = now;
		lease.lapsesAt = now + holdMs;
		this.#prefill.end(lease.prefillEngine, key, lease.ask.blocks, now);
	}

	/** Notes that an import is whole. */
	started(key: string, now: number): void {
		const lease = this.#leases.get(key);
		if (lease !== undefined) {
			this.#decode.start(lease.engine, key, now);
		}
	}

	/** Notes that an engine did not take the work; `isLost` where it seems to be gone. */
	bounced(key: string, engine: string, isLost: boolean, now: number): void {
		const lease = this.#leases.get(key);
		if (isLost) {
			this.lose(engine);
		}

		if (lease?.stage !== 'decode' || lease.engine !== engine) {
			return;
		}

		this.#decode.giveBack(engine, key, now);
		this.#decode.fill(engine);
		lease.stage = 'ready';
	}

	/** Ends a lease. `tokens` is 0 where nothing can be learned from its length. */
	release(key: string, tokens: number, now: number): void {
		const lease = this.#leases.remove(key);
		if (lease === undefined) {
			this.#line.remove(key);
			return;
		}

		this.#prefill.giveBack(lease.prefillEngine, key, now);
		this.#decode.giveBack(lease.engine, key, now);
		if (lease.stage === 'decode' && tokens > 0) {
			this.#lengths.learn(lease.ask.priority, tokens, lease.ask.maxTokens);
		}
	}

	/** Takes over a lease that another keeper granted. */
	adopt(claim: LeaseClaim, now: number): void {
		const key = leaseKey(claim);
		if (this.#leases.has(key)) {
			return;
		}

		const {stage, engine, maxTokens, priority} = claim;
		this.#line.remove(key);
		this.#leases.add(makeClaimed(claim, now, now + comeBackMs));
		if (stage === 'decode') {
			this.#decode.take(engine, {
				key, priority, maxTokens, startedAt: now,
			});
		}
	}

	/** The grant that a lease stands for, to be said again where it got lost; undefined where there is none yet. */
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

	/** Keys of all leases, for comparison with what their holders claim. */
	listLeases(): string[] {
		return this.#leases.listKeys();
	}

	/** Takes an engine's report. */
	report(report: EngineReport, now: number): void {
		this.#decode.report(report, now);
		this.#prefill.report(report);
	}

	/** Notes that an engine does not answer; returns whether that is news. */
	lose(engine: string): boolean {
		const isDecodeNews = this.#decode.lose(engine);
		return this.#prefill.lose(engine) || isDecodeNews;
	}

	/** Decides all that can be decided now. */
	decide(now: number): Decision[] {
		const decisions = this.#early.splice(0);
		this.#refuseLate(now, decisions);
		this.#giveSlots(now, decisions);
		this.#startPrefills(now, decisions);
		return decisions;
	}

	#findRefusal({ask, deadline, holdMs}: Waiting, now: number): Extract<Decision, {kind: 'refuse'}>['code'] | undefined {
		if (ask.accepted) {
			return undefined;
		}

		const slots = this.#decode.countSlots();
		const limit = this.#limitOf(ask.caller);
		if (limit !== undefined && this.#leases.countInWork(ask.caller) >= limit) {
			return 'shareExceeded';
		}

		if (slots === 0) {
			return undefined;
		}

		const waitMs = this.#line.workAhead(ask.priority, holdMs) / slots;
		return waitMs > hopelessFactor * Math.max(0, deadline - now) ? 'overloaded' : undefined;
	}

	#refuse({ask, key}: Waiting, code: Extract<Decision, {kind: 'refuse'}>['code'], now: number): void {
		this.#line.remove(key);
		this.#early.push({
			kind: 'refuse', request: ask.request, attempt: ask.attempt, code, retryAfterMs: this.#pressure.refuse(now, this.#random),
		});
	}

	/** Refuses at once what can no longer have its first token in time. */
	#refuseLate(now: number, decisions: Decision[]): void {
		const late = this.#line.takeLate(waiting => this.#isHopeless(waiting, now));
		for (const waiting of late) {
			decisions.push(this.#refusalOf(waiting, now));
		}
	}

	/** Whether a request can have no first token in time, or no engine has been there for it for a while. */
	#isHopeless({ask, deadline, since}: Waiting, now: number): boolean {
		const offer = this.#prefill.offer(ask, now);
		if (offer === undefined || this.#decode.countSlots() === 0) {
			return now - since > downMs;
		}

		return !ask.accepted && offer.readyAt + offer.transferMs + firstStepMs > deadline;
	}

	#refusalOf({ask: {request, attempt}}: Waiting, now: number): Decision {
		return {
			kind: 'refuse', request, attempt, code: this.#decode.countSlots() === 0 ? 'endpointsDown' : 'overloaded', retryAfterMs: this.#pressure.refuse(now, this.#random),
		};
	}

	/** Whether the slot that this request would get is expected too late for its first token. */
	#isTooLate({ask, deadline, since}: Waiting, {readyAt, transferMs}: PrefillOffer, now: number): boolean {
		if (ask.accepted) {
			return false;
		}

		const slotAt = this.#look(now).expectSlotAt(readyAt);
		const margin = edgeShare * (deadline - since);
		return Math.max(readyAt, slotAt) + transferMs + firstStepMs + margin > deadline;
	}

	/** The slots to come, with all results that have none yet. */
	#look(now: number): SlotOutlook {
		return new SlotOutlook(this.#decode, this.#risk, this.#leases.listReadyTimes(), now);
	}

	/** Gives free slots to results, those that were promised and the earliest deadlines first. */
	#giveSlots(now: number, decisions: Decision[]): void {
		for (const lease of this.#leases.listReady(now)) {
			const engine = this.#decode.choose(lease.hall, lease.ask.adapter);
			if (engine === undefined) {
				return;
			}

			const {key, ask: {request, attempt, priority, maxTokens}} = lease;
			lease.stage = 'decode';
			lease.engine = engine;
			this.#decode.take(engine, {
				key, priority, maxTokens, startedAt: now,
			});
			decisions.push({
				kind: 'decode', request, attempt, engine,
			});
		}
	}

	#startPrefills(now: number, decisions: Decision[]): void {
		for (let waiting = this.#line.peek(now); waiting !== undefined; waiting = this.#line.peek(now)) {
			const offer = this.#prefill.offer(waiting.ask, now);
			if (!offer?.isDue) {
				return;
			}

			if (this.#isTooLate(waiting, offer, now)) {
				this.#line.remove(waiting.key);
				decisions.push(this.#refusalOf(waiting, now));
				continue;
			}

			if (!this.#look(now).isSlotSure(offer.readyAt, this.#prefill.holdMsOf(offer.engine))) {
				return;
			}

			this.#line.take(waiting, now);
			this.#pressure.grant(now);
			this.#grant(waiting, offer, now);
			decisions.push({
				kind: 'prefill', request: waiting.ask.request, attempt: waiting.ask.attempt, engine: offer.engine,
			});
		}
	}

	#grant({key, ask, deadline}: Waiting, offer: PrefillOffer, now: number): void {
		this.#prefill.take(offer, key, now);
		this.#leases.add({
			key, ask, deadline, prefillEngine: offer.engine, hall: offer.hall, stage: 'prefill', readyAt: offer.readyAt, lapsesAt: Number.POSITIVE_INFINITY, engine: '',
		});
	}
}
