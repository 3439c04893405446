/**
 * Records of the software version at which streams began, kept as long as
 * their callers may resume them. Safety: a key with two different records is
 * ambiguous and stays so; neither version may be used.
 */

/** Where a stream began. */
export type StreamOrigin = {
	readonly service: string;
	readonly softwareVersion: string;
};

/** A record; instants are in milliseconds of this host's clock. */
export type StreamRecord = StreamOrigin & {
	readonly expiresAt: number;
	/** Two streams with the same key began at different versions. */
	readonly isAmbiguous: boolean;
};

/** Records by key, bounded in number. */
export class StreamRecords {
	readonly #maxRecords: number;
	/** In the order in which they were last set. */
	readonly #records = new Map<string, StreamRecord>();

	constructor(maxRecords: number) {
		this.#maxRecords = maxRecords;
	}

	get size(): number {
		return this.#records.size;
	}

	/** Returns the record of a key; undefined if there is none or it has expired. */
	get(key: string, now: number): StreamRecord | undefined {
		const record = this.#records.get(key);
		return record !== undefined && record.expiresAt > now ? record : undefined;
	}

	/** Adds or extends a record; returns how many unexpired records had to be removed for it. */
	set(key: string, {service, softwareVersion, expiresAt, isAmbiguous}: StreamRecord, now: number): number {
		const known = this.get(key, now);
		const differs = known !== undefined && (known.service !== service || known.softwareVersion !== softwareVersion);
		this.#records.delete(key);
		this.#records.set(key, {
			service, softwareVersion, expiresAt: Math.max(expiresAt, known?.expiresAt ?? expiresAt), isAmbiguous: isAmbiguous || differs || (known?.isAmbiguous ?? false),
		});
		return this.#evict(now);
	}

	/** Removes expired records. */
	sweep(now: number): void {
		for (const [key, {expiresAt}] of this.#records) {
			if (expiresAt <= now) {
				this.#records.delete(key);
			}
		}
	}

	#evict(now: number): number {
		let removed = 0;
		for (const [key, {expiresAt}] of this.#records) {
			if (this.#records.size <= this.#maxRecords) {
				return removed;
			}

			this.#records.delete(key);
			removed += expiresAt > now ? 1 : 0;
		}

		return removed;
	}
}
