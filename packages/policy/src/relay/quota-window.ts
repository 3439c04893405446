/**
 * Sliding window of a workspace's quota, kept by its coordinator (`keeper` in
 * messages). Hosts request grants for waiting and expected requests. When the
 * quota is used up, each host gets its own retry time, which bounds the
 * requests to the coordinator. Unlike a token bucket, a window allows the
 * burst once per window.
 * Safety: the quota's bound relies on grants expiring soon, and on a
 * coordinator counting all but the burst as used for the time for which it did
 * not hold its share, since others may have granted it.
 */
import {type Quota} from '@gatehead/schema/routing';
import {type QuotaLevel} from '@gatehead/schema/relay-message';

/** Fraction of the allowed excess that is granted, since hosts leave part of their grants unused. The rest covers grants used in the next window, changes of coordinator, and partitions. */
const grantedExcessFraction = 0.6;
/** Fraction of the allowance that is granted: it absorbs coinciding requests of a small workspace. */
const grantedAllowanceFraction = 0.6;
/** Fraction of the capacity that is reserved for other hosts when a host requests more than it needs immediately. */
const reservedFraction = 0.25;
/** Maximum fraction of the remaining quota that a host gets for expected requests when little is left. */
const maxScarceFraction = 0.1;
/** Minimum share of the quota at which a request above the capacity of a whole window is admitted, so that several coordinators with small shares do not all admit one. */
const minOversizedShare = 0.5;
/** Bounds of the retry time of a host that got nothing, in milliseconds. With 100 hosts the upper one allows 50 requests a second. */
const minRetryMs = 250;
const maxRetryMs = 2000;
/** Time for which a new coordinator accepts hosts' reports about its predecessor, in milliseconds: active hosts send a request within a grant's lifetime. */
const recoveryMs = 3000;
/** Buckets per window: a grant counts for at most one bucket too long. */
const bucketCount = 16;
const millisecondsPerSecond = 1000;

/** Tolerated excess over the limit: a fraction of it, a fixed amount in the quota's unit, and the window over which both apply, in milliseconds. */
export type QuotaTolerance = {
	readonly quotaExcess: number;
	readonly quotaAllowance: number;
	readonly quotaWindowMs: number;
};

/** A host's request for a grant, in the quota's unit. */
export type QuotaRequest = {
	/** Amount for waiting requests. */
	readonly least: number;
	/** Amount for waiting and expected requests. */
	readonly wanted: number;
	/** The last level that the host received, possibly from another coordinator. */
	readonly heard?: QuotaLevel | undefined;
};

/** Answer to a host's request. */
export type QuotaGrant = {
	readonly granted: number;
	/** Time until the host should retry, in milliseconds; 0 if something was granted. */
	readonly waitMs: number;
	/** Remaining quota. */
	readonly level: number;
	/** Identifier of the coordinator, unique per process. */
	readonly keeper: string;
};

type Bucket = {
	readonly index: number;
	used: number;
};

type Holding = {
	readonly share: number;
	readonly from: number;
};

/** One workspace's sliding window; times are in milliseconds. */
export class QuotaWindow {
	readonly #coordinator: string;
	readonly #tolerance: QuotaTolerance;
	readonly #startedAt: number;
	#quota: Quota;
	/** Fraction of the quota that this coordinator may grant, from 0 to 1. */
	#share: number;
	/** Earlier and current shares, and when it got them. */
	#holdings: Holding[];
	#buckets: Bucket[] = [];
	/** Time until which freed quota is reserved for hosts with an assigned retry time. */
	#reservedUntil = Number.NEGATIVE_INFINITY;

	/** `since` is the time from which no other host granted this quota. */
	constructor(keeper: string, quota: Quota, tolerance: QuotaTolerance, share: number, since: number) {
		this.#coordinator = keeper;
		this.#tolerance = tolerance;
		this.#quota = quota;
		this.#share = share;
		this.#startedAt = since;
		this.#holdings = [{share, from: since}];
		this.#addEvenly(this.#capacity - (share * quota.burst), since);
	}

	/** Updates the quota and this coordinator's share. After a reduction, earlier use counts at most at the new rate. */
	adjust(quota: Quota, share: number, now: number): void {
		const isLower = quota.ratePerS < this.#quota.ratePerS || quota.burst < this.#quota.burst;
		this.#quota = quota;
		if (share !== this.#share) {
			this.#changeShare(share, now);
		}

		if (isLower) {
			this.#capUse(now);
		}
	}

	/** Grants as much of a request as possible, or assigns a retry time. */
	grant({least, wanted, heard}: QuotaRequest, now: number): QuotaGrant {
		this.#recover(heard, now);
		const granted = this.#computeGrant(least, wanted, now);
		this.#bucketAt(now).used += granted;
		return {
			granted, waitMs: granted > 0 ? 0 : this.#assignRetry(least, now), level: this.#level(now), keeper: this.#coordinator,
		};
	}

