/** Receives a response's body without losing what arrived before its connection failed. Safety: every client reads bodies here, so that none takes a truncated one for complete. */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {ByteBlocks} from '@gatehead/policy/utils/byte-blocks';
import {ignore} from '@gatehead/policy/utils/ignore';
import {checkEnd} from './response-end.js';

/** Bytes received and not yet taken above which the response is paused. */
const maxQueuedBytes = 16_384;

/** Chunks that have arrived and are not taken yet. Several are copied together: an object for each of many tiny ones would take a hundred times their size. */
class ChunkQueue {
	#single: Uint8Array | undefined;
	#blocks = new ByteBlocks();

	get length(): number {
		return this.#blocks.length + (this.#single?.length ?? 0);
	}

	push(chunk: Uint8Array): void {
		if (this.length === 0) {
			this.#single = chunk;
			return;
		}

		if (this.#single !== undefined) {
			this.#blocks.append(this.#single);
			this.#single = undefined;
		}

		this.#blocks.append(chunk);
	}

	/** Removes and returns all bytes, in order. */
	takeAll(): readonly Uint8Array[] {
		const taken = this.#single === undefined ? this.#blocks.list() : [this.#single];
		this.#single = undefined;
		this.#blocks = new ByteBlocks();
		return taken;
	}
}

/** Yields the bytes that arrive, then throws if the response is truncated. Node's own iterator discards the chunks that it has buffered when a response fails. */
export async function * receiveChunks(response: IncomingMessage): AsyncGenerator<Uint8Array> {
	const queue = new ChunkQueue();
	let receivedBytes = 0;
	let hasEnded = false;
	let failure: Error | undefined;
	let isPauseDue = false;
	let pausedSocket: Socket | undefined;
	let wake: () => void = ignore;
	const finish = (error?: Error) => {
		failure = hasEnded ? failure : error;
		hasEnded = true;
		wake();
	};

	const pauseIfFull = () => {
		isPauseDue = false;
		// A complete response leaves its connection to the next request
		if (queue.length > maxQueuedBytes && !hasEnded && !response.complete) {
			pausedSocket = response.socket;
			// Without this, Node reads on, and keeps an object for each chunk of the response
			pausedSocket.pause();
			response.pause();
		}
	};

	const resume = () => {
		pausedSocket?.resume();
		pausedSocket = undefined;
		response.resume();
	};

	const waitForMore = async () => new Promise<void>(resolve => {
		wake = resolve;
	});

	response.on('data', (chunk: Uint8Array) => {
		queue.push(chunk);
		receivedBytes += chunk.length;
		if (queue.length > maxQueuedBytes && !isPauseDue) {
			isPauseDue = true;
			// Not at once: Node would keep an object for each chunk left of the same read
			process.nextTick(pauseIfFull);
		}

		wake();
	});
	response.once('end', () => {
		finish();
	});
	// Never removed: an error may follow the end
	response.on('error', finish);
	response.once('close', () => {
		finish(new Error('the connection closed'));
	});
	try {
		for (;;) {
			while (queue.length > 0) {
				yield * queue.takeAll();
			}

			if (hasEnded) {
				break;
			}

			resume();
			await waitForMore();
		}

		if (failure !== undefined) {
			throw failure;
		}

		await checkEnd(response, receivedBytes);
	} finally {
		response.destroy();
	}
}
