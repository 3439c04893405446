/**
 * Requests that wait for memory at one service: those whose first event can
 * still be in time go first, in the order of their arrival; the late ones
 * after them. Who has no chance to be in time any more is refused, at once
 * where the queue ahead says so. Efficiency only.
 */
import {jitter, type Random} from '../utils/random.js';

/** Part of the expected wait that must fit into what is left of the target: places come free at random, and waiting for one that does not come costs the caller little against losing a timely answer. */
const hopeShare = 0.6;
/** Time after its target for which a late request is still worth serving, as a multiple of the target: callers leave after four times it. */
const lateTargets = 2.4;
/** Part of the requests waiting at other hosts that are supposed to go first. */
const elsewhereShare = 0.7;
/** Shortest and longest time after which a caller should come back, in milliseconds: bursts on the users' sheets last 4 to 5 s, and callers heed at most a third of the time that they have left (14 s). */
const leastComeBackMs = 3000;
const mostComeBackMs = 3800;
const comeBackSpread = 0.2;
const millisecondsPerSecond = 1000;

/** A request that waits. */
export type Waiter = {
	/** When it began to wait. */
	readonly since: number;
	readonly arrivedAt: number;
	readonly targetMs: number;
	readonly deadlineAt: number;
	/** It was refused before, or has a part of its answer: it is not refused early. */
	readonly isKept: boolean;
};

/** A request without a chance, and why. */
export type Hopeless<Each extends Waiter> = {
	readonly waiter: Each;
	readonly detail: string;
};

/** What is known of the other hosts' lines and of the replicas. */
export type Outlook = {
	/** Requests that wait at other hosts. */
	readonly elsewhere: number;
	/** Places that come free a second, for all hosts together. */
	readonly releasesPerS: number;
	/** Time from a place to the first event, in milliseconds. */
	readonly startMs: number;
};

/** The line of one service at one host. */
export class WaitLine<Each extends Waiter> {
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
		return [...this.#waiters].toSorted((left, right) => Number(slackMs(left, now, startMs) < 0) - Number(slackMs(right, now, startMs) < 0) || left.arrivedAt - right.arrivedAt);
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

	/** When a refused caller should come back. */
	comeBackMs({elsewhere, releasesPerS}: Outlook, random: Random): number {
		const drainMs = (this.size + elsewhere) * millisecondsPerSecond / releasesPerS;
		return jitter(random, Math.min(mostComeBackMs, leastComeBackMs + drainMs), comeBackSpread);
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
	if (waiter.isKept || hopeShare * expectedMs <= slackMs(waiter, now, startMs)) {
		return undefined;
	}

	return `${ahead} ahead, ${elsewhere} elsewhere, ${releasesPerS.toFixed(1)} places a second, first event ${Math.round(startMs)} ms after`;
}

/** Time for which a request can wait and still be in time, in milliseconds; below zero: it is late. */
function slackMs({arrivedAt, targetMs}: Waiter, now: number, startMs: number): number {
	return arrivedAt + targetMs - startMs - now;
}