	get #bucketMs(): number {
		return this.#tolerance.quotaWindowMs / bucketCount;
	}

	/** Amount that this coordinator may grant per window. */
	get #capacity(): number {
		const {quotaExcess, quotaAllowance, quotaWindowMs} = this.#tolerance;
		const limit = (this.#quota.ratePerS * quotaWindowMs / millisecondsPerSecond) + this.#quota.burst;
		return this.#share * ((limit * (1 + (grantedExcessFraction * quotaExcess))) + (grantedAllowanceFraction * quotaAllowance));
	}

	#level(now: number): number {
		this.#dropExpired(now);
		return this.#capacity - this.#buckets.reduce((sum, {used}) => sum + used, 0);
	}

	/** Changes the share. What is added to it counts as used, but for the burst, for the time in which this coordinator did not hold it. */
	#changeShare(share: number, now: number): void {
		const {quotaWindowMs} = this.#tolerance;
		let othersShare = 0;
		let until = now;
		for (const {share: held, from} of this.#holdings.toReversed()) {
			const heldMs = Math.max(0, until - Math.max(from, now - quotaWindowMs));
			othersShare += Math.max(0, share - Math.max(held, this.#share)) * heldMs / quotaWindowMs;
			until = Math.min(until, from);
		}

		const unheldMs = Math.max(0, until - (now - quotaWindowMs));
		othersShare += Math.max(0, share - this.#share) * unheldMs / quotaWindowMs;
		this.#share = share;
		this.#holdings = [...this.#holdings.filter(({from}, index, all) => (all[index + 1]?.from ?? now) > now - quotaWindowMs), {share, from: now}];
		if (share > 0) {
			this.#addEvenly(othersShare / share * (this.#capacity - (share * this.#quota.burst)), now);
		}
	}

	/** Adds use to each bucket of the window that ends now. */
	#addEvenly(amount: number, now: number): void {
		this.#dropExpired(now);
		const last = this.#indexAt(now);
		const used = new Map(this.#buckets.map(bucket => [bucket.index, bucket.used]));
		this.#buckets = Array.from({length: bucketCount}, (_, offset) => {
			const index = last - bucketCount + 1 + offset;
			return {index, used: (used.get(index) ?? 0) + (amount / bucketCount)};
		});
	}

	/** Caps each bucket at the quota's rate. */
	#capUse(now: number): void {
		const most = this.#share * this.#quota.ratePerS * this.#bucketMs / millisecondsPerSecond;
		this.#dropExpired(now);
		for (const bucket of this.#buckets) {
			bucket.used = Math.min(bucket.used, most);
		}
	}

	/** Recovers the predecessor's grants from the levels that its hosts report. */
	#recover(heard: QuotaLevel | undefined, now: number): void {
		const {quotaWindowMs} = this.#tolerance;
		if (heard === undefined || heard.keeper === this.#coordinator || now - this.#startedAt >= recoveryMs || heard.ageMs >= quotaWindowMs) {
			return;
		}

		// Assumes that other hosts took what was freed within their retry time
		const freed = this.#capacity * Math.max(0, heard.ageMs - maxRetryMs) / quotaWindowMs;
		const missing = this.#level(now) - heard.level - freed;
		if (missing > 0) {
			this.#bucketAt(now).used += missing;
		}
	}

	#computeGrant(least: number, wanted: number, now: number): number {
		const level = this.#level(now);
		const capacity = this.#capacity;
		if (wanted > least && level - wanted >= reservedFraction * capacity) {
			return wanted;
		}

		if (level >= least) {
			return Math.max(least, Math.min(wanted, maxScarceFraction * level));
		}

		// Admits a request above the capacity only when the window is nearly clear
		return least > capacity && level >= reservedFraction * capacity && this.#share >= minOversizedShare ? least : 0;
	}

	#assignRetry(least: number, now: number): number {
		const from = Math.max(this.#reservedUntil, now);
		const missing = this.#reservedUntil > now ? least : Math.max(0, least - this.#level(now));
		const freedPerMs = Math.max(Number.EPSILON, this.#capacity / this.#tolerance.quotaWindowMs);
		const until = from + (missing / freedPerMs);
		this.#reservedUntil = Math.min(until, now + maxRetryMs);
		return Math.min(maxRetryMs, Math.max(minRetryMs, until - now));
	}

	#indexAt(now: number): number {
		return Math.floor(now / this.#bucketMs);
	}

	#bucketAt(now: number): Bucket {
		const index = this.#indexAt(now);
		const last = this.#buckets.at(-1);
		if (last !== undefined && last.index >= index) {
			return last;
		}

		const bucket = {index, used: 0};
		this.#buckets.push(bucket);
		return bucket;
	}

	#dropExpired(now: number): void {
		const first = this.#indexAt(now - this.#tolerance.quotaWindowMs);
		this.#buckets = this.#buckets.filter(({index}) => index >= first);
	}
}
