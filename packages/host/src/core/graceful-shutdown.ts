/**
 * Graceful shutdown of a host. Safety: no request is interrupted, since the
 * host accepts requests until every lookup response that may list it has
 * expired, then refuses new ones as "not run", and waits for those in flight.
 */
import {maxTimeToLive} from '@gatehead/policy/core/lookup';
import {readUnreadRequests} from '../utils/unread-requests.js';
import {type Context} from './context.js';

const pollMs = 50;
/** Gossip ticks allowed for all peers to learn that this host is leaving and to omit it from lookups. */
const propagationTicks = 4;

export type ShutdownOptions = {
	readonly context: Context;
	/** Time to live of lookup responses, in milliseconds. */
	readonly lookupTtlMs: () => number;
	readonly announceLeaving: () => void;
	readonly refuseNewRequests: () => void;
	/** Connections and requests of callers so far. */
	readonly countArrivals: () => number;
	/** Number of requests and cancels to wait for. */
	readonly countInFlight: () => number;
};

async function pause({clock}: Context, milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.after(milliseconds, resolve);
	});
}

/** Shuts down gracefully; resolves once nothing is in flight. */
export async function shutDownGracefully({context, lookupTtlMs, announceLeaving, refuseNewRequests, countArrivals, countInFlight}: ShutdownOptions): Promise<void> {
	context.log('stopping');
	context.timeline.record({kind: 'stopping'});
	announceLeaving();
	await pause(context, maxTimeToLive(lookupTtlMs()) + (propagationTicks * context.settings.timing.tickMs));
	refuseNewRequests();
	do {
		while (countInFlight() > 0) {
			await pause(context, pollMs);
		}

		await readUnreadRequests(countArrivals);
	} while (countInFlight() > 0);
}
