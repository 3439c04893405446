/**
 * Endpoints that announce a rate limit receive more requests than it allows.
 *
 * Seen: an endpoint that had announced 3.8 requests a second received 42 in
 * 4 s, summed over all hosts, where 1.5 times the limit and 5 requests, 27,
 * are allowed. It stayed so for as long as the limit was announced.
 *
 * Cause: no header of the response was read for it, so that placement, retries
 * and hedged requests went on as before, each host for itself. Evidence: the
 * rate was the same before and after the announcement at every host, and
 * depended on demand alone; without the permits of `rate-limiter.ts` 70 to 262
 * requests a window reach a limited endpoint here.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sendSteadily} from './steady-load.js';
import {startWorld, type World} from './world.js';

/** Hosts get this long from the first announcement to act on it, in milliseconds. */
const settleMs = 3000;
const windowMs = 4000;
const tolerance = 1.5;
const allowance = 5;
/** Each host gets a request at this interval, in milliseconds: far more than is allowed in all. */
const intervalMs = 30;
const requestsPerHost = 250;

type Case = {
	readonly name: string;
	readonly path: string;
	readonly limitPerS: number;
	/** Endpoints that announce it, of three. */
	readonly limited: number;
	/** Hosts that receive requests, of four. */
	readonly entryHosts: number;
};

const cases: readonly Case[] = [
	{
		name: 'two of three, calls that may be repeated', path: '/repeatable/1', limitPerS: 3.8, limited: 2, entryHosts: 4,
	},
	{
		name: 'all of them, calls that may run once', path: '/once/1', limitPerS: 5.4, limited: 3, entryHosts: 4,
	},
	{
		name: 'all of them, with all requests at one host', path: '/once/1', limitPerS: 0.5, limited: 3, entryHosts: 1,
	},
];

/** Most requests that reached a replica in any window from `from` on. */
function mostInWindow({log}: World, replica: string, from: number): number {
	const times = log.arrivals.filter(each => each.replica === replica && each.at >= from).map(({at}) => at);
	const counts = times.map(start => times.filter(at => at >= start && at < start + windowMs).length);
	return Math.max(0, ...counts);
}

describe('a rate-limited endpoint', {concurrency: true}, () => {
	for (const {name, path, limitPerS, limited, entryHosts} of cases) {
		it(`${name}: no window exceeds ${tolerance} times the limit and ${allowance} requests`, {timeout: 60_000}, async context => {
			const world = await startWorld({
				hosts: 4, plain: 3, prefill: 0, decode: 0, slots: 8,
			});
			try {
				const named = world.replicas.slice(0, limited);
				for (const replica of named) {
					replica.signals = {limitPerS};
				}

				await sendSteadily(world, {
					path, intervalMs, rounds: requestsPerHost, entryHosts,
				});
				const allowed = (tolerance * limitPerS * windowMs / 1000) + allowance;
				for (const {id} of named) {
					const first = world.log.arrivals.find(({replica}) => replica === id)?.at ?? 0;
					const most = mostInWindow(world, id, first + settleMs);
					context.diagnostic(`${id}: ${most} in ${windowMs} ms, ${allowed} allowed`);
					expect(most).toBeLessThanOrEqual(allowed);
				}
			} finally {
				await world.stop();
			}
		});
	}
});
