/** Batches crash reports to the other hosts. Heartbeats repeat the reports of held contents, so a lost batch only delays them. */
import {maxReported} from '@gatehead/policy/relay/crash-suspects';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {type CrashReport} from '@gatehead/schema/relay-message';

/** Batching window, in milliseconds: the requests that one crash loses are known at about the same time. */
const batchMs = 20;

export type CrashReportBatcherOptions = {
	readonly clock: Clock;
	readonly createReports: (digests: readonly string[]) => CrashReport[];
	/** Sends reports to all other hosts. */
	readonly broadcast: (reports: readonly CrashReport[]) => void;
};

/** Crash report batcher of one host. */
export class CrashReportBatcher {
	readonly #options: CrashReportBatcherOptions;
	readonly #digests = new Set<string>();
	#timer: Timer | undefined;

	constructor(options: CrashReportBatcherOptions) {
		this.#options = options;
	}

	/** Reports a content in the next batch. */
	add(digest: string): void {
		this.#digests.add(digest);
		this.#schedule();
	}

	/** Sends no more reports. */
	close(): void {
		this.#timer?.stop();
	}

	#schedule(): void {
		this.#timer ??= this.#options.clock.after(batchMs, () => {
			this.#timer = undefined;
			this.#flush();
		});
	}

	#flush(): void {
		const batch = [...this.#digests].slice(0, maxReported);
		for (const digest of batch) {
			this.#digests.delete(digest);
		}

		const reports = this.#options.createReports(batch);
		if (reports.length > 0) {
			this.#options.broadcast(reports);
		}

		if (this.#digests.size > 0) {
			this.#schedule();
		}
	}
}
