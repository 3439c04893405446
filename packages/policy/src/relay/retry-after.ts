/** The time in `Retry-After` of a rejection. Efficiency only. */
import {jitter, type Random} from '../utils/random.js';

/** Jitter, as a part of the time: callers that were rejected together must not retry together. */
const spread = 0.1;
/** Longest such time, as a part of the caller's remaining time: callers honour no more. */
const mostShare = 0.33;

/** Longest time over which callers that wait for the same instant are spread, in milliseconds. */
const mostSpreadMs = 1000;
/** Shortest such time, in milliseconds: `Retry-After` has two decimals. */
const leastRetryMs = 20;

/** Time after which to retry at an endpoint that takes requests again in `waitMs`, in milliseconds: retries are spread behind that instant. */
export function retryAfterWait(waitMs: number, leftMs: number, random: Random): number {
	const wantedMs = waitMs + (random.next() * Math.min(waitMs, mostSpreadMs));
	return Math.max(leastRetryMs, Math.min(wantedMs, mostShare * leftMs));
}

/** Time after which a caller should retry, in milliseconds: about the wanted one, and one that the caller honours. */
export function retryAfter(wantedMs: number, leftMs: number, random: Random): number {
	return Math.max(0, Math.min(jitter(random, wantedMs, spread), mostShare * leftMs));
}
