/**
 * The memory that guards requests which may not be repeated. Safety: an
 * entry is kept until its ticket has lapsed by this process's own clock and
 * its work has ended, and no ticket is honoured after that same instant. The
 * right to run dies with this memory; it is never handed over.
 */

/** One guarded request. */
export type LedgerEntry<Job> = {
	readonly id: string;
	/** Digest of the body, so that one key cannot name two requests. */
	readonly bodyDigest: string;
	/** Own clock's instant up to which the ticket is honoured. */
	readonly lapsesAt: number;
	readonly job: Job;
	isEnded: boolean;
};

/** What a call under a key turns out to be. */
export type LedgerVerdict<Job>
	= | {readonly kind: 'first'; readonly entry: LedgerEntry<Job>}
		| {readonly kind: 'repeat'; readonly entry: LedgerEntry<Job>}
		| {readonly kind: 'otherBody'}
		| {readonly kind: 'lapsed'}
		| {readonly kind: 'full'};

/** What a call brings. */
export type LedgerCall<Job> = {
	readonly id: string;
	readonly bodyDigest: string;
	readonly lapsesAt: number;
	/** Makes the job of a first call. */
	readonly begin: () => Job;
};

/** Guarded requests of one incarnation. */
export class Ledger<Job> {
	readonly #entries = new Map<string, LedgerEntry<Job>>();
	readonly #most: number;

	constructor(most: number) {
		this.#most = most;
	}

	/** Entries kept. */
	get size(): number {
		return this.#entries.size;
	}

	/** Whether a request is known here. */
	has(id: string): boolean {
		return this.#entries.has(id);
	}

	/** Enters a first call, or finds the earlier one. */
	enter({id, bodyDigest, lapsesAt, begin}: LedgerCall<Job>, now: number): LedgerVerdict<Job> {
		const known = this.#entries.get(id);
		if (known !== undefined) {
			return known.bodyDigest === bodyDigest ? {kind: 'repeat', entry: known} : {kind: 'otherBody'};
		}

		if (lapsesAt <= now) {
			return {kind: 'lapsed'};
		}

		this.#sweepWhenFull(now);
		if (this.#entries.size >= this.#most) {
			return {kind: 'full'};
		}

		const entry: LedgerEntry<Job> = {
			id, bodyDigest, lapsesAt, job: begin(), isEnded: false,
		};
		this.#entries.set(id, entry);
		return {kind: 'first', entry};
	}

	/** Marks a request's work as ended. */
	end(id: string): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined) {
			entry.isEnded = true;
		}
	}

	/** Takes back a first call that was refused before any order left, so that the same key may try again. */
	withdraw(id: string): void {
		this.#entries.delete(id);
	}

	/** Forgets what has ended and lapsed. */
	sweep(now: number): void {
		for (const [id, {lapsesAt, isEnded}] of this.#entries) {
			if (isEnded && lapsesAt <= now) {
				this.#entries.delete(id);
			}
		}
	}

	#sweepWhenFull(now: number): void {
		if (this.#entries.size >= this.#most) {
			this.sweep(now);
		}
	}
}
