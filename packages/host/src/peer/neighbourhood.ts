/**
 * The peers of one host in the heartbeat protocol: neighbours that it chose
 * and monitors, and hosts that chose it and get answers. Efficiency only.
 */

/** Heartbeat state of one peer; times are on the local clock, in milliseconds. */
export type Neighbour = {
	/** Time of the last heartbeat or answer received. */
	lastHeardAt: number;
	/** Time of the last heartbeat that was not an answer; a neighbour that also chose this host sends heartbeats instead of answers. */
	lastHeartbeatAt: number;
	/** Sequence number up to which member records were sent. */
	sentSequence: number;
	/** Time of the last retry of a broken link. */
	lastRetryAt: number;
};

/** Expected of each neighbour: an answer after `sentAt`, or a heartbeat in the `heartbeatMs` before `dueAt`; on the local clock, in milliseconds. */
export type ResponseDeadline = {
	readonly sentAt: number;
	readonly dueAt: number;
	readonly heartbeatMs: number;
};

/** Creates the state of a new peer, with `now` as the start of its silence. */
export function createNeighbour(now: number): Neighbour {
	return {
		lastHeardAt: now, lastHeartbeatAt: Number.NEGATIVE_INFINITY, sentSequence: 0, lastRetryAt: Number.NEGATIVE_INFINITY,
	};
}

/** Heartbeat peers of one host. */
export class Neighbourhood {
	readonly #chosen = new Map<string, Neighbour>();
	readonly #answered = new Map<string, Neighbour>();

	/** Neighbours that this host chose: it sends them heartbeats and expects answers. */
	get chosen(): ReadonlyMap<string, Neighbour> {
		return this.#chosen;
	}

	/** Hosts that chose this one. */
	get answered(): ReadonlyMap<string, Neighbour> {
		return this.#answered;
	}

	/** Replaces the chosen neighbours; hosts that stay chosen keep their state. */
	choose(hosts: readonly string[], now: number): void {
		const wanted = new Set(hosts);
		for (const host of this.#chosen.keys()) {
			if (!wanted.has(host)) {
				this.#chosen.delete(host);
			}
		}

		for (const host of wanted) {
			if (!this.#chosen.has(host)) {
				this.#chosen.set(host, this.#answered.get(host) ?? createNeighbour(now));
				this.#answered.delete(host);
			}
		}
	}

	/** Records a heartbeat of a host that chose this one. */
	recordHeartbeat(host: string, now: number): Neighbour {
		const neighbour = this.#answered.get(host) ?? createNeighbour(now);
		neighbour.lastHeardAt = now;
		this.#answered.set(host, neighbour);
		return neighbour;
	}

	/** Records a broken link: member records have to be sent again. Returns the neighbour if it is a chosen one. */
	handleLinkLoss(host: string): Neighbour | undefined {
		this.#answered.delete(host);
		const neighbour = this.#chosen.get(host);
		if (neighbour !== undefined) {
			neighbour.sentSequence = 0;
		}

		return neighbour;
	}

	/** Chosen neighbours that have been silent for more than `silenceMs` milliseconds. */
	listSilent(now: number, silenceMs: number): string[] {
		return [...this.#chosen].filter(([, {lastHeardAt}]) => now - lastHeardAt > silenceMs).map(([host]) => host);
	}

	/** Chosen neighbours whose answer is overdue or, if they send heartbeats themselves, whose next heartbeat is. */
	listOverdue({sentAt, dueAt, heartbeatMs}: ResponseDeadline): string[] {
		const sendsHeartbeats = ({lastHeartbeatAt}: Neighbour) => sentAt - lastHeartbeatAt < 2 * heartbeatMs;
		return [...this.#chosen]
			.filter(([, neighbour]) => neighbour.lastHeardAt < (sendsHeartbeats(neighbour) ? dueAt - heartbeatMs : sentAt))
			.map(([host]) => host);
	}

	/** Removes hosts that chose this one and have been silent for more than `silenceMs` milliseconds. */
	removeSilent(now: number, silenceMs: number): void {
		for (const [host, {lastHeardAt}] of this.#answered) {
			if (now - lastHeardAt > silenceMs) {
				this.#answered.delete(host);
			}
		}
	}

	/** Restarts the silence of all chosen neighbours, after a pause of this process. */
	resetSilence(now: number): void {
		for (const neighbour of this.#chosen.values()) {
			neighbour.lastHeardAt = now;
		}
	}
}
