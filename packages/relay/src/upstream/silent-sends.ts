/**
 * Sends that were given up before any answer, and endpoints that the directory
 * calls gone without having left in order. Together they are evidence of an
 * end that cut no connection; alone, a request that takes long is silent too.
 * Neither safety nor efficiency rests here.
 */
import {type ContentId} from '@gatehead/policy/relay/crash-suspects';

/** How long such sends are kept, in milliseconds: an endpoint that falls silent is known to be gone after some heartbeats. */
const keepMs = 15_000;
/** Sends kept, and endpoints: those of a hall. */
const mostKept = 512;

/** A send that was given up, at an endpoint's start. */
export type SilentSend = {
	readonly content: ContentId;
	readonly end: string;
	readonly at: number;
};

/** One host's memory of both. */
export class SilentSends {
	#sends: SilentSend[] = [];
	readonly #gone = new Set<string>();

	/** Notes a send that was given up. */
	note(send: SilentSend): void {
		this.#sends = this.#sends.filter(({at}) => send.at - at < keepMs).slice(1 - mostKept);
		this.#sends.push(send);
	}

	/** Whether what would have been an end is known to be one. */
	isGone(end: string): boolean {
		return this.#gone.has(end);
	}

	/** Notes that an endpoint is gone; returns the sends that it ended. */
	noteGone(gone: string, now: number): SilentSend[] {
		this.#gone.add(gone);
		if (this.#gone.size > mostKept) {
			this.#gone.delete(this.#gone.keys().next().value ?? '');
		}

		const ended = this.#sends.filter(({end, at}) => end === gone && now - at < keepMs);
		this.#sends = this.#sends.filter(({end}) => end !== gone);
		return ended;
	}
}
