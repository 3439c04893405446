/** Hybrid logical clock: timestamps follow the wall clock, never decrease, and exceed every timestamp received, so that causes sort before their effects. Not for timeouts. */

const wallDigits = 14;
const logicalDigits = 6;

/** Clock of one process. A timestamp is `<wall-clock ms>.<logical counter>.<host>`, zero-padded so that text order is time order. */
export class HybridClock {
	readonly #host: string;
	readonly #wall: () => number;
	#last = 0;
	#logical = 0;

	constructor(host: string, wall: () => number) {
		this.#host = host;
		this.#wall = wall;
	}

	/** Returns a timestamp greater than all returned or received before. */
	stamp(): string {
		const wall = Math.floor(this.#wall());
		if (wall > this.#last) {
			this.#last = wall;
			this.#logical = 0;
		} else {
			this.#logical += 1;
		}

		return `${String(this.#last).padStart(wallDigits, '0')}.${String(this.#logical).padStart(logicalDigits, '0')}.${this.#host}`;
	}

	/** Advances the clock to at least a timestamp received from a peer. */
	receive(stamp: string): void {
		const [wall, logical] = stamp.split('.');
		const received = Number(wall);
		if (!Number.isFinite(received) || received < this.#last) {
			return;
		}

		if (received > this.#last) {
			this.#last = received;
			this.#logical = 0;
		}

		this.#logical = Math.max(this.#logical, Number(logical) || 0);
	}
}
