/**
 * A workspace's quota at the host that deals it out: what was dealt in the
 * last window, against what may be. Hosts take parts, for a request that
 * waits and for those that they expect in the next moment; where nothing is
 * left, each is told a turn of its own, so that a workspace at seven times
 * its usual brings the keeper a bounded number of questions. A window serves
 * more than a token bucket of the same rate and burst, whose burst is there
 * once and not once a window: of one workspace at twice its rate a bucket
 * refuses half, a window a third. Safety of the bound: a part lapses soon,
 * and a keeper that begins takes all but the burst of the window before for used.
 */
import {type Quota} from '@gatehead/schema/routing';
import {type QuotaLevel} from '@gatehead/schema/relay-message';

/** Part of the allowed excess that is dealt out: hosts' parts are partly left unused, and what is refused within the limit is lost to its callers. The rest covers parts that are used in the next window, keepers that change, and splits. */
const dealtExcess = 0.6;
/** Part of the allowance that is dealt out: it lets a small workspace through whose requests come by chance together. */
const dealtAllowance = 0.6;
/** Part of what may be dealt out that is kept for others when one host asks for more than it needs at once. */
const keptShare = 0.25;
/** Largest part of what is left that one host gets for requests which it only expects, where little is left. */
const scarceShare = 0.1;
/** Least share of a quota at which a request larger than a whole window's is let in: many hosts that deal out a small part each must not all do so. */
const leastOverdrawnShare = 0.5;
/** Shortest and longest time after which a host that got nothing asks again, in milliseconds: at 100 hosts the longest brings 50 questions a second, a twentieth of a core. */
const leastWaitMs = 250;
const mostWaitMs = 2000;
/** Time for which a keeper that has begun takes over what hosts heard of its predecessor, in milliseconds: hosts with work ask within a part's life. */
const learnMs = 3000;
/** Steps that a window is counted in: what was dealt counts for a sixteenth of it too long at most. */
const steps = 16;
const millisecondsPerSecond = 1000;

/** What operators allow beyond the limit: a part of it, an amount in the quota's unit, and the window in which both are judged. */
export type QuotaTolerance = {
	readonly quotaExcess: number;
	readonly quotaAllowance: number;
	readonly quotaWindowMs: number;
};

/** What a host asks for, in the quota's unit. */
export type QuotaWish = {
	/** For requests that wait. */
	readonly least: number;
	/** With those that are expected. */
	readonly wanted: number;
	/** What it last heard of the level. */
	readonly heard?: QuotaLevel | undefined;
};

/** What a host gets. */
export type QuotaGrant = {
	readonly granted: number;
	/** Time until the next question makes sense, where nothing was granted. */
	readonly waitMs: number;
	readonly level: number;
	/** Who deals the quota out, unlike any other and unlike itself after a restart. */
	readonly keeper: string;
};

type Step = {
	readonly index: number;
	used: number;
};

/** One workspace's window. */
export class QuotaWindow {
	readonly #keeper: string;
	readonly #tolerance: QuotaTolerance;
	readonly #begunAt: number;
	#quota: Quota;
	/** Part of the quota that this keeper deals out, from 0 to 1. */
	#share: number;
	#steps: Step[] = [];
	/** Until when what comes free is promised to hosts that were told to come back. */
	#promisedUntil = Number.NEGATIVE_INFINITY;

	/** `since`: from when on nobody else dealt this quota out. */
	constructor(keeper: string, quota: Quota, tolerance: QuotaTolerance, share: number, since: number) {
		this.#keeper = keeper;
		this.#tolerance = tolerance;
		this.#quota = quota;
		this.#share = share;
		this.#begunAt = since;
		const spare = this.#level(since) - (share * quota.burst);
		this.#steps = Array.from({length: steps}, (_, index) => ({index: this.#indexAt(since) - steps + 1 + index, used: spare / steps}));
	}

