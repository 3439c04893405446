/**
 * What endpoints state about themselves in responses, as one host knows it:
 * rate limits, drain notices, backoff periods. All decisions that rest on
 * these signals are taken here.
 */

/** What one response states. */
export type EndpointSignals = {
	/** Requests a second that the endpoint takes from all hosts together; undefined: no limit. */
	readonly limitPerS: number | undefined;
	/** It finishes its work and takes nothing new. */
	readonly isDraining: boolean;
	/** Time for which it wants no request from this host, in milliseconds; undefined: none stated. */
	readonly backoffMs: number | undefined;
	/** Names of headers that could not be parsed and were ignored. */
	readonly malformed: readonly string[];
};

/** A signal that began, changed or ended. */
export type SignalChange = {
	readonly signal: 'limit' | 'drain' | 'backoff';
	readonly change: 'began' | 'changed' | 'ended';
	/** The limit in requests a second, or the period in milliseconds. */
	readonly value?: number | undefined;
};

/** One response, with when its request was sent. */
export type Statement = {
	readonly signals: EndpointSignals;
	readonly sentAt: number;
	/** Whether a missing limit means that there is none: true for responses to requests, not for calls of the relay's own. */
	readonly isComplete: boolean;
};

/** Time without any statement of a limit after which one response without it ends the limit, in milliseconds. Longer than responses overtake each other. */
const limitHoldMs = 1000;

type SignalRecord = {
	limit: {readonly perS: number; readonly at: number} | undefined;
	isDraining: boolean;
	backoffUntil: number;
};

/** Signals in force, by endpoint. */
export class SignalBook {
	readonly #records = new Map<string, SignalRecord>();

	/** Takes a response's signals; returns what they change. */
	note(endpoint: string, {signals, sentAt, isComplete}: Statement, now: number): SignalChange[] {
		const {limitPerS, isDraining, backoffMs} = signals;
		if (!this.#records.has(endpoint) && limitPerS === undefined && !isDraining && backoffMs === undefined) {
			return [];
		}

		const record = this.#recordOf(endpoint);
		return [
			...this.#noteLimit(record, limitPerS, isComplete ? sentAt : Number.NEGATIVE_INFINITY, now),
			...this.#noteDrain(record, isDraining),
			...this.#noteBackoff(record, backoffMs, now),
		];
	}

	/** Forgets an endpoint that is gone. */
	forget(endpoint: string): void {
		this.#records.delete(endpoint);
	}

	#noteLimit(record: SignalRecord, perS: number | undefined, sentAt: number, now: number): SignalChange[] {
		const {limit} = record;
		if (perS !== undefined) {
			record.limit = {perS, at: now};
			return limit?.perS === perS ? [] : [{signal: 'limit', change: limit === undefined ? 'began' : 'changed', value: perS}];
		}

		// A response to an earlier request may have overtaken the one that stated the limit
		if (limit === undefined || sentAt <= limit.at || now - limit.at < limitHoldMs) {
			return [];
		}

		record.limit = undefined;
		return [{signal: 'limit', change: 'ended', value: limit.perS}];
	}

	#noteDrain(record: SignalRecord, isDraining: boolean): SignalChange[] {
		if (!isDraining || record.isDraining) {
			return [];
		}

		record.isDraining = true;
		return [{signal: 'drain', change: 'began'}];
	}

	#noteBackoff(record: SignalRecord, backoffMs: number | undefined, now: number): SignalChange[] {
		if (backoffMs === undefined || now + backoffMs <= record.backoffUntil) {
			return [];
		}

		const change = now < record.backoffUntil ? 'changed' : 'began';
		record.backoffUntil = now + backoffMs;
		return [{signal: 'backoff', change, value: backoffMs}];
	}

	#recordOf(endpoint: string): SignalRecord {
		let record = this.#records.get(endpoint);
		if (record === undefined) {
			record = {limit: undefined, isDraining: false, backoffUntil: Number.NEGATIVE_INFINITY};
			this.#records.set(endpoint, record);
		}

		return record;
	}
}
