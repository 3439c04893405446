/** One round of a generation: at most one run, begun and forwarded. */
import {type SendResult} from '../upstream/sender.js';
import {type Via} from './generation-failure.js';
import {type JobEnd} from './job-end.js';
import {type Takeover} from './takeover.js';

/** A response to forward, from an endpoint or from another host. */
export type ForwardableResponse = Pick<Extract<SendResult, {kind: 'answer'}>, 'response' | 'touch' | 'confirmEnd' | 'end'>;

/** One round, which begins at most one run. */
export type Round = {
	/** Ends the round while no run has begun. */
	readonly signal: AbortSignal;
	/** Source of the silent run that this round replaces; undefined: no run is in progress. */
	readonly silent: Via | undefined;
	/** Ends the silent run; called right before another one is written. */
	readonly commit: () => void;
};

/** Outcome of one round. */
export type RoundResult
	= | {readonly kind: 'ended'; readonly end: JobEnd}
		/** Another round follows. */
		| {readonly kind: 'retry'}
		/** No run has begun, its endpoint rejected it, or it failed and may not be repeated yet; `refuse` ends the job for that. `isDecided`: another round now would end alike. */
		| {readonly kind: 'notBegun'; readonly refuse: () => JobEnd; readonly isDecided?: boolean};

/** A run whose request has been written. */
export type ActiveRun = {
	readonly via: Via;
	/** Undefined: nothing can replace this run. */
	readonly takeover: Takeover<RoundResult> | undefined;
	/** Called when a part of the response arrives. */
	readonly onEvent: () => void;
};
