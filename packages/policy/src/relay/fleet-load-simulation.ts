/**
 * Simulates the hosts of a fleet that share decode replicas, without a network,
 * to test `ServiceLoad`. Messages between hosts of a subset arrive late, and may
 * be lost or delayed for a host.
 */
import {loadReport, type LoadReportDraft} from '@gatehead/schema/relay-message';
import {ignore} from '../utils/ignore.js';
import {seedRandom, type Random} from '../utils/random.js';
import {ServiceLoad, type LoadWaiter} from './service-load.js';
import {assignSubsets, countSubsets} from './subsets.js';

const stepMs = 10;
const pollIntervalMs = 60;
const reportIntervalMs = 500;
export const capacityTokens = 68_883;
const slots = 12;
const blockTokens = 16;
/** Time from an admission to the first event, in milliseconds. */
const startMs = 300;
const timeoutMs = 14_100;
/** Error of what hosts know of a replica's free memory, in tokens. */
const freeNoiseTokens = 10_000;
/** Preference for the replicas of the own subset, in tokens. */
const ownSubsetTokens = 0.6 * capacityTokens;
/** Replicas that one search asks. */
const maxReplicasTried = 4;

/** Requests of one kind that arrive at all hosts. */
export type Demand = {
	readonly workspace?: string;
	readonly urgency: number;
	readonly targetMs: number;
	/** Arrivals per second at a time since the start, in milliseconds. */
	readonly perS: (at: number) => number;
};

/** What happens to the first host. */
export type HostFault = 'none' | 'restart' | 'partition' | 'stale';

export type FleetOptions = {
	readonly hosts: number;
	readonly replicas: number;
	readonly demands: readonly Demand[];
	readonly durationMs: number;
	readonly seed: number;
	readonly fault?: HostFault;
	/** Whether hosts follow `ServiceLoad`; if not, all waiting requests ask in the order of arrival and none is rejected. */
	readonly isManaged?: boolean;
};

/** A caller's request over both its attempts. */
export type CallerRequest = {
	readonly demand: Demand;
	readonly arrivedAt: number;
	readonly tokens: number;
	readonly holdMs: number;
	/** Time from the arrival of the first attempt to its rejection, in milliseconds. */
	rejectedAfterMs: number | undefined;
	rejections: number;
	cause: string | undefined;
	grantedAt: number | undefined;
	isOnTime: boolean;
};

type SimulatedWaiter = LoadWaiter & {readonly caller: CallerRequest};

type Host = {
	readonly name: string;
	readonly subset: number;
	load: ServiceLoad;
	queue: SimulatedWaiter[];
	pollAt: number;
	reportAt: number;
};

type Replica = {
	readonly subset: number;
	free: number;
	running: number;
};

type Action = () => void;

