/**
 * Traces that runs leave in the memory of engines: evidence of the software
 * version that began a stream, when no host has its record any more. Safety: a
 * trace proves a version only if the engine has made at least the events that
 * the caller has received, and no engine of another version has such a trace.
 * A cached part may also be that of an earlier attempt, so it counts only once
 * all engines of other versions have been heard. The absence of a trace proves nothing.
 */
import {type StreamOrigin} from './stream-records.js';

/** A trace. Two traces of one key differ in their version. */
export type RunTrace = StreamOrigin & {
	readonly key: string;
	/** Events of a run in progress, or tokens of a cached part with what was generated behind it. */
	readonly size: number;
	/** In milliseconds of this host's clock. */
	readonly expiresAt: number;
};

/** A key, and the smallest size of a trace that belongs to the stream. */
export type TraceQuery = {
	readonly key: string;
	readonly leastSize: number;
	/** Whether the key is that of the attempt itself; a part may also be that of an earlier one. */
	readonly isExact: boolean;
};

/** Traces by key, bounded in number. */
export class RunTraces {
	readonly #maxKeys: number;
	readonly #traces = new Map<string, readonly RunTrace[]>();

	constructor(maxKeys: number) {
		this.#maxKeys = maxKeys;
	}

	get size(): number {
		return this.#traces.size;
	}

	/** Adds a trace, or extends the one of the same version; returns whether it was stored. */
	add(trace: RunTrace): boolean {
		const known = this.#traces.get(trace.key) ?? [];
		if (known.length === 0 && this.#traces.size >= this.#maxKeys) {
			return false;
		}

		const same = known.find(each => isSameOrigin(each, trace));
		const others = known.filter(each => each !== same);
		this.#traces.set(trace.key, [...others, {
			...trace, size: Math.max(trace.size, same?.size ?? 0), expiresAt: Math.max(trace.expiresAt, same?.expiresAt ?? 0),
		}]);
		return true;
	}

	/** Lists the traces of a key. */
	get(key: string, now: number): RunTrace[] {
		return (this.#traces.get(key) ?? []).filter(({expiresAt}) => expiresAt > now);
	}

	/** Removes expired traces. */
	sweep(now: number): void {
		for (const key of this.#traces.keys()) {
			const left = this.get(key, now);
			if (left.length === 0) {
				this.#traces.delete(key);
			} else {
				this.#traces.set(key, left);
			}
		}
	}
}

/** A trace of sufficient size, and the query that it answers. */
export type TraceMatch = {
	readonly trace: RunTrace;
	readonly query: TraceQuery;
};

/** Lists the traces that may belong to the stream. */
export function listMatches(queries: readonly TraceQuery[], traces: readonly RunTrace[]): TraceMatch[] {
	return queries.flatMap(query => traces.filter(({key, size}) => key === query.key && size >= query.leastSize).map(trace => ({trace, query})));
}

/** Where a stream began, by all traces of sufficient size; `ambiguous` if engines of several versions have one. `unheard`: of which hosts may learn more traces; undefined: of any. */
export function findTracedOrigin(queries: readonly TraceQuery[], traces: readonly RunTrace[], unheard: readonly StreamOrigin[] | undefined): StreamOrigin | 'ambiguous' | undefined {
	const matches = listMatches(queries, traces);
	const [first] = matches;
	if (first === undefined) {
		return undefined;
	}

	const {service, softwareVersion} = first.trace;
	if (!matches.every(({trace}) => isSameOrigin(trace, first.trace))) {
		return 'ambiguous';
	}

	const isUncontested = unheard?.every(origin => isSameOrigin(origin, first.trace)) === true;
	return isUncontested || matches.some(({query}) => query.isExact) ? {service, softwareVersion} : undefined;
}

function isSameOrigin(left: StreamOrigin, right: StreamOrigin): boolean {
	return left.service === right.service && left.softwareVersion === right.softwareVersion;
}
