/**
 * Signals that endpoints state in responses (rate limits, drain notices and
 * backoff periods), and all decisions that depend on them.
 */
import {type RateLimit} from '@gatehead/schema/relay-message';
import {type SignalState} from '@gatehead/schema/relay-status';
import {RecentMap} from '../utils/recent-map.js';

/** What one response states. */
export type EndpointSignals = {
	/** Requests per second that the endpoint accepts from all hosts together; undefined: no limit. */
	readonly limitPerS: number | undefined;
	/** It finishes running requests and accepts no new ones. */
	readonly isDraining: boolean;
	/** Time for which this host should send no request, in milliseconds; undefined: none stated. */
	readonly backoffMs: number | undefined;
	/** Names of headers that could not be parsed and were ignored. */
	readonly malformed: readonly string[];
};

/** A signal that began, changed or ended. */
export type SignalChange = {
	readonly signal: 'limit' | 'drain' | 'backoff';
	readonly change: 'began' | 'changed' | 'ended';
	/** The limit in requests per second, or the backoff period in milliseconds. */
	readonly value?: number | undefined;
};

/** The signals of one response. */
export type Statement = {
	readonly signals: EndpointSignals;
	readonly sentAt: number;
	/** Whether a missing limit means that there is none: true for responses that carry the request's id, false for the relay's own calls. */
	readonly isComplete: boolean;
};

/** Time since the last statement of a limit before which a response without one does not end it, in milliseconds. Allows for responses that arrive out of order. */
const limitHoldMs = 1000;
/** Largest number of endpoints with signals; the oldest is evicted. */
const maxEndpoints = 2000;

/** Length of the ramp-up after a backoff period, in milliseconds. */
const rampMs = 1000;

/** The source of signals that this host received itself. */
export const ownSource = 'own';

type SignalRecord = {
	/** The last statement of a limit; without `perS` it stated that there is none. */
	limit: {readonly perS: number | undefined; readonly at: number; readonly source: string} | undefined;
	/** The host that received the drain notice; undefined: there is none. */
	drainSource: string | undefined;
	backoffUntil: number;
	/** Before this time no permit is available. */
	permitsFrom: number;
};

/** Signals in force, by endpoint. */
export class SignalBook {
	readonly #records = new RecentMap<string, SignalRecord>(maxEndpoints);

	/** Records a response's signals; returns what they change. */
	note(endpoint: string, {signals, sentAt, isComplete}: Statement, now: number): SignalChange[] {
		const {limitPerS, isDraining, backoffMs} = signals;
		if (!this.#records.has(endpoint) && limitPerS === undefined && !isDraining && backoffMs === undefined) {
			return [];
		}

		const record = this.#getOrAdd(endpoint);
		return [
			...this.#noteLimit(record, limitPerS, isComplete ? sentAt : Number.NEGATIVE_INFINITY, now),
			...(isDraining ? noteDrain(record, ownSource) : []),
			...this.#noteBackoff(record, backoffMs, now),
		];
	}

	/** Merges a limit from another host; the later statement counts. */
	mergeLimit({endpoint, perS, ageMs}: RateLimit, source: string, now: number): SignalChange[] {
		const record = this.#getOrAdd(endpoint);
		const at = now - ageMs;
		return record.limit !== undefined && at <= record.limit.at ? [] : setLimit(record, {perS, at, source});
	}

