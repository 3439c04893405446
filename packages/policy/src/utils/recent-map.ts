/** Map of bounded size that evicts the entry that was set least recently. */
export class RecentMap<Key, Value> {
	readonly #maxSize: number;
	readonly #values = new Map<Key, Value>();

	constructor(maxSize: number) {
		this.#maxSize = maxSize;
	}

	get(key: Key): Value | undefined {
		return this.#values.get(key);
	}

	has(key: Key): boolean {
		return this.#values.has(key);
	}

	/** Sets a value and moves its entry to the end of the eviction order. */
	set(key: Key, value: Value): void {
		// Reinserting moves the key to the end of the iteration order
		this.#values.delete(key);
		this.#values.set(key, value);
		const [oldest] = this.#values.keys();
		if (this.#values.size > this.#maxSize && oldest !== undefined) {
			this.#values.delete(oldest);
		}
	}

	delete(key: Key): void {
		this.#values.delete(key);
	}

	/** All entries, least recently set first. */
	entries(): IterableIterator<[Key, Value]> {
		return this.#values.entries();
	}
}
