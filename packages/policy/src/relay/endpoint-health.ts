/**
 * Which endpoints fail, judged by what became of this host's own sends and
 * by what other hosts say. Efficiency: an endpoint set aside wrongly costs
 * room; it is tried again soon, with one request at a time.
 */

/** What became of a send. */
export type Outcome = 'good' | 'error' | 'broken' | 'silent' | 'overdue' | 'refused' | 'cancelled';

/** How much an outcome speaks against an endpoint; its own error, and an answer that is overdue, may be the request's fault. */
const weights: Readonly<Record<Exclude<Outcome, 'cancelled'>, number>> = {
	good: 0, error: 0.5, broken: 1, silent: 2, overdue: 0.5, refused: 0.1,
};
/** Time in which an outcome's weight halves, in milliseconds: a few times as long as an endpoint takes to come back. */
const halfLifeMs = 4000;
/** Weight of bad outcomes from which on an endpoint may be set aside: one silence, or two breaks within half a second. */
const leastBad = 1.9;
/** Share of bad outcomes from which on it is: who fails three in ten costs more than its room is worth. */
const badShare = 0.3;
/** First time that it is set aside, in milliseconds; it doubles with each following one: about as long as a restart takes. */
const firstPauseMs = 1500;
/** The longest such time, in milliseconds: an endpoint that is well again is missed no longer. */
const longestPauseMs = 12_000;

type HealthRecord = {
	good: number;
	bad: number;
	at: number;
	pausedUntil: number;
	pauseMs: number;
	/** Sends in work after a pause: one at a time until one is good. */
	trials: number;
	isOnTrial: boolean;
};

/** A pause that another host may take over. */
export type Pause = {
	readonly endpoint: string;
	readonly leftMs: number;
};

/** Health of the endpoints as one host sees it. */
export class EndpointHealth {
	readonly #records = new Map<string, HealthRecord>();

	/** Whether an endpoint gets work now. */
	isUsable(endpoint: string, now: number): boolean {
		const record = this.#records.get(endpoint);
		if (record === undefined) {
			return true;
		}

		return now >= record.pausedUntil && (!record.isOnTrial || record.trials === 0);
	}

	/** Share of bad outcomes lately, from 0 to 1. */
	badness(endpoint: string, now: number): number {
		const record = this.#records.get(endpoint);
		if (record === undefined) {
			return 0;
		}

		this.#age(record, now);
		return record.bad / (record.good + record.bad + 1);
	}

	/** Notes a send. */
	begin(endpoint: string): void {
		const record = this.#records.get(endpoint);
		if (record?.isOnTrial) {
			record.trials += 1;
		}
	}

	/** Notes what became of a send; returns the pause where it begins one. */
	end(endpoint: string, outcome: Outcome, now: number): Pause | undefined {
		if (outcome === 'cancelled') {
			this.abandon(endpoint);
			return undefined;
		}

		const record = this.#recordOf(endpoint, now);
		this.#age(record, now);
		record.trials = Math.max(0, record.trials - 1);
		const weight = weights[outcome];
		if (weight === 0) {
			record.good += 1;
			record.isOnTrial = false;
			return undefined;
		}

		record.bad += weight;
		if (now < record.pausedUntil || !this.#isBad(record, outcome)) {
			return undefined;
		}

		return {endpoint, leftMs: this.#pause(record, now)};
	}

	/** Notes that a send ended without saying anything about its endpoint. */
	abandon(endpoint: string): void {
		const record = this.#records.get(endpoint);
		if (record !== undefined) {
			record.trials = Math.max(0, record.trials - 1);
		}
	}

	/** Takes over another host's pause; returns whether it was news. */
	hear({endpoint, leftMs}: Pause, now: number): boolean {
		const record = this.#recordOf(endpoint, now);
		const until = now + Math.min(leftMs, longestPauseMs);
		if (until <= record.pausedUntil + firstPauseMs) {
			return false;
		}

		record.pausedUntil = until;
		record.isOnTrial = true;
		return true;
	}

	/** Pauses now in force. */
	listPauses(now: number): Pause[] {
		const pauses: Pause[] = [];
		for (const [endpoint, {pausedUntil}] of this.#records) {
			if (pausedUntil > now) {
				pauses.push({endpoint, leftMs: pausedUntil - now});
			}
		}

		return pauses;
	}

	/** Forgets an endpoint that is gone. */
	forget(endpoint: string): void {
		this.#records.delete(endpoint);
	}

	#isBad({good, bad, isOnTrial}: HealthRecord, outcome: Outcome): boolean {
		if (isOnTrial && outcome !== 'refused') {
			return true;
		}

		return bad >= leastBad && bad / (good + bad) >= badShare;
	}

	#pause(record: HealthRecord, now: number): number {
		record.pauseMs = Math.min(longestPauseMs, record.pauseMs === 0 ? firstPauseMs : 2 * record.pauseMs);
		record.pausedUntil = now + record.pauseMs;
		record.isOnTrial = true;
		record.trials = 0;
		return record.pauseMs;
	}

	#age(record: HealthRecord, now: number): void {
		const factor = 2 ** ((record.at - now) / halfLifeMs);
		record.good *= factor;
		record.bad *= factor;
		record.at = now;
		if (now - record.pausedUntil > longestPauseMs) {
			record.pauseMs = 0;
		}
	}

	#recordOf(endpoint: string, now: number): HealthRecord {
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
