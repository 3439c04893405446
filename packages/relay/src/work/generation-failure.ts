/**
 * Ends a generation that did not complete. Safety: a reply that has begun is
 * broken off, so that it never looks complete; before that the caller gets an
 * error, and `Reply` makes sure that the error does not promise "not run" for
 * a request that may have run.
 */
import {type Code} from '@gatehead/schema/codes';
import {type Job} from './job.js';
import {type JobEnd} from './job-end.js';

/** Retry-After of a stopping host, in milliseconds: short, as other hosts can serve the retry. */
export const stoppingRetryAfterMs = 50;
/** Default `Retry-After` after a failure, in milliseconds; the failed endpoint is out of rotation by then. */
export const defaultRetryAfterMs = 800;

/** Detail of a job that the end of a planned stop ends. */
export const stopEndedDetail = 'the time of the planned stop is over';

/** Endpoint, or other host, that a request was sent to. */
export type Via = {
	readonly id: string;
	readonly softwareVersion?: string | undefined;
};

/** Error for the caller. */
export type Refusal = {
	readonly code: Code;
	/** Undefined: nothing is to be waited for. */
	readonly retryAfterMs: number | undefined;
	readonly detail: string;
};

/** Refusal of a stream that may not end before this host does. */
export const outlastingStream = {code: 'hostStopping', retryAfterMs: stoppingRetryAfterMs, detail: 'the stream would outlast this host'} as const;

/** Sends an error to the caller, or breaks off a reply that has begun. `Reply` may replace the code by one that holds for a request that may have run. */
export function refuseJob({reply, runs: {mayHaveRun}, route}: Job, {code: wanted, retryAfterMs, detail}: Refusal, via?: Via): JobEnd {
	const isBegun = reply.isPartlySent;
	const code = reply.sendError(wanted, {
		retryAfterMs, mayHaveRun, isRepeatable: route.isResumable, detail,
	});
	return {
		outcome: isBegun ? 'brokenOff' : 'refused', code, endpoint: via?.id, detail,
	};
}

/** Ends a job whose signal fired: the caller disconnected, the deadline passed, or the host's stop ends before the job. */
export function abortJob(job: Job, via?: Via): JobEnd {
	if (job.signal.reason === 'callerLeft') {
		return {outcome: 'callerLeft', endpoint: via?.id};
	}

	if (job.signal.reason === 'hostStopping') {
		return refuseJob(job, {code: 'hostStopping', retryAfterMs: stoppingRetryAfterMs, detail: stopEndedDetail}, via);
	}

	return refuseJob(job, {code: job.runs.mayHaveRun ? 'timeoutSpent' : 'overloaded', retryAfterMs: defaultRetryAfterMs, detail: 'time is up'}, via);
}

/** Ends a job whose run failed at a replica and cannot continue at another. */
export function failJob(job: Job, via: Via, reason: string): JobEnd {
	if (job.reply.isPartlySent) {
		job.reply.destroy();
		return {
			outcome: 'brokenOff', code: 'streamBroken', endpoint: via.id, detail: reason,
		};
	}

	return refuseJob(job, {code: 'answerLost', retryAfterMs: defaultRetryAfterMs, detail: reason}, via);
}
