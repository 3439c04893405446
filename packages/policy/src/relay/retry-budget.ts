/**
 * One host's part of a service's retry budget. The bound holds for all hosts
 * together: a fraction of the requests in a window, plus a fixed allowance.
 *
 * Safety: each host pays for its repeats with what its own requests allow
 * (request-credit.ts), with its share of the allowance (allowance-share.ts),
 * or with parts of the shares of other hosts. A repeat arrives within
 * `permitLifetimeMs` and its transit time of when it was paid for.
 */
import {type RetryBudgetState} from '@gatehead/schema/relay-status';
import {AllowanceShare, permitLifetimeMs} from './allowance-share.js';
import {RequestCredit} from './request-credit.js';

/** Fraction of the allowance that is used; the rest covers a new host and a restarted one that become established from crossing records (fleet-census.ts). */
const usedFraction = 0.95;
/** Allows for rounding in sums of parts of repeats. */
const epsilon = 1e-9;

/** Bound for all hosts together. */
export type RetryRule = {
	/** Repeats allowed per request in the window. */
	readonly ratio: number;
	/** Additional repeats allowed per window, for all hosts together. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** Permission to send one repeat, and what paid for it. */
export type RetryPermit = {
	readonly takenAt: number;
	/** Deadline for sending its first byte, in milliseconds. */
	readonly sendBy: number;
	/** Parts paid by requests of this host, by its own share and by shares of other hosts; their sum is one. */
	readonly requests: number;
	readonly own: number;
	readonly borrowed: number;
};

/** A part of another host's share. */
export type Loan = {
	amount: number;
	/** Time by which it must be used, in milliseconds. */
	readonly until: number;
	/** Lender and request to return it to; undefined if it comes from a refunded permit. */
	readonly origin: {readonly lender: string; readonly ask: number} | undefined;
};

/** One service's budget on one host; times are in milliseconds. */
export class RetryBudget {
	readonly #rule: RetryRule;
	readonly #credit: RequestCredit;
	readonly #share: AllowanceShare;
	readonly #size: () => number;
	#loans: Loan[] = [];

	/** `fractionOf` returns this host's fraction of the allowance; 0 while it may not use any. */
	constructor(rule: RetryRule, fractionOf: () => number) {
		this.#rule = rule;
		this.#credit = new RequestCredit(rule);
		this.#size = () => usedFraction * rule.allowance * fractionOf();
		this.#share = new AllowanceShare(rule.windowMs, this.#size);
	}

	/** Records a new request. */
	recordRequest(now: number): void {
		this.#credit.recordRequest(now);
	}

	/** Takes a permit for one repeat; undefined if too little is left. */
	take(now: number): RetryPermit | undefined {
		const requests = Math.min(1, Math.max(0, this.#credit.left(now)));
		const borrowed = Math.min(1 - requests, this.borrowed(now));
		const own = Math.max(0, 1 - requests - borrowed);
		if (own > this.#share.left(now) + epsilon) {
			return undefined;
		}

		const sendBy = this.#takeLoans(borrowed, now);
		this.#credit.take(requests, now);
		this.#share.take(own, now);
		return {
			takenAt: now, sendBy, requests, own, borrowed,
		};
	}

	/** Returns a permit whose repeat was not sent, or does not count. */
	refund({takenAt, sendBy, requests, own, borrowed}: RetryPermit): void {
		this.#credit.refund(requests, takenAt);
		this.#share.refund(own, takenAt);
		this.receive({amount: borrowed, until: sendBy, origin: undefined});
	}

	/** Lends up to `wanted` of this host's share; returns the amount. */
	lend(wanted: number, now: number): number {
		return this.#share.lend(wanted, now);
	}

	/** Reclaims an unused amount lent at `lentAt`. */
	reclaim(amount: number, lentAt: number): void {
		this.#share.reclaim(amount, lentAt);
	}

	/** Adds a part of another host's share. */
	receive(loan: Loan): void {
		if (loan.amount > 0) {
			this.#loans.push(loan);
			this.#loans.sort((left, right) => left.until - right.until);
		}
	}

	/** Removes and returns the unused loans that expire before `until`. */
	removeLoans(until: number): Loan[] {
		const removed = this.#loans.filter(loan => loan.until < until);
		this.#loans = this.#loans.filter(loan => loan.until >= until);
		return removed;
	}

	/** Returns the repeats that may be taken now. */
	left(now: number): number {
		return Math.max(0, this.#credit.left(now)) + this.#share.left(now) + this.borrowed(now);
	}

	/** Returns the unused amount borrowed from other hosts. */
	borrowed(now: number): number {
		this.#loans = this.#loans.filter(({until}) => now < until);
		return this.#loans.reduce((sum, {amount}) => sum + amount, 0);
	}

	/** Describes the budget, over the last window. */
	describe(now: number): Omit<RetryBudgetState, 'service'> {
		const from = now - this.#rule.windowMs;
		return {
			requests: this.#credit.requestsSince(from),
			repeats: this.#credit.repeatsSince(from) + this.#share.spent(now),
			left: this.left(now),
			share: this.#size(),
			lent: this.#share.lent(now),
			borrowed: this.borrowed(now),
		};
	}

	/** Takes an amount from the loans that expire first; returns the first expiry. */
	#takeLoans(wanted: number, now: number): number {
		let missing = wanted;
		let sendBy = now + permitLifetimeMs;
		for (const loan of this.#loans) {
			if (missing <= epsilon) {
				break;
			}

			const taken = Math.min(missing, loan.amount);
			loan.amount -= taken;
			missing -= taken;
			sendBy = Math.min(sendBy, loan.until);
		}

		this.#loans = this.#loans.filter(({amount}) => amount > epsilon);
		return sendBy;
	}
}
