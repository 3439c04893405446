/** The process's bounded ring of typed events. Holds no token and no prompt. Neither safety nor efficiency rests here. */
import {type Event} from '@gatehead/schema/event';
import {type HybridClock} from './hybrid-clock.js';

/** What a task notes; stamp and host are added here. */
export type Note = Omit<Event, 'clock' | 'host'>;

/** A ring of the newest events. */
export class Timeline {
	/** Events that no longer fit, so that a reader knows of the gap. */
	dropped = 0;
	readonly #host: string;
	readonly #clock: HybridClock;
	readonly #most: number;
	readonly #events: Event[] = [];
	#first = 0;

	constructor(host: string, clock: HybridClock, most: number) {
		this.#host = host;
		this.#clock = clock;
		this.#most = most;
	}

	/** Adds an event. */
	note(note: Note): void {
		const event: Event = {clock: this.#clock.stamp(), host: this.#host, ...note};
		if (this.#events.length < this.#most) {
			this.#events.push(event);
			return;
		}

		this.#events[this.#first] = event;
		this.#first = (this.#first + 1) % this.#most;
		this.dropped += 1;
	}

	/** Events later than a stamp, oldest first. */
	listAfter(stamp: string): Event[] {
		const ordered = [...this.#events.slice(this.#first), ...this.#events.slice(0, this.#first)];
		return ordered.filter(each => each.clock > stamp);
	}
}
