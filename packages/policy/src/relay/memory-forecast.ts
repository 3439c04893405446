/**
 * Forecast of the decode memory of each replica: the streams that run there,
 * own and of other hosts, and the probability that their memory exceeds the
 * replica's at some future time. A replica grants a reservation by its current
 * free memory only, so the growth of streams beyond their reservations must be
 * allowed for here. Reports may be late or lost; a replica still refuses what
 * does not fit.
 *
 * Time is measured in tokens that each stream generates: a replica's batch
 * gives every stream one token a step, so the forecast needs no pace.
 */
import {OutputForecast} from './output-forecast.js';

/** Time after which the streams of a host that has not reported no longer count, in milliseconds; somewhat longer than the suspicion timeout. */
const staleMs = 2500;
/** Time for which a replica's sums are kept, in milliseconds: a stream generates about 40 tokens meanwhile, a two-hundredth of its memory. */
const sumsTtlMs = 25;
/** Probability of exceeding a replica's memory up to which it takes another stream. At full load, 16 hosts then have 0.5 per cent of all streams preempted; twice the bound would leave no margin below one per cent. */
const maxOverflowProbability = 0.007;
/** Quantile of the output that is reserved at a replica whose streams are known. Reserved memory counts as used, so a high quantile leaves memory empty that the forecast would use. */
const reservedQuantile = 0.05;
/** Quantile that is reserved at a replica of another subset: its streams are not known here, so the reservation alone covers the output. */
const unknownQuantile = 0.9;
/** Block size of the engines' decode memory, in tokens; reservations are rounded up to it. */
const blockTokens = 16;
/** Future instants at which the memory is forecast, as multiples of the mean estimate of the streams at a replica. Between them the sum changes by less than its deviation. */
const instants = [0, 0.2, 0.4, 0.6, 0.8, 1, 1.3, 1.6, 2, 2.5] as const;
/** Generation time of a token, in milliseconds, before any was observed; converts the age of a report to tokens. */
const initialTokenMs = 0.6;
/** Weight of a new observation of the time per token. */
const tokenMsWeight = 0.05;
/** Estimate of the output relative to the prompt where only the reserved sum is known: in the services to which load management applies, they are about equal. */
const placedOutputRatio = 1;
/** Longest wait that is forecast, in tokens of a stream, and its steps. */
const maxWaitTokens = 16_384;
const waitSteps = 16;

/** Lengths of a request, in tokens. */
export type RequestLength = {
	readonly promptTokens: number;
	/** Caller's estimate of the output. */
	readonly estimateTokens: number;
	/** Output that another replica has generated already, if the stream continues; the replica holds it from the start. */
	readonly doneTokens?: number;
};

/** A request as the forecast needs it. */
export type ForecastRequest = RequestLength & {
	readonly service: string;
	/** Memory reserved for prompt and output; it counts until the stream exceeds it. */
	readonly reservedTokens: number;
};

/** What one replica can take. */
export type ReplicaLimits = {
	readonly capacityTokens: number;
	/** Streams that it runs concurrently; infinite if unknown. */
	readonly slots: number;
};

/** A stream and its progress, as another host reports it. */
export type ReportedStream = {
	readonly endpoint: string;
	readonly promptTokens: number;
	readonly estimateTokens: number;
	readonly doneTokens: number;
};

/** A stream of this host at a replica. */
export type OwnStream = {
	/** Records the tokens generated so far. */
	readonly progress: (doneTokens: number, now: number) => void;
	/** Records that the replica has granted the reservation; only then other hosts are told of the stream. */
	readonly confirm: () => void;
	/** Ends tracking; further calls do nothing. */
	readonly end: () => void;
};

type Stream = Omit<ForecastRequest, 'doneTokens'> & {
	doneTokens: number;
	/** When `doneTokens` was current. */
	at: number;
};

type OwnEntry = Stream & {readonly endpoint: string; isGranted: boolean};

/** A placement that another host has announced. */
export type Placement = {
	readonly service: string;
	readonly endpoint: string;
	/** Memory reserved, in tokens. */
	readonly tokens: number;
	/** Expected hold time, in milliseconds. */
	readonly heldMs: number;
};

type HostReport = {
	readonly at: number;
	readonly streams: ReadonlyMap<string, readonly Stream[]>;
};

type Placed = Stream & {readonly host: string; readonly until: number};

type Moments = {
	readonly mean: number;
	readonly variance: number;
};

/** Forecast memory at one future instant. */
type Instant = Moments & {
	/** Tokens that each stream will have generated. */
	readonly steps: number;
};

type Sums = {
	readonly at: number;
	readonly count: number;
	readonly instants: readonly Instant[];
};

/** Streams by replica, over all services. */
export class MemoryForecast {
	readonly #outputs = new Map<string, OutputForecast>();
	/** Memory of replicas that were searched. */
	readonly #capacities = new Map<string, number>();
	readonly #own = new Map<string, Set<OwnEntry>>();
	/** By service and host. */
	readonly #reports = new Map<string, HostReport>();
	readonly #placed = new Map<string, Placed[]>();
	readonly #sums = new Map<string, Sums>();
	#tokenMs = initialTokenMs;

