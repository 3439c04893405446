/** A sum whose amounts lose half of their value every half-life. */
export class HalfLifeSum {
	readonly #halfLifeMs: number;
	#value = 0;
	#at = Number.NEGATIVE_INFINITY;

	constructor(halfLifeMs: number) {
		this.#halfLifeMs = halfLifeMs;
	}

	add(amount: number, now: number): void {
		this.#value = this.valueAt(now) + amount;
		this.#at = Math.max(now, this.#at);
	}

	valueAt(now: number): number {
		return this.#value === 0 ? 0 : this.#value * (2 ** ((this.#at - now) / this.#halfLifeMs));
	}
}