/** A fleet and its callers. */
export class SimulatedFleet {
	readonly requests: CallerRequest[] = [];
	/** Memory reserved so far, in tokens times milliseconds. */
	usedTokenMs = 0;
	readonly #options: FleetOptions;
	readonly #random: Random;
	readonly #hosts: Host[];
	readonly #replicas: Replica[];
	readonly #actions = new Map<number, Action[]>();
	#now = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = seedRandom(options.seed);
		const names = Array.from({length: options.hosts}, (_, index) => `host-${index}`);
		const subsets = assignSubsets(names, countSubsets(options.hosts));
		this.#hosts = names.map(name => ({
			name, subset: subsets.get(name) ?? 0, load: this.#makeLoad(), queue: [], pollAt: 0, reportAt: this.#random.next() * reportIntervalMs,
		}));
		this.#replicas = Array.from({length: options.replicas}, (_, index) => ({subset: index % countSubsets(options.hosts), free: capacityTokens, running: 0}));
	}

	/** Release rate that the first host expects now. */
	get expectedPerS(): number {
		return this.#hosts[0]?.load.releasesPerS(this.#now) ?? 0;
	}

	run(onSecond: (at: number) => void = ignore): this {
		for (; this.#now < this.#options.durationMs; this.#now += stepMs) {
			if (this.#now % 1000 === 0) {
				onSecond(this.#now);
			}

			this.#runFault();
			this.#runActions();
			this.#arrive();
			for (const host of this.#hosts) {
				this.#runHost(host);
			}
		}

		return this;
	}

	#makeLoad(): ServiceLoad {
		const {replicas, hosts} = this.#options;
		return new ServiceLoad({
			random: this.#random,
			pollIntervalMs,
			workspaceOf: () => ({priority: 0, weight: 1}),
			hasWorkspaces: () => this.#options.demands.some(({workspace}) => workspace !== undefined),
			capacity: () => ({
				replicas, subsetFraction: 1 / countSubsets(hosts), capacityTokens, slots,
			}),
		});
	}

	#runFault(): void {
		const [host] = this.#hosts;
		if (this.#options.fault === 'restart' && this.#now === 10_000 && host !== undefined) {
			host.load = this.#makeLoad();
			host.queue = [];
		}
	}

	#runActions(): void {
		for (const action of this.#actions.get(this.#now) ?? []) {
			action();
		}

		this.#actions.delete(this.#now);
	}

	#after(delayMs: number, action: Action): void {
		const at = this.#now + (Math.max(1, Math.ceil(delayMs / stepMs)) * stepMs);
		const actions = this.#actions.get(at) ?? [];
		actions.push(action);
		this.#actions.set(at, actions);
	}

	#arrive(): void {
		for (const demand of this.#options.demands) {
			let expected = demand.perS(this.#now) * stepMs / 1000;
			while (this.#random.next() < expected) {
				expected -= 1;
				const tokens = blockTokens * Math.ceil((4000 + (12_000 * this.#random.next())) / blockTokens);
				const holdMs = 1500 + (3600 * this.#random.next());
				const caller: CallerRequest = {
					demand, arrivedAt: this.#now, tokens, holdMs, rejectedAfterMs: undefined, rejections: 0, cause: undefined, grantedAt: undefined, isOnTime: false,
				};
				this.requests.push(caller);
				this.#send(caller);
			}
		}
	}

	/** Sends a caller's next attempt to a random host. */
	#send(caller: CallerRequest): void {
		const host = this.#hosts[Math.floor(this.#random.next() * this.#hosts.length)];
		if (host === undefined) {
			return;
		}

		const {demand: {urgency, workspace, targetMs}, tokens} = caller;
		const isRetry = caller.rejections > 0;
		const waiter: SimulatedWaiter = {
			isStarted: false,
			urgency,
			workspace,
			arrivedAt: this.#now,
			dueAt: this.#now + targetMs - startMs,
			isReturn: isRetry && host.load.returns.isScheduled({workspace, urgency}, this.#now),
			tokens,
			targetMs,
			deadlineAt: caller.arrivedAt + timeoutMs,
			isRejectable: !isRetry,
			caller,
		};
		host.load.releases.setPriorTokens(tokens);
		const mayAsk = this.#options.isManaged === false || host.load.mayAskAtOnce(waiter, host.queue, this.#now);
		if (!mayAsk || !this.#tryAdmit(host, waiter)) {
			if (host.queue.length === 0) {
				host.pollAt = this.#now + (pollIntervalMs * this.#random.next());
			}

			host.queue.push(waiter);
		}
	}

	#runHost(host: Host): void {
		if (this.#now >= host.reportAt) {
			host.reportAt = this.#now + reportIntervalMs;
			this.#report(host);
		}

		if (host.queue.length > 0 && this.#now >= host.pollAt) {
			host.pollAt = this.#now + (pollIntervalMs * (0.7 + (0.6 * this.#random.next())));
			this.#poll(host);
		}
	}

	#poll(host: Host): void {
		const {turns, rejections} = this.#options.isManaged === false ? {turns: host.queue, rejections: []} : host.load.plan(host.queue, this.#now);
		for (const {waiter, cause} of rejections) {
			waiter.caller.cause ??= cause;
			this.#reject(waiter.caller, this.#now - waiter.arrivedAt, host.load.promiseReturn(waiter, host.queue, this.#now));
		}

		const rejected = new Set(rejections.map(({waiter}) => waiter));
		host.queue = host.queue.filter(waiter => !rejected.has(waiter) && this.#now - waiter.arrivedAt < 4 * waiter.targetMs);
		for (const waiter of turns.filter(each => host.queue.includes(each)).slice(0, 4)) {
			if (this.#tryAdmit(host, waiter)) {
				host.queue = host.queue.filter(each => each !== waiter);
			}
		}
	}

	#reject(caller: CallerRequest, waitedMs: number, retryAfterMs: number): void {
		caller.rejections += 1;
		if (caller.rejections === 1) {
			caller.rejectedAfterMs = waitedMs;
			this.#after(retryAfterMs, () => {
				this.#send(caller);
			});
		}
	}

	#tryAdmit(host: Host, waiter: SimulatedWaiter): boolean {
		const {caller} = waiter;
		const {tokens, holdMs} = caller;
		// Hosts know roughly how full the replicas are, from the placements of their peers
		const ordered = this.#replicas.map(replica => ({
			replica, key: replica.free + (freeNoiseTokens * this.#random.next()) + (replica.subset === host.subset ? ownSubsetTokens : 0),
		})).toSorted((one, other) => other.key - one.key);
		for (const {replica} of ordered.slice(0, maxReplicasTried)) {
			if (replica.free >= tokens && replica.running < slots) {
				replica.free -= tokens;
				replica.running += 1;
				this.usedTokenMs += tokens * holdMs;
				caller.grantedAt = this.#now;
				caller.isOnTime = this.#now <= waiter.dueAt;
				host.load.recordServed(waiter, this.#now);
				this.#broadcast(host, peer => {
					peer.load.receivePlacement(host.name, tokens, this.#now);
				});
				this.#after(holdMs, () => {
					replica.free += tokens;
					replica.running -= 1;
					host.load.releases.note(tokens, holdMs, this.#now);
				});
				return true;
			}
		}

		return false;
	}

	#report(host: Host): void {
		const draft: LoadReportDraft = host.load.collect(host.queue, this.#now);
		const report = loadReport.parse(draft);
		this.#broadcast(host, peer => {
			peer.load.receive(host.name, report, this.#now);
		});
	}

	/** Delivers a message of a host to the others of its subset. */
	#broadcast(host: Host, deliver: (peer: Host) => void): void {
		const {fault} = this.#options;
		const first = this.#hosts[0];
		for (const peer of this.#hosts) {
			const isFaulty = host === first || peer === first;
			if (peer === host || peer.subset !== host.subset || (fault === 'partition' && isFaulty)) {
				continue;
			}

			this.#after((fault === 'stale' && isFaulty ? 2000 : 20) + (60 * this.#random.next()), () => {
				deliver(peer);
			});
		}
	}
}
