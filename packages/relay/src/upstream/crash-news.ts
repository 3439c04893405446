/** Gathers what is new about contents that end endpoints, and tells it in a few messages. Efficiency only: heartbeats repeat what matters. */
import {maxReported} from '@gatehead/policy/relay/crash-suspects';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {type CrashReport} from '@gatehead/schema/relay-message';

/** Time for which news are gathered, in milliseconds: what one end takes is known together. */
const tellMs = 20;

/** What news are made from, and where they go. */
export type CrashNewsParts = {
	readonly clock: Clock;
	readonly report: (digests: readonly string[]) => CrashReport[];
	/** Tells all other hosts. */
	readonly tell: (reports: readonly CrashReport[]) => void;
};

/** One host's news. */
export class CrashNews {
	readonly #parts: CrashNewsParts;
	readonly #digests = new Set<string>();
	#timer: Timer | undefined;

	constructor(parts: CrashNewsParts) {
		this.#parts = parts;
	}

	/** Tells of a content soon, with the others of the same moment. */
	add(digest: string): void {
		this.#digests.add(digest);
		this.#schedule();
	}

	/** Tells nothing more. */
	close(): void {
		this.#timer?.stop();
	}

	#schedule(): void {
		this.#timer ??= this.#parts.clock.after(tellMs, () => {
			this.#timer = undefined;
			this.#tell();
		});
	}

	#tell(): void {
		const told = [...this.#digests].slice(0, maxReported);
		for (const digest of told) {
			this.#digests.delete(digest);
		}

		const reports = this.#parts.report(told);
		if (reports.length > 0) {
			this.#parts.tell(reports);
		}

		if (this.#digests.size > 0) {
			this.#schedule();
		}
	}
}
