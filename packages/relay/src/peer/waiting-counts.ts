/** Time for which another host's count is valid, in milliseconds; somewhat longer than the suspicion timeout. */
const countTtlMs = 2500;

/** Recent counts of waiting requests at other hosts. */
export class WaitingCounts {
	/** Keyed by service and host. */
	readonly #counts = new Map<string, {readonly count: number; readonly at: number}>();

	/** Records a host's count. */
	set(service: string, host: string, count: number, now: number): void {
		this.#counts.set(`${service} ${host}`, {count, at: now});
	}

	/** Number of requests that wait for a service at all other hosts. */
	sum(service: string, now: number): number {
		let waiting = 0;
		for (const [key, {count, at}] of this.#counts) {
			waiting += key.startsWith(`${service} `) && now - at < countTtlMs ? count : 0;
		}

		return waiting;
	}
}
