/**
 * Carries out model requests: attempt after attempt until the answer is
 * whole, the caller is gone, or the attempts are spent. Safety: "not run" is
 * said only while nothing of the request was put on a socket.
 */
import {Failure, toFailure} from '@gatehead/schema/failure';
import {type Answer} from './answer.js';
import {Attempt, attemptsSpent, type AttemptParts} from './attempt.js';
import {isGoodput, type Run, type Work} from './work.js';

/** Carries out one request into `answer`; `signal` aborts when its caller is gone. */
export async function dispatch(parts: AttemptParts, work: Work, answer: Answer, signal: AbortSignal, mostAttempts: number): Promise<void> {
	const run: Run = {
		attempts: 0, hasLeft: false, firstTokenAt: undefined, lastTokenAt: undefined,
	};
	try {
		await tryAttempts(parts, work, run, answer, signal, mostAttempts);
	} catch (error) {
		answer.finish({kind: 'failed', failure: judge(error, run, signal)});
	}

	closeBooks(parts, work, run, answer);
}

async function tryAttempts(parts: AttemptParts, work: Work, run: Run, answer: Answer, signal: AbortSignal, mostAttempts: number): Promise<void> {
	while (run.attempts < mostAttempts) {
		run.attempts += 1;
		parts.context.counters.count('attempts');
		const end = await new Attempt(parts, work, run, answer, signal).carryOut();
		if (end === 'whole') {
			return;
		}

		if (signal.aborted) {
			throw new Failure('callerGone');
		}
	}

	throw attemptsSpent(run);
}

/** The truth about a run that failed: a refusal stands as it is only while nothing has left. */
function judge(error: unknown, run: Run, signal: AbortSignal): Failure {
	if (signal.aborted) {
		return new Failure('callerGone', {ran: run.hasLeft ? 'unknown' : 'no'});
	}

	const failure = toFailure(error);
	if (failure.ran !== 'no' || !run.hasLeft) {
		return failure;
	}

	return new Failure(failure.code, {
		detail: failure.detail, retryAfterMs: failure.retryAfterMs, ran: 'unknown', cause: error,
	});
}

function closeBooks({context: {counters, timeline}}: AttemptParts, work: Work, run: Run, answer: Answer): void {
	const {end} = answer;
	const {caller: {name: caller}, id: request} = work;
	if (end?.kind === 'failed') {
		const {code, ran} = end.failure;
		counters.count(code === 'callerGone' ? 'cancelled' : 'refused', code);
		if (ran === 'unknown') {
			counters.count('unknown', caller);
		}

		timeline.note({
			kind: 'requestRefused', request, caller, detail: code,
		});
		return;
	}

	const tokens = answer.tokens.length;
	counters.count(isGoodput(work, run, tokens) ? 'goodputMet' : 'goodputMissed', caller);
	counters.time('ttft', (run.firstTokenAt ?? 0) - work.arrivedAt);
	if (tokens > 1) {
		counters.time('token', ((run.lastTokenAt ?? 0) - (run.firstTokenAt ?? 0)) / (tokens - 1));
	}

	timeline.note({kind: 'requestEnded', request, caller});
}
