/**
 * Bounds the bytes that a host buffers for callers that read slowly: in total
 * and for each workspace. Beyond a bound it names the connection to close.
 * Safety: a caller that reads loses its response only if no stalled caller
 * holds bytes under the same bound.
 */

/** Time without progress after which a caller counts as stalled, in milliseconds; many round trips between halls and turns of a busy event loop. */
const stallMs = 500;
/** Share of the longest time without progress from which a caller counts as stalled while that time is shorter. With a fixed limit alone, a burst that fills the memory within it closes callers that read. */
const stallShare = 0.5;
/** Share of the total that one workspace may use; half leaves room for the others. */
const workspaceShare = 0.5;

/** State of one connection's buffer. */
export type UnreadSample = {
	/** Bytes of memory that the response holds now; 0 once the caller has read everything. */
	readonly unreadBytes: number;
	/** Bytes that have left the buffer since the response began; it grows while the caller reads. */
	readonly takenBytes: number;
};

/** A response that is being delivered. */
export type UnreadConnection = {
	/** Workspace of the request; undefined: the route has none. */
	readonly workspace: string | undefined;
	readonly sample: () => UnreadSample;
};

/** Which bound decided. */
export type UnreadBound = 'workspace' | 'total';

/** A connection to close. */
export type UnreadOffender<Connection> = {
	readonly connection: Connection;
	readonly bound: UnreadBound;
	/** Bytes that closing it frees. */
	readonly unreadBytes: number;
};

type Entry<Connection> = {
	readonly connection: Connection;
	unreadBytes: number;
	takenBytes: number;
	progressAt: number;
};

/** Unread bytes of all connections of one host. */
export class UnreadBudget<Connection extends UnreadConnection> {
	readonly #totalBytes: number;
	readonly #entries = new Map<Connection, Entry<Connection>>();
	/** Sum over all entries, as last sampled. Between samples callers only read, so the true sum is at most this. */
	#sampledBytes = 0;

	constructor(totalBytes: number) {
		this.#totalBytes = totalBytes;
	}

	/** Number of tracked connections. */
	get size(): number {
		return this.#entries.size;
	}

	/** Starts to track a connection. */
	track(connection: Connection, now: number): void {
		this.#entries.set(connection, {
			connection, unreadBytes: 0, takenBytes: 0, progressAt: now,
		});
	}

	/** Stops tracking a connection; its bytes no longer count. */
	forget(connection: Connection): void {
		this.#sampledBytes -= this.#entries.get(connection)?.unreadBytes ?? 0;
		this.#entries.delete(connection);
	}

	/** Samples a connection after a write. */
	note(connection: Connection, now: number): void {
		const entry = this.#entries.get(connection);
		if (entry !== undefined) {
			this.#sample(entry, now);
		}
	}

	/** Stops tracking, and returns, the connections to close so that all bounds hold; usually none. */
	takeOffenders(now: number): Array<UnreadOffender<Connection>> {
		// No workspace exceeds its share while the sum of all does not
		if (this.#sampledBytes <= this.#totalBytes * workspaceShare) {
			return [];
		}

		this.#sampleAll(now);
		const offenders: Array<UnreadOffender<Connection>> = [];
		for (let next = this.#findOffender(now); next !== undefined; next = this.#findOffender(now)) {
			offenders.push(next);
			this.forget(next.connection);
		}

		return offenders;
	}

	/** Unread bytes by a key of the connections, without keys that have none. */
	sumBy(keyOf: (connection: Connection) => string, now: number): ReadonlyMap<string, number> {
		this.#sampleAll(now);
		return sumEntries(this.#entries.values(), keyOf);
	}

	#sample(entry: Entry<Connection>, now: number): void {
		const {unreadBytes, takenBytes} = entry.connection.sample();
		// The caller could not read before the first bytes were written
		if (unreadBytes === 0 || entry.unreadBytes === 0 || takenBytes > entry.takenBytes) {
			entry.progressAt = now;
		}

		this.#sampledBytes += unreadBytes - entry.unreadBytes;
		entry.unreadBytes = unreadBytes;
		entry.takenBytes = takenBytes;
	}

	#sampleAll(now: number): void {
		for (const entry of this.#entries.values()) {
			this.#sample(entry, now);
		}
	}

	#findOffender(now: number): UnreadOffender<Connection> | undefined {
		const entries = [...this.#entries.values()].filter(({unreadBytes}) => unreadBytes > 0);
		const sums = sumEntries(entries, workspaceKey);
		const exceeding = [...sums].find(([workspace, bytes]) => workspace !== '' && bytes > this.#totalBytes * workspaceShare);
		// Callers of the workspace that read are closed only if the memory of the host requires it
		const stalled = entries.filter(({connection, progressAt}) => workspaceKey(connection) === exceeding?.[0] && now - progressAt >= stallMs);
		if (exceeding !== undefined && stalled.length > 0) {
			return offenderOf(stalled, 'workspace', now);
		}

		return this.#sampledBytes > this.#totalBytes ? offenderOf(entries, 'total', now) : undefined;
	}
}

function workspaceKey({workspace}: UnreadConnection): string {
	return workspace ?? '';
}

function sumEntries<Connection>(entries: Iterable<Entry<Connection>>, keyOf: (connection: Connection) => string): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();
	for (const {connection, unreadBytes} of entries) {
		if (unreadBytes > 0) {
			const key = keyOf(connection);
			sums.set(key, (sums.get(key) ?? 0) + unreadBytes);
		}
	}

	return sums;
}

/** The connection with the most unread bytes of the workspace with the most, among stalled ones; of equals the one without progress for the longest. */
function offenderOf<Connection extends UnreadConnection>(entries: ReadonlyArray<Entry<Connection>>, bound: UnreadBound, now: number): UnreadOffender<Connection> | undefined {
	const candidates = findStalled(entries, now);
	const sums = sumEntries(candidates, workspaceKey);
	let largest: Entry<Connection> | undefined;
	for (const entry of candidates) {
		if (largest === undefined || isLarger(entry, largest, sums)) {
			largest = entry;
		}
	}

	return largest === undefined ? undefined : {connection: largest.connection, bound, unreadBytes: largest.unreadBytes};
}

/** Callers that are stalled, compared with the one that has read nothing for the longest time. */
function findStalled<Connection>(entries: ReadonlyArray<Entry<Connection>>, now: number): ReadonlyArray<Entry<Connection>> {
	const longestMs = now - Math.min(...entries.map(({progressAt}) => progressAt));
	const limitMs = Math.min(stallMs, stallShare * longestMs);
	return entries.filter(({progressAt}) => now - progressAt >= limitMs);
}

function isLarger<Connection extends UnreadConnection>(entry: Entry<Connection>, other: Entry<Connection>, sums: ReadonlyMap<string, number>): boolean {
	const difference = (sums.get(workspaceKey(entry.connection)) ?? 0) - (sums.get(workspaceKey(other.connection)) ?? 0);
	return (difference || entry.unreadBytes - other.unreadBytes || other.progressAt - entry.progressAt) > 0;
}
