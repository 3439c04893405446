/**
 * Graceful shutdown of a host. Safety: no request is interrupted that ends
 * within the grace period, since the host accepts requests until every lookup
 * response that may list it has expired, then refuses new ones as "not run",
 * and waits for those in flight.
 */
import {maxTimeToLive} from '@gatehead/policy/core/lookup';
import {planStop} from '@gatehead/policy/relay/stop-schedule';
import {toFailure} from '@gatehead/schema/failure';
import {readUnreadRequests} from '../utils/unread-requests.js';
import {type Context} from './context.js';

const pollMs = 50;
/** Longest time for reading what has arrived at once, in milliseconds: callers that go on sending must not hold up the stop. */
const maxReadMs = 150;
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
	/** Ends the requests that are still in flight when the time for them is over. */
	readonly rejectOpen: () => void;
};

async function pause({clock}: Context, milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.after(milliseconds, resolve);
	});
}

/** Announces the stop. A fault must not end it, with the requests in flight. */
function announce({context, announceLeaving}: ShutdownOptions): void {
	try {
		announceLeaving();
	} catch (error) {
		context.log('internal', {detail: toFailure(error).message});
	}
}

/** Waits until nothing is in flight, until `endsAt` at the latest, and reads what has arrived until then. */
async function waitForInFlight({context, countArrivals, countInFlight}: ShutdownOptions, endsAt: number): Promise<void> {
	const {clock} = context;
	const mustWait = () => countInFlight() > 0 && clock.now() < endsAt;
	do {
		while (mustWait()) {
			await pause(context, Math.min(pollMs, endsAt - clock.now()));
		}

		const readsUntil = clock.now() + maxReadMs;
		await readUnreadRequests(countArrivals, () => clock.now() < readsUntil);
	} while (mustWait());
}

/** Shuts down gracefully; resolves once nothing is in flight, or shortly before the end of the grace period. */
export async function shutDownGracefully(options: ShutdownOptions): Promise<void> {
	const {context, lookupTtlMs, refuseNewRequests, rejectOpen} = options;
	const {clock, settings: {timing: {graceMs, tickMs}}} = context;
	const startedAt = clock.now();
	const {breaksOffAt, closesAt} = planStop({seenAt: startedAt, sentAt: startedAt}, graceMs);
	context.log('stopping');
	context.timeline.record({kind: 'stopping'});
	announce(options);
	await pause(context, Math.min(maxTimeToLive(lookupTtlMs()) + (propagationTicks * tickMs), graceMs / 2));
	refuseNewRequests();
	await waitForInFlight(options, breaksOffAt);
	rejectOpen();
	await waitForInFlight(options, closesAt);
}
