/**
 * The ends of a generation that has no whole answer. Safety: a stream that
 * has begun is broken off, so that it never looks whole; before that the
 * caller is refused, and `Reply` sees to it that the refusal is true.
 */
import {type Code} from '@gatehead/schema/codes';
import {type Endpoint} from '@gatehead/schema/routing';
import {type Job} from './job.js';
import {type JobEnd} from './job-end.js';

/** When a caller may come back after a failure on the way, in milliseconds: the endpoint is set aside by then. */
export const comeBackMs = 800;

/** What a refused caller is told. */
export type Refusal = {
	readonly code: Code;
	readonly retryAfterMs: number;
	readonly detail: string;
};

/** Refuses a request; the code that goes out may be another one than was wanted. */
export function refuseJob({reply, mayHaveRun, route}: Job, {code: wanted, retryAfterMs, detail}: Refusal, endpoint?: Endpoint): JobEnd {
	const code = reply.refuse(wanted, {
		retryAfterMs, mayHaveRun, isRepeatable: route.isResumable, detail,
	});
	return {
		outcome: 'refused', code, endpoint: endpoint?.id, detail,
	};
}

/** The caller left or time is up. */
export function stopJob(job: Job, endpoint?: Endpoint): JobEnd {
	if (job.signal.reason === 'callerLeft') {
		return {outcome: 'callerLeft', endpoint: endpoint?.id};
	}

	return refuseJob(job, {code: job.mayHaveRun ? 'timeoutSpent' : 'overloaded', retryAfterMs: comeBackMs, detail: 'time is up'}, endpoint);
}

/** The replica's run is lost and may not be had elsewhere. */
export function loseJob(job: Job, endpoint: Endpoint, reason: string): JobEnd {
	if (job.reply.hasBegun) {
		job.reply.breakOff();
		return {
			outcome: 'brokenOff', code: 'streamBroken', endpoint: endpoint.id, detail: reason,
		};
	}

	return refuseJob(job, {code: 'answerLost', retryAfterMs: comeBackMs, detail: reason}, endpoint);
}
