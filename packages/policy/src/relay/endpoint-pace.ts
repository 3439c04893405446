/**
 * Pace of each endpoint relative to the median of its service, pooled from the
 * few observations of many hosts. A steady endpoint is averaged over seconds;
 * one whose recent pace differs by more than chance is averaged anew, so that
 * a change shows within a second.
 */
import {type LoadReport, type PaceActivity} from '@gatehead/schema/relay-message';
import {ignore} from '../utils/ignore.js';

/** Time constant of the estimate, in milliseconds: long enough for some twenty prompts at a replica that gets three a second. */
const memoryMs = 8000;
/** Minimum interval between reported changes of one endpoint, in milliseconds: a change is found in several steps within a second. */
const minChangeIntervalMs = 2000;
/** Time constant of the recent pace, in milliseconds: a third of the second within which a change has to show. */
const recentMs = 300;
/** Standard errors by which the recent pace must differ from the estimate to replace it; fewer reset steady endpoints by chance. */
const minDeviations = 4;
/** Minimum factor between the recent pace and the estimate to replace it. */
const minChange = 1.3;
/** Squared spread of paces between endpoints: those at 0.7 and 1.7 of the nominal pace have 0.25. Weighs an observation against the assumption of average pace. */
const priorVariance = 0.25;
/** Maximum evidence of an endpoint, relative to the assumption of average pace; without it, one that nobody uses would stay slow for minutes. */
const maxEvidence = 30;
/** Weight of a new observation in the spread of a service. */
const spreadWeight = 0.05;
/** Maximum factor by which one observation may exceed the known spread; bounds the effect of an endpoint that changes its pace. */
const maxSpreadFactor = 9;
/** Minimum spread relative to the initial one; a few equal observations are no proof of a spread of nothing. */
const minSpreadShare = 0.2;
/** Time for which the median of a service is reused, in milliseconds: a tenth of a report interval. */
const medianLifeMs = 50;
/** Evidence below which an estimate is ignored, so that sums that decayed to nothing are never divided. */
const minEvidence = 0.001;
/** Time without observations after which an endpoint is forgotten, in milliseconds; its estimate has decayed by then. */
const forgottenMs = 60_000;
/** Interval between removals of forgotten endpoints, in milliseconds. */
const sweepIntervalMs = 10_000;
/** Maximum entries of one report, as in its schema. */
const maxReported = 256;

/** Initial squared coefficient of variation of one unit. A prompt of a thousand tokens varies as a whole. */
const initialSpread: Readonly<Record<PaceActivity, number>> = {decode: 0.25, prefill: 100, call: 0.5};

/** Observed time of some units at one endpoint. */
export type PaceObservation = LoadReport['paces'][number];

/** Decaying sums of units and their time. */
type Sums = {
	units: number;
	totalMs: number;
};

type Entry = {
	readonly endpoint: string;
	readonly service: string;
	readonly activity: PaceActivity;
	long: Sums;
	recent: Sums;
	/** Time up to which the sums have decayed. */
	decayedAt: number;
	observedAt: number;
	/** When the estimate last began anew. */
	changedAt: number;
};

type Median = {
	readonly at: number;
	readonly unitMs: number | undefined;
};

/** Pace of one endpoint for operators. */
export type EndpointPaceState = Pick<PaceObservation, 'endpoint' | 'activity'> & {
	readonly service: string;
	readonly pace: number;
};

/** An endpoint whose time per unit has changed. */
export type PaceChange = Pick<PaceObservation, 'endpoint' | 'activity'> & {
	readonly fromMs: number;
	readonly toMs: number;
};

/** Paces of the endpoints as one host knows them. */
export class EndpointPace {
	readonly #onChange: (change: PaceChange) => void;
	readonly #entries = new Map<string, Entry>();
	/** Squared coefficient of variation of one unit, by service and activity. */
	readonly #spreads = new Map<string, number>();
	/** Median time per unit, by service and activity. */
	readonly #medians = new Map<string, Median>();
	/** Own observations since the last report, by service and then endpoint and activity. */
	readonly #unreported = new Map<string, Map<string, PaceObservation>>();
	#sweptAt = 0;

	/** `onChange` is called when an endpoint becomes faster or slower, at most once in two seconds for each endpoint and activity. */
	constructor(onChange: (change: PaceChange) => void = ignore) {
		this.#onChange = onChange;
	}

