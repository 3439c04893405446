/** A hybrid logical clock: wall time that never goes back and passes any stamp received, so that a cause sorts before its effect. Neither safety nor efficiency rests here: no time-out follows it. */

const wallDigits = 14;
const logicalDigits = 6;

/** One process's clock. A stamp is `wall ms.logical.host`, ordered as text. */
export class HybridClock {
	readonly #host: string;
	readonly #wall: () => number;
	#last = 0;
	#logical = 0;

	constructor(host: string, wall: () => number) {
		this.#host = host;
		this.#wall = wall;
	}

	/** A stamp later than all before it. */
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

	/** Moves past a stamp that came with a message. */
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
