/**
 * Resumes a stream whose owner is gone, if the engine still holds it, after
 * the last event that the caller received. Safety: the stream's id begins with
 * the key, which is authenticated for its caller, so a caller cannot resume
 * another caller's stream; tokens are accepted in sequence only.
 */
import {Failure, toFailure} from '@gatehead/schema/failure';
import {TokenStream} from '../core/token-stream.js';
import {StallTimer} from '../core/stall-timer.js';
import {type IdempotencyKey} from '../core/ticket.js';
import {type ModelRequest} from '../core/model-request.js';
import {type StreamPosition} from './request-reader.js';
import {type FrontParts} from './parts.js';

/** Resumes a stream into a new answer, which fails with `streamGone` if the engine no longer holds the stream. */
export function resumeStream(parts: FrontParts, work: ModelRequest, {id}: IdempotencyKey, position: StreamPosition): TokenStream {
	const abort = new AbortController();
	const answer = new TokenStream(() => {
		abort.abort();
	}, position.lastToken + 1);
	const request = `${id}.${position.runId}`;
	const run = async () => {
		try {
			await readRemainder(parts, work, request, position, answer, abort.signal);
		} catch (error) {
			answer.finish({kind: 'failed', failure: abort.signal.aborted ? new Failure('callerGone') : toFailure(error, 'streamGone')});
		}

		releaseStream(parts, request, position, answer);
	};

	queueMicrotask(() => {
		void run();
	});
	return answer;
}

/** Claims the stream's lease at the cell's keeper, then resumes the stream at the engine with this host as owner. */
async function readRemainder({attempts: {client, leases, findEngine, context}}: FrontParts, work: ModelRequest, request: string, {engine: name, attempt, lastToken}: StreamPosition, answer: TokenStream, signal: AbortSignal): Promise<void> {
	const engine = findEngine(name);
	if (engine === undefined) {
		throw new Failure('streamGone');
	}

	leases.takeOver(work, {request, attempt}, name);
	const watch = new StallTimer(context.clock, context.settings.timing.endpointStallMs, signal);
	try {
		const answered = await client.resume(engine.address, {
			request, attempt, owner: context.self, from: lastToken + 1,
		}, watch.signal);
		if (answered.kind === 'refused') {
			throw new Failure('streamGone');
		}

		context.counters.count('resumed');
		context.timeline.record({
			kind: 'resumed', request, attempt, endpoint: name,
		});
		answer.position = `${name}/${attempt}`;
		for await (const line of answered.result) {
			watch.reset();
			if (line.request !== request || line.attempt !== attempt) {
				continue;
			}

			if (line.kind === 'token') {
				answer.append(line.n, line.text);
			} else if (line.kind === 'end' && line.tokens === answer.tokens.length) {
				answer.finish({kind: 'complete', reason: line.reason});
			}
		}

		answer.finish({kind: 'failed', failure: new Failure('streamGone')});
	} finally {
		watch.stop();
	}
}

/** Releases the lease; first cancels an unfinished stream at its engine. */
function releaseStream({attempts: {canceller, leases, findEngine}}: FrontParts, request: string, {engine: name, attempt}: StreamPosition, answer: TokenStream): void {
	const engine = findEngine(name);
	const lease = {request, attempt};
	const releaseLease = () => {
		leases.release(lease, {tokens: 0, goodput: false});
	};

	if (engine === undefined || answer.end?.kind === 'complete') {
		releaseLease();
		return;
	}

	canceller.cancel({
		engine: name, address: engine.address, request, attempt, onConfirmed: releaseLease,
	});
}