	/** Generation time of a token, in milliseconds. */
	get tokenMs(): number {
		return this.#tokenMs;
	}

	/** Distribution of the output lengths of a service. */
	outputsOf(service: string): OutputForecast {
		let outputs = this.#outputs.get(service);
		if (outputs === undefined) {
			outputs = new OutputForecast();
			this.#outputs.set(service, outputs);
		}

		return outputs;
	}

	/** Memory to reserve for a request, in tokens. `isKnown`: the streams at the replica are known. */
	reservationFor(service: string, {promptTokens, estimateTokens, doneTokens = 0}: RequestLength, isKnown = true): number {
		const outputTokens = this.outputsOf(service).quantile(isKnown ? reservedQuantile : unknownQuantile, estimateTokens, doneTokens);
		return Math.max(1, Math.ceil((promptTokens + outputTokens) / blockTokens)) * blockTokens;
	}

	/** Records the generation time of an own stream. */
	recordPace(tokens: number, elapsedMs: number): void {
		if (tokens > 0 && elapsedMs > 0) {
			this.#tokenMs += tokenMsWeight * ((elapsedMs / tokens) - this.#tokenMs);
		}
	}

	/** Starts tracking a stream of this host, from its reservation on. */
	begin(endpoint: string, request: ForecastRequest, now: number): OwnStream {
		const stream: OwnEntry = {
			...request, endpoint, isGranted: false, doneTokens: request.doneTokens ?? 0, at: now,
		};
		const streams = this.#own.get(endpoint) ?? new Set();
		streams.add(stream);
		this.#own.set(endpoint, streams);
		this.#sums.delete(endpoint);
		return {
			progress(doneTokens, at) {
				stream.doneTokens = doneTokens;
				stream.at = at;
			},
			confirm() {
				stream.isGranted = true;
			},
			end: () => {
				this.#sums.delete(endpoint);
				streams.delete(stream);
				if (streams.size === 0 && this.#own.get(endpoint) === streams) {
					this.#own.delete(endpoint);
				}
			},
		};
	}

	/** Streams of this host at a service's replicas, for a report. */
	listOwn(service: string): ReportedStream[] {
		const streams: ReportedStream[] = [];
		for (const entries of this.#own.values()) {
			for (const entry of entries) {
				if (entry.service === service && entry.isGranted) {
					const {endpoint, promptTokens, estimateTokens, doneTokens} = entry;
					streams.push({
						endpoint, promptTokens, estimateTokens, doneTokens,
					});
				}
			}
		}

		return streams;
	}

	/** Replaces what a host reported before, and the placements that the report covers. */
	receive(host: string, service: string, streams: readonly ReportedStream[], now: number): void {
		const byEndpoint = new Map<string, Stream[]>();
		for (const {endpoint, promptTokens, estimateTokens, doneTokens} of streams) {
			const reservedTokens = this.reservationFor(service, {promptTokens, estimateTokens});
			const entries = byEndpoint.get(endpoint) ?? [];
			entries.push({
				service, promptTokens, estimateTokens, reservedTokens, doneTokens, at: now,
			});
			byEndpoint.set(endpoint, entries);
		}

		this.#reports.set(`${service} ${host}`, {at: now, streams: byEndpoint});
		for (const [endpoint, placed] of this.#placed) {
			this.#setPlaced(endpoint, placed.filter(each => each.until > now && (each.host !== host || each.service !== service)));
		}

		for (const [key, {at}] of this.#reports) {
			if (now - at >= staleMs) {
				this.#reports.delete(key);
			}
		}

		this.#sums.clear();
	}

