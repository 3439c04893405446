/**
 * Tickets for at-most-once requests. A ticket names the host incarnation that
 * alone may run requests under it. Safety: tickets are authenticated by an
 * HMAC with keys that all hosts share in their settings.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {fail} from '@gatehead/schema/failure';

const nonceBytes = 9;
const macBytes = 16;
const ticketPattern = /^(?<payload>[\w\-]{1,600})\.(?<mac>[\w\-]{22})$/v;
const namePattern = /^[\w\-]{1,64}$/v;

const ticketPayload = z.strictObject({
	host: z.string(), incarnation: z.number(), caller: z.string(), expires: z.number(), nonce: z.string(),
});

/** Content of a ticket; `expires` is wall-clock time in milliseconds. */
export type Ticket = z.infer<typeof ticketPayload>;

/** Parsed Idempotency-Key header. */
export type IdempotencyKey = {
	readonly ticket: Ticket;
	/** Ledger id of the request: made from the caller, the ticket's nonce and the name that the caller chose. */
	readonly id: string;
};

function computeMac(payload: string, key: string) {
	return createHmac('sha256', Buffer.from(key, 'hex')).update(payload).digest().subarray(0, macBytes);
}

/** Serializes a ticket, authenticated with the first of the shared keys. */
export function signTicket(ticket: Omit<Ticket, 'nonce'>, keys: readonly string[]): string {
	const payload = Buffer.from(JSON.stringify({...ticket, nonce: randomBytes(nonceBytes).toString('base64url')})).toString('base64url');
	return `${payload}.${computeMac(payload, keys[0] ?? '').toString('base64url')}`;
}

function hasValidMac(payload: string, mac: string, keys: readonly string[]): boolean {
	const received = Buffer.from(mac, 'base64url');
	for (const key of keys) {
		const expected = computeMac(payload, key);
		if (received.length === expected.length && timingSafeEqual(received, expected)) {
			return true;
		}
	}

	return false;
}

/** Parses and verifies a ticket; throws `ticketWrong`. Any of the shared keys is accepted, so that keys can be rotated. */
export function readTicket(text: string, caller: string, keys: readonly string[]): Ticket {
	const {payload, mac} = ticketPattern.exec(text)?.groups ?? {};
	if (payload === undefined || mac === undefined || !hasValidMac(payload, mac, keys)) {
		fail('ticketWrong');
	}

	const ticket = ticketPayload.parse(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')));
	if (ticket.caller !== caller) {
		fail('ticketWrong', {detail: 'the ticket was given to another caller'});
	}

	return ticket;
}

/** Parses `TICKET~NAME`; throws `headerInvalid` or `ticketWrong`. */
export function readIdempotencyKey(header: string, caller: string, keys: readonly string[]): IdempotencyKey {
	const tilde = header.lastIndexOf('~');
	const name = header.slice(tilde + 1);
	if (tilde < 0 || !namePattern.test(name)) {
		fail('headerInvalid', {detail: 'Idempotency-Key: TICKET~NAME with a NAME of up to 64 letters, digits, - and _'});
	}

	const ticket = readTicket(header.slice(0, tilde), caller, keys);
	return {ticket, id: `${ticket.caller}:${ticket.nonce}~${name}`};
}
