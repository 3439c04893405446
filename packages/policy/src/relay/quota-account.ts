/**
 * One host's balance of a workspace's quota: short-lived grants from the
 * quota's coordinator (`keeper` in messages). Small requests may be admitted
 * on credit, without waiting for a grant.
 * Safety: the quota's bound relies on grants expiring, and on credit being
 * limited by what all hosts together may take.
 */
import {type QuotaLevel} from '@gatehead/schema/relay-message';
import {AverageRate} from '../utils/average-rate.js';
import {type QuotaGrant} from './quota-window.js';

/** Lifetime of a grant, in milliseconds: a busy host requests one or two a second. What is unused then is lost. */
export const grantLifetimeMs = 1500;
/** Expected use that a request for a grant covers, in milliseconds: less than a grant's lifetime, so that little expires unused. */
const prefetchMs = 900;
/** Time constant of the average use, in milliseconds. */
const averagingMs = 1000;
/** Fraction of the expected use below which the next grant is requested: the answer takes a few milliseconds, up to 100 from a busy coordinator. */
const renewFraction = 0.4;

/** Decision about a request; `unknown` means that the coordinator must be asked. */
export type QuotaDecision = 'granted' | 'unknown' | 'refused';

/** One workspace's balance on one host; times are in milliseconds, amounts in the quota's unit. */
export class QuotaAccount {
	#balance = 0;
	#expiresAt = Number.NEGATIVE_INFINITY;
	#refusedUntil = Number.NEGATIVE_INFINITY;
	#lastReport: {readonly level: number; readonly keeper: string; readonly at: number} | undefined;
	readonly #use = new AverageRate(averagingMs);

	/** Returns the unexpired balance; negative after use on credit. */
	balance(now: number): number {
		return now < this.#expiresAt ? this.#balance : Math.min(0, this.#balance);
	}

	/** Time until which the coordinator has nothing to grant. */
	get refusedUntil(): number {
		return this.#refusedUntil;
	}

	/** Remaining quota in the coordinator's last answer, or undefined before the first. */
	get lastReportedLevel(): number | undefined {
		return this.#lastReport?.level;
	}

	/** Charges a request's cost if the balance or `credit` covers it. */
	take(cost: number, credit: number, now: number): QuotaDecision {
		const balance = this.balance(now);
		const isRefused = now < this.#refusedUntil;
		if (balance >= cost || (!isRefused && balance + credit >= cost)) {
			this.#charge(cost, now);
			return 'granted';
		}

		return isRefused ? 'refused' : 'unknown';
	}

	/** Whether the next grant should be requested ahead of need. */
	isLow(now: number): boolean {
		return now >= this.#refusedUntil && this.balance(now) < renewFraction * this.#expectedUse(now);
	}

	/** Returns the amounts to request: `least` covers waiting requests and debt, `wanted` adds the expected use. */
	buildRequest(waiting: number, now: number): {least: number; wanted: number; heard: QuotaLevel | undefined} {
		const debt = Math.max(0, -this.balance(now));
		const least = waiting + debt;
		const heard = this.#lastReport === undefined ? undefined : {level: this.#lastReport.level, keeper: this.#lastReport.keeper, ageMs: Math.max(0, now - this.#lastReport.at)};
		return {least, wanted: least + this.#expectedUse(now), heard};
	}

	/** Applies the coordinator's answer. */
	receive({granted, waitMs, level, keeper}: QuotaGrant, now: number): void {
		this.#lastReport = {level, keeper, at: now};
		if (granted > 0) {
			this.#balance = this.balance(now) + granted;
			this.#expiresAt = now + grantLifetimeMs;
			return;
		}

		this.#refusedUntil = now + waitMs;
	}

	/** Refunds what a request did not use. */
	refund(cost: number, now: number): void {
		this.#balance = this.balance(now) + cost;
	}

	#charge(cost: number, now: number): void {
		this.#balance = this.balance(now) - cost;
		this.#use.record(now, cost);
	}

	#expectedUse(now: number): number {
		return this.#use.at(now) * prefetchMs;
	}
}