	/** Takes over a quota and the part of it that is dealt out here. What was used under a higher limit does not count against a lower one beyond that one's rate. */
	adjust(quota: Quota, share: number, now: number): void {
		const isLower = quota.ratePerS < this.#quota.ratePerS || quota.burst < this.#quota.burst;
		this.#quota = quota;
		this.#share = share;
		if (isLower) {
			this.#cutUsed(now);
		}
	}

	/** Answers a host. */
	take({least, wanted, heard}: QuotaWish, now: number): QuotaGrant {
		this.#learn(heard, now);
		const granted = this.#fit(least, wanted, now);
		this.#stepAt(now).used += granted;
		return {
			granted, waitMs: granted > 0 ? 0 : this.#promise(least, now), level: this.#level(now), keeper: this.#keeper,
		};
	}

	get #stepMs(): number {
		return this.#tolerance.quotaWindowMs / steps;
	}

	/** What one window may bring in all. */
	get #capacity(): number {
		const {quotaExcess, quotaAllowance, quotaWindowMs} = this.#tolerance;
		const limit = (this.#quota.ratePerS * quotaWindowMs / millisecondsPerSecond) + this.#quota.burst;
		return this.#share * ((limit * (1 + (dealtExcess * quotaExcess))) + (dealtAllowance * quotaAllowance));
	}

	#level(now: number): number {
		this.#forget(now);
		return this.#capacity - this.#steps.reduce((sum, {used}) => sum + used, 0);
	}

	/** What was used before counts as use at the quota's rate at most. */
	#cutUsed(now: number): void {
		const most = this.#share * this.#quota.ratePerS * this.#stepMs / millisecondsPerSecond;
		this.#forget(now);
		for (const step of this.#steps) {
			step.used = Math.min(step.used, most);
		}
	}

	/** A keeper that begins does not know what its predecessor has dealt out: its hosts do. */
	#learn(heard: QuotaLevel | undefined, now: number): void {
		const {quotaWindowMs} = this.#tolerance;
		if (heard === undefined || heard.keeper === this.#keeper || now - this.#begunAt >= learnMs || heard.ageMs >= quotaWindowMs) {
			return;
		}

		// What came free until its hosts asked again, others have taken
		const freed = this.#capacity * Math.max(0, heard.ageMs - mostWaitMs) / quotaWindowMs;
		const lacking = this.#level(now) - heard.level - freed;
		if (lacking > 0) {
			this.#stepAt(now).used += lacking;
		}
	}

	#fit(least: number, wanted: number, now: number): number {
		const level = this.#level(now);
		const capacity = this.#capacity;
		if (wanted > least && level - wanted >= keptShare * capacity) {
			return wanted;
		}

		if (level >= least) {
			return Math.max(least, Math.min(wanted, scarceShare * level));
		}

		// A request that is larger than a whole window's goes once the window is clear
		return least > capacity && level >= keptShare * capacity && this.#share >= leastOverdrawnShare ? least : 0;
	}

	#promise(least: number, now: number): number {
		const from = Math.max(this.#promisedUntil, now);
		const lacking = this.#promisedUntil > now ? least : Math.max(0, least - this.#level(now));
		const freedPerMs = Math.max(Number.EPSILON, this.#capacity / this.#tolerance.quotaWindowMs);
		const until = from + (lacking / freedPerMs);
		this.#promisedUntil = Math.min(until, now + mostWaitMs);
		return Math.min(mostWaitMs, Math.max(leastWaitMs, until - now));
	}

	#indexAt(now: number): number {
		return Math.floor(now / this.#stepMs);
	}

	#stepAt(now: number): Step {
		const index = this.#indexAt(now);
		const last = this.#steps.at(-1);
		if (last !== undefined && last.index >= index) {
			return last;
		}

		const step = {index, used: 0};
		this.#steps.push(step);
		return step;
	}

	#forget(now: number): void {
		const first = this.#indexAt(now - this.#tolerance.quotaWindowMs);
		this.#steps = this.#steps.filter(({index}) => index >= first);
	}
}
