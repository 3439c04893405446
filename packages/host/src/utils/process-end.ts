/** Logs why the process ends, and ends it once its last lines have left. A process that is ended by SIGKILL, or by V8 at its heap limit, leaves no such line. */
import process from 'node:process';
import {type Writable} from 'node:stream';
import {setTimeout as pause} from 'node:timers/promises';
import {type Log} from './log.js';

/** Why a process ends; `overdue`: a step of its stop did not end in time; `unknown`: nothing is left to do, or a part of it has called `process.exit`. */
export type EndReason = 'signal' | 'overdue' | 'failure' | 'uncaughtException' | 'unhandledRejection' | 'unknown';

const millisecondsPerSecond = 1000;
/** Longest time for which the end waits for the reader of its lines, in milliseconds. */
const maxFlushMs = 1000;
/** Time for which it does so even if none is left, in milliseconds; less than what remains of a grace period behind the time of a stop. */
const lateFlushMs = 50;
const flushPollMs = 5;

/** Resolves once an output has passed on all that it buffers, or after `maxMs` milliseconds. */
async function flush(output: Pick<Writable, 'writableLength' | 'destroyed'>, maxMs: number): Promise<void> {
	const endsAt = performance.now() + maxMs;
	while (output.writableLength > 0 && !output.destroyed && performance.now() < endsAt) {
		await pause(flushPollMs);
	}
}

/** The end of this process. */
export class ProcessEnd {
	readonly #output: Pick<Writable, 'writableLength' | 'destroyed'>;
	#reason: EndReason = 'unknown';
	#detail = '';

	/** `log` must have written a line when it returns: nothing asynchronous runs any more. `output`: where all other lines go. */
	constructor(log: Log, output: Pick<Writable, 'writableLength' | 'destroyed'>) {
		this.#output = output;
		// Node still prints the error and ends the process with 1: its state may be broken
		process.on('uncaughtExceptionMonitor', (error: unknown, origin) => {
			this.#reason = origin;
			this.#detail = error instanceof Error ? error.message : String(error);
		});
		process.once('exit', exitCode => {
			log('processEnded', {
				reason: this.#reason, detail: this.#detail, exitCode, uptimeMs: Math.round(process.uptime() * millisecondsPerSecond), residentBytes: process.memoryUsage.rss(),
			});
		});
	}

	/** Ends the process for a reason, once its lines have left or `leftMs` milliseconds have passed. `process.exit` drops lines that its output still buffers. */
	async exit(exitCode: number, reason: EndReason, detail: string, leftMs = maxFlushMs): Promise<never> {
		this.#reason = reason;
		this.#detail = detail;
		await flush(this.#output, Math.min(Math.max(leftMs, lateFlushMs), maxFlushMs));
		process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- the process's own end
	}
}
