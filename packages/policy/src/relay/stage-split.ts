/**
 * Divides a model's replicas between prefill and decode so that the service
 * has the highest throughput, based on the throughput that this host observed
 * in both stages. The initial split comes from the settings.
 */
import {type Endpoint} from '@gatehead/schema/routing';

/** Prefill time on a decode replica relative to a prefill replica; its own streams stall meanwhile. Engines read a prompt at half the pace between the tokens of other requests. */
export const decodePrefillFactor = 2;
/** Maximum planned utilization of a prefill replica: queueing delays grow close to full utilization. At 0.8, six replicas keep two for prefill; at 0.9, one. */
const maxPrefillUtilization = 0.9;
/** Minimum number of prefill replicas; decode replicas prefill the prompts that exceed their capacity. */
const minPrefill = 1;
/** Number of replicas per concurrent change under load, since a change makes its replica unavailable for seconds. */
const replicasPerChange = 12;
/** Weight of a new prompt in the average, which covers about twenty prompts. */
const weight = 0.05;
/** Minimum number of observed requests to rely on the throughput. */
const minSamples = 12;
/** Factor between paces that count as different for the choice of a replica; those of equal replicas differ by chance. */
const paceStep = 1.5;
/** Minimum relative throughput gain to order a change, by target stage. Changing a decode replica costs more, since its memory is unavailable while its streams drain and for six more seconds. */
const minGain: Readonly<Record<StageChange['stage'], number>> = {decode: 0.04, prefill: 0.1};

/** A stage change to order. */
export type StageChange = {
	readonly endpoint: Endpoint;
	readonly stage: 'prefill' | 'decode';
	readonly reason: string;
};

/** Observed throughput of one replica in either stage, in requests per second, and the number of requests observed. */
export type StageThroughput = {
	readonly prefillPerS: number;
	readonly decodePerS: number;
	readonly sampleCount: number;
	/** Requests recently waited for decode memory, so no decode replica may be changed. */
	readonly isMemoryShort: boolean;
};

/** Returns the throughput of `replicas` replicas of which `prefill` are in the prefill stage, in requests per second. */
export function serviceRate(replicas: number, prefill: number, {prefillPerS, decodePerS}: StageThroughput): number {
	const decode = replicas - prefill;
	const decodeLimitPerS = decodePerS * decode;
	const usablePrefillPerS = maxPrefillUtilization * prefillPerS;
	if (decodeLimitPerS <= usablePrefillPerS * prefill) {
		return decodeLimitPerS;
	}

	// Decode replicas prefill the remaining prompts, in addition to decoding all requests
	const decodePrefillS = decodePrefillFactor / usablePrefillPerS;
	return (decode + (decodePrefillFactor * prefill)) / ((1 / decodePerS) + decodePrefillS);
}

/** Returns the number of prefill replicas with the highest throughput; the fewest among equals. */
export function bestPrefill(replicas: number, throughput: StageThroughput): number {
	let best = Math.min(minPrefill, replicas - 1);
	for (let prefill = best + 1; prefill < replicas; prefill += 1) {
		if (serviceRate(replicas, prefill, throughput) > serviceRate(replicas, best, throughput)) {
			best = prefill;
		}
	}

	return Math.max(0, best);
}

/** Stage split of one service. */
export class StageSplit {
	readonly #share: number;
	#prefillMs = 0;
	#prefillCount = 0;

	/** `share` is the fraction of prefill replicas until requests were observed. */
	constructor(share: number) {
		this.#share = share;
	}

	/** Average time that a prompt occupies its prefill replica, in milliseconds; 0 before the first observation. */
	get prefillMs(): number {
		return this.#prefillMs;
	}

	/** Number of prompts observed. */
	get prefillCount(): number {
		return this.#prefillCount;
	}

