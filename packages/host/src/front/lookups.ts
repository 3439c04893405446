/**
 * `GET /v1/hosts`: the hosts that a caller should use, with a time to live and a ticket for each.
 * Safety: a ticket names an incarnation that its host itself announced. The choice of hosts affects efficiency only.
 */
import {type HostsResponse} from '@gatehead/schema/caller-protocol';
import {timeToLive} from '@gatehead/policy/core/lookup';
import {signTicket} from '../core/ticket.js';
import {type Call, type FrontParts} from './parts.js';
import {sendJson} from './reply.js';

/** Lifetime of a ticket as a multiple of the lookup's, so that late retries still reach their owner. */
const ticketTtlFactor = 10;

/** Handles a host lookup. */
export function handleLookup({context, fleet}: FrontParts, {request, response, url, caller, inForce: {bundle: {rules}}}: Call): void {
	const {settings: {keys}, random, wall, counters} = context;
	const ttlMs = timeToLive(rules.lookupTtlMs, random);
	const expires = Math.floor(wall()) + (rules.lookupTtlMs * ticketTtlFactor);
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
	const answer: HostsResponse = {ttlMs, hosts};
	sendJson(response, 200, answer);
}
