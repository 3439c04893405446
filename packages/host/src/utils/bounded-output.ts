/** A stream for log lines that drops and counts them when its reader is slow, instead of blocking or buffering without limit. */
import {Writable, type Writable as Output} from 'node:stream';

/** Forwards lines to `output` while it buffers at most `maxBufferedBytes`. */
export class BoundedOutput extends Writable {
	/** Lines dropped because the output was destroyed, failed or was full. */
	dropped = 0;
	readonly #output: Output;
	readonly #maxBufferedBytes: number;

	constructor(output: Output, maxBufferedBytes: number) {
		super({decodeStrings: false});
		this.#output = output;
		this.#maxBufferedBytes = maxBufferedBytes;
		// An unhandled `error` event, as from a closed pipe, would end the process
		output.on('error', () => {
			this.dropped += 1;
		});
	}

	override _write(line: string | Uint8Array, _encoding: BufferEncoding, done: (error?: Error) => void): void {
		if (this.#output.destroyed || this.#output.writableLength > this.#maxBufferedBytes) {
			this.dropped += 1;
		} else {
			this.#output.write(line);
		}

		done();
	}
}
