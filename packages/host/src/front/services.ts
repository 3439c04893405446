/**
 * `/services/NAME/…`: plain services beside the engines. Safety: a call that
 * may not be repeated needs a ticket, is run by the ticket's incarnation
 * only, and a second try finds the first.
 */
import {Buffer} from 'node:buffer';
import {digestOf} from '@gatehead/schema/canonical-json';
import {callerHeaders, callerPaths} from '@gatehead/schema/caller-protocol';
import {type Service} from '@gatehead/schema/bundle';
import {fail} from '@gatehead/schema/failure';
import {readIdempotencyKey, type IdempotencyKey} from '../core/ticket.js';
import {enterLedger, failCustody, findCustody} from './custody.js';
import {forward, isForwarded} from './forward.js';
import {headerOf, readBody} from './intake.js';
import {type Call, type FrontParts, type Job} from './parts.js';
import {sendFailure} from './reply.js';
import {
	callService, type CallOutcome, type CallParts, type ServiceCall,
} from './service-call.js';

/** Finds the service that a path names. */
function findService({inForce, url}: Call): Service {
	const name = url.pathname.slice(callerPaths.services.length).split('/')[0];
	return inForce.bundle.services.find(each => each.name === name) ?? fail('serviceUnknown');
}

function sendOutcome({response}: Call, outcome: CallOutcome): void {
	if (outcome.kind === 'failed') {
		sendFailure(response, outcome.failure);
		return;
	}

	if (!response.destroyed) {
		response.writeHead(outcome.status, {'content-type': outcome.contentType});
		response.end(outcome.body);
	}
}

/** Answers a call to a plain service. */
export async function answerService(parts: FrontParts, calls: CallParts, call: Call, makeId: () => string): Promise<void> {
	const service = findService(call);
	const {request, caller, url} = call;
	const body = await readBody(request, parts.context.settings.limits);
	const header = headerOf(request, callerHeaders.key);
	const key = header === undefined ? undefined : readIdempotencyKey(header, caller.name, parts.context.settings.keys.tickets);
	const serviceCall: ServiceCall = {
		id: key?.id ?? makeId(), service, method: request.method ?? 'GET', path: url.pathname.slice(callerPaths.services.length + service.name.length) + url.search || '/', contentType: request.headers['content-type'] ?? 'application/octet-stream', body,
	};
	if (key === undefined) {
		if (!service.repeatable) {
			fail('ticketMissing');
		}

		sendOutcome(call, await callService(calls, serviceCall));
		return;
	}

	const custody = findCustody(parts, key);
	if (custody.kind === 'elsewhere' && !isForwarded(request)) {
		forward(parts, call, body, custody.member);
		return;
	}

	if (custody.kind !== 'here') {
		failCustody(custody.kind === 'elsewhere' ? {kind: 'gone'} : custody);
	}

	sendOutcome(call, await callGuarded(parts, calls, serviceCall, key));
}

/** Runs a keyed call once; later calls under the key wait for the same outcome. */
async function callGuarded(parts: FrontParts, calls: CallParts, call: ServiceCall, {id, ticket}: IdempotencyKey): Promise<CallOutcome> {
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

	// Also "not run" is final for this key: a late copy of the call must not run after its caller was told so
	ledger.end(id);
	if (outcome.kind === 'failed' && outcome.failure.ran === 'unknown') {
		context.counters.count('unknown', call.service.name);
	}

	return outcome;
}
