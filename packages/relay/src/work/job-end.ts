import {type Framing} from '@gatehead/host/utils/response-framing';
import {type Code} from '@gatehead/schema/codes';

/** What a stream lacked to continue at another endpoint. */
export type ContinuationBlock = 'route' | 'attempts' | 'runs' | 'content' | 'budget';

/** Outcome of a job, for the log and the metrics. */
export type JobEnd = {
	readonly outcome: 'answered' | 'refused' | 'callerLeft' | 'brokenOff';
	readonly code?: Code;
	readonly endpoint?: string;
	/** Software version of the endpoint that ended a stream. */
	readonly softwareVersion?: string | undefined;
	readonly detail?: string;
	/** Why a stream that broke off did not continue at another endpoint. */
	readonly blockedBy?: ContinuationBlock | undefined;
	/** Longest interval between two events of a stream, in milliseconds. */
	readonly longestGapMs?: number;
	/** How the endpoint marked the end of the response. */
	readonly framing?: Framing;
	/** Events of a stream that were forwarded. */
	readonly events?: number;
	/** Time since the last event of a stream that broke off, in milliseconds. */
	readonly silentMs?: number;
	/** Bytes that followed the last event of a stream. */
	readonly restBytes?: number;
};
