/** How many requests wait at other hosts, as far as they said so lately. Efficiency only: news may be late or lost. */

/** Time for which another host's count of waiting requests is believed, in milliseconds: somewhat longer than silence makes a host suspect. */
const waitingNewsMs = 2500;

/** The counts of other hosts. */
export class WaitingCounts {
	/** By service and host. */
	readonly #counts = new Map<string, {readonly count: number; readonly at: number}>();

	/** Takes over a host's count. */
	hear(service: string, host: string, count: number, now: number): void {
		this.#counts.set(`${service} ${host}`, {count, at: now});
	}

	/** Requests that wait for a service at all other hosts. */
	sum(service: string, now: number): number {
		let waiting = 0;
		for (const [key, {count, at}] of this.#counts) {
			waiting += key.startsWith(`${service} `) && now - at < waitingNewsMs ? count : 0;
		}

		return waiting;
	}
}
