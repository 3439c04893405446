/** Ring buffer of the latest events of a process. Events never contain prompts or generated tokens. */
import {type Event} from '@gatehead/schema/event';
import {type HybridClock} from './hybrid-clock.js';

/** An event without its timestamp and host, which the timeline adds. */
export type TimelineEntry = Omit<Event, 'clock' | 'host'>;

/** Keeps up to `capacity` events. */
export class Timeline {
	/** Number of events overwritten, so that readers can detect gaps. */
	dropped = 0;
	readonly #host: string;
	readonly #clock: HybridClock;
	readonly #capacity: number;
	readonly #events: Event[] = [];
	#oldest = 0;

	constructor(host: string, clock: HybridClock, capacity: number) {
		this.#host = host;
		this.#clock = clock;
		this.#capacity = capacity;
	}

	/** Adds an event, and drops the oldest one if the buffer is full. */
	record(entry: TimelineEntry): void {
		const event: Event = {clock: this.#clock.stamp(), host: this.#host, ...entry};
		if (this.#events.length < this.#capacity) {
			this.#events.push(event);
			return;
		}

		this.#events[this.#oldest] = event;
		this.#oldest = (this.#oldest + 1) % this.#capacity;
		this.dropped += 1;
	}

	/** Events after a timestamp, oldest first. */
	listAfter(stamp: string): Event[] {
		const ordered = [...this.#events.slice(this.#oldest), ...this.#events.slice(0, this.#oldest)];
		return ordered.filter(each => each.clock > stamp);
	}
}
