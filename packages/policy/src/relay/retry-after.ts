/** Computes the `Retry-After` time of a rejection. */
import {jitter, type Random} from '../utils/random.js';

/** Jitter, as a fraction of the time, so that callers that were rejected together do not retry together. */
const jitterFraction = 0.1;
/** Maximum time, as a fraction of the caller's remaining time; callers ignore longer ones. */
const maxRemainingFraction = 0.33;

/** Maximum time over which callers waiting for the same instant are spread, in milliseconds. */
const maxSpreadMs = 1000;
/** Minimum time, in milliseconds: `Retry-After` is sent with two decimals. */
const minRetryMs = 20;

/** Returns when to retry an endpoint that accepts requests again in `waitMs`, in milliseconds; retries are spread after that instant. */
export function retryAfterWait(waitMs: number, leftMs: number, random: Random): number {
	const wantedMs = waitMs + (random.next() * Math.min(waitMs, maxSpreadMs));
	return Math.max(minRetryMs, Math.min(wantedMs, maxRemainingFraction * leftMs));
}

/** Returns when a caller should retry, in milliseconds: `wantedMs` with jitter, limited by the caller's remaining time `leftMs`. */
export function retryAfter(wantedMs: number, leftMs: number, random: Random): number {
	return Math.max(0, Math.min(jitter(random, wantedMs, jitterFraction), maxRemainingFraction * leftMs));
}
