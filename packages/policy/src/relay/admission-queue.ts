/**
 * Requests that wait for memory at one service. Streams that continue go
 * first, then those whose first event can still be in time, in the order of
 * their arrival; those that come late in any case take what is left, also of
 * what other hosts wait for. A first try that cannot be in time any more is
 * refused, at once where the queue ahead says so. Efficiency only.
 */
import {type Random} from '../utils/random.js';
import {retryAfter} from './retry-after.js';

/** Part of the expected wait that must fit into what is left of the target: places come free at random, and half a second of waiting in vain costs a caller little against a timely answer lost. */
const hopeShare = 0.6;
/** Time for which a late request may wait, as a multiple of the target: callers leave after four times it, and the first event comes within half of one. */
const lateTargets = 3.2;
/** Time for which a returned caller leaves its turn to timely ones of other hosts, as a multiple of the target: about half of what it may wait, so that it is served all the same. */
const yieldTargets = 1.2;
/** Part of the requests waiting at other hosts that are supposed to go first: all hosts ask for the same places, and the larger part waits longer already. */
const elsewhereShare = 0.7;
/** Shortest and longest time after which a caller should come back, in milliseconds: a peak of load lasts several seconds, and who comes back within it is refused once more. */
const leastRetryMs = 4000;
/** The longest of these times, in milliseconds. */
const mostComeBackMs = 4600;
const millisecondsPerSecond = 1000;

/** Turns of requests, the lowest first. */
const ranks = {started: 0, timely: 1, late: 2} as const;

/** A request that waits. */
export type Waiter = {
	/** When it began to wait. */
	readonly since: number;
	readonly arrivedAt: number;
	readonly targetMs: number;
	readonly deadlineAt: number;
	/** The workspace's, then the route's, 0 first; requests of one turn go by them, then by their arrival. */
	readonly priorities: readonly [workspace: number, route: number];
	/** `first` try of its caller; `returned` after a refusal, which is late in any case; `resumed`: the caller lost its stream with another host and wants the rest; `started`: this host has passed on a part of its answer. */
	readonly stage: 'first' | 'returned' | 'resumed' | 'started';
};

/** A request without a chance, and why. */
export type Hopeless<Each extends Waiter> = {
	readonly waiter: Each;
	readonly detail: string;
};

/** What is known of the other hosts' lines and of the replicas. */
export type Outlook = {
	/** Requests that wait at other hosts and can still be in time. */
	readonly elsewhere: number;
	/** Places that come free a second, for all hosts together. */
	readonly releasesPerS: number;
	/** Time from a place to the first event, in milliseconds. */
	readonly startMs: number;
};

/** The line of one service at one host. */
export class AdmissionQueue<Each extends Waiter> {
	readonly #waiters = new Set<Each>();

	/** Requests in line. */
	get size(): number {
		return this.#waiters.size;
	}

	/** Takes a request in. */
	add(waiter: Each): void {
		this.#waiters.add(waiter);
	}

	/** Takes a request out. */
	remove(waiter: Each): void {
		this.#waiters.delete(waiter);
	}

	/** Whether a request still waits. */
	has(waiter: Each): boolean {
		return this.#waiters.has(waiter);
	}

	/** All that wait, in the order of their turns. */
	order(now: number, startMs: number): Each[] {
		return [...this.#waiters].toSorted((left, right) => rankOf(left, now, startMs) - rankOf(right, now, startMs) || comparePriorities(left, right) || left.arrivedAt - right.arrivedAt);
	}

	/** Requests that are not late yet. */
	countTimely(now: number, startMs: number): number {
		let timely = 0;
		for (const waiter of this.#waiters) {
			timely += rankOf(waiter, now, startMs) < ranks.late ? 1 : 0;
		}

		return timely;
	}

	/** Whether a request leaves its turn to those that wait at other hosts and can still be in time. */
	doesYield(waiter: Each, now: number, {elsewhere}: Outlook): boolean {
		return elsewhere > 0 && waiter.stage === 'returned' && now - waiter.since < yieldTargets * waiter.targetMs;
	}

	/** Requests to refuse now. */
	findHopeless(now: number, outlook: Outlook): Array<Hopeless<Each>> {
		const hopeless: Array<Hopeless<Each>> = [];
		let ahead = 0;
		for (const waiter of this.order(now, outlook.startMs)) {
			const detail = findLapse(waiter, now) ?? findDelay(waiter, ahead, now, outlook);
			if (detail === undefined) {
				ahead += 1;
			} else {
				hopeless.push({waiter, detail});
			}
		}

		return hopeless;
	}

	/** When a refused caller should come back, in milliseconds from now: behind those that wait, and while it still heeds that. */
	comeBackMs({deadlineAt}: Each, now: number, {elsewhere, releasesPerS}: Outlook, random: Random): number {
		const drainMs = (this.size + elsewhere) * millisecondsPerSecond / releasesPerS;
		return retryAfter(Math.min(mostComeBackMs, leastRetryMs + drainMs), deadlineAt - now, random);
	}
}

/** Says how long a request has waited that is no longer worth serving. */
function findLapse({arrivedAt, targetMs, deadlineAt}: Waiter, now: number): string | undefined {
	const waitedMs = now - arrivedAt;
	return waitedMs > lateTargets * targetMs || now >= deadlineAt ? `waited ${Math.round(waitedMs)} ms` : undefined;
}

/** Says why a first try cannot be in time any more. */
function findDelay(waiter: Waiter, ahead: number, now: number, {elsewhere, releasesPerS, startMs}: Outlook): string | undefined {
	const expectedMs = (ahead + 1 + (elsewhereShare * elsewhere)) * millisecondsPerSecond / releasesPerS;
	if (waiter.stage !== 'first' || hopeShare * expectedMs <= slackMs(waiter, now, startMs)) {
		return undefined;
	}

	return `${ahead} ahead, ${elsewhere} elsewhere, ${releasesPerS.toFixed(1)} places a second, first event ${Math.round(startMs)} ms after`;
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

/** Time for which a request can wait and still be in time, in milliseconds; below zero: it is late. */
function slackMs({arrivedAt, targetMs}: Waiter, now: number, startMs: number): number {
	return arrivedAt + targetMs - startMs - now;
}