	/** Records a placement of another host, which counts until the host's next report. */
	place(host: string, {service, endpoint, tokens, heldMs}: Placement, now: number): void {
		const reservedRatio = this.reservationFor(service, {promptTokens: 0, estimateTokens: tokens}) / tokens;
		const estimateTokens = tokens * placedOutputRatio / (1 + (placedOutputRatio * reservedRatio));
		const placed = (this.#placed.get(endpoint) ?? []).filter(({until}) => until > now);
		placed.push({
			host, service, promptTokens: estimateTokens / placedOutputRatio, estimateTokens, reservedTokens: tokens, doneTokens: 0, at: now, until: now + Math.min(heldMs, staleMs),
		});
		this.#setPlaced(endpoint, placed);
		this.#sums.delete(endpoint);
	}

	/** Number of streams known at a replica. */
	count(endpoint: string, now: number): number {
		return this.#sumsOf(endpoint, now).count;
	}

	/** Why a replica should not take a request now; undefined if it may. Without known streams there it may, so that no request is too large for every replica. */
	findObstacle(endpoint: string, {capacityTokens, slots}: ReplicaLimits, request: ForecastRequest, now: number): 'slots' | 'memory' | undefined {
		this.#capacities.set(endpoint, capacityTokens);
		const {count} = this.#sumsOf(endpoint, now);
		if (count >= slots) {
			return 'slots';
		}

		const mayTake = count === 0 || this.overflowProbability(endpoint, capacityTokens, request, now) <= maxOverflowProbability;
		return mayTake ? undefined : 'memory';
	}

	/** Highest probability over the future instants that the memory of a replica is exceeded if it runs the request as well; the first one above the bound, if any is. */
	overflowProbability(endpoint: string, capacityTokens: number, request: ForecastRequest, now: number): number {
		const outputs = this.outputsOf(request.service);
		let highest = 0;
		for (const {steps, mean, variance} of this.#sumsOf(endpoint, now).instants) {
			const added = momentsOf(outputs, {...request, doneTokens: request.doneTokens ?? 0}, steps);
			highest = Math.max(highest, exceedProbability(mean + added.mean, variance + added.variance, capacityTokens));
			// Beyond the bound, the other instants decide nothing; most searches under load end here
			if (highest > maxOverflowProbability) {
				break;
			}
		}

		return highest;
	}

	/** Time until a replica is expected to have room for `tokens` more, in milliseconds; 0: now, or nothing was placed there yet. */
	expectedFreeMs(endpoint: string, tokens: number, now: number): number {
		const capacityTokens = this.#capacities.get(endpoint) ?? Number.POSITIVE_INFINITY;
		const streams = this.#listStreams(endpoint, now);
		for (let step = 0; step < waitSteps; step += 1) {
			const steps = maxWaitTokens * step / waitSteps;
			let mean = 0;
			for (const stream of streams) {
				mean += momentsOf(this.outputsOf(stream.service), stream, steps, this.#generatedSince(stream, now)).mean;
			}

			if (mean + tokens <= capacityTokens) {
				return steps * this.#tokenMs;
			}
		}

		return maxWaitTokens * this.#tokenMs;
	}

	/** Removes a replica that is gone. */
	forget(endpoint: string): void {
		this.#own.delete(endpoint);
		this.#placed.delete(endpoint);
		this.#capacities.delete(endpoint);
		this.#sums.delete(endpoint);
	}

	#setPlaced(endpoint: string, placed: Placed[]): void {
		if (placed.length === 0) {
			this.#placed.delete(endpoint);
		} else {
			this.#placed.set(endpoint, placed);
		}
	}

	#sumsOf(endpoint: string, now: number): Sums {
		const kept = this.#sums.get(endpoint);
		if (kept !== undefined && now - kept.at < sumsTtlMs) {
			return kept;
		}

		const streams = this.#listStreams(endpoint, now);
		let estimates = 0;
		for (const stream of streams) {
			estimates += stream.estimateTokens / streams.length;
		}

		const sums = {
			at: now, count: streams.length, instants: instants.map(multiple => {
				const steps = multiple * estimates;
				let mean = 0;
				let variance = 0;
				for (const stream of streams) {
					const moments = momentsOf(this.outputsOf(stream.service), stream, steps, this.#generatedSince(stream, now));
					mean += moments.mean;
					variance += moments.variance;
				}

				return {steps, mean, variance};
			}),
		};
		this.#sums.set(endpoint, sums);
		return sums;
	}

	#listStreams(endpoint: string, now: number): Stream[] {
		const streams: Stream[] = [...this.#own.get(endpoint) ?? []];
		for (const {at, streams: reported} of this.#reports.values()) {
			streams.push(...(now - at < staleMs ? reported.get(endpoint) ?? [] : []));
		}

		streams.push(...(this.#placed.get(endpoint) ?? []).filter(({until}) => until > now));
		return streams;
	}

	/** Tokens that a stream has generated since its progress was known; none while its prompt is prefilled. */
	#generatedSince({doneTokens, at}: Stream, now: number): number {
		return doneTokens > 0 ? Math.max(0, now - at) / this.#tokenMs : 0;
	}
}

/** Mean and variance of a stream's memory after `steps` more tokens; 0 once it has ended. `generated`: tokens it is assumed to have generated, if it still runs, since its progress was known. */
function momentsOf(outputs: OutputForecast, stream: Omit<Stream, 'at'>, steps: number, generated = 0): Moments {
	const {promptTokens, estimateTokens, reservedTokens, doneTokens} = stream;
	const outputTokens = doneTokens + generated + steps;
	const memory = Math.max(reservedTokens, promptTokens + outputTokens);
	const probability = outputs.survival(outputTokens, estimateTokens, doneTokens);
	return {mean: probability * memory, variance: probability * (1 - probability) * memory * memory};
}

/** Probability that a normally distributed sum exceeds a bound. */
function exceedProbability(mean: number, variance: number, bound: number): number {
	if (variance <= 0) {
		return mean > bound ? 1 : 0;
	}

	return upperTail((bound - mean) / Math.sqrt(variance));
}

/** Probability that a standard normal variable exceeds a value, by formula 26.2.17 of Abramowitz and Stegun (error below 1e-7). */
function upperTail(value: number): number {
	if (value < 0) {
		return 1 - upperTail(-value);
	}

	const scale = 1 / (1 + (0.231_641_9 * value));
	const polynomial = scale * (0.319_381_53 + (scale * (-0.356_563_782 + (scale * (1.781_477_937 + (scale * (-1.821_255_978 + (scale * 1.330_274_429))))))));
	return Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI) * polynomial;
}
