/**
 * Grants permits for rate-limited endpoints from the shares that hosts lend
 * it. A permit allows one request, for a second from the instant it was
 * asked for.
 *
 * Safety: an endpoint with limit L receives at most 5 L + 4 requests in any
 * 4 s. Tokens accrue at L times the shares held, and the shares of all
 * granters add up to one at most (rate-share.ts), so 4 L tokens accrue in 4 s
 * in the whole fleet. Permits from up to a second before may be used besides,
 * L more. Tokens saved up are at most 2 at one granter; a granter needs a
 * quarter of all shares, so there are at most four, and where there are more
 * than one each saves 1 or twice its share: 4 in all. None of this rests on
 * who is thought to be alive; what is lost with a granter only costs rate.
 */
import {shareLifeMs} from './rate-share.js';

/** Least part of all shares with which permits are granted: bounds the number of granters, and so the tokens that they save up. */
const leastShare = 0.25;
/** Tokens saved up by a granter that holds all shares: lets requests in that come together by chance. */
const mostTokens = 2;
/** Longest time that one refill covers, in milliseconds: a granter that was paused does not catch up. */
const mostRefillMs = 1000;
/** Least limit that is applied, in requests a second: an endpoint that receives nothing could never raise or end its limit. */
const leastPerS = 0.1;
/** Longest time after which a host that got nothing asks again, in milliseconds: the limit may have been raised since. */
const mostWaitMs = 1000;
/** Time after which to ask a granter that holds too few shares, in milliseconds. */
const noShareWaitMs = 250;
const millisecondsPerSecond = 1000;

/** The answer to one question. */
export type RateGrant = {
	/** Permits. */
	readonly granted: number;
	/** Time until the next question makes sense, where there are none. */
	readonly waitMs: number;
};

type Loan = {
	readonly share: number;
	readonly until: number;
};

type Bucket = {
	tokens: number;
	refilledAt: number;
	perS: number;
	/** Until when the tokens that accrue are promised to hosts that have a turn. */
	promisedUntil: number;
};

/** The granter's side, at one host. */
export class RateGranter {
	/** By host. */
	readonly #loans = new Map<string, Loan>();
	readonly #buckets = new Map<string, Bucket>();
	/** When each round of requests for shares was sent. */
	readonly #rounds = new Map<number, number>();
	#opened = 0;

	/** Begins a round of requests for shares; returns its number, which each loan quotes. */
	openRound(now: number): number {
		for (const [round, sentAt] of this.#rounds) {
			if (now - sentAt >= shareLifeMs) {
				this.#rounds.delete(round);
			}
		}

		this.#opened += 1;
		this.#rounds.set(this.#opened, now);
		return this.#opened;
	}

	/** Takes a host's share. It counts from the round's begin, which lies before the instant at which the host lent it, so that it lapses here first. */
	receive(host: string, round: number, share: number, now: number): void {
		const sentAt = this.#rounds.get(round);
		const known = this.#loans.get(host);
		if (sentAt === undefined || (known !== undefined && known.until > sentAt + shareLifeMs)) {
			return;
		}

		this.#refill(now);
		this.#loans.set(host, {share, until: sentAt + shareLifeMs});
	}

	/** Part of all shares that is held now. */
	share(now: number): number {
		let sum = 0;
		for (const [host, {share, until}] of this.#loans) {
			if (now < until) {
				sum += share;
			} else {
				this.#loans.delete(host);
			}
		}

		return Math.min(1, sum);
	}

	/** Grants up to `wanted` permits for an endpoint with a limit. */
	take(endpoint: string, limitPerS: number, wanted: number, now: number): RateGrant {
		const share = this.share(now);
		const bucket = this.#bucketOf(endpoint, Math.max(leastPerS, limitPerS), now);
		this.#refill(now);
		if (share < leastShare) {
			return {granted: 0, waitMs: noShareWaitMs};
		}

		const granted = Math.min(wanted, Math.floor(bucket.tokens));
		if (granted <= 0) {
			return {granted: 0, waitMs: promiseTurn(bucket, share, now)};
		}

		bucket.tokens -= granted;
		return {granted, waitMs: 0};
	}

	/** Forgets an endpoint whose limit has ended. */
	forget(endpoint: string): void {
		this.#buckets.delete(endpoint);
	}

	#bucketOf(endpoint: string, perS: number, now: number): Bucket {
		let bucket = this.#buckets.get(endpoint);
		if (bucket === undefined) {
			bucket = {
				tokens: 0, refilledAt: now, perS, promisedUntil: Number.NEGATIVE_INFINITY,
			};
			this.#buckets.set(endpoint, bucket);
		}

		if (bucket.perS !== perS) {
			this.#refill(now);
			bucket.perS = perS;
			bucket.promisedUntil = Number.NEGATIVE_INFINITY;
		}

		return bucket;
	}

	/** Shares only shrink between two refills, so the one at the end is the least. */
	#refill(now: number): void {
		const share = this.share(now);
		const most = share < leastShare ? 0 : Math.max(1, mostTokens * share);
		for (const bucket of this.#buckets.values()) {
			const elapsedMs = Math.min(mostRefillMs, now - bucket.refilledAt);
			bucket.tokens = Math.min(most, bucket.tokens + (elapsedMs * share * bucket.perS / millisecondsPerSecond));
			bucket.refilledAt = now;
		}
	}
}

/** Gives each host that gets nothing a turn of its own, so that they do not all come back for the same token. */
function promiseTurn(bucket: Bucket, share: number, now: number): number {
	const tokenMs = millisecondsPerSecond / (share * bucket.perS);
	const next = bucket.promisedUntil > now ? bucket.promisedUntil + tokenMs : now + ((1 - bucket.tokens) * tokenMs);
	bucket.promisedUntil = Math.min(next, now + mostWaitMs);
	return Math.max(1, bucket.promisedUntil - now);
}
