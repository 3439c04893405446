/**
 * The leases of one cell, and how many of them each caller holds. Efficiency:
 * an engine takes work by what it knows itself, never by this book.
 */
import {type LeaseAsk, type LeaseClaim} from '@gatehead/schema/peer-message';
import {leaseKey} from './decode-pool.js';

/** A lease from its prefill grant to its release. */
export type Lease = {
	readonly key: string;
	readonly ask: LeaseAsk;
	readonly deadline: number;
	readonly prefillEngine: string;
	readonly hall: string;
	stage: 'prefill' | 'ready' | 'decode';
	readyAt: number;
	lapsesAt: number;
	engine: string;
};

/** The lease that its holder claims; what the claim does not say is left empty. */
export function makeClaimed({request, attempt, stage, engine, prefillEngine, maxTokens, priority, caller}: LeaseClaim, now: number, lapsesAt: number): Lease {
	const ask: LeaseAsk = {
		request, attempt, caller, priority, promptTokens: 0, maxTokens, blocks: [], slackMs: 0, accepted: true,
	};
	return {
		key: leaseKey(ask), ask, deadline: now, prefillEngine, hall: '', stage, readyAt: now, lapsesAt, engine,
	};
}

/** All leases of one cell. */
export class LeaseBook {
	readonly #leases = new Map<string, Lease>();
	readonly #inWork = new Map<string, number>();

	/** Leases now held. */
	get size(): number {
		return this.#leases.size;
	}

	/** Whether any lease has no decode slot yet. */
	get hasWaiting(): boolean {
		for (const {stage} of this.#leases.values()) {
			if (stage !== 'decode') {
				return true;
			}
		}

		return false;
	}

	/** Whether a lease is held. */
	has(key: string): boolean {
		return this.#leases.has(key);
	}

	/** A lease by its key. */
	get(key: string): Lease | undefined {
		return this.#leases.get(key);
	}

	/** Takes a lease in. */
	add(lease: Lease): void {
		this.#leases.set(lease.key, lease);
		this.#count(lease.ask.caller, 1);
	}

	/** Takes a lease out; returns it. */
	remove(key: string): Lease | undefined {
		const lease = this.#leases.get(key);
		if (lease !== undefined) {
			this.#leases.delete(key);
			this.#count(lease.ask.caller, -1);
		}

		return lease;
	}

	/** Keys of all leases. */
	listKeys(): string[] {
		return [...this.#leases.keys()];
	}

	/** Requests of a caller that are in work. */
	countInWork(caller: string): number {
		return this.#inWork.get(caller) ?? 0;
	}

	/** When the results that have no slot yet are or will be ready. */
	listReadyTimes(): number[] {
		const times: number[] = [];
		for (const {stage, readyAt} of this.#leases.values()) {
			if (stage !== 'decode') {
				times.push(readyAt);
			}
		}

		return times;
	}

	/** Leases whose results are ready and live, those of the earliest deadlines first. */
	listReady(now: number): Lease[] {
		const ready = [...this.#leases.values()].filter(({stage, lapsesAt}) => stage === 'ready' && lapsesAt > now);
		return ready.toSorted((left, right) => left.deadline - right.deadline);
	}

	#count(caller: string, change: number): void {
		this.#inWork.set(caller, Math.max(0, this.countInWork(caller) + change));
	}
}
