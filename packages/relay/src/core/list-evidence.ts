/**
 * Evidence that this host knows all endpoints that the directory lists, for
 * conclusions from what is not listed. Safety: the evidence is a read of the
 * directory that this host sent after the question came up, so a host that was
 * stopped or cut off never concludes from its outdated list.
 */
import {type Clock} from '@gatehead/policy/utils/clock';
import {waitFor} from '../utils/wait.js';
import {type DirectoryWatch} from './directory-watch.js';

/** `Retry-After` of a refusal that lacks this evidence, in milliseconds: another host may have it. */
export const unlistedRetryAfterMs = 300;
/** Maximum wait for the evidence, in milliseconds, and as a share of the time that the request has left. */
const maxWaitMs = 400;
const maxWaitShare = 1 / 4;
/** Minimum interval between reads, in milliseconds; requests that arrive in between share the next one. */
const readIntervalMs = 100;
/** Reads until one was sent after the question: one that was under way is shared. */
const maxReads = 2;

export type ListEvidenceParts = {
	readonly clock: Clock;
	readonly watch: () => Pick<DirectoryWatch, 'confirm' | 'listedAt' | 'isRecovered'>;
};

/** Evidence of one host. */
export class ListEvidence {
	readonly #parts: ListEvidenceParts;
	#reading: Promise<void> | undefined;
	#readAt = Number.NEGATIVE_INFINITY;

	constructor(parts: ListEvidenceParts) {
		this.#parts = parts;
	}

	/** Whether this host knows all endpoints that were listed at `at`, and those whose entries an outage had removed before. */
	isComplete(at: number): boolean {
		const {isRecovered, listedAt} = this.#parts.watch();
		return isRecovered && listedAt >= at;
	}

	/** Reads the directory, so that this host knows all endpoints that were listed at `at`; waits no longer than a request with `leftMs` milliseconds left may. */
	async refresh(at: number, leftMs: number): Promise<void> {
		const {clock} = this.#parts;
		const controller = new AbortController();
		const reading = this.#readSince(at);
		await Promise.race([reading, waitFor(clock, Math.min(maxWaitMs, maxWaitShare * leftMs), controller.signal)]);
		controller.abort();
	}

	async #readSince(at: number): Promise<void> {
		for (let reads = 0; reads < maxReads && this.#parts.watch().listedAt < at; reads += 1) {
			this.#reading ??= this.#read().finally(() => {
				this.#reading = undefined;
			});
			await this.#reading;
		}
	}

	async #read(): Promise<void> {
		const {clock, watch} = this.#parts;
		const pauseMs = this.#readAt + readIntervalMs - clock.now();
		if (pauseMs > 0) {
			await waitFor(clock, pauseMs, new AbortController().signal);
		}

		this.#readAt = clock.now();
		await watch().confirm();
	}
}
