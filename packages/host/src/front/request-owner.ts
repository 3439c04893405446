/**
 * Finds the host incarnation that owns a keyed request. Safety: only the
 * incarnation named by the ticket runs the request; other hosts forward it or
 * fail with `ran: unknown`. The owner's membership state affects routing only.
 */
import {fail} from '@gatehead/schema/failure';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type LedgerCall, type LedgerEntry} from '@gatehead/policy/core/ledger';
import {type IdempotencyKey} from '../core/ticket.js';
import {type FrontParts, type Job} from './parts.js';

/** Owner of a keyed request, relative to this host; `replaced`: the owner has restarted. */
export type RequestOwner
	= | {readonly kind: 'local'}
		| {readonly kind: 'remote'; readonly member: MemberRecord}
		| {readonly kind: 'replaced'}
		| {readonly kind: 'unreachable'};

/** Finds the owner of a keyed request. */
export function findRequestOwner({context: {self}, fleet}: FrontParts, {ticket}: IdempotencyKey): RequestOwner {
	if (ticket.host === self.host) {
		return ticket.incarnation === self.incarnation ? {kind: 'local'} : {kind: 'replaced'};
	}

	const member = fleet.list().find(each => each.host === ticket.host);
	if (member === undefined) {
		return {kind: 'unreachable'};
	}

	if (member.incarnation > ticket.incarnation) {
		return {kind: 'replaced'};
	}

	return member.state === 'dead' ? {kind: 'unreachable'} : {kind: 'remote', member};
}

/** Throws `ownerReplaced` or `ownerUnreachable`. */
export function failUnavailableOwner(owner: Extract<RequestOwner, {kind: 'replaced' | 'unreachable'}>): never {
	return fail(owner.kind === 'replaced' ? 'ownerReplaced' : 'ownerUnreachable');
}

/** Enters a keyed request into the ledger: starts a first call, returns the existing entry for a repeated one. Throws if the ticket has expired, the ledger is full or the body differs, and on a stopping host if the key is new. */
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
