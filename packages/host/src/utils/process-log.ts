/** Log lines of a process that has no log of its own yet, or is about to end. */
import {writeSync} from 'node:fs';
import type process from 'node:process';
import {codes} from '@gatehead/schema/codes';
import {errorCode} from './error-code.js';
import {getLogLevel, type Log} from './log.js';

/** Longest time for which a line waits for its reader, in milliseconds. */
const maxWaitMs = 50;
/** Time between two attempts, in milliseconds. */
const retryMs = 5;

function sleep(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, milliseconds);
}

/** Writes a text before it returns. The stream of a pipe makes its descriptor non-blocking, so that a full one takes a part or nothing. */
function write(fd: number, text: string): void {
	const endsAt = performance.now() + maxWaitMs;
	let rest = new TextEncoder().encode(text);
	while (rest.length > 0) {
		try {
			rest = rest.subarray(writeSync(fd, rest));
		} catch (error) {
			if (errorCode(error) !== 'EAGAIN' || performance.now() >= endsAt) {
				throw error;
			}

			sleep(retryMs);
		}
	}
}

/** Creates a log that has written each line when it returns, unless its reader does not read for longer than a moment. */
export function createProcessLog({fd}: typeof process.stdout | typeof process.stderr): Log {
	return (code, fields = {}) => {
		const line = JSON.stringify({
			level: getLogLevel(code), message: codes[code].advice, code: codes[code].number, name: code, time: new Date().toISOString(), ...fields,
		});
		try {
			write(fd, `${line}\n`);
		} catch {
			// The reader is gone or does not read, and there is no other place to report it
		}
	};
}
