/** The stand-in's prefix cache: least recently used blocks go first; changes are kept as events. */
import {type CacheEvent} from '@gatehead/schema/engine-protocol';
import {blockTokens} from '@gatehead/schema/prompt-blocks';

/** Cached blocks of one engine. */
export class PrefixCache {
	readonly #capacity: number;
	readonly #blocks = new Set<string>();
	#events: CacheEvent[] = [];
	#sequence = 0;

	constructor(capacityBlocks: number) {
		this.#capacity = capacityBlocks;
	}

	/** Tokens of the prompt's leading blocks that are cached. */
	countCached(blocks: readonly string[]): number {
		let cached = 0;
		for (const block of blocks) {
			if (!this.#blocks.has(block)) {
				break;
			}

			cached += blockTokens;
		}

		return cached;
	}

	/** Keeps the blocks of a prompt. */
	store(blocks: readonly string[]): void {
		for (const block of blocks) {
			if (this.#blocks.delete(block)) {
				this.#blocks.add(block);
				continue;
			}

			this.#blocks.add(block);
			this.#note('stored', block);
		}

		this.#evict();
	}

	/** Events since the last call. */
	takeEvents(): CacheEvent[] {
		const events = this.#events;
		this.#events = [];
		return events;
	}

	#evict(): void {
		for (const block of this.#blocks) {
			if (this.#blocks.size <= this.#capacity) {
				return;
			}

			this.#blocks.delete(block);
			this.#note('evicted', block);
		}
	}

	#note(kind: CacheEvent['kind'], block: string): void {
		this.#sequence += 1;
		this.#events.push({sequence: this.#sequence, kind, block});
	}
}
