/**
 * Executes model requests, retrying until the response is complete, the caller
 * disconnects, or no attempts are left. Safety: a failure reports "not run"
 * only if no part of the request was written to a socket.
 */
import {Failure, toFailure} from '@gatehead/schema/failure';
import {type Answer} from './answer.js';
import {Attempt, makeAttemptsSpentFailure, type AttemptParts} from './attempt.js';
import {isGoodput, type Run, type Work} from './work.js';

/** Executes one request and writes its tokens to `answer`; `signal` aborts when the caller disconnects. */
export async function dispatch(parts: AttemptParts, modelRequest: Work, answer: Answer, signal: AbortSignal, maxAttempts: number): Promise<void> {
	const state: Run = {
		attempts: 0, hasLeft: false, firstTokenAt: undefined, lastTokenAt: undefined,
	};
	try {
		await tryAttempts(parts, modelRequest, state, answer, signal, maxAttempts);
	} catch (error) {
		answer.finish({kind: 'failed', failure: toRequestFailure(error, state, signal)});
	}

	recordOutcome(parts, modelRequest, state, answer);
}

async function tryAttempts(parts: AttemptParts, modelRequest: Work, state: Run, answer: Answer, signal: AbortSignal, maxAttempts: number): Promise<void> {
	while (state.attempts < maxAttempts) {
		state.attempts += 1;
		parts.context.counters.count('attempts');
		const end = await new Attempt(parts, modelRequest, state, answer, signal).execute();
		if (end === 'whole') {
			return;
		}

		if (signal.aborted) {
			throw new Failure('callerGone');
		}
	}

	throw makeAttemptsSpentFailure(state);
}

/** Converts an error to the request's failure: once the request may have been sent, "not run" becomes "unknown". */
function toRequestFailure(error: unknown, state: Run, signal: AbortSignal): Failure {
	if (signal.aborted) {
		return new Failure('callerGone', {ran: state.hasLeft ? 'unknown' : 'no'});
	}

	const failure = toFailure(error);
	if (failure.ran !== 'no' || !state.hasLeft) {
		return failure;
	}

	return new Failure(failure.code, {
		detail: failure.detail, retryAfterMs: failure.retryAfterMs, ran: 'unknown', cause: error,
	});
}

function recordOutcome({context: {counters, timeline}}: AttemptParts, modelRequest: Work, state: Run, answer: Answer): void {
	const {end} = answer;
	const {caller: {name: caller}, id: request} = modelRequest;
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
	counters.count(isGoodput(modelRequest, state, tokens) ? 'goodputMet' : 'goodputMissed', caller);
	counters.time('ttft', (state.firstTokenAt ?? 0) - modelRequest.arrivedAt);
	if (tokens > 1) {
		counters.time('token', ((state.lastTokenAt ?? 0) - (state.firstTokenAt ?? 0)) / (tokens - 1));
	}

	timeline.note({kind: 'requestEnded', request, caller});
}
