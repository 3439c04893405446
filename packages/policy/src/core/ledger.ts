/**
 * Deduplication table for requests that must not run twice. Safety: an entry
 * is removed only once its ticket has expired by this process's clock and its
 * work has ended, and no request starts with an expired ticket. The right to run
 * a request is lost with this in-memory table and is never handed over to
 * another process.
 */

export type LedgerEntry<Job> = {
	readonly id: string;
	/** Digest of the request body; detects reuse of a key for a different request. */
	readonly bodyDigest: string;
	/** When the ticket expires, in milliseconds of this process's clock. */
	readonly lapsesAt: number;
	readonly job: Job;
	isEnded: boolean;
};

/** Result of looking up a key: `otherBody` is a reuse of the key for a different body, `lapsed` an expired ticket, `full` a table without room. */
export type LedgerResult<Job>
	= | {readonly kind: 'first'; readonly entry: LedgerEntry<Job>}
		| {readonly kind: 'repeat'; readonly entry: LedgerEntry<Job>}
		| {readonly kind: 'otherBody'}
		| {readonly kind: 'lapsed'}
		| {readonly kind: 'full'};

export type LedgerCall<Job> = {
	readonly id: string;
	readonly bodyDigest: string;
	readonly lapsesAt: number;
	/** Creates the job; called only for the first call with a key. */
	readonly createJob: () => Job;
};

/** Deduplication table of one incarnation of a host. */
export class Ledger<Job> {
	readonly #entries = new Map<string, LedgerEntry<Job>>();
	readonly #maxEntries: number;

	constructor(maxEntries: number) {
		this.#maxEntries = maxEntries;
	}

	get size(): number {
		return this.#entries.size;
	}

	has(id: string): boolean {
		return this.#entries.has(id);
	}

	/** Registers the first call with a key, or returns the entry of the earlier call. */
	enter({id, bodyDigest, lapsesAt, createJob}: LedgerCall<Job>, now: number): LedgerResult<Job> {
		const known = this.#entries.get(id);
		if (known !== undefined) {
			return known.bodyDigest === bodyDigest ? {kind: 'repeat', entry: known} : {kind: 'otherBody'};
		}

		if (lapsesAt <= now) {
			return {kind: 'lapsed'};
		}

		this.#sweepWhenFull(now);
		if (this.#entries.size >= this.#maxEntries) {
			return {kind: 'full'};
		}

		const entry: LedgerEntry<Job> = {
			id, bodyDigest, lapsesAt, job: createJob(), isEnded: false,
		};
		this.#entries.set(id, entry);
		return {kind: 'first', entry};
	}

	/** Marks the work as ended; the entry stays until its ticket has expired as well. */
	end(id: string): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined) {
			entry.isEnded = true;
		}
	}

	/** Removes the entry of a call that was rejected before any work was dispatched, so that the key can be retried. */
	withdraw(id: string): void {
		this.#entries.delete(id);
	}

	/** Removes entries whose work has ended and whose ticket has expired. */
	sweep(now: number): void {
		for (const [id, {lapsesAt, isEnded}] of this.#entries) {
			if (isEnded && lapsesAt <= now) {
				this.#entries.delete(id);
			}
		}
	}

	#sweepWhenFull(now: number): void {
		if (this.#entries.size >= this.#maxEntries) {
			this.sweep(now);
		}
	}
}
