/**
 * How long a host may rely on its configuration. A revoked key must be refused
 * everywhere within a fixed time, also by a host that is cut off, and a request
 * that a newer configuration allows must not get a final refusal. Each host
 * therefore tracks the last instant at which its configuration was confirmed
 * as the newest. Safety: a request is admitted with a key, or finally refused,
 * only if that instant is less than the bound before the request arrived. No
 * request arrives before it is sent, so the bound also holds for its sending.
 */

/** Safety margin for rounding and late timers, in milliseconds. */
const marginMs = 100;
/** Share of a bound after which a host queries again; the rest leaves time for failed queries. */
const renewShare = 0.55;
/** Largest age of a confirmation that a peer returns without querying the directory, as a share of the shorter bound. Below `renewShare`, so that the answer is usable for a while. */
const peerAnswerShare = 0.4;
/** Age from which a peer queries the directory in the background when it answers, as a share of the bound. */
const refreshShare = 0.28;

/** Bounds that an operator configures, in milliseconds. */
export type EvidenceBounds = {
	/** Time after which a revoked key is refused everywhere; undefined: no bound. */
	readonly revocationMs?: number | undefined;
	/** Time within which a published configuration is in force. */
	readonly applyMs: number;
};

/** Ages of a confirmation that follow from the bounds, in milliseconds; `maxMs` and `renewMs` are infinite without a bound for keys. */
export type EvidenceAges = {
	/** Beyond it no request is admitted with a key. */
	readonly maxMs: number;
	/** From this age a host that checks keys queries again. */
	readonly renewMs: number;
	/** Beyond it no final refusal is sent, since a newer configuration may be in force. */
	readonly refusalMs: number;
	/** Up to this age a peer answers at once. */
	readonly peerAnswerMs: number;
	/** From this age a peer that answers also queries the directory. */
	readonly refreshMs: number;
};

/** Computes the ages for the bounds. */
export function computeAges({revocationMs, applyMs}: EvidenceBounds): EvidenceAges {
	const keyMs = revocationMs ?? Number.POSITIVE_INFINITY;
	return {
		maxMs: Math.max(0, keyMs - marginMs),
		renewMs: renewShare * keyMs,
		refusalMs: renewShare * applyMs,
		peerAnswerMs: peerAnswerShare * Math.min(keyMs, applyMs),
		refreshMs: refreshShare * (revocationMs ?? applyMs),
	};
}
