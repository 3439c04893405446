/**
 * Bytes collected from parts of any size. Small parts are copied into blocks:
 * each would keep the whole buffer that it arrived in, and an object of its
 * own, so that a body in tiny parts would take many times its size.
 */
import {Buffer} from 'node:buffer';

/** Sizes of the first block and of the largest one, in bytes; each block is twice as large as the one before. */
const firstBlockBytes = 4096;
const largestBlockBytes = 65_536;
/** Share of its buffer from which a large part is kept as it is. */
const keptShare = 0.75;
const noBytes = new Uint8Array();

/** A growing sequence of bytes. */
export class ByteBlocks {
	readonly #full: Uint8Array[] = [];
	#block: Uint8Array = noBytes;
	#used = 0;
	#length = 0;
	#reservedBytes = 0;

	/** Number of bytes collected. */
	get length(): number {
		return this.#length;
	}

	/** Memory of all blocks, in bytes. */
	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/** Appends a part, which must not change any more. */
	append(part: Uint8Array): void {
		if (part.length >= largestBlockBytes / 4 && part.length >= keptShare * part.buffer.byteLength) {
			this.#closeBlock();
			this.#full.push(part);
			this.#length += part.length;
			this.#reservedBytes += part.buffer.byteLength;
			return;
		}

		let rest = part;
		while (rest.length > 0) {
			if (this.#used === this.#block.length) {
				this.#addBlock();
			}

			const taken = rest.subarray(0, this.#block.length - this.#used);
			this.#block.set(taken, this.#used);
			this.#used += taken.length;
			this.#length += taken.length;
			rest = rest.subarray(taken.length);
		}
	}

	/** The bytes in order, block by block. */
	list(): readonly Uint8Array[] {
		return this.#used === 0 ? this.#full : [...this.#full, this.#block.subarray(0, this.#used)];
	}

	/** The bytes in one piece; copies them if they are in several blocks. */
	toBytes(): Uint8Array {
		const blocks = this.list();
		return blocks.length === 1 ? blocks[0] ?? noBytes : Buffer.concat(blocks, this.#length);
	}

	#addBlock(): void {
		const size = Math.min(largestBlockBytes, Math.max(firstBlockBytes, 2 * this.#block.length));
		this.#closeBlock();
		this.#block = Buffer.allocUnsafeSlow(size);
		this.#reservedBytes += size;
	}

	#closeBlock(): void {
		if (this.#used > 0) {
			this.#full.push(this.#block.subarray(0, this.#used));
		}

		this.#block = noBytes;
		this.#used = 0;
	}
}
