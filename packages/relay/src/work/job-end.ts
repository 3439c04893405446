/** How a job ended, as its way of work tells the front. Neither safety nor efficiency rests here: it goes into the log and the figures. */
import {type Code} from '@gatehead/schema/codes';

/** How a job ended, for the log. */
export type JobEnd = {
	readonly outcome: 'answered' | 'refused' | 'callerLeft' | 'brokenOff';
	readonly code?: Code;
	readonly endpoint?: string;
	readonly detail?: string;
	/** Longest pause between two events of a stream, in milliseconds. */
	readonly longestGapMs?: number;
};
