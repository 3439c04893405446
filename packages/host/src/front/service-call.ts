/**
 * Calls to plain services. Safety: a non-repeatable call is written to one
 * socket at most. A failure reports `ran: no` only if no byte was sent, or if
 * the endpoint says that it refused; otherwise `ran` is `unknown`.
 */
import {type Agent} from 'node:http';
import {type Service} from '@gatehead/schema/bundle';
import {Failure, toFailure} from '@gatehead/schema/failure';
import {shuffle, type Random} from '@gatehead/policy/utils/random';
import {
	CallError, readText, sendCall, sendOnce, type Call as HttpCall,
} from '../core/http-call.js';
import {StallTimer} from '../core/stall-timer.js';
import {type Context} from '../core/context.js';

const maxResponseBytes = 4_000_000;
const retryAfterMs = 1000;
const maxUncertainRetries = 2;
/** Response header with which an endpoint reports that it did not run a call. */
export const ranHeader = 'gatehead-ran';

/** A replica of a plain service. */
export type Replica = Service['replicas'][number];

/** Outcome of a call. */
export type CallOutcome
	= | {readonly kind: 'answer'; readonly status: number; readonly contentType: string; readonly body: string}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** A call to a plain service. */
export type ServiceCall = {
	readonly id: string;
	readonly service: Service;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** Dependencies of a call. */
export type ServiceCallParts = {
	readonly context: Context;
	readonly agent: Agent;
	/** Whether a replica accepts new work; checked again immediately before the write of a non-repeatable call. */
	readonly acceptsWork: (service: string, replica: string) => boolean;
};

/** Returns the replicas that are not leaving in the order to try: those of `hall` first, then all others, each group shuffled. */
export function orderReplicas({replicas}: Service, hall: string, random: Random): Replica[] {
	return shuffle(random, replicas.filter(each => !each.leaving)).toSorted((left, right) => Number(left.hall !== hall) - Number(right.hall !== hall));
}

/** Calls replicas in turn until one responds or the call may not be retried. Never rejects. */
export async function callService(parts: ServiceCallParts, call: ServiceCall): Promise<CallOutcome> {
	const {context} = parts;
	let failure = new Failure('endpointsDown', {retryAfterMs});
	let uncertainFailures = 0;
	for (const replica of orderReplicas(call.service, context.settings.hall, context.random)) {
		if (!parts.acceptsWork(call.service.name, replica.name)) {
			continue;
		}

		const outcome = await callReplica(parts, call, replica);
		if (outcome.kind === 'answer') {
			return outcome;
		}

		failure = outcome.failure;
		if (failure.ran !== 'no') {
			uncertainFailures += 1;
			if (!call.service.repeatable || uncertainFailures > maxUncertainRetries) {
				return outcome;
			}
		}
	}

	return {kind: 'failed', failure};
}

async function callReplica(parts: ServiceCallParts, call: ServiceCall, replica: Replica): Promise<CallOutcome> {
	const {context: {clock, counters, timeline}} = parts;
	const {id, service} = call;
	const watch = new StallTimer(clock, service.timeoutMs, new AbortController().signal);
	counters.count('calls', service.name);
	timeline.record({kind: 'callStarted', request: id, endpoint: replica.name});
	try {
		return await sendToReplica(parts, call, replica, watch.signal);
	} catch (error) {
		return {kind: 'failed', failure: toCallFailure(error)};
	} finally {
		watch.stop();
		timeline.record({kind: 'callEnded', request: id, endpoint: replica.name});
	}
}

async function sendToReplica({agent, acceptsWork}: ServiceCallParts, {id, service, method, path, contentType, body}: ServiceCall, replica: Replica, signal: AbortSignal): Promise<CallOutcome> {
	const httpCall: HttpCall = {
		address: replica.address, method, path, headers: {'content-type': contentType, 'gatehead-request': id}, body, signal,
	};
	const response = service.repeatable ? await sendCall(httpCall, agent) : await sendOnce(httpCall, () => acceptsWork(service.name, replica.name));
	const text = await readText(response, maxResponseBytes);
	if (response.headers[ranHeader] === 'no') {
		return {kind: 'failed', failure: new Failure('endpointRefused', {retryAfterMs})};
	}

	return {
		kind: 'answer', status: response.statusCode ?? 502, contentType: response.headers['content-type'] ?? 'application/octet-stream', body: text,
	};
}

/** Only an error before the first byte was sent proves that the call did not run. */
function toCallFailure(error: unknown): Failure {
	if (error instanceof CallError && !error.mayHaveBeenSent) {
		return new Failure('endpointsDown', {retryAfterMs, cause: error});
	}

	return toFailure(error instanceof CallError ? new Failure('answerLost', {cause: error}) : error, 'answerLost');
}
