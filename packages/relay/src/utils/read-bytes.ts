/** Buffers the body of an HTTP message, up to a size limit. */

/** Reads the whole body. If it exceeds `maxBytes`, ends the iteration and throws the error from `makeTooLarge`. */
export async function readBytes(body: AsyncIterable<Uint8Array>, maxBytes: number, makeTooLarge: () => Error): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxBytes) {
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
