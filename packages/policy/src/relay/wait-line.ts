/**
 * Requests that wait for room at one service: those whose first event can
 * still be in time go first, in the order of their arrival; the late ones
 * after them. Who has no chance is refused early, while a refusal still
 * leaves the caller's next try its worth. Efficiency only.
 */
import {jitter, type Random} from '../utils/random.js';

/** Share of the target within which a refusal is early: the users' pages say a quarter; the rest is for the way. */
const earlyShare = 0.21;
/** Share of the target that is left for the prompt and the first event once room is there: nine in ten took less than 0.58 of it on scale-1 of both users' sites, and 0.68 and 0.8 served alike in paired plays, better than 0.55 and 0.4. */
const workShare = 0.7;
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
};

/** The line of one service at one host. */
export class WaitLine<Each extends Waiter> {
	readonly #waiters = new Set<Each>();
	/** Requests for which it was decided to wait. */
	readonly #committed = new WeakSet<Each>();

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
	order(now: number): Each[] {
		return [...this.#waiters].toSorted((left, right) => Number(isLate(left, now)) - Number(isLate(right, now)) || left.arrivedAt - right.arrivedAt);
	}

	/** Requests to refuse now. */
	findHopeless(now: number, outlook: Outlook): Array<Hopeless<Each>> {
		const hopeless: Array<Hopeless<Each>> = [];
		let ahead = 0;
		for (const waiter of this.order(now)) {
			const detail = findLapse(waiter, now) ?? this.#decide(waiter, ahead, now, outlook);
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

	/** Decides once between refusing early and waiting; returns why it is refused. */
	#decide(waiter: Each, ahead: number, now: number, {elsewhere, releasesPerS}: Outlook): string | undefined {
		if (!this.#isDue(waiter, now)) {
			return undefined;
		}

		const expectedMs = (ahead + 1 + (elsewhereShare * elsewhere)) * millisecondsPerSecond / releasesPerS;
		if (now - waiter.arrivedAt + expectedMs > (1 - workShare) * waiter.targetMs) {
			return `${ahead} ahead, ${elsewhere} elsewhere, ${releasesPerS.toFixed(1)} places a second`;
		}

		this.#committed.add(waiter);
		return undefined;
	}

	/** Whether now is the moment to decide between refusing early and waiting. */
	#isDue(waiter: Each, now: number): boolean {
		return !waiter.isKept && !this.#committed.has(waiter) && now - waiter.arrivedAt >= (earlyShare * waiter.targetMs / 2);
	}
}

/** Says how long a request has waited that is no longer worth serving. */
function findLapse({arrivedAt, targetMs, deadlineAt}: Waiter, now: number): string | undefined {
	const waitedMs = now - arrivedAt;
	return waitedMs > lateTargets * targetMs || now >= deadlineAt ? `waited ${Math.round(waitedMs)} ms` : undefined;
}

function isLate({arrivedAt, targetMs}: Waiter, now: number): boolean {
	return now - arrivedAt > (1 - workShare) * targetMs;
}
