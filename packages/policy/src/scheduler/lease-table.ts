/**
 * The leases of one cell and the number that each caller holds. Engines admit
 * work by their own state, not by this table.
 */
import {type LeaseRequest, type LeaseClaim} from '@gatehead/schema/peer-message';
import {leaseKey} from './decode-pool.js';

/** A granted request, from its prefill grant to its release. */
export type Lease = {
	readonly key: string;
	readonly ask: LeaseRequest;
	readonly deadline: number;
	readonly prefillEngine: string;
	readonly hall: string;
	stage: 'prefill' | 'ready' | 'decode';
	readyAt: number;
	resultExpiresAt: number;
	engine: string;
};

/** Creates a lease from its holder's claim; fields that the claim lacks are empty or zero. */
export function leaseFromClaim({request, attempt, stage, engine, prefillEngine, maxTokens, priority, caller}: LeaseClaim, now: number, resultExpiresAt: number): Lease {
	const ask: LeaseRequest = {
		request, attempt, caller, priority, promptTokens: 0, maxTokens, blocks: [], slackMs: 0, accepted: true,
	};
	return {
		key: leaseKey(ask), ask, deadline: now, prefillEngine, hall: '', stage, readyAt: now, resultExpiresAt, engine,
	};
}

export class LeaseTable {
	readonly #leases = new Map<string, Lease>();
	readonly #activeByCaller = new Map<string, number>();

	get size(): number {
		return this.#leases.size;
	}

	/** Whether any lease is still without a decode slot. */
	get hasPending(): boolean {
		for (const {stage} of this.#leases.values()) {
			if (stage !== 'decode') {
				return true;
			}
		}

		return false;
	}

	has(key: string): boolean {
		return this.#leases.has(key);
	}

	get(key: string): Lease | undefined {
		return this.#leases.get(key);
	}

	add(lease: Lease): void {
		this.#leases.set(lease.key, lease);
		this.#count(lease.ask.caller, 1);
	}

	/** Removes and returns a lease. */
	remove(key: string): Lease | undefined {
		const lease = this.#leases.get(key);
		if (lease !== undefined) {
			this.#leases.delete(key);
			this.#count(lease.ask.caller, -1);
		}

		return lease;
	}

	listKeys(): string[] {
		return [...this.#leases.keys()];
	}

	/** Number of leases that a caller holds. */
	countActive(caller: string): number {
		return this.#activeByCaller.get(caller) ?? 0;
	}

	/** Ready times, past or expected, of prefill results without a decode slot. */
	listReadyTimes(): number[] {
		const times: number[] = [];
		for (const {stage, readyAt} of this.#leases.values()) {
			if (stage !== 'decode') {
				times.push(readyAt);
			}
		}

		return times;
	}

	/** Leases whose prefill result is ready and has not expired, in order of deadline. */
	listReady(now: number): Lease[] {
		const ready = [...this.#leases.values()].filter(({stage, resultExpiresAt}) => stage === 'ready' && resultExpiresAt > now);
		return ready.toSorted((left, right) => left.deadline - right.deadline);
	}

	#count(caller: string, change: number): void {
		this.#activeByCaller.set(caller, Math.max(0, this.countActive(caller) + change));
	}
}
