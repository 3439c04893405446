/**
 * Decides whether a host may send a final refusal, which tells a caller not
 * to retry. A refusal that depends on the configuration is correct only if no
 * newer configuration is in force. Safety: a final refusal requires that the
 * configuration was confirmed as current, by a response to this host's own
 * query, recently enough before the request arrived.
 */
import {type Code} from '@gatehead/schema/codes';

/** `final`: the caller does not retry; `retryable`: the caller is asked to retry, so that a wrong refusal costs it only time. */
type Permanence = 'final' | 'retryable';

/** Codes of refusals that depend on the configuration. Limits on size, headers and methods are host settings and are not listed. */
const permanences: ReadonlyMap<Code, Permanence> = new Map<Code, Permanence>([
	['routeUnknown', 'final'],
	['serviceUnknown', 'final'],
	['callerUnknown', 'final'],
	['keysOutdated', 'retryable'],
	['refusalUnproven', 'retryable'],
	['quotaSpent', 'retryable'],
	['notReady', 'retryable'],
]);

/** State of a host's configuration when it refuses a request. */
export type RefusalEvidence = {
	/** When the request arrived, in milliseconds of the host's clock. */
	readonly arrivedAt: number;
	/** Last instant at which the configuration is known to have been the newest; `-Infinity` if there is none. */
	readonly confirmedAt: number;
	/** A newer configuration exists that this host cannot read. */
	readonly isBehind: boolean;
	/** Longest time from the confirmation to the arrival, in milliseconds. */
	readonly maxAgeMs: number;
};

/** Whether a refusal with this code depends on the configuration. */
export function isDecidedByConfiguration(code: Code): boolean {
	return permanences.has(code);
}

/** Whether a refusal with this code is final, and so needs a confirmed configuration. */
export function isFinal(code: Code): boolean {
	return permanences.get(code) === 'final';
}

/** Whether a final refusal may be sent. */
export function mayRefuse({arrivedAt, confirmedAt, isBehind, maxAgeMs}: RefusalEvidence): boolean {
	return !isBehind && confirmedAt >= arrivedAt - maxAgeMs;
}
