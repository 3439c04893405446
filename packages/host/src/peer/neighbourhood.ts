/**
 * With whom one host exchanges heartbeats: neighbours that it chose, whose
 * silence it judges, and hosts that chose it, whom it answers. Efficiency.
 */

/** One host at the other end of heartbeats. */
export type Neighbour = {
	/** Own clock's instant of the last heartbeat heard. */
	heardAt: number;
	/** Own clock's instant of its last heartbeat that was no answer: a neighbour that chose this host as well beats by itself, and does not answer. */
	beatAt: number;
	/** Sequence of the newest record sent. */
	sent: number;
	/** When a broken link was last tried again. */
	retriedAt: number;
};

/** What is expected of neighbours: an answer to what was sent at `sentAt`, or a heartbeat in the `beatMs` before `dueAt`, by the own clock in milliseconds. */
export type Expectation = {
	readonly sentAt: number;
	readonly dueAt: number;
	readonly beatMs: number;
};

/** A neighbour of whom nothing is known. */
export function makeNeighbour(now: number): Neighbour {
	return {
		heardAt: now, beatAt: Number.NEGATIVE_INFINITY, sent: 0, retriedAt: Number.NEGATIVE_INFINITY,
	};
}

/** The neighbours of one host. */
export class Neighbourhood {
	readonly #chosen = new Map<string, Neighbour>();
	readonly #answered = new Map<string, Neighbour>();

	/** Neighbours chosen here: heartbeats go out to them and are expected back. */
	get chosen(): ReadonlyMap<string, Neighbour> {
		return this.#chosen;
	}

	/** Hosts that chose this one. */
	get answered(): ReadonlyMap<string, Neighbour> {
		return this.#answered;
	}

	/** Takes over a new choice. */
	choose(hosts: readonly string[], now: number): void {
		const wanted = new Set(hosts);
		for (const host of this.#chosen.keys()) {
			if (!wanted.has(host)) {
				this.#chosen.delete(host);
			}
		}

		for (const host of wanted) {
			if (!this.#chosen.has(host)) {
				this.#chosen.set(host, this.#answered.get(host) ?? makeNeighbour(now));
				this.#answered.delete(host);
			}
		}
	}

	/** Notes a heartbeat of a host that chose this one. */
	answer(host: string, now: number): Neighbour {
		const neighbour = this.#answered.get(host) ?? makeNeighbour(now);
		neighbour.heardAt = now;
		this.#answered.set(host, neighbour);
		return neighbour;
	}

	/** Notes a broken link; what was sent over it has to be sent again. */
	lose(host: string): Neighbour | undefined {
		this.#answered.delete(host);
		const neighbour = this.#chosen.get(host);
		if (neighbour !== undefined) {
			neighbour.sent = 0;
		}

		return neighbour;
	}

	/** Chosen neighbours that were silent for too long. */
	listSilent(now: number, silenceMs: number): string[] {
		return [...this.#chosen].filter(([, {heardAt}]) => now - heardAt > silenceMs).map(([host]) => host);
	}

	/** Chosen neighbours whose word is overdue: an answer to a heartbeat, or, where they beat by themselves, their next heartbeat. */
	listOverdue({sentAt, dueAt, beatMs}: Expectation): string[] {
		const isBeating = ({beatAt}: Neighbour) => sentAt - beatAt < 2 * beatMs;
		return [...this.#chosen]
			.filter(([, neighbour]) => neighbour.heardAt < (isBeating(neighbour) ? dueAt - beatMs : sentAt))
			.map(([host]) => host);
	}

	/** Forgets hosts that no longer choose this one. */
	forget(now: number, silenceMs: number): void {
		for (const [host, {heardAt}] of this.#answered) {
			if (now - heardAt > silenceMs) {
				this.#answered.delete(host);
			}
		}
	}

	/** Starts all silences anew, as after a late wake-up. */
	hearAll(now: number): void {
		for (const neighbour of this.#chosen.values()) {
			neighbour.heardAt = now;
		}
	}
}
