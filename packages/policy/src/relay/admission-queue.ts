/**
 * Queue of requests that wait for decode memory at one service. Streams that
 * this host has started are served first, then requests that can still meet
 * their target for the first event, then those that will miss it. A first
 * attempt that is expected to miss its target is rejected instead of queued.
 */
import {type Random} from '../utils/random.js';
import {retryAfter} from './retry-after.js';

/** Share of the expected wait that must fit into the time left. Below 1 because slots are released at random, and a needless wait costs less than a rejected request that would have been in time. */
const expectedWaitShare = 0.6;
/** Longest wait of a late request, in multiples of its target. Callers give up at 4 targets; the first event takes up to 0.5 after admission. */
const maxWaitTargets = 3.2;
/** Time for which a retried request yields to timely ones at other hosts, in multiples of its target. Well below `maxWaitTargets`, so that retries are not starved. */
const maxYieldTargets = 1.2;
/** Share of the requests waiting at other hosts that is counted as ahead. All hosts compete for the same slots. */
const remoteAheadShare = 0.7;
/** Bounds of the retry delay, in milliseconds. A shorter one would bring most callers back within the same load peak. */
const minRetryMs = 4000;
const maxRetryMs = 4600;
const millisecondsPerSecond = 1000;

/** Service order, lowest first. */
const ranks = {started: 0, timely: 1, late: 2} as const;

/** A queued request. Instants are in milliseconds of the host's clock. */
export type Waiter = {
	/** When it was queued. */
	readonly since: number;
	readonly arrivedAt: number;
	readonly targetMs: number;
	readonly deadlineAt: number;
	/** Priorities of the workspace and of the route; 0 is the highest. They order requests of equal rank, before arrival. */
	readonly priorities: readonly [workspace: number, route: number];
	/** `first`: first attempt; `returned`: retry after a rejection, always late; `resumed`: continues a stream that another host lost; `started`: this host has already forwarded a part of the response. */
	readonly stage: 'first' | 'returned' | 'resumed' | 'started';
};

/** A request to reject, and the reason. */
export type Rejection<Item extends Waiter> = {
	readonly waiter: Item;
	readonly detail: string;
};

/** Load at the other hosts and the endpoints' capacity. */
export type LoadEstimate = {
	/** Requests queued at other hosts that can still be in time. */
	readonly remoteWaiting: number;
	/** Slots released per second, for all hosts together. */
	readonly releasesPerS: number;
	/** Time from admission to the first event, in milliseconds. */
	readonly startMs: number;
};

/** The queue of one service at one host. */
export class AdmissionQueue<Item extends Waiter> {
	readonly #waiters = new Set<Item>();

	/** All waiters, in the order of their arrival. */
	list(): Item[] {
		return [...this.#waiters];
	}

	get size(): number {
		return this.#waiters.size;
	}

	add(waiter: Item): void {
		this.#waiters.add(waiter);
	}

	remove(waiter: Item): void {
		this.#waiters.delete(waiter);
	}

	has(waiter: Item): boolean {
		return this.#waiters.has(waiter);
	}

	/** Lists the queued requests in service order. */
	order(now: number, startMs: number): Item[] {
		return [...this.#waiters].toSorted((left, right) => rankOf(left, now, startMs) - rankOf(right, now, startMs) || comparePriorities(left, right) || left.arrivedAt - right.arrivedAt);
	}

	/** Counts requests that can still be in time, started streams included. */
	countTimely(now: number, startMs: number): number {
		let timely = 0;
		for (const waiter of this.#waiters) {
			timely += rankOf(waiter, now, startMs) < ranks.late ? 1 : 0;
		}

		return timely;
	}

	/** Whether a retried request lets timely requests of other hosts go first. */
	shouldYield(waiter: Item, now: number, {remoteWaiting}: LoadEstimate): boolean {
		return remoteWaiting > 0 && waiter.stage === 'returned' && now - waiter.since < maxYieldTargets * waiter.targetMs;
	}

	/** Lists the requests to reject now: expired ones, and first attempts that are expected to miss their target. */
	findRejections(now: number, estimate: LoadEstimate): Array<Rejection<Item>> {
		const rejections: Array<Rejection<Item>> = [];
		let ahead = 0;
		for (const waiter of this.order(now, estimate.startMs)) {
			const detail = describeExpiry(waiter, now) ?? describeDelay(waiter, ahead, now, estimate);
			if (detail === undefined) {
				ahead += 1;
			} else {
				rejections.push({waiter, detail});
			}
		}

		return rejections;
	}

	/** Retry delay for a rejected caller, in milliseconds: the time to drain the queue within the bounds, jittered, and no later than its deadline allows. */
	retryDelayMs({deadlineAt}: Item, now: number, {remoteWaiting, releasesPerS}: LoadEstimate, random: Random): number {
		const drainMs = (this.size + remoteWaiting) * millisecondsPerSecond / releasesPerS;
		return retryAfter(Math.min(maxRetryMs, minRetryMs + drainMs), deadlineAt - now, random);
	}
}

/** Describes the wait of a request that has expired; undefined if it has not. */
function describeExpiry({arrivedAt, targetMs, deadlineAt}: Waiter, now: number): string | undefined {
	const waitedMs = now - arrivedAt;
	return waitedMs > maxWaitTargets * targetMs || now >= deadlineAt ? `waited ${Math.round(waitedMs)} ms` : undefined;
}

/** Describes the load under which a first attempt is expected to miss its target; undefined if it can be in time. */
function describeDelay(waiter: Waiter, ahead: number, now: number, {remoteWaiting, releasesPerS, startMs}: LoadEstimate): string | undefined {
	const expectedMs = (ahead + 1 + (remoteAheadShare * remoteWaiting)) * millisecondsPerSecond / releasesPerS;
	if (waiter.stage !== 'first' || expectedWaitShare * expectedMs <= slackMs(waiter, now, startMs)) {
		return undefined;
	}

	return `${ahead} ahead, ${remoteWaiting} elsewhere, ${releasesPerS.toFixed(1)} places a second, first event ${Math.round(startMs)} ms after`;
}

function comparePriorities({priorities: left}: Waiter, {priorities: right}: Waiter): number {
	return left[0] - right[0] || left[1] - right[1];
}

function rankOf(waiter: Waiter, now: number, startMs: number): number {
	if (waiter.stage === 'started') {
		return ranks.started;
	}

	return waiter.stage !== 'returned' && slackMs(waiter, now, startMs) >= 0 ? ranks.timely : ranks.late;
}

/** Time for which a request can wait and still be in time, in milliseconds; negative if it is late. */
function slackMs({arrivedAt, targetMs}: Waiter, now: number, startMs: number): number {
	return arrivedAt + targetMs - startMs - now;
}
