/**
 * Tracks a prompt that its decode replica prefills itself: the prompt is added
 * to the replica's prefill queue and announced to peers, which include it in
 * their estimates. A prefill that is neither finished nor abandoned would make
 * the replica look overdue for good.
 */
import {type PendingPrefill, type PrefillQueue} from '@gatehead/policy/relay/prefill-queue';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type LoadGossip} from '../peer/load-gossip.js';
import {type Endpoints} from '../upstream/endpoints.js';

export type DecodePrefillParts = {
	readonly clock: Clock;
	readonly endpoints: Pick<Endpoints, 'queueOf'>;
	readonly news: Pick<LoadGossip, 'announcePrompt'>;
};

/** The prefill of one request's prompt at its decode replica, while it runs. */
export class DecodePrefill {
	readonly #parts: DecodePrefillParts;
	#current: {readonly queue: PrefillQueue; readonly reading: PendingPrefill} | undefined;

	constructor(parts: DecodePrefillParts) {
		this.#parts = parts;
	}

	/** Registers a prefill of `tokens` prompt tokens at an endpoint; returns the expected duration in milliseconds. */
	begin(endpoint: string, tokens: number): number {
		const {clock, endpoints, news} = this.#parts;
		const queue = endpoints.queueOf(endpoint);
		const reading = queue.start(tokens, clock.now());
		news.announcePrompt(endpoint, tokens);
		this.#current = {queue, reading};
		return reading.expectedMs;
	}

	/** Marks the prefill as done; called at the request's first event. */
	finish(): void {
		this.#current?.queue.complete(this.#current.reading, this.#parts.clock.now());
		this.#current = undefined;
	}

	/** Removes the prefill from the queue unless it has finished. */
	abandon(): void {
		this.#current?.queue.abandon(this.#current.reading);
		this.#current = undefined;
	}
}
