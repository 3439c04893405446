/** A map of bounded size that forgets what was set longest ago. Neither safety nor efficiency rests here: whoever uses it says what forgetting costs. */
export class RecentMap<Key, Value> {
	readonly #most: number;
	readonly #values = new Map<Key, Value>();

	/** Keeps `most` values. */
	constructor(most: number) {
		this.#most = most;
	}

	get(key: Key): Value | undefined {
		return this.#values.get(key);
	}

	has(key: Key): boolean {
		return this.#values.has(key);
	}

	/** Sets a value, which is the latest then. */
	set(key: Key, value: Value): void {
		// Taken out first, so that the oldest stands in front
		this.#values.delete(key);
		this.#values.set(key, value);
		const [oldest] = this.#values.keys();
		if (this.#values.size > this.#most && oldest !== undefined) {
			this.#values.delete(oldest);
		}
	}

	delete(key: Key): void {
		this.#values.delete(key);
	}

	/** All, the oldest first. */
	entries(): IterableIterator<[Key, Value]> {
		return this.#values.entries();
	}
}
