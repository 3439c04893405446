/**
 * How long a host may rely on the keys that it knows. A key that an operator
 * takes away must be refused everywhere within a fixed time, also by a host
 * that hears of nothing. So a host needs to know an instant at which its
 * configuration was the newest: one at which it asked, and was answered.
 * Safety: a request is let in only if that instant lies less than the bound
 * before its arrival, which is never earlier than its sending.
 */

/** Time taken off the bound, in milliseconds, so that rounding and a timer's lateness do not count against it. */
const marginMs = 100;
/** Part of the bound after which a host asks again: the rest is left for questions that fail, one after the other. */
const renewShare = 0.55;
/** Oldest answer that a peer gives without asking the directory first, as a part of the bound: below the part above, so that an answer is of use for a while. */
const givenShare = 0.4;
/** Age from which a peer that was asked asks the directory beside its answer, as a part of the bound. */
const refreshShare = 0.28;

/** The ages that follow from a bound, in milliseconds. */
export type EvidenceAges = {
	/** Beyond it no request with a key is let in. */
	readonly mostMs: number;
	/** From here on the host asks again. An unknown key is refused for good only below it: new keys are promised to be in force everywhere within a somewhat longer time. */
	readonly renewMs: number;
	/** Oldest answer that a peer gives at once. */
	readonly givenMs: number;
	/** From here on a peer that gives an answer asks the directory beside. */
	readonly refreshMs: number;
};

/** Works out the ages for a bound. */
export function agesFor(revocationMs: number): EvidenceAges {
	return {
		mostMs: Math.max(0, revocationMs - marginMs),
		renewMs: renewShare * revocationMs,
		givenMs: givenShare * revocationMs,
		refreshMs: refreshShare * revocationMs,
	};
}
