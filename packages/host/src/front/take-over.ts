/**
 * Takes over a stream whose guard is gone: the engine may still hold it, and
 * the caller says where its copy ends. Safety: the stream's name begins with
 * the key, which is authenticated to the caller, so nobody can take over
 * another caller's stream; tokens are taken by their numbers as ever.
 */
import {Failure, toFailure} from '@gatehead/schema/failure';
import {TokenStream} from '../core/token-stream.js';
import {StallTimer} from '../core/stall-timer.js';
import {type IdempotencyKey} from '../core/ticket.js';
import {type ModelRequest} from '../core/model-request.js';
import {type StreamPosition} from './intake.js';
import {type FrontParts} from './parts.js';

/** Reads the rest of a stream into an answer; it ends with `streamGone` where the engine no longer holds it. */
export function takeOver(parts: FrontParts, work: ModelRequest, {id}: IdempotencyKey, position: StreamPosition): TokenStream {
	const abort = new AbortController();
	const answer = new TokenStream(() => {
		abort.abort();
	}, position.last + 1);
	const request = `${id}.${position.run}`;
	const run = async () => {
		try {
			await readRest(parts, work, request, position, answer, abort.signal);
		} catch (error) {
			answer.finish({kind: 'failed', failure: abort.signal.aborted ? new Failure('callerGone') : toFailure(error, 'streamGone')});
		}

		release(parts, request, position, answer);
	};

	queueMicrotask(() => {
		void run();
	});
	return answer;
}

/** Claims the stream at its cell's keeper, then resumes it at the engine under this host's name. */
async function readRest({attempts: {client, leases, findEngine, context}}: FrontParts, work: ModelRequest, request: string, {engine: name, attempt, last}: StreamPosition, answer: TokenStream, signal: AbortSignal): Promise<void> {
	const engine = findEngine(name);
	if (engine === undefined) {
		throw new Failure('streamGone');
	}

	leases.takeOver(work, {request, attempt}, name);
	const watch = new StallTimer(context.clock, context.settings.timing.endpointStallMs, signal);
	try {
		const answered = await client.resume(engine.address, {
			request, attempt, owner: context.self, from: last + 1,
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

/** Gives the claim back; what may still be held is cancelled first. */
function release({attempts: {canceller, leases, findEngine}}: FrontParts, request: string, {engine: name, attempt}: StreamPosition, answer: TokenStream): void {
	const engine = findEngine(name);
	const lease = {request, attempt};
	const giveBack = () => {
		leases.release(lease, {tokens: 0, goodput: false});
	};

	if (engine === undefined || answer.end?.kind === 'complete') {
		giveBack();
		return;
	}

	canceller.cancel({
		engine: name, address: engine.address, request, attempt, onConfirmed: giveBack,
	});
}
