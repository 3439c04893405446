/**
 * Sends that the relay gave up, and endpoints that the directory reports gone
 * although they did not drain. Together they show a crash that closed no
 * connection; an abandoned send alone may only mean a slow request.
 */
import {type ContentId} from '@gatehead/policy/relay/crash-suspects';

/** Retention of an abandoned send, in milliseconds: an unresponsive endpoint is known to be gone after a few missed heartbeats. */
const retentionMs = 15_000;
/** Most sends kept, and most endpoints: enough for a hall. */
const entryLimit = 512;

/** An abandoned send, and the start of the endpoint that it was sent to. */
export type AbandonedSend = {
	readonly content: ContentId;
	readonly startId: string;
	readonly at: number;
};

/** Abandoned sends and gone endpoints, as one host knows them. */
export class AbandonedSends {
	#sends: AbandonedSend[] = [];
	readonly #goneStarts = new Set<string>();

	add(send: AbandonedSend): void {
		this.#sends = this.#sends.filter(({at}) => send.at - at < retentionMs).slice(1 - entryLimit);
		this.#sends.push(send);
	}

	/** Whether an endpoint's start is known to be gone. */
	isGone(startId: string): boolean {
		return this.#goneStarts.has(startId);
	}

	/** Records that an endpoint's start is gone; returns its abandoned sends, once. */
	markGone(goneId: string, now: number): AbandonedSend[] {
		this.#goneStarts.add(goneId);
		if (this.#goneStarts.size > entryLimit) {
			this.#goneStarts.delete(this.#goneStarts.keys().next().value ?? '');
		}

		const lost = this.#sends.filter(({startId, at}) => startId === goneId && now - at < retentionMs);
		this.#sends = this.#sends.filter(({startId}) => startId !== goneId);
		return lost;
	}
}
