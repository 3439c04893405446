/**
 * When a refused caller is asked to come back. Efficiency only.
 */
import {jitter, type Random} from '../utils/random.js';

/** Part by which these times differ, so that callers who were refused together do not return together: a tenth spreads them over a second. */
const spread = 0.1;
/** Part of the time that its caller has left up to which a refusal may ask it to wait: callers heed no more. */
const mostShare = 0.33;

/** Longest time over which callers that wait for the same instant are spread, in milliseconds. */
const mostSpreadMs = 1000;
/** Shortest such time, in milliseconds: `Retry-After` has two decimals. */
const leastComeBackMs = 20;

/** Time after which a caller should come back for an endpoint that takes requests again in `waitMs`, in milliseconds: those refused meanwhile are spread behind that instant. */
export function comeBackBehind(waitMs: number, leftMs: number, random: Random): number {
	const wantedMs = waitMs + (random.next() * Math.min(waitMs, mostSpreadMs));
	return Math.max(leastComeBackMs, Math.min(wantedMs, mostShare * leftMs));
}

/** Time after which a caller should come back, in milliseconds: about the wanted one, and one that the caller heeds. */
export function comeBackAfter(wantedMs: number, leftMs: number, random: Random): number {
	return Math.max(0, Math.min(jitter(random, wantedMs, spread), mostShare * leftMs));
}
