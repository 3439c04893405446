/**
 * `GET /v1/hosts`: which hosts a caller should use, for how long, with a ticket of each.
 * Safety: a ticket names an incarnation that its host itself announced. Which hosts are named is efficiency only.
 */
import {type HostsAnswer} from '@gatehead/schema/caller-protocol';
import {timeToLive} from '@gatehead/policy/core/lookup';
import {signTicket} from '../core/ticket.js';
import {type Call, type FrontParts} from './parts.js';
import {sendJson} from './reply.js';

/** A ticket outlives the address it came with, so that late retries still find their guard. */
const ticketLives = 10;

/** Answers a lookup. */
export function answerLookup({context, fleet}: FrontParts, {request, response, url, caller, inForce: {bundle: {rules}}}: Call): void {
	const {settings: {keys}, random, wall, counters} = context;
	const ttlMs = timeToLive(rules.lookupTtlMs, random);
	const expires = Math.floor(wall()) + (rules.lookupTtlMs * ticketLives);
	const lookup = {
		caller: caller.name, client: request.socket.remoteAddress ?? '', hall: url.searchParams.get('hall') ?? undefined, keepers: fleet.keepersOf(url.searchParams.get('model') ?? undefined),
	};
	const hosts = fleet.rings().order(lookup).map(({host, incarnation, hall, callerAddress}) => ({
		host,
		address: callerAddress,
		hall,
		ticket: signTicket({
			host, incarnation, caller: caller.name, expires,
		}, keys.tickets),
	}));
	counters.count('lookups');
	const answer: HostsAnswer = {ttlMs, hosts};
	sendJson(response, 200, answer);
}
