/**
 * What one host may use of one workspace's quota now: the part that the
 * quota's keeper has given it, for a short time. Small requests may go on
 * credit, so that they need not wait for the keeper's answer. Safety of the
 * bound: a part lapses, and credit is bounded by what all hosts together may
 * take on it.
 */
import {type QuotaLevel} from '@gatehead/schema/relay-message';
import {type QuotaGrant} from './quota-window.js';

/** How long a part may be used, in milliseconds: a busy host asks once or twice a second, and what it leaves unused is lost for no longer. */
export const partLifeMs = 1500;
/** Time for which a host asks ahead, in milliseconds: below a part's life, so that little of it lapses. */
const aheadMs = 900;
/** Time over which the use is averaged, in milliseconds: a burst of three seconds shows within one. */
const averageMs = 1000;
/** Part of the expected use that may be left when the next part is asked for: the answer takes a few milliseconds, or 100 at a busy keeper. */
const renewShare = 0.4;

/** What an account says of a request. */
export type AccountAnswer = 'granted' | 'unknown' | 'refused';

/** One workspace's account at one host. */
export class QuotaAccount {
	#balance = 0;
	#lapsesAt = Number.NEGATIVE_INFINITY;
	#refusedUntil = Number.NEGATIVE_INFINITY;
	#heard: {readonly level: number; readonly keeper: string; readonly at: number} | undefined;
	#useRate = 0;
	#usedAt = 0;

	/** What is left of the part in hand. */
	balance(now: number): number {
		return now < this.#lapsesAt ? this.#balance : Math.min(0, this.#balance);
	}

	/** Until when the keeper has nothing to give. */
	get refusedUntil(): number {
		return this.#refusedUntil;
	}

	/** What the keeper had left when it last answered; undefined: it has not. */
	get levelHeard(): number | undefined {
		return this.#heard?.level;
	}

	/** Takes a request's cost, where the part in hand or `credit` covers it; `unknown`: the keeper has to be asked. */
	take(cost: number, credit: number, now: number): AccountAnswer {
		const balance = this.balance(now);
		const isRefused = now < this.#refusedUntil;
		if (balance >= cost || (!isRefused && balance + credit >= cost)) {
			this.#spend(cost, now);
			return 'granted';
		}

		return isRefused ? 'refused' : 'unknown';
	}

	/** Whether the next part should be asked for before it is needed. */
	isLow(now: number): boolean {
		return now >= this.#refusedUntil && this.balance(now) < renewShare * this.#expected(now);
	}

	/** What to ask for: `least` for what waits, together with what was used on credit and what is expected. */
	wish(waiting: number, now: number): {least: number; wanted: number; heard: QuotaLevel | undefined} {
		const debt = Math.max(0, -this.balance(now));
		const least = waiting + debt;
		const heard = this.#heard === undefined ? undefined : {level: this.#heard.level, keeper: this.#heard.keeper, ageMs: Math.max(0, now - this.#heard.at)};
		return {least, wanted: least + this.#expected(now), heard};
	}

	/** Takes over the keeper's answer. */
	receive({granted, waitMs, level, keeper}: QuotaGrant, now: number): void {
		this.#heard = {level, keeper, at: now};
		if (granted > 0) {
			this.#balance = this.balance(now) + granted;
			this.#lapsesAt = now + partLifeMs;
			return;
		}

		this.#refusedUntil = now + waitMs;
	}

	/** Gives back what a request did not use. */
	giveBack(cost: number, now: number): void {
		this.#balance = this.balance(now) + cost;
	}

	#spend(cost: number, now: number): void {
		this.#balance = this.balance(now) - cost;
		this.#useRate = this.#rate(now) + (cost / averageMs);
		this.#usedAt = now;
	}

	/** Use a millisecond, averaged. */
	#rate(now: number): number {
		return this.#useRate * Math.exp(-(now - this.#usedAt) / averageMs);
	}

	#expected(now: number): number {
		return this.#rate(now) * aheadMs;
	}
}