	/** Records an observation of this host, for its own estimate and for the next report. */
	record(service: string, observation: PaceObservation, now: number): void {
		if (!isMeaningful(observation)) {
			return;
		}

		this.#note(service, observation, now);
		const unreported = this.#unreported.get(service) ?? new Map<string, PaceObservation>();
		this.#unreported.set(service, unreported);
		const key = keyOf(observation.endpoint, observation.activity);
		const {units, totalMs} = unreported.get(key) ?? {units: 0, totalMs: 0};
		if (unreported.has(key) || unreported.size < maxReported) {
			unreported.set(key, {...observation, units: units + observation.units, totalMs: totalMs + observation.totalMs});
		}
	}

	/** Removes and returns this host's observations of a service since the previous call. */
	takeUnreported(service: string): PaceObservation[] {
		const observations = [...this.#unreported.get(service)?.values() ?? []];
		this.#unreported.delete(service);
		return observations;
	}

	/** Adds the observations of another host. */
	receive(service: string, observations: readonly PaceObservation[], now: number): void {
		for (const observation of observations) {
			if (isMeaningful(observation)) {
				this.#note(service, observation, now);
			}
		}
	}

	/** Time per unit relative to the median of the service: 1 is average, below is faster. */
	paceOf(endpoint: string, activity: PaceActivity, now: number): number {
		const entry = this.#entries.get(keyOf(endpoint, activity));
		if (entry === undefined) {
			return 1;
		}

		const median = this.medianMs(entry.service, activity, now);
		if (median === undefined) {
			return 1;
		}

		decay(entry, now);
		const evidence = this.#evidenceOf(entry, now);
		if (evidence < minEvidence) {
			return 1;
		}

		const {units, totalMs} = entry.long;
		const weight = evidence / (evidence + 1);
		return 1 + (weight * ((totalMs / units / median) - 1));
	}

	/** Paces of all endpoints that were observed. */
	list(now: number): EndpointPaceState[] {
		return [...this.#entries.values()].map(({endpoint, service, activity}) => ({
			endpoint, service, activity, pace: this.paceOf(endpoint, activity, now),
		}));
	}

	/** Median time per unit of a service, over the units of all endpoints, in milliseconds; undefined before the first observation. */
	medianMs(service: string, activity: PaceActivity, now: number): number | undefined {
		const key = keyOf(service, activity);
		const known = this.#medians.get(key);
		if (known !== undefined && now - known.at < medianLifeMs) {
			return known.unitMs;
		}

		const unitMs = this.#computeMedian(service, activity, now);
		this.#medians.set(key, {at: now, unitMs});
		return unitMs;
	}

	/** Coefficient of variation of one unit of a service. */
	spreadOf(service: string, activity: PaceActivity): number {
		return Math.sqrt(this.#spreadOf(service, activity));
	}

	/** Time since an endpoint was last observed, in milliseconds; infinite if it never was. */
	unobservedMs(endpoint: string, activity: PaceActivity, now: number): number {
		return now - (this.#entries.get(keyOf(endpoint, activity))?.observedAt ?? Number.NEGATIVE_INFINITY);
	}

	/** Removes an endpoint that is gone. */
	forget(endpoint: string): void {
		for (const activity of ['decode', 'prefill', 'call'] as const) {
			this.#entries.delete(keyOf(endpoint, activity));
		}
	}

	#note(service: string, {endpoint, activity, units, totalMs}: PaceObservation, now: number): void {
		this.#sweep(now);
		const key = keyOf(endpoint, activity);
		const entry = this.#entries.get(key) ?? {
			endpoint, service, activity, long: {units: 0, totalMs: 0}, recent: {units: 0, totalMs: 0}, decayedAt: now, observedAt: now, changedAt: now,
		};
		this.#entries.set(key, entry);
		decay(entry, now);
		this.#learnSpread(entry, units, totalMs);
		for (const sums of [entry.long, entry.recent]) {
			sums.units += units;
			sums.totalMs += totalMs;
		}

		entry.observedAt = now;
		if (this.#hasChanged(entry)) {
			if (now - entry.changedAt >= minChangeIntervalMs) {
				this.#onChange({
					endpoint, activity, fromMs: entry.long.totalMs / entry.long.units, toMs: entry.recent.totalMs / entry.recent.units,
				});
			}

			entry.long = {...entry.recent};
			entry.changedAt = now;
			this.#medians.delete(keyOf(service, activity));
		}
	}

	#learnSpread({service, activity, long}: Entry, units: number, totalMs: number): void {
		if (long.units === 0 || long.totalMs === 0) {
			return;
		}

		const spread = this.#spreadOf(service, activity);
		const deviation = (totalMs / units * long.units / long.totalMs) - 1;
		const observed = Math.min(units * (deviation ** 2), maxSpreadFactor * spread);
		this.#spreads.set(keyOf(service, activity), Math.max(minSpreadShare * initialSpread[activity], spread + (spreadWeight * (observed - spread))));
	}

	/** Whether the recent pace differs from the estimate by more than chance. */
	#hasChanged({service, activity, long, recent}: Entry): boolean {
		const ratio = (recent.totalMs / recent.units) / (long.totalMs / long.units);
		// An earlier estimate of no duration says nothing
		if (!Number.isFinite(ratio) || ratio === 0) {
			return false;
		}

		const change = Math.max(ratio, 1 / ratio);
		const error = Math.sqrt(this.#spreadOf(service, activity) / recent.units);
		return change > minChange && change - 1 > minDeviations * error;
	}

	/** Weight of an endpoint's observations, relative to the assumption that its pace is average. */
	#evidenceOf({service, activity, long, observedAt}: Entry, now: number): number {
		const unboundedEvidence = long.units * priorVariance / this.#spreadOf(service, activity);
		return Math.min(unboundedEvidence, maxEvidence * Math.exp((observedAt - now) / memoryMs));
	}

	#spreadOf(service: string, activity: PaceActivity): number {
		return this.#spreads.get(keyOf(service, activity)) ?? initialSpread[activity];
	}

	/** Median over units instead of endpoints: with replicas of two kinds, the loss of one would otherwise move the median from one kind to the other. */
	#computeMedian(service: string, activity: PaceActivity, now: number): number | undefined {
		const weighted: Array<{readonly unitMs: number; readonly weight: number}> = [];
		for (const entry of this.#entries.values()) {
			if (entry.service !== service || entry.activity !== activity) {
				continue;
			}

			decay(entry, now);
			if (this.#evidenceOf(entry, now) >= minEvidence) {
				weighted.push({unitMs: entry.long.totalMs / entry.long.units, weight: entry.long.units});
			}
		}

		return weightedMedian(weighted);
	}

	/** Removes endpoints that nobody has observed for long. */
	#sweep(now: number): void {
		if (now - this.#sweptAt < sweepIntervalMs) {
			return;
		}

		this.#sweptAt = now;
		for (const [key, {observedAt}] of this.#entries) {
			if (now - observedAt > forgottenMs) {
				this.#entries.delete(key);
			}
		}
	}
}

