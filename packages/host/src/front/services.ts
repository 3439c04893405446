/**
 * `/services/NAME/…`: plain services. Safety: a non-repeatable call needs a
 * ticket, is run only by the incarnation that the ticket names, and a retry
 * under the same key gets the first call's outcome.
 */
import {Buffer} from 'node:buffer';
import {digestOf} from '@gatehead/schema/canonical-json';
import {callerHeaders, callerPaths} from '@gatehead/schema/caller-protocol';
import {type Service} from '@gatehead/schema/bundle';
import {fail} from '@gatehead/schema/failure';
import {readIdempotencyKey, type IdempotencyKey} from '../core/ticket.js';
import {enterLedger, failUnavailableOwner, findRequestOwner} from './request-owner.js';
import {forwardRequest, isForwarded} from './forward.js';
import {readHeader, readBody} from './request-reader.js';
import {checkUnanswered, waitForTurn} from './response-turn.js';
import {type Call, type FrontParts, type Job} from './parts.js';
import {sendFailure} from './reply.js';
import {
	callService, type CallOutcome, type ServiceCallParts, type ServiceCall,
} from './service-call.js';

function findService({inForce, url}: Call): Service {
	const name = url.pathname.slice(callerPaths.services.length).split('/')[0];
	return inForce.bundle.services.find(each => each.name === name) ?? fail('serviceUnknown');
}

function sendOutcome({response}: Call, outcome: CallOutcome): void {
	if (outcome.kind === 'failed') {
		sendFailure(response, outcome.failure);
		return;
	}

	if (!response.destroyed && !response.headersSent) {
		response.writeHead(outcome.status, {'content-type': outcome.contentType});
		response.end(outcome.body);
	}
}

/** Handles a call to a plain service; errors are thrown as `Failure`. */
export async function handleServiceCall(parts: FrontParts, calls: ServiceCallParts, call: Call, createRequestId: () => string): Promise<void> {
	const service = findService(call);
	const {request, caller, url} = call;
	const body = await readBody(request, parts.context.settings.limits);
	await waitForTurn(call.response);
	checkUnanswered(call.response);
	const header = readHeader(request, callerHeaders.key);
	const key = header === undefined ? undefined : readIdempotencyKey(header, caller.name, parts.context.settings.keys.tickets);
	const serviceCall: ServiceCall = {
		id: key?.id ?? createRequestId(), service, method: request.method ?? 'GET', path: url.pathname.slice(callerPaths.services.length + service.name.length) + url.search || '/', contentType: request.headers['content-type'] ?? 'application/octet-stream', body,
	};
	if (key === undefined) {
		if (!service.repeatable) {
			fail('ticketMissing');
		}

		sendOutcome(call, await callService(calls, serviceCall));
		return;
	}

	const owner = findRequestOwner(parts, key);
	if (owner.kind === 'remote' && !isForwarded(request)) {
		forwardRequest(parts, call, body, owner.member);
		return;
	}

	if (owner.kind !== 'local') {
		failUnavailableOwner(owner.kind === 'remote' ? {kind: 'replaced'} : owner);
	}

	sendOutcome(call, await callOnce(parts, calls, serviceCall, key));
}

/** Runs a keyed call once; repeated calls under the key wait for the same outcome. */
async function callOnce(parts: FrontParts, calls: ServiceCallParts, call: ServiceCall, {id, ticket}: IdempotencyKey): Promise<CallOutcome> {
	const {ledger, context} = parts;
	const {entry: {job}, isRepeat} = enterLedger(parts, {
		id,
		bodyDigest: digestOf(`${call.method} ${call.path}\n${Buffer.from(call.body).toString('base64')}`),
		lapsesAt: context.toMonotonicTime(ticket.expires),
		createJob: (): Job => ({kind: 'call', outcome: callService(calls, call)}),
	});
	if (job.kind !== 'call') {
		return fail('keyReused');
	}

	const outcome = await job.outcome;
	if (isRepeat) {
		return outcome;
	}

	// An outcome of `ran: no` is final too: a delayed duplicate must not run after the caller was told that the call did not
	ledger.end(id);
	if (outcome.kind === 'failed' && outcome.failure.ran === 'unknown') {
		context.counters.count('unknown', call.service.name);
	}

	return outcome;
}
