/**
 * Executes model requests, retrying until the response is complete, the caller
 * disconnects, or no attempts are left. Safety: a failure reports "not run"
 * only if no part of the request was written to a socket.
 */
import {Failure, toFailure} from '@gatehead/schema/failure';
import {type TokenStream} from './token-stream.js';
import {Attempt, makeAttemptsSpentFailure, type AttemptOptions} from './attempt.js';
import {isGoodput, type ExecutionState, type ModelRequest} from './model-request.js';

/** Executes one request and writes its tokens to `stream`; `signal` aborts when the caller disconnects. */
export async function dispatch(options: AttemptOptions, modelRequest: ModelRequest, stream: TokenStream, signal: AbortSignal, maxAttempts: number): Promise<void> {
	const state: ExecutionState = {
		attempts: 0, mayHaveBeenSent: false, firstTokenAt: undefined, lastTokenAt: undefined,
	};
	try {
		await tryAttempts(options, modelRequest, state, stream, signal, maxAttempts);
	} catch (error) {
		stream.finish({kind: 'failed', failure: toRequestFailure(error, state, signal)});
	}

	recordOutcome(options, modelRequest, state, stream);
}

async function tryAttempts(options: AttemptOptions, modelRequest: ModelRequest, state: ExecutionState, stream: TokenStream, signal: AbortSignal, maxAttempts: number): Promise<void> {
	while (state.attempts < maxAttempts) {
		state.attempts += 1;
		options.context.counters.count('attempts');
		const outcome = await new Attempt(options, modelRequest, state, stream, signal).execute();
		if (outcome === 'complete') {
			return;
		}

		if (signal.aborted) {
			throw new Failure('callerGone');
		}
	}

	throw makeAttemptsSpentFailure(state);
}

/** Converts an error to the request's failure: once the request may have been sent, "not run" becomes "unknown". */
function toRequestFailure(error: unknown, state: ExecutionState, signal: AbortSignal): Failure {
	if (signal.aborted) {
		return new Failure('callerGone', {ran: state.mayHaveBeenSent ? 'unknown' : 'no'});
	}

	const failure = toFailure(error);
	if (failure.ran !== 'no' || !state.mayHaveBeenSent) {
		return failure;
	}

	return new Failure(failure.code, {
		detail: failure.detail, retryAfterMs: failure.retryAfterMs, ran: 'unknown', cause: error,
	});
}

function recordOutcome({context: {counters, timeline}}: AttemptOptions, modelRequest: ModelRequest, state: ExecutionState, stream: TokenStream): void {
	const {end} = stream;
	const {caller: {name: caller}, id: request} = modelRequest;
	if (end?.kind === 'failed') {
		const {code, ran} = end.failure;
		counters.count(code === 'callerGone' ? 'cancelled' : 'refused', code);
		if (ran === 'unknown') {
			counters.count('unknown', caller);
		}

		timeline.record({
			kind: 'requestRefused', request, caller, detail: code,
		});
		return;
	}

	const tokens = stream.tokens.length;
	counters.count(isGoodput(modelRequest, state, tokens) ? 'goodputMet' : 'goodputMissed', caller);
	counters.time('ttft', (state.firstTokenAt ?? 0) - modelRequest.arrivedAt);
	if (tokens > 1) {
		counters.time('token', ((state.lastTokenAt ?? 0) - (state.firstTokenAt ?? 0)) / (tokens - 1));
	}

	timeline.record({kind: 'requestEnded', request, caller});
}
