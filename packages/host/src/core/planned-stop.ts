/**
 * The planned stop of a host. Safety of "a planned stop cuts no request": it
 * goes on accepting until the last lookup that may have named it has lapsed,
 * then refuses with "not run", and exits only when nothing is in work.
 */
import {maxTimeToLive} from '@gatehead/policy/core/lookup';
import {type Context} from './context.js';

const pollMs = 50;
/** Time that peers get to hear that this host is leaving before lookups elsewhere stop naming it. */
const newsTicks = 4;

/** What a stop works with. */
export type StopParts = {
	readonly context: Context;
	/** Longest time to live of an answer that may name this host, in milliseconds. */
	readonly lookupTtlMs: () => number;
	readonly leave: () => void;
	readonly refuseNew: () => void;
	/** Requests, cancels and leases in work. */
	readonly countOpen: () => number;
};

async function pause({clock}: Context, milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.after(milliseconds, resolve);
	});
}

/** Carries out a planned stop; resolves when nothing is in work any more. */
export async function stopAsPlanned({context, lookupTtlMs, leave, refuseNew, countOpen}: StopParts): Promise<void> {
	context.log('stopping');
	context.timeline.note({kind: 'stopping'});
	leave();
	await pause(context, maxTimeToLive(lookupTtlMs()) + (newsTicks * context.settings.timing.tickMs));
	refuseNew();
	while (countOpen() > 0) {
		await pause(context, pollMs);
	}
}
