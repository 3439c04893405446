/**
 * Log lines on their way out. A reader that is slow or has stopped never
 * blocks the process: beyond a bound lines are dropped and counted.
 * Neither safety nor efficiency rests here.
 */
import {Writable, type Writable as Output} from 'node:stream';

/** Passes lines on while few bytes wait. */
export class BoundedOutput extends Writable {
	/** Lines dropped because the reader did not take them. */
	dropped = 0;
	readonly #output: Output;
	readonly #mostBytes: number;

	constructor(output: Output, mostBytes: number) {
		super({decodeStrings: false});
		this.#output = output;
		this.#mostBytes = mostBytes;
		// A reader that went away must not end the process; its lines are dropped like those of a slow one
		output.on('error', () => {
			this.dropped += 1;
		});
	}

	override _write(line: string | Uint8Array, _encoding: BufferEncoding, done: (error?: Error) => void): void {
		if (this.#output.destroyed || this.#output.writableLength > this.#mostBytes) {
			this.dropped += 1;
		} else {
			this.#output.write(line);
		}

		done();
	}
}
