/**
 * How many of a model's replicas should read prompts and how many should
 * decode. It starts from a measured share and follows what requests meet: a
 * replica changes its part when one side makes requests wait and the other
 * has room. Efficiency: a wrong split costs waiting.
 */
import {type Endpoint} from '@gatehead/schema/routing';

/** Least prefill replicas, so that one can fail. */
const leastPrefill = 2;
/** Replicas for each change that may be under way at once under load. */
const replicasPerChange = 12;
/** Weight of a new observation. */
const weight = 0.15;
/** Observations from which on a mean counts. */
const leastSeen = 12;
/** Time for memory from which on the decode side is short, and up to which it has room, as shares of the target. A change of part takes a replica away for six seconds: lower bounds (0.15, 0.08, 0.42) cost 0.16 of worth over eight days. */
const decodeShort = 0.7;
const decodeRoom = 0.03;
/** The same for the prompt's reading, queue and all. */
const prefillShort = 0.6;
const prefillRoom = 0.25;

/** A change of part that would help. */
export type StageChange = {
	readonly endpoint: Endpoint;
	readonly stage: 'prefill' | 'decode';
	readonly reason: string;
};

type Mean = {
	value: number;
	seen: number;
};

function observe(mean: Mean, value: number): void {
	mean.seen += 1;
	mean.value += Math.max(weight, 1 / mean.seen) * (value - mean.value);
}

/** What one host sees of one service's two sides. */
export class StageSplit {
	readonly #share: number;
	readonly #reserve: Mean = {value: 0, seen: 0};
	readonly #prefill: Mean = {value: 0, seen: 0};

	/** `share`: prefill replicas wanted of all, until requests say otherwise. */
	constructor(share: number) {
		this.#share = share;
	}

	/** Notes the time that a request took to get memory, as a share of its target. */
	noteReserve(share: number): void {
		observe(this.#reserve, share);
	}

	/** Notes the time that a prompt's reading took, as a share of its request's target. */
	notePrefill(share: number): void {
		observe(this.#prefill, share);
	}

	/** Forgets what was seen under another split; that requests have come is not forgotten. */
	reset(): void {
		this.#reserve.seen = Math.min(1, this.#reserve.seen);
		this.#prefill.seen = 0;
	}

	/** Changes to order now: all at once while nothing has come yet, a few at a time later on. */
	choose(replicas: readonly Endpoint[], isUsable: (endpoint: Endpoint) => boolean): StageChange[] {
		const most = this.#reserve.seen === 0 ? replicas.length : Math.max(1, Math.floor(replicas.length / replicasPerChange));
		const changes: StageChange[] = [];
		let left = replicas;
		while (changes.length < most) {
			const next = this.#chooseOne(left, isUsable);
			if (next === undefined) {
				break;
			}

			changes.push(next);
			left = left.map(each => (each.id === next.endpoint.id ? {...each, stage: next.stage} : each));
		}

		return changes;
	}

	#chooseOne(replicas: readonly Endpoint[], isUsable: (endpoint: Endpoint) => boolean): StageChange | undefined {
		const prefill = replicas.filter(({stage}) => stage === 'prefill');
		const decode = replicas.filter(({stage}) => stage === 'decode');
		const least = Math.min(leastPrefill, Math.max(1, replicas.length - 1));
		const wanted = Math.max(least, Math.round(this.#share * replicas.length));
		if (prefill.length > least && this.#isDecodeShort(prefill.length > wanted)) {
			return change(prefill.filter(each => isUsable(each)), decode, 'decode', this.#describe(prefill.length, wanted));
		}

		if (prefill.length < wanted && decode.length > 1 && this.#isPrefillShort(prefill.length < least)) {
			return change(decode.filter(each => isUsable(each)), prefill, 'prefill', this.#describe(prefill.length, wanted));
		}

		return undefined;
	}

	/** Beyond the wanted share requests must have waited; up to it, it is enough that prompts do not. */
	#isDecodeShort(isBeyondShare: boolean): boolean {
		const hasBegun = this.#reserve.seen > 0;
		const isPrefillIdle = hasBegun ? this.#prefill.seen >= leastSeen && this.#prefill.value < prefillRoom : true;
		if (isBeyondShare) {
			return isPrefillIdle;
		}

		return isPrefillIdle && this.#reserve.seen >= leastSeen && this.#reserve.value > decodeShort;
	}

	/** Below the least number of prefill replicas decoding suffers too, since decode replicas then read prompts. */
	#isPrefillShort(isBelowLeast: boolean): boolean {
		const isShort = this.#prefill.seen >= leastSeen && this.#prefill.value > prefillShort;
		return isShort && (isBelowLeast || this.#reserve.value < decodeRoom);
	}

	#describe(prefill: number, wanted: number): string {
		return `${prefill} prefill, ${wanted} wanted; memory after ${this.#reserve.value.toFixed(2)}, prompt in ${this.#prefill.value.toFixed(2)} of the target`;
	}
}

/** Takes the replica from the hall that has most of its kind, by id among equals, so that every host would choose alike. */
function change(from: readonly Endpoint[], to: readonly Endpoint[], stage: StageChange['stage'], reason: string): StageChange | undefined {
	const surplus = (hall: string) => from.filter(each => each.hall === hall).length - to.filter(each => each.hall === hall).length;
	const ordered = from.toSorted((left, right) => surplus(right.hall) - surplus(left.hall) || (left.id < right.id ? -1 : 1));
	const [endpoint] = ordered;
	return endpoint === undefined ? undefined : {endpoint, stage, reason};
}
