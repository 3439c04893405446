/**
 * Grants permits for rate-limited endpoints from token buckets that fill in
 * proportion to the shares lent by hosts. A permit allows one request, within
 * one second of being requested.
 *
 * Safety: an endpoint with limit L receives at most 5 L + 4 requests in any
 * 4 s. Tokens accrue at L times the shares held, and the shares of all
 * granters add up to at most one (rate-share.ts), which gives 4 L. Permits
 * granted up to a second earlier add L. A granter needs a quarter of all
 * shares, so there are at most four; a single one accumulates at most 2
 * tokens, several accumulate 1 or twice their share each, at most 4 in total.
 * The bound does not depend on failure detection; losing a granter only
 * reduces the rate.
 */
import {shareLifetimeMs} from './rate-share.js';

/** Minimum share to grant permits: bounds the number of granters, and with it the accumulated tokens. */
const minShare = 0.25;
/** Bucket capacity of a granter that holds all shares: absorbs coinciding requests. */
const bucketCapacity = 2;
/** Maximum time that one refill covers, in milliseconds: a granter that was paused does not catch up. */
const maxRefillMs = 1000;
/** Minimum limit, in requests per second: an endpoint that receives nothing could never raise or remove its limit. */
const minLimitPerS = 0.1;
/** Maximum retry time of a host that got nothing, in milliseconds: the limit may have been raised since. */
const maxRetryMs = 1000;
/** Retry time while the granter holds too few shares, in milliseconds. */
const noShareRetryMs = 250;
const millisecondsPerSecond = 1000;

/** Answer to a request for permits. */
export type RateGrant = {
	/** Number of permits. */
	readonly granted: number;
	/** Time until the host should retry, in milliseconds; 0 if permits were granted. */
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
	/** Time until which accruing tokens are reserved for hosts with an assigned retry time. */
	reservedUntil: number;
};

/** Grants permits on one host; times are in milliseconds. */
export class RateGranter {
	/** Shares lent to this granter, by host. */
	readonly #loans = new Map<string, Loan>();
	readonly #buckets = new Map<string, Bucket>();
	/** Send time of each round of requests for shares. */
	readonly #rounds = new Map<number, number>();
	#lastRound = 0;

	/** Starts a round of requests for shares. Returns its number, which the answers repeat. */
	startRound(now: number): number {
		for (const [round, sentAt] of this.#rounds) {
			if (now - sentAt >= shareLifetimeMs) {
				this.#rounds.delete(round);
			}
		}

		this.#lastRound += 1;
		this.#rounds.set(this.#lastRound, now);
		return this.#lastRound;
	}

	/** Records a share lent by a host. Its lifetime starts when the round was sent, before the host lent it, so that it expires here first. */
	addShare(host: string, round: number, share: number, now: number): void {
		const sentAt = this.#rounds.get(round);
		const known = this.#loans.get(host);
		if (sentAt === undefined || (known !== undefined && known.until > sentAt + shareLifetimeMs)) {
			return;
		}

		this.#refill(now);
		this.#loans.set(host, {share, until: sentAt + shareLifetimeMs});
	}

	/** Returns the sum of the unexpired shares, from 0 to 1. */
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

	/** Grants up to `wanted` permits for an endpoint limited to `limitPerS` requests per second. */
	grant(endpoint: string, limitPerS: number, wanted: number, now: number): RateGrant {
		const share = this.share(now);
		const bucket = this.#bucketOf(endpoint, Math.max(minLimitPerS, limitPerS), now);
		this.#refill(now);
		if (share < minShare) {
			return {granted: 0, waitMs: noShareRetryMs};
		}

		const granted = Math.min(wanted, Math.floor(bucket.tokens));
		if (granted <= 0) {
			return {granted: 0, waitMs: assignRetry(bucket, share, now)};
		}

		bucket.tokens -= granted;
		return {granted, waitMs: 0};
	}

	/** Removes the bucket of an endpoint that is no longer limited. */
	forget(endpoint: string): void {
		this.#buckets.delete(endpoint);
	}

	#bucketOf(endpoint: string, perS: number, now: number): Bucket {
		let bucket = this.#buckets.get(endpoint);
		if (bucket === undefined) {
			bucket = {
				tokens: 0, refilledAt: now, perS, reservedUntil: Number.NEGATIVE_INFINITY,
			};
			this.#buckets.set(endpoint, bucket);
		}

		if (bucket.perS !== perS) {
			this.#refill(now);
			bucket.perS = perS;
			bucket.reservedUntil = Number.NEGATIVE_INFINITY;
		}

		return bucket;
	}

	/** Refills all buckets. The current share applies to the whole interval: between refills shares only expire, so it is the minimum. */
	#refill(now: number): void {
		const share = this.share(now);
		const capacity = share < minShare ? 0 : Math.max(1, bucketCapacity * share);
		for (const bucket of this.#buckets.values()) {
			const elapsedMs = Math.min(maxRefillMs, now - bucket.refilledAt);
			bucket.tokens = Math.min(capacity, bucket.tokens + (elapsedMs * share * bucket.perS / millisecondsPerSecond));
			bucket.refilledAt = now;
		}
	}
}

/** Assigns each host that gets nothing its own retry time, so that hosts do not compete for the same token. */
function assignRetry(bucket: Bucket, share: number, now: number): number {
	const tokenMs = millisecondsPerSecond / (share * bucket.perS);
	const next = bucket.reservedUntil > now ? bucket.reservedUntil + tokenMs : now + ((1 - bucket.tokens) * tokenMs);
	bucket.reservedUntil = Math.min(next, now + maxRetryMs);
	return Math.max(1, bucket.reservedUntil - now);
}
