/**
 * Reads a message's body whole, up to a bound. Neither safety nor efficiency
 * rests here: whether the body was cut is for its reader to find out.
 */
import {type IncomingMessage} from 'node:http';

/** Reads all bytes; beyond `most` it raises what `makeTooLarge` makes, and the message is destroyed. */
export async function readBytes(message: IncomingMessage, most: number, makeTooLarge: () => Error): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > most) {
			throw makeTooLarge();
		}

		chunks.push(chunk);
	}

	return joinChunks(chunks, size);
}

function joinChunks(chunks: readonly Uint8Array[], size: number): Uint8Array {
	const [first] = chunks;
	if (chunks.length === 1 && first !== undefined) {
		return first;
	}

	const body = new Uint8Array(size);
	let offset = 0;
	for (const chunk of chunks) {
		body.set(chunk, offset);
		offset += chunk.length;
	}

	return body;
}
