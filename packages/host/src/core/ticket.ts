/**
 * Tickets: the right to run a request that may not be repeated, given to one
 * incarnation of one host. Safety: authenticated with the keys that the
 * hosts share by settings; only the named incarnation runs anything under it.
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

/** What a ticket says; `expires` is wall time in milliseconds. */
export type Ticket = z.infer<typeof ticketPayload>;

/** A request's key: its ticket and the name that the caller chose under it. */
export type RequestKey = {
	readonly ticket: Ticket;
	/** The request's identity in the ledger. */
	readonly id: string;
};

function macOf(payload: string, key: string) {
	return createHmac('sha256', Buffer.from(key, 'hex')).update(payload).digest().subarray(0, macBytes);
}

/** Writes a ticket, signed with the first of the shared keys. */
export function writeTicket(ticket: Omit<Ticket, 'nonce'>, keys: readonly string[]): string {
	const payload = Buffer.from(JSON.stringify({...ticket, nonce: randomBytes(nonceBytes).toString('base64url')})).toString('base64url');
	return `${payload}.${macOf(payload, keys[0] ?? '').toString('base64url')}`;
}

function isGenuine(payload: string, mac: string, keys: readonly string[]): boolean {
	const given = Buffer.from(mac, 'base64url');
	for (const key of keys) {
		const expected = macOf(payload, key);
		if (given.length === expected.length && timingSafeEqual(given, expected)) {
			return true;
		}
	}

	return false;
}

/** Reads a ticket or raises `ticketWrong`. Any of the shared keys may have signed it, so that keys can be rolled. */
export function readTicket(text: string, caller: string, keys: readonly string[]): Ticket {
	const {payload, mac} = ticketPattern.exec(text)?.groups ?? {};
	if (payload === undefined || mac === undefined || !isGenuine(payload, mac, keys)) {
		fail('ticketWrong');
	}

	const ticket = ticketPayload.parse(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')));
	if (ticket.caller !== caller) {
		fail('ticketWrong', {detail: 'the ticket was given to another caller'});
	}

	return ticket;
}

/** Reads `TICKET~NAME` or raises a numbered error. */
export function readKey(header: string, caller: string, keys: readonly string[]): RequestKey {
	const tilde = header.lastIndexOf('~');
	const name = header.slice(tilde + 1);
	if (tilde < 0 || !namePattern.test(name)) {
		fail('headerInvalid', {detail: 'Idempotency-Key: TICKET~NAME with a NAME of up to 64 letters, digits, - and _'});
	}

	const ticket = readTicket(header.slice(0, tilde), caller, keys);
	return {ticket, id: `${ticket.caller}:${ticket.nonce}~${name}`};
}
