/** Buffers the body of an HTTP message, up to a size limit and to the memory that this host has for it. */
import {ByteBlocks} from '@gatehead/policy/utils/byte-blocks';
import {type ByteSource, type IncomingShare} from './incoming-memory.js';

export type ReadLimits = {
	readonly maxBytes: number;
	readonly makeTooLarge: () => Error;
	/** Share of the host's memory that the body takes; absent: it is not counted. */
	readonly share?: IncomingShare | undefined;
};

/** Reads the whole body of a message, or discards one that gave way; while the host has no room for it, waits instead of reading on. If the body exceeds `maxBytes`, ends the iteration and throws the error from `makeTooLarge`. */
export async function readBytes(body: AsyncIterable<Uint8Array>, source: ByteSource, {maxBytes, makeTooLarge, share}: ReadLimits): Promise<ByteBlocks> {
	let blocks = new ByteBlocks();
	for await (const part of body) {
		if (share?.isReleased === true) {
			// It gave way; the rest is read so that its response does not get lost
			blocks = new ByteBlocks();
			share.receive(part.length, 0);
			continue;
		}

		if (blocks.length + part.length > maxBytes) {
			throw makeTooLarge();
		}

		blocks.append(part);
		share?.receive(part.length, blocks.reservedBytes);
		if (share?.needsRoom === true) {
			await share.waitForRoom(source);
		}
	}

	return blocks;
}
