/**
 * Which incarnation guards a keyed request. Safety: only the incarnation
 * that the ticket names ever runs it; everyone else forwards or says
 * "unknown". Whether that incarnation is thought to be alive changes only
 * where the call is sent.
 */
import {fail} from '@gatehead/schema/failure';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type LedgerCall, type LedgerEntry} from '@gatehead/policy/core/ledger';
import {type IdempotencyKey} from '../core/ticket.js';
import {type FrontParts, type Job} from './parts.js';

/** Where a keyed request belongs. */
export type Custody
	= | {readonly kind: 'here'}
		| {readonly kind: 'elsewhere'; readonly member: MemberRecord}
		| {readonly kind: 'gone'}
		| {readonly kind: 'unreachable'};

/** Finds out where a keyed request belongs. */
export function findCustody({context: {self}, fleet}: FrontParts, {ticket}: IdempotencyKey): Custody {
	if (ticket.host === self.host) {
		return ticket.incarnation === self.incarnation ? {kind: 'here'} : {kind: 'gone'};
	}

	const member = fleet.list().find(each => each.host === ticket.host);
	if (member === undefined) {
		return {kind: 'unreachable'};
	}

	if (member.incarnation > ticket.incarnation) {
		return {kind: 'gone'};
	}

	return member.state === 'dead' ? {kind: 'unreachable'} : {kind: 'elsewhere', member};
}

/** Raises the truth about a request whose guard cannot be asked. */
export function failCustody(custody: Extract<Custody, {kind: 'gone' | 'unreachable'}>): never {
	return fail(custody.kind === 'gone' ? 'ownerReplaced' : 'ownerUnreachable');
}

/** Enters a keyed request into the ledger: a first call begins, a repeated one finds the first. Raises the truth about any other. */
export function enterLedger({ledger, context, isStopping}: FrontParts, call: LedgerCall<Job>): {readonly entry: LedgerEntry<Job>; readonly isRepeat: boolean} {
	if (isStopping() && !ledger.has(call.id)) {
		fail('hostStopping', {retryAfterMs: 0});
	}

	const verdict = ledger.enter(call, context.clock.now());
	switch (verdict.kind) {
		case 'lapsed': {
			return fail('ticketLapsed');
		}

		case 'full': {
			return fail('ledgerFull');
		}

		case 'otherBody': {
			return fail('keyReused');
		}

		case 'repeat': {
			context.counters.count('attached');
			context.timeline.record({kind: 'requestAttached', request: call.id});
			return {entry: verdict.entry, isRepeat: true};
		}

		case 'first': {
			return {entry: verdict.entry, isRepeat: false};
		}
	}
}
