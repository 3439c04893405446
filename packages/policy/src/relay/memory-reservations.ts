/**
 * Tracks decode memory that is reserved at endpoints but not yet in use by a
 * request of this host: reservations reported by other hosts, and own ones
 * whose request has not been sent. Each expires after its expected hold time,
 * so no release message is needed. Reports may be late or lost.
 */

/** Maximum hold time, in milliseconds: few responses take longer, and a stale reservation makes a free replica look occupied. */
const maxHoldMs = 10_000;

type Reservation = {
	readonly tokens: number;
	readonly until: number;
};

/** Reservations by endpoint. */
export class MemoryReservations {
	readonly #reservations = new Map<string, Reservation[]>();

	/** Records a reservation of `tokens` at an endpoint for `heldMs` milliseconds, capped at ten seconds. */
	add(endpoint: string, tokens: number, heldMs: number, now: number): void {
		const active = this.#listActive(endpoint, now);
		active.push({tokens, until: now + Math.min(heldMs, maxHoldMs)});
		this.#reservations.set(endpoint, active);
	}

	/** Returns the tokens currently reserved at an endpoint. */
	sum(endpoint: string, now: number): number {
		let tokens = 0;
		for (const reservation of this.#reservations.get(endpoint) ?? []) {
			tokens += reservation.until > now ? reservation.tokens : 0;
		}

		return tokens;
	}

	/** Removes all reservations of an endpoint. */
	forget(endpoint: string): void {
		this.#reservations.delete(endpoint);
	}

	#listActive(endpoint: string, now: number): Reservation[] {
		return (this.#reservations.get(endpoint) ?? []).filter(({until}) => until > now);
	}
}