	/** Records the time that a prompt occupied its prefill replica, in milliseconds. */
	recordPrefill(busyMs: number): void {
		this.#prefillCount += 1;
		this.#prefillMs += Math.max(weight, 1 / this.#prefillCount) * (busyMs - this.#prefillMs);
	}

	/** Returns the changes to order now: all at once before the first request, a few at a time under load. `paceOf`: time per unit of a replica in its present stage, relative to the others. */
	chooseChanges(replicas: readonly Endpoint[], throughput: StageThroughput, isUsable: (endpoint: Endpoint) => boolean, paceOf: (endpoint: Endpoint) => number = () => 1): StageChange[] {
		const maxChanges = throughput.sampleCount === 0 ? replicas.length : Math.max(1, Math.floor(replicas.length / replicasPerChange));
		const changes: StageChange[] = [];
		let left = replicas;
		while (changes.length < maxChanges) {
			const next = this.#chooseOne(left, throughput, isUsable, paceOf);
			if (next === undefined) {
				break;
			}

			changes.push(next);
			left = left.map(each => (each.id === next.endpoint.id ? {...each, stage: next.stage} : each));
		}

		return changes;
	}

	#chooseOne(replicas: readonly Endpoint[], throughput: StageThroughput, isUsable: (endpoint: Endpoint) => boolean, paceOf: (endpoint: Endpoint) => number): StageChange | undefined {
		const prefill = replicas.filter(({stage}) => stage === 'prefill');
		const decode = replicas.filter(({stage}) => stage === 'decode');
		const stage = this.#findStage(replicas.length, prefill.length, throughput);
		if (stage === undefined) {
			return undefined;
		}

		const [from, to] = stage === 'decode' ? [prefill, decode] : [decode, prefill];
		const reason = `${prefill.length} of ${replicas.length} replicas prefill; requests per second and replica: ${throughput.prefillPerS.toFixed(1)} prefill, ${throughput.decodePerS.toFixed(1)} decode`;
		const endpoint = chooseReplica(from.filter(each => isUsable(each)), to, stage, paceOf);
		return endpoint === undefined ? undefined : {endpoint, stage, reason};
	}

	/** Returns the stage that needs another replica, or undefined if the split should stay. */
	#findStage(replicas: number, prefill: number, throughput: StageThroughput): StageChange['stage'] | undefined {
		if (throughput.sampleCount === 0) {
			const wanted = Math.max(Math.min(minPrefill, replicas - 1), Math.round(this.#share * replicas));
			return prefill > wanted ? 'decode' : undefined;
		}

		const wanted = throughput.sampleCount < minSamples ? prefill : bestPrefill(replicas, throughput);
		if (wanted === prefill) {
			return undefined;
		}

		const stage = wanted < prefill ? 'decode' : 'prefill';
		const next = prefill + (stage === 'decode' ? -1 : 1);
		const gain = (serviceRate(replicas, next, throughput) / serviceRate(replicas, prefill, throughput)) - 1;
		const isAllowed = stage === 'decode' || !throughput.isMemoryShort;
		return isAllowed && gain >= minGain[stage] ? stage : undefined;
	}
}

/** Chooses the slowest replica to prefill and the fastest to decode, since decoding is bound by memory and pace; then one of the hall with the largest surplus in its stage, then by id, so that all hosts choose the same one. */
function chooseReplica(from: readonly Endpoint[], to: readonly Endpoint[], stage: StageChange['stage'], paceOf: (endpoint: Endpoint) => number): Endpoint | undefined {
	const paceClassOf = (endpoint: Endpoint) => (stage === 'prefill' ? -1 : 1) * Math.round(Math.log(paceOf(endpoint)) / Math.log(paceStep));
	const surplus = (hall: string) => from.filter(each => each.hall === hall).length - to.filter(each => each.hall === hall).length;
	const ordered = from.toSorted((left, right) => paceClassOf(left) - paceClassOf(right) || surplus(right.hall) - surplus(left.hall) || (left.id < right.id ? -1 : 1));
	return ordered[0];
}
