/**
 * Circuit breaker per endpoint, from the outcomes of this host's requests and
 * the pauses of other hosts. After a pause the endpoint is on trial: it gets
 * one request at a time until one succeeds.
 */

/** Outcome of a request to an endpoint. */
export type Outcome = 'good' | 'error' | 'broken' | 'silent' | 'overdue' | 'refused' | 'cancelled';

/** Weights of failures. An error response and an overdue one may be the request's fault, and a refusal means that the endpoint is full. */
const weights: Readonly<Record<Exclude<Outcome, 'cancelled'>, number>> = {
	good: 0, error: 0.5, broken: 1, silent: 2, overdue: 0.5, refused: 0.1,
};
/** Half-life of an outcome's weight, in milliseconds: a few times as long as an endpoint takes to restart. */
const halfLifeMs = 4000;
/** Smallest weight of failures that pauses an endpoint: one silent response, or two broken ones within half a second. */
const minFailureWeight = 1.9;
/** Smallest share of failures, by weight, that pauses an endpoint. */
const minFailureShare = 0.3;
/** Length of the first pause, in milliseconds: about as long as a restart. It doubles with each further pause. */
const minPauseMs = 1500;
/** Longest pause, in milliseconds. */
const maxPauseMs = 12_000;

type HealthRecord = {
	good: number;
	bad: number;
	at: number;
	pausedUntil: number;
	pauseMs: number;
	/** Requests in flight on trial. */
	trials: number;
	isOnTrial: boolean;
};

/** A pause, with the time left in milliseconds, as sent to other hosts. */
export type Pause = {
	readonly endpoint: string;
	readonly leftMs: number;
};

/** Health of the endpoints as seen by one host. */
export class EndpointHealth {
	readonly #records = new Map<string, HealthRecord>();

	/** Whether an endpoint may get a request now. */
	isUsable(endpoint: string, now: number): boolean {
		const record = this.#records.get(endpoint);
		if (record === undefined) {
			return true;
		}

		return now >= record.pausedUntil && (!record.isOnTrial || record.trials === 0);
	}

	/** Smoothed share of recent failures, from 0 to 1. */
	badness(endpoint: string, now: number): number {
		const record = this.#records.get(endpoint);
		if (record === undefined) {
			return 0;
		}

		this.#decay(record, now);
		return record.bad / (record.good + record.bad + 1);
	}

	/** Records the start of a request. */
	begin(endpoint: string): void {
		const record = this.#records.get(endpoint);
		if (record?.isOnTrial) {
			record.trials += 1;
		}
	}

	/** Records the outcome of a request; returns the pause if it starts one. */
	end(endpoint: string, outcome: Outcome, now: number): Pause | undefined {
		if (outcome === 'cancelled') {
			this.abandon(endpoint);
			return undefined;
		}

		const record = this.#getOrAdd(endpoint, now);
		this.#decay(record, now);
		record.trials = Math.max(0, record.trials - 1);
		const weight = weights[outcome];
		if (weight === 0) {
			record.good += 1;
			record.isOnTrial = false;
			return undefined;
		}

		record.bad += weight;
		if (now < record.pausedUntil || !this.#isFailing(record, outcome)) {
			return undefined;
		}

		return {endpoint, leftMs: this.#pause(record, now)};
	}

	/** Records the end of a request that says nothing about its endpoint. */
	abandon(endpoint: string): void {
		const record = this.#records.get(endpoint);
		if (record !== undefined) {
			record.trials = Math.max(0, record.trials - 1);
		}
	}

	/** Merges another host's pause; returns whether it is much longer than the known one, and was adopted. */
	mergePause({endpoint, leftMs}: Pause, now: number): boolean {
		const record = this.#getOrAdd(endpoint, now);
		const until = now + Math.min(leftMs, maxPauseMs);
		if (until <= record.pausedUntil + minPauseMs) {
			return false;
		}

		record.pausedUntil = until;
		record.isOnTrial = true;
		return true;
	}

	/** Lists pauses in force. */
	listPauses(now: number): Pause[] {
		const pauses: Pause[] = [];
		for (const [endpoint, {pausedUntil}] of this.#records) {
			if (pausedUntil > now) {
				pauses.push({endpoint, leftMs: pausedUntil - now});
			}
		}

		return pauses;
	}

	/** Removes an endpoint that has left. */
	forget(endpoint: string): void {
		this.#records.delete(endpoint);
	}

	#isFailing({good, bad, isOnTrial}: HealthRecord, outcome: Outcome): boolean {
		if (isOnTrial && outcome !== 'refused') {
			return true;
		}

		return bad >= minFailureWeight && bad / (good + bad) >= minFailureShare;
	}

	#pause(record: HealthRecord, now: number): number {
		record.pauseMs = Math.min(maxPauseMs, record.pauseMs === 0 ? minPauseMs : 2 * record.pauseMs);
		record.pausedUntil = now + record.pauseMs;
		record.isOnTrial = true;
		record.trials = 0;
		return record.pauseMs;
	}

	#decay(record: HealthRecord, now: number): void {
		const factor = 2 ** ((record.at - now) / halfLifeMs);
		record.good *= factor;
		record.bad *= factor;
		record.at = now;
		if (now - record.pausedUntil > maxPauseMs) {
			record.pauseMs = 0;
		}
	}

	#getOrAdd(endpoint: string, now: number): HealthRecord {
		let record = this.#records.get(endpoint);
		if (record === undefined) {
			record = {
				good: 0, bad: 0, at: now, pausedUntil: Number.NEGATIVE_INFINITY, pauseMs: 0, trials: 0, isOnTrial: false,
			};
			this.#records.set(endpoint, record);
		}

		return record;
	}
}
