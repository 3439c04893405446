/**
 * Usage of a service by workspace over the hosts of a subset, and the max-min
 * share of each: capacity is divided by weight, and what a workspace does not
 * ask for is divided among the others. Usage is memory in tokens times the
 * expected seconds for which it is held, charged when it is reserved.
 */
import {type LoadReport} from '@gatehead/schema/relay-message';
import {HalfLifeSum} from '../utils/half-life-sum.js';

/** Half-life of usage, in milliseconds. */
const halfLifeMs = 10_000;
/** Half-life of recent usage, in milliseconds. Bursts last 5 to 8 s; the longer average shows the excess of one only after it has ended. */
const recentHalfLifeMs = 2000;
/** Usage above its share by which a workspace is not yet in excess: the error of pooled usage that is half a second old. */
const tolerance = 0.05;
/** Usage up to which all workspaces are on one level, as a fraction of the guaranteed part. */
const equalFraction = 0.5;
/** Step between two levels, as a fraction of the guaranteed part: workspaces that use about the same are on one level, so that promised returns of one go ahead of new requests of another. */
const levelStep = 0.1;
/** Recent usage above its part by which a workspace is not above it, in requests: a few requests more than the mean are chance. */
const toleratedRequests = 2;
/** Usage, in token-seconds, below which a workspace is forgotten. */
const minUsage = 1;

const millisecondsPerSecond = 1000;

/** Key of requests without workspace. */
type WorkspaceKey = string | undefined;

/** Share and usage of a workspace, in token-seconds per second. */
export type WorkspaceShare = {
	readonly usage: number;
	/** Usage of the last seconds, less what is tolerated. */
	readonly recent: number;
	/** Max-min share: what it may use, given what the others ask for. */
	readonly share: number;
	/** Part of the capacity by its weight alone, which no demand of others reduces. */
	readonly guaranteed: number;
};

/** Demand that shares are computed from. */
export type ServiceDemand = {
	/** Token-seconds that wait, by workspace. */
	readonly waiting: ReadonlyMap<WorkspaceKey, number>;
	/** Token-seconds per second that the replicas provide. */
	readonly capacity: number;
	/** Token-seconds of the mean request. */
	readonly requestCost: number;
};

/** Usage of a workspace, in token-seconds. */
type Usage = {
	readonly sum: HalfLifeSum;
	readonly recent: HalfLifeSum;
};

/** Shares of one service. */
export class ServiceShares {
	readonly #weightOf: (workspace: WorkspaceKey) => number;
	readonly #usage = new Map<WorkspaceKey, Usage>();
	#unreported = new Map<WorkspaceKey, number>();

	constructor(weightOf: (workspace: WorkspaceKey) => number) {
		this.#weightOf = weightOf;
	}

	/** Charges memory that this host has reserved. */
	charge(workspace: WorkspaceKey, tokenSeconds: number, now: number): void {
		this.#unreported.set(workspace, (this.#unreported.get(workspace) ?? 0) + tokenSeconds);
		this.#add(workspace, tokenSeconds, now);
	}

	/** Adds the usage that a peer reports. */
	receive(use: LoadReport['use'], now: number): void {
		for (const {workspace, tokenSeconds} of use) {
			this.#add(workspace, tokenSeconds, now);
		}
	}

	/** Returns this host's usage since the previous call. */
	takeUse(): LoadReport['use'] {
		const use = [...this.#unreported].map(([workspace, tokenSeconds]) => ({workspace, tokenSeconds}));
		this.#unreported = new Map();
		return use;
	}

	/** Computes the shares of all workspaces that use the service or wait for it. */
	compute({waiting, capacity, requestCost}: ServiceDemand, now: number): Map<WorkspaceKey, WorkspaceShare> {
		const workspaces = [...new Set([...this.#usage.keys(), ...waiting.keys()])].map(workspace => {
			const used = this.#usage.get(workspace);
			const usage = (used?.sum.valueAt(now) ?? 0) / secondsOf(halfLifeMs);
			const recent = Math.max(0, (used?.recent.valueAt(now) ?? 0) - (toleratedRequests * requestCost)) / secondsOf(recentHalfLifeMs);
			return {
				workspace, usage, recent, weight: this.#weightOf(workspace), demand: usage + ((waiting.get(workspace) ?? 0) / secondsOf(halfLifeMs)),
			};
		});
		const shares = new Map<WorkspaceKey, WorkspaceShare>();
		let left = capacity;
		const allWeights = workspaces.reduce((sum, {weight}) => sum + weight, 0);
		let weights = allWeights;
		// Those that ask for least of their weight first: what they leave goes to the others
		for (const {
			workspace, usage, recent, weight, demand,
		} of workspaces.toSorted((one, other) => (one.demand / one.weight) - (other.demand / other.weight))) {
			const share = Math.max(0, left) * weight / weights;
			shares.set(workspace, {
				usage, recent, share, guaranteed: capacity * weight / allWeights,
			});
			left -= Math.min(demand, share);
			weights -= weight;
		}

		return shares;
	}

	#add(workspace: WorkspaceKey, tokenSeconds: number, now: number): void {
		const usage = this.#usage.get(workspace) ?? {sum: new HalfLifeSum(halfLifeMs), recent: new HalfLifeSum(recentHalfLifeMs)};
		usage.sum.add(tokenSeconds, now);
		usage.recent.add(tokenSeconds, now);
		this.#usage.set(workspace, usage);
		for (const [key, {sum}] of this.#usage) {
			if (sum.valueAt(now) < minUsage) {
				this.#usage.delete(key);
			}
		}
	}
}

/** Level of a workspace in the queue order: 0 if it uses little of its guaranteed part, then by usage. Its max-min share would not do as the measure: the usage of a workspace that another crowds out shrinks, and the share of the other grows by it. */
export function levelOf({usage, recent, guaranteed}: WorkspaceShare): number {
	const fraction = Math.max(usage, recent) / Math.max(guaranteed, Number.MIN_VALUE);
	return Math.max(0, Math.ceil((fraction - equalFraction) / levelStep));
}

/** Whether a request is in excess: what its workspace has used, and what it waits for up to and including this request, is more than its share provides until the request is due. */
export function isExcess({usage, recent, share}: WorkspaceShare, waitingTokenSeconds: number, slackMs: number): boolean {
	const slackSeconds = Math.max(0, slackMs) / millisecondsPerSecond;
	const exceeds = (rate: number, seconds: number) => (rate * seconds) + waitingTokenSeconds > share * (seconds + slackSeconds) * (1 + tolerance);
	return exceeds(usage, secondsOf(halfLifeMs)) || exceeds(recent, secondsOf(recentHalfLifeMs));
}

/** Sum that a rate of one a second approaches, in seconds. */
function secondsOf(halfLife: number): number {
	return halfLife / millisecondsPerSecond / Math.LN2;
}
