/**
 * How many of a model's replicas should read prompts and how many should
 * decode: the split at which the service would serve most requests a second,
 * from the paces at which this host saw both sides work. It starts from a
 * share in the settings. Efficiency: a wrong split costs waiting.
 */
import {type Endpoint} from '@gatehead/schema/routing';

/** Times as long as a prefill replica takes a decode replica to read a prompt, while its own streams stand still: by the engines' description they read at half the pace between the tokens of others. */
export const decodeReadingFactor = 2;
/** Share of its pace up to which a prefill replica is reckoned with: close to it prompts wait long for their turn. With 0.8 six replicas keep two readers, with 0.9 one; both served alike in 15 paired plays of a day (worst moments 0.302 and 0.293, whole day 0.803 and 0.811 of the credit). */
const mostReading = 0.9;
/** Least prefill replicas wanted: prompts beyond what they read are left to the decode replicas, as are all when none is left. */
const leastPrefill = 1;
/** Replicas for each change that may be under way at once under load: a change takes its replica away for seconds, a twelfth of the room at most. */
const replicasPerChange = 12;
/** Weight of a new prompt in the mean: about twenty make it, so that a shift between long and short prompts is followed within seconds. */
const weight = 0.05;
/** Requests of either side from which on their paces count: lengths differ by half, so the mean of twelve is right to a seventh. */
const leastSeen = 12;
/** Least gain for which a change is ordered, as a share of the present rate: a prefill replica that becomes a decode replica is missed by nobody meanwhile, one that leaves the decode side takes its room away for six seconds and as long as its streams last. */
const leastGain: Readonly<Record<StageChange['stage'], number>> = {decode: 0.04, prefill: 0.1};

/** A change of part that would help. */
export type StageChange = {
	readonly endpoint: Endpoint;
	readonly stage: 'prefill' | 'decode';
	readonly reason: string;
};

/** How fast one replica of either part works, in requests a second, and from how many requests that is known. */
export type Paces = {
	readonly prefillPerS: number;
	readonly decodePerS: number;
	readonly seen: number;
	/** Requests have waited for memory a moment ago: no decode replica can be spared. */
	readonly isShort: boolean;
};

/** Requests a second that so many replicas serve with so many of them reading prompts. */
export function serviceRate(replicas: number, prefill: number, {prefillPerS, decodePerS}: Paces): number {
	const decode = replicas - prefill;
	const decodeBound = decodePerS * decode;
	const readPerS = mostReading * prefillPerS;
	if (decodeBound <= readPerS * prefill) {
		return decodeBound;
	}

	// Decode replicas read the rest: their time is shared between decoding all and reading some
	const readingS = decodeReadingFactor / readPerS;
	return (decode + (decodeReadingFactor * prefill)) / ((1 / decodePerS) + readingS);
}

/** Prefill replicas at which so many replicas serve most; the fewest among equals. */
export function bestPrefill(replicas: number, paces: Paces): number {
	let best = Math.min(leastPrefill, replicas - 1);
	for (let prefill = best + 1; prefill < replicas; prefill += 1) {
		if (serviceRate(replicas, prefill, paces) > serviceRate(replicas, best, paces)) {
			best = prefill;
		}
	}

	return Math.max(0, best);
}

/** The split of one service. */
export class StageSplit {
	readonly #share: number;
	#readMs = 0;
	#read = 0;

	/** `share`: prefill replicas wanted of all, until requests were seen. */
	constructor(share: number) {
		this.#share = share;
	}

	/** Time for which a prompt keeps its prefill replica busy, in milliseconds; 0 until one was read. */
	get readMs(): number {
		return this.#readMs;
	}

	/** Prompts that were read. */
	get read(): number {
		return this.#read;
	}

	/** Notes the time for which a prompt kept its prefill replica busy. */
	noteRead(busyMs: number): void {
		this.#read += 1;
		this.#readMs += Math.max(weight, 1 / this.#read) * (busyMs - this.#readMs);
	}

	/** Changes to order now: all at once while nothing has come yet, a few at a time later on. */
	choose(replicas: readonly Endpoint[], paces: Paces, isUsable: (endpoint: Endpoint) => boolean): StageChange[] {
		const most = paces.seen === 0 ? replicas.length : Math.max(1, Math.floor(replicas.length / replicasPerChange));
		const changes: StageChange[] = [];
		let left = replicas;
		while (changes.length < most) {
			const next = this.#chooseOne(left, paces, isUsable);
			if (next === undefined) {
				break;
			}

			changes.push(next);
			left = left.map(each => (each.id === next.endpoint.id ? {...each, stage: next.stage} : each));
		}

		return changes;
	}

	#chooseOne(replicas: readonly Endpoint[], paces: Paces, isUsable: (endpoint: Endpoint) => boolean): StageChange | undefined {
		const prefill = replicas.filter(({stage}) => stage === 'prefill');
		const decode = replicas.filter(({stage}) => stage === 'decode');
		const stage = this.#findStage(replicas.length, prefill.length, paces);
		if (stage === undefined) {
			return undefined;
		}

		const [from, to] = stage === 'decode' ? [prefill, decode] : [decode, prefill];
		return change(from.filter(each => isUsable(each)), to, stage, `${prefill.length} prefill of ${replicas.length}; a replica reads ${paces.prefillPerS.toFixed(1)} and decodes ${paces.decodePerS.toFixed(1)} requests a second`);
	}

	/** The part of which there are too few. */
	#findStage(replicas: number, prefill: number, paces: Paces): StageChange['stage'] | undefined {
		if (paces.seen === 0) {
			const wanted = Math.max(Math.min(leastPrefill, replicas - 1), Math.round(this.#share * replicas));
			return prefill > wanted ? 'decode' : undefined;
		}

		const wanted = paces.seen < leastSeen ? prefill : bestPrefill(replicas, paces);
		if (wanted === prefill) {
			return undefined;
		}

		const stage = wanted < prefill ? 'decode' : 'prefill';
		const next = prefill + (stage === 'decode' ? -1 : 1);
		const gain = (serviceRate(replicas, next, paces) / serviceRate(replicas, prefill, paces)) - 1;
		const isSpared = stage === 'decode' || !paces.isShort;
		return isSpared && gain >= leastGain[stage] ? stage : undefined;
	}
}

/** Takes the replica from the hall that has most of its kind, by id among equals, so that every host would choose alike. */
function change(from: readonly Endpoint[], to: readonly Endpoint[], stage: StageChange['stage'], reason: string): StageChange | undefined {
	const surplus = (hall: string) => from.filter(each => each.hall === hall).length - to.filter(each => each.hall === hall).length;
	const ordered = from.toSorted((left, right) => surplus(right.hall) - surplus(left.hall) || (left.id < right.id ? -1 : 1));
	const [endpoint] = ordered;
	return endpoint === undefined ? undefined : {endpoint, stage, reason};
}
