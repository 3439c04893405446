/** Writes the body of a replica's response, framed in chunks or ended by its connection, and cuts it where a test wants. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

/** How the end of a response is marked. */
export type ResponseFraming = 'chunks' | 'connection';

/** `end`: the response ends as its framing has it; `reset`: its connection is reset; `crash`: the replica ends, and closes all its connections. */
export type CutEnd = 'end' | 'reset' | 'crash';

/** Where and how a response is cut. */
export type ResponseCut = {
	/** Bytes of the body that are sent. */
	readonly bytes: number;
	readonly end: CutEnd;
	/** Time between the last byte and the cut, in milliseconds; absent: none. */
	readonly afterMs?: number;
};

export type BodyWriterParts = {
	readonly response: ServerResponse;
	readonly framing: ResponseFraming;
	/** Absent: the body is sent whole. */
	readonly cut: ResponseCut | undefined;
	/** Ends the whole replica. */
	readonly crash: () => void;
};

/** Writer of one response, whose head is not sent yet when it is made. */
export class BodyWriter {
	readonly #parts: BodyWriterParts;
	#sentBytes = 0;
	#isCut = false;

	constructor(parts: BodyWriterParts) {
		this.#parts = parts;
		if (parts.framing === 'connection') {
			parts.response.removeHeader('Transfer-Encoding');
			parts.response.removeHeader('Content-Length');
		}
	}

	/** Whether nothing more goes out. */
	get isOver(): boolean {
		return this.#isCut || this.#parts.response.destroyed;
	}

	write(text: string): void {
		const {response, cut} = this.#parts;
		const bytes = Buffer.from(text);
		response.flushHeaders();
		const left = (cut?.bytes ?? Number.POSITIVE_INFINITY) - this.#sentBytes;
		if (this.isOver) {
			return;
		}

		this.#sentBytes += Math.min(left, bytes.length);
		response.write(bytes.subarray(0, left));
		if (cut !== undefined && left <= bytes.length) {
			this.#cutOff(cut);
		}
	}

	end(): void {
		if (!this.isOver) {
			this.#parts.response.end();
		}
	}

	#cutOff({end, afterMs = 0}: ResponseCut): void {
		const {response, crash} = this.#parts;
		this.#isCut = true;
		const ends: Readonly<Record<CutEnd, () => void>> = {
			end() {
				response.end();
			},
			reset() {
				response.socket?.resetAndDestroy();
			},
			crash,
		};
		if (afterMs > 0) {
			setTimeout(ends[end], afterMs);
		} else {
			ends[end]();
		}
	}
}
