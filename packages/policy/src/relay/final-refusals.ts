/**
 * Whether a host may say an answer that the configuration decides. One that
 * tells a caller for good that its request is wrong, and need not be sent
 * again, is true only of the configuration that is in force now: it needs
 * evidence that nothing newer is. Without it the host knows only that it does
 * not know. Safety: rests on an instant at which this host asked and was
 * answered, and on nothing that others are thought to do.
 */
import {type Code} from '@gatehead/schema/codes';

/** What a wrong answer costs: `final`: the caller does not ask again; `passing`: it is asked back, here or elsewhere, and loses some time. */
type Weight = 'final' | 'passing';

/** All refusals that another configuration might not bring. What limits of size, header and method say stands in the host's settings. */
const weights: ReadonlyMap<Code, Weight> = new Map<Code, Weight>([
	['routeUnknown', 'final'],
	['serviceUnknown', 'final'],
	['callerUnknown', 'final'],
	['keysOutdated', 'passing'],
	['refusalUnproven', 'passing'],
	['quotaSpent', 'passing'],
	['notReady', 'passing'],
]);

/** What a host knows of its configuration when it refuses a request. */
export type RefusalEvidence = {
	/** When the request arrived, by the host's clock; it was sent no later. */
	readonly arrivedAt: number;
	/** The last instant for which the configuration is known to have been the newest; minus infinity: none. */
	readonly confirmedAt: number;
	/** A newer configuration is known to exist that this host cannot read. */
	readonly isBehind: boolean;
	/** Age beyond which the evidence is of no use, in milliseconds. */
	readonly mostAgeMs: number;
};

/** Whether another configuration might allow what is refused under a code. */
export function isDecidedByConfiguration(code: Code): boolean {
	return weights.has(code);
}

/** Whether a refusal ends a request for good, so that it needs evidence. */
export function isFinal(code: Code): boolean {
	return weights.get(code) === 'final';
}

/** Whether a final refusal may be said. */
export function mayRefuse({arrivedAt, confirmedAt, isBehind, mostAgeMs}: RefusalEvidence): boolean {
	return !isBehind && confirmedAt >= arrivedAt - mostAgeMs;
}
