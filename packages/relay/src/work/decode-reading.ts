/**
 * A prompt that its decode replica reads itself, kept in that replica's queue
 * of readings and told to peers, so that others do not meet it there unaware.
 * Efficiency only: a reading that is neither finished nor abandoned would
 * make its replica look overdue for good.
 */
import {type Reading, type ReadingQueue} from '@gatehead/policy/relay/reading-queue';
import {type Clock} from '@gatehead/policy/utils/clock';
import {type LoadNews} from '../peer/load-news.js';
import {type Endpoints} from '../upstream/endpoints.js';

/** What readings are noted with. */
export type DecodeReadingParts = {
	readonly clock: Clock;
	readonly endpoints: Pick<Endpoints, 'queueOf'>;
	readonly news: Pick<LoadNews, 'tellReading'>;
};

/** The reading of one request's prompt at its decode replica, while there is one. */
export class DecodeReading {
	readonly #parts: DecodeReadingParts;
	#underWay: {readonly queue: ReadingQueue; readonly reading: Reading} | undefined;

	constructor(parts: DecodeReadingParts) {
		this.#parts = parts;
	}

	/** A replica is to read so many tokens now; returns how long that is expected to take, in milliseconds. */
	begin(endpoint: string, tokens: number): number {
		const {clock, endpoints, news} = this.#parts;
		const queue = endpoints.queueOf(endpoint);
		const reading = queue.begin(tokens, clock.now());
		news.tellReading(endpoint, tokens);
		this.#underWay = {queue, reading};
		return reading.expectedMs;
	}

	/** The replica has read the prompt, as the request's first event shows. */
	finish(): void {
		this.#underWay?.queue.finish(this.#underWay.reading, this.#parts.clock.now());
		this.#underWay = undefined;
	}

	/** Nothing comes of it any more, unless it is finished. */
	abandon(): void {
		this.#underWay?.queue.abandon(this.#underWay.reading);
		this.#underWay = undefined;
	}
}
