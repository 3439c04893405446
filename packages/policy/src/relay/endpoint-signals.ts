/**
 * What endpoints state about themselves in responses, as one host knows it:
 * rate limits, drain notices, backoff periods. All decisions that rest on
 * these signals are taken here.
 */
import {type RateLimit} from '@gatehead/schema/relay-message';
import {type SignalState} from '@gatehead/schema/relay-status';
import {RecentMap} from '../utils/recent-map.js';

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
	/** Whether a missing limit means that there is none: true for responses that name the request, not for calls of the relay's own. */
	readonly isComplete: boolean;
};

/** Time without any statement of a limit after which one response without it ends the limit, in milliseconds. Longer than responses overtake each other. */
const limitHoldMs = 1000;
/** Endpoints with signals that are remembered; beyond that the oldest is forgotten. */
const mostEndpoints = 2000;

/** Length of the slow start after a backoff period, in milliseconds. */
const rampMs = 1000;

/** The source of signals that this host received itself. */
export const ownSource = 'own';

type SignalRecord = {
	/** The last statement of a limit; without `perS` it stated that there is none. */
	limit: {readonly perS: number | undefined; readonly at: number; readonly source: string} | undefined;
	/** The host that received the drain notice; undefined: there is none. */
	drainSource: string | undefined;
	backoffUntil: number;
	/** Until when no permit can be had. */
	permitsFrom: number;
};

/** Signals in force, by endpoint. */
export class SignalBook {
	readonly #records = new RecentMap<string, SignalRecord>(mostEndpoints);

	/** Takes a response's signals; returns what they change. */
	note(endpoint: string, {signals, sentAt, isComplete}: Statement, now: number): SignalChange[] {
		const {limitPerS, isDraining, backoffMs} = signals;
		if (!this.#records.has(endpoint) && limitPerS === undefined && !isDraining && backoffMs === undefined) {
			return [];
		}

		const record = this.#recordOf(endpoint);
		return [
			...this.#noteLimit(record, limitPerS, isComplete ? sentAt : Number.NEGATIVE_INFINITY, now),
			...(isDraining ? noteDrain(record, ownSource) : []),
			...this.#noteBackoff(record, backoffMs, now),
		];
	}

	/** Merges a limit from another host; the later statement counts. */
	mergeLimit({endpoint, perS, ageMs}: RateLimit, source: string, now: number): SignalChange[] {
		const record = this.#recordOf(endpoint);
		const at = now - ageMs;
		return record.limit !== undefined && at <= record.limit.at ? [] : setLimit(record, {perS, at, source});
	}

	/** Merges a drain notice from another host. A notice stands until the endpoint starts anew, which gives it another id. */
	mergeDrain(endpoint: string, source: string): SignalChange[] {
		return noteDrain(this.#recordOf(endpoint), source);
	}

	/** Whether an endpoint has announced that it drains. */
	isDraining(endpoint: string): boolean {
		return this.#records.get(endpoint)?.drainSource !== undefined;
	}

	/** Endpoints that have announced that they drain. */
	listDraining(): string[] {
		return [...this.#records.entries()].filter(([, {drainSource}]) => drainSource !== undefined).map(([endpoint]) => endpoint);
	}

	/** An endpoint's limit in requests a second; undefined: none is in force. */
	limitOf(endpoint: string): number | undefined {
		return this.#records.get(endpoint)?.limit?.perS;
	}

	/** An endpoint's limit as it is sent to other hosts. */
	describeLimit(endpoint: string, now: number): RateLimit {
		const limit = this.#records.get(endpoint)?.limit;
		return {endpoint, perS: limit?.perS, ageMs: limit === undefined ? 0 : Math.max(0, now - limit.at)};
	}

	/** All limits, those that have ended among them. */
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

	/** No permit can be had for an endpoint for a while. */
	notePermitsFrom(endpoint: string, from: number): void {
		this.#recordOf(endpoint).permitsFrom = from;
	}

	/** Time until an endpoint may get a request from this host, in milliseconds; 0: now. */
	waitMs(endpoint: string, now: number): number {
		const record = this.#records.get(endpoint);
		if (record === undefined) {
			return 0;
		}

		const permitsFrom = record.limit?.perS === undefined ? now : record.permitsFrom;
		return Math.max(0, record.backoffUntil - now, permitsFrom - now);
	}

	/** All signals in force, for operators. */
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

	/** Whether an endpoint wants nothing from this host now. */
	isBackingOff(endpoint: string, now: number): boolean {
		return now < (this.#records.get(endpoint)?.backoffUntil ?? now);
	}

	/** Part of its usual requests that an endpoint gets, from 0 to 1: it rises behind a backoff period. */
	rampShare(endpoint: string, now: number): number {
		const elapsedMs = now - (this.#records.get(endpoint)?.backoffUntil ?? Number.NEGATIVE_INFINITY);
		return Math.min(1, Math.max(0, elapsedMs / rampMs));
	}

	/** An endpoint is gone, and its limit with it. */
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

	#recordOf(endpoint: string): SignalRecord {
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

/** Sets a limit, and forgets when permits were to be had under another one. */
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