function keyOf(name: string, activity: PaceActivity): string {
	return `${activity} ${name}`;
}

/** Whether an observation can be averaged; a clock that stood still yields no duration. */
function isMeaningful({units, totalMs}: PaceObservation): boolean {
	return units > 0 && totalMs > 0 && Number.isFinite(units) && Number.isFinite(totalMs);
}

function decay(entry: Entry, now: number): void {
	const elapsedMs = now - entry.decayedAt;
	if (elapsedMs <= 0) {
		return;
	}

	// Right after a change, the estimate still holds some of the earlier pace
	const longMs = Math.min(memoryMs, Math.max(recentMs, entry.decayedAt - entry.changedAt));
	entry.decayedAt = now;
	scale(entry.long, Math.exp(-elapsedMs / longMs));
	scale(entry.recent, Math.exp(-elapsedMs / recentMs));
}

function scale(sums: Sums, factor: number): void {
	sums.units *= factor;
	sums.totalMs *= factor;
}

function weightedMedian(values: ReadonlyArray<{readonly unitMs: number; readonly weight: number}>): number | undefined {
	const sorted = values.toSorted((left, right) => left.unitMs - right.unitMs);
	let left = sorted.reduce((sum, {weight}) => sum + weight, 0) / 2;
	for (const {unitMs, weight} of sorted) {
		left -= weight;
		if (left <= 0) {
			return unitMs;
		}
	}

	return undefined;
}