	/** Merges a drain notice from another host. A notice is in force until the endpoint restarts, which changes its id. */
	mergeDrain(endpoint: string, source: string): SignalChange[] {
		return noteDrain(this.#getOrAdd(endpoint), source);
	}

	/** Whether an endpoint has announced that it drains. */
	isDraining(endpoint: string): boolean {
		return this.#records.get(endpoint)?.drainSource !== undefined;
	}

	/** Endpoints that have announced that they drain. */
	listDraining(): string[] {
		return [...this.#records.entries()].filter(([, {drainSource}]) => drainSource !== undefined).map(([endpoint]) => endpoint);
	}

	/** An endpoint's limit in requests per second; undefined: none is in force. */
	limitOf(endpoint: string): number | undefined {
		return this.#records.get(endpoint)?.limit?.perS;
	}

	/** An endpoint's limit as it is sent to other hosts. */
	describeLimit(endpoint: string, now: number): RateLimit {
		const limit = this.#records.get(endpoint)?.limit;
		return {endpoint, perS: limit?.perS, ageMs: limit === undefined ? 0 : Math.max(0, now - limit.at)};
	}

	/** Lists all limits, including those that have ended. */
	listLimits(now: number): RateLimit[] {
		const limits: RateLimit[] = [];
		for (const [endpoint, {limit}] of this.#records.entries()) {
			if (limit !== undefined) {
				limits.push(this.describeLimit(endpoint, now));
			}
		}

		return limits;
	}

	/** Whether any limit is in force. */
	get hasLimits(): boolean {
		for (const [, {limit}] of this.#records.entries()) {
			if (limit?.perS !== undefined) {
				return true;
			}
		}

		return false;
	}

	/** Sets the time before which no permit is available for an endpoint. */
	notePermitsFrom(endpoint: string, from: number): void {
		this.#getOrAdd(endpoint).permitsFrom = from;
	}

	/** Time until this host may send a request to an endpoint, in milliseconds; 0: now. */
	waitMs(endpoint: string, now: number): number {
		const record = this.#records.get(endpoint);
		if (record === undefined) {
			return 0;
		}

		const permitsFrom = record.limit?.perS === undefined ? now : record.permitsFrom;
		return Math.max(0, record.backoffUntil - now, permitsFrom - now);
	}

	/** Lists all signals in force, for the status report. */
	list(now: number): SignalState[] {
		return [...this.#records.entries()].flatMap(([endpoint, {limit, drainSource, backoffUntil}]) => [
			...(limit?.perS === undefined
				? []
				: [{
					endpoint, signal: 'limit' as const, value: limit.perS, source: limit.source,
				}]),
			...(drainSource === undefined ? [] : [{endpoint, signal: 'drain' as const, source: drainSource}]),
			...(backoffUntil > now
				? [{
					endpoint, signal: 'backoff' as const, leftMs: Math.round(backoffUntil - now), source: ownSource,
				}]
				: []),
		]);
	}

	/** Whether an endpoint is in a backoff period. */
	isBackingOff(endpoint: string, now: number): boolean {
		return now < (this.#records.get(endpoint)?.backoffUntil ?? now);
	}

	/** Share of its usual requests that an endpoint gets, from 0 to 1: it rises after a backoff period. */
	rampShare(endpoint: string, now: number): number {
		const elapsedMs = now - (this.#records.get(endpoint)?.backoffUntil ?? Number.NEGATIVE_INFINITY);
		return Math.min(1, Math.max(0, elapsedMs / rampMs));
	}

	/** Removes the limit of an endpoint that has left. */
	forgetLimit(endpoint: string): void {
		const record = this.#records.get(endpoint);
		if (record !== undefined) {
			record.limit = undefined;
		}
	}

	#noteLimit(record: SignalRecord, perS: number | undefined, sentAt: number, now: number): SignalChange[] {
		const {limit} = record;
		if (perS !== undefined) {
			return setLimit(record, {perS, at: now, source: ownSource});
		}

		// A response to an earlier request may have overtaken the one that stated the limit
		const isOutdated = limit === undefined || sentAt <= limit.at || now - limit.at < limitHoldMs;
		return isOutdated || limit.perS === undefined ? [] : setLimit(record, {perS: undefined, at: now, source: ownSource});
	}

	#noteBackoff(record: SignalRecord, backoffMs: number | undefined, now: number): SignalChange[] {
		if (backoffMs === undefined || now + backoffMs <= record.backoffUntil) {
			return [];
		}

		const change = now < record.backoffUntil ? 'changed' : 'began';
		record.backoffUntil = now + backoffMs;
		return [{signal: 'backoff', change, value: backoffMs}];
	}

	#getOrAdd(endpoint: string): SignalRecord {
		let record = this.#records.get(endpoint);
		if (record === undefined) {
			record = {
				limit: undefined, drainSource: undefined, backoffUntil: Number.NEGATIVE_INFINITY, permitsFrom: Number.NEGATIVE_INFINITY,
			};
			this.#records.set(endpoint, record);
		}

		return record;
	}
}

/** Sets a limit; a changed one makes permits available at once. */
function setLimit(record: SignalRecord, limit: NonNullable<SignalRecord['limit']>): SignalChange[] {
	const before = record.limit?.perS;
	const {perS} = limit;
	record.limit = limit;
	if (perS === before) {
		return [];
	}

	record.permitsFrom = Number.NEGATIVE_INFINITY;
	if (perS === undefined) {
		return [{signal: 'limit', change: 'ended', value: before}];
	}

	return [{signal: 'limit', change: before === undefined ? 'began' : 'changed', value: perS}];
}

function noteDrain(record: SignalRecord, source: string): SignalChange[] {
	if (record.drainSource !== undefined) {
		return [];
	}

	record.drainSource = source;
	return [{signal: 'drain', change: 'began'}];
}
