/**
 * Observes the time between the events of a stream from one replica. Events
 * are recorded a few at a time: one by one, a host with hundreds of streams
 * would spend much of its CPU time on them.
 */
import {type Clock} from '@gatehead/policy/utils/clock';
import {type Endpoint} from '@gatehead/schema/routing';
import {type Endpoints} from '../upstream/endpoints.js';

/** Minimum interval between two records, in milliseconds: a fifth of a report interval. */
const recordIntervalMs = 100;

export type StreamPaceParts = {
	readonly clock: Clock;
	readonly endpoints: Pick<Endpoints, 'fillOf' | 'managed'>;
	readonly endpoint: Pick<Endpoint, 'id' | 'service'>;
	readonly capacityTokens: number;
};

/** Number of an event in its run, and when it was received. */
type ReceivedEvent = {
	readonly count: number;
	readonly at: number;
};

/** Pace of one run of a stream. */
export class StreamPace {
	readonly #parts: StreamPaceParts;
	/** Latest event. */
	#latest: ReceivedEvent | undefined;
	/** Latest event that is part of a record, or the first one. */
	#recorded: ReceivedEvent | undefined;

	constructor(parts: StreamPaceParts) {
		this.#parts = parts;
	}

	/** Handles received events; `count`: events of the stream so far. */
	note(count: number): void {
		this.#record(count, recordIntervalMs);
	}

	/** Leaves out the time since the last event, in which the stream was not read. */
	restart(): void {
		this.#latest = undefined;
		this.#recorded = undefined;
	}

	/** Handles the end of the run after `count` events; records those of a stream shorter than the interval. */
	finish(count: number): void {
		this.#record(count, 0);
	}

	#record(count: number, minMs: number): void {
		const {clock, endpoints, endpoint, capacityTokens} = this.#parts;
		if (!endpoints.managed.isManaged) {
			return;
		}

		const now = clock.now();
		if (count > (this.#latest?.count ?? 0)) {
			this.#latest = {count, at: now};
		}

		// The first event also includes the prompt
		this.#recorded ??= this.#latest;
		if (this.#latest === undefined || this.#recorded === undefined) {
			return;
		}

		const units = this.#latest.count - this.#recorded.count;
		const tookMs = this.#latest.at - this.#recorded.at;
		if (units > 0 && tookMs >= minMs) {
			endpoints.managed.recordEvents(endpoint, units, tookMs, endpoints.fillOf(endpoint.id, capacityTokens));
			this.#recorded = this.#latest;
		}
	}
}
