/**
 * How long a host may rely on the configuration that it knows. A key that an
 * operator takes away must be refused everywhere within a fixed time, also by
 * a host that hears of nothing; a request that a newer configuration allows
 * must not be called wrong. So a host needs to know an instant at which its
 * configuration was the newest: one at which it asked, and was answered.
 * Safety: a request is let in with a key, or refused for good, only if that
 * instant lies less than the bound before its arrival, which is never earlier
 * than its sending.
 */

/** Time taken off the bound, in milliseconds, so that rounding and a timer's lateness do not count against it. */
const marginMs = 100;
/** Part of a bound after which a host asks again: the rest is left for questions that fail, one after the other. */
const renewShare = 0.55;
/** Oldest answer that a peer gives without asking the directory first, as a part of the shorter bound: below the part above, so that an answer is of use for a while. */
const givenShare = 0.4;
/** Age from which a peer that was asked asks the directory beside its answer, as a part of the bound. */
const refreshShare = 0.28;

/** What operators promise, in milliseconds. */
export type EvidenceBounds = {
	/** Time after which a key that was taken away is refused everywhere; undefined: no such promise. */
	readonly revocationMs?: number | undefined;
	/** Time within which a published configuration is in force. */
	readonly applyMs: number;
};

/** The ages that follow from the bounds, in milliseconds; infinite what only matters where keys have a bound. */
export type EvidenceAges = {
	/** Beyond it no request with a key is let in. */
	readonly mostMs: number;
	/** From here on a host with work for keys asks again. */
	readonly renewMs: number;
	/** Beyond it no request is refused for good: a configuration that allows it may be in force. */
	readonly refusalMs: number;
	/** Oldest answer that a peer gives at once. */
	readonly givenMs: number;
	/** From here on a peer that gives an answer asks the directory beside. */
	readonly refreshMs: number;
};

/** Works out the ages for the bounds. */
export function agesFor({revocationMs, applyMs}: EvidenceBounds): EvidenceAges {
	const keyMs = revocationMs ?? Number.POSITIVE_INFINITY;
	return {
		mostMs: Math.max(0, keyMs - marginMs),
		renewMs: renewShare * keyMs,
		refusalMs: renewShare * applyMs,
		givenMs: givenShare * Math.min(keyMs, applyMs),
		refreshMs: refreshShare * (revocationMs ?? applyMs),
	};
}
