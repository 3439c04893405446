/**
 * Waits during a start for what passes by itself, such as an address that a
 * predecessor still holds. A process that ends instead is started again ever
 * more slowly by its supervisor.
 */
import {type Clock} from '@gatehead/policy/utils/clock';
import {toFailure} from '@gatehead/schema/failure';
import {type Log} from './log.js';

/** Interval between attempts, in milliseconds. */
const retryMs = 100;

export type StartWaitParts = {
	readonly clock: Clock;
	readonly log: Log;
	/** Maximum duration of a wait, in milliseconds. */
	readonly maxMs: number;
	/** Aborted once the process is to stop. */
	readonly stopping: AbortSignal;
};

/** Waits of a start. */
export class StartWait {
	readonly #parts: StartWaitParts;

	constructor(parts: StartWaitParts) {
		this.#parts = parts;
	}

	/**
	 * Repeats a step until it succeeds. Throws its error once that cannot pass or the wait is over, and the
	 * reason of `stopping` if the process is to stop meanwhile. `subject` names the step in the log.
	 */
	async retry<Result>(subject: string, step: () => Promise<Result> | Result, canPass: (error: unknown) => boolean): Promise<Result> {
		const {clock, log, maxMs} = this.#parts;
		let startedAt: number | undefined;
		for (;;) {
			try {
				const result = await step();
				if (startedAt !== undefined) {
					log('startResumed', {subject, waitedMs: Math.round(clock.now() - startedAt)});
				}

				return result;
			} catch (error) {
				const now = clock.now();
				if (!canPass(error) || (startedAt !== undefined && now - startedAt >= maxMs)) {
					throw error;
				}

				if (startedAt === undefined) {
					startedAt = now;
					const since = Date.now();
					log('startWaiting', {
						subject, detail: toFailure(error).message, since: new Date(since).toISOString(), until: new Date(since + maxMs).toISOString(),
					});
				}
			}

			await this.#pause();
		}
	}

	async #pause(): Promise<void> {
		const {clock, stopping} = this.#parts;
		stopping.throwIfAborted();
		await new Promise<void>(resolve => {
			const timer = clock.after(retryMs, () => {
				stopping.removeEventListener('abort', stop);
				resolve();
			});
			const stop = () => {
				timer.stop();
				resolve();
			};

			stopping.addEventListener('abort', stop, {once: true});
		});
		stopping.throwIfAborted();
	}
}
