/**
 * A fleet of real retry budgets, censuses and exchanges on a clock that the
 * caller moves, with a network that stands in for theirs. Hosts restart and
 * are partitioned; messages take some milliseconds.
 */
import {setImmediate} from 'node:timers/promises';
import {Members} from '@gatehead/policy/core/members';
import {settleMsOf} from '@gatehead/policy/relay/allowance-share';
import {FleetCensus} from '@gatehead/policy/relay/fleet-census';
import {RetryBudget, type RetryPermit} from '@gatehead/policy/relay/retry-budget';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {
	pick, seedRandom, shuffle, type Random,
} from '@gatehead/policy/utils/random';
import {RetryExchange} from '@gatehead/relay/peer/retry-exchange';
import {Metrics} from '@gatehead/relay/utils/metrics';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {type Start} from '@gatehead/schema/relay-settings';
import {
	findWorstWindow, type CountedArrival, type RepeatBound, type WorstWindow,
} from '../utils/repeat-count.js';

const stepMs = 5;
const stepsPerGossip = 20;
/** Time that a message takes, and how much longer at most, in milliseconds. */
const transitMs = 1;
const transitSpreadMs = 4;
/** Longest time from a permit to the arrival of its repeat, in milliseconds. */
const mostArrivalMs = 900;
/** Time after which unreachable hosts are taken for dead, in milliseconds. */
const suspectMs = 4200;
/** Time in which hosts of a first start find each other, in milliseconds. */
const warmMs = 15_000;
const service = 'model';
const metrics = new Metrics(undefined, {});

/** One play. */
export type RetryPlay = RepeatBound & {
	readonly hosts: number;
	readonly requestsPerS: number;
	/** Repeats that each request wants. */
	readonly wanted: number;
	/** Hosts that requests enter at; absent: all. */
	readonly entryHosts?: number;
	readonly seconds: number;
	readonly seed: number;
	/** Interval of restarts, and the share of the hosts that restart. */
	readonly restarts?: {readonly everyMs: number; readonly share: number};
	/** Partitions between all hosts, as begin and end. */
	readonly partitions?: ReadonlyArray<readonly [number, number]>;
};

/** What came of it. */
export type RetryResult = {
	readonly worst: WorstWindow;
	readonly wanted: number;
	readonly granted: number;
	/** Messages that a host sent in a second, on average. */
	readonly messagesPerHostS: number;
	/** Longest wait for a permit or a refusal, in milliseconds. */
	readonly longestWaitMs: number;
};

class PlayedHost {
	readonly name: string;
	incarnation = 0;
	members!: Members;
	census!: FleetCensus;
	budget!: RetryBudget;
	exchange!: RetryExchange;

	constructor(name: string) {
		this.name = name;
	}
}

class RetryFleet {
	messages = 0;
	granted = 0;
	wanted = 0;
	longestWaitMs = 0;
	readonly arrivals: CountedArrival[] = [];
	readonly requests: number[] = [];
	readonly #play: RetryPlay;
	readonly #clock = new ManualClock();
	readonly #random: Random;
	readonly #hosts: PlayedHost[];
	#requestCount = 0;

	constructor(play: RetryPlay) {
		this.#play = play;
		this.#random = seedRandom(play.seed);
		this.#hosts = Array.from({length: play.hosts}, (_, index) => new PlayedHost(`host-${index}`));
		for (const host of this.#hosts) {
			this.#start(host, 'first');
		}
	}

	async run(): Promise<void> {
		const {seconds, restarts, requestsPerS} = this.#play;
		for (let step = 0; this.#clock.now() < warmMs + (seconds * 1000); step += 1) {
			if (step % stepsPerGossip === 0) {
				this.#gossip();
			}

			const playedMs = this.#clock.now() - warmMs;
			if (restarts !== undefined && playedMs > 0 && playedMs % restarts.everyMs < stepMs) {
				for (const host of shuffle(this.#random, this.#hosts).slice(0, Math.ceil(restarts.share * this.#hosts.length))) {
					this.#start(host, 'again');
				}
			}

			for (let due = playedMs < 0 ? 0 : requestsPerS * stepMs / 1000; this.#random.next() < due; due -= 1) {
				this.#request();
			}

			this.#clock.advance(stepMs);
			await setImmediate();
		}
	}

	#start(host: PlayedHost, start: Start): void {
		const {hosts, ratio, allowance, windowMs} = this.#play;
		const startedAt = this.#clock.now();
		host.incarnation += 1;
		const {name, incarnation} = host;
		host.members = new Members({
			host: name, hall: 'a', region: 'r', incarnation, counter: 0, state: 'alive', callerAddress: '', peerAddress: name, adminAddress: '', load: 0,
		});
		const census = new FleetCensus({
			self: name, seeds: this.#hosts.slice(0, 3).map(each => each.name), start, startedAt, settleMs: settleMsOf(windowMs),
		});
		const budget = new RetryBudget({ratio, allowance, windowMs}, () => census.fraction(this.#clock.now()));
		host.census = census;
		host.budget = budget;
		host.exchange = new RetryExchange({
			context: {
				clock: this.#clock, metrics, random: this.#random, self: {host: name, incarnation},
			},
			budgetOf: () => budget,
			averageShare: () => allowance / hosts,
			listReachable: () => host.members.listReachable(),
			send: (to, message) => {
				this.#deliver(host, to, message);
			},
		});
	}

	get #isPartitioned(): boolean {
		const playedMs = this.#clock.now() - warmMs;
		return this.#play.partitions?.some(([from, to]) => playedMs >= from && playedMs < to) ?? false;
	}

	#deliver(from: PlayedHost, to: string, message: RelayMessage): void {
		const {incarnation} = from;
		const receiver = this.#hosts.find(({name}) => name === to);
		this.messages += 1;
		this.#clock.after(transitMs + (this.#random.next() * transitSpreadMs), () => {
			if (receiver === undefined || this.#isPartitioned) {
				return;
			}

			const handlers: Partial<Record<RelayMessage['kind'], () => void>> = {
				retriesWanted() {
					receiver.exchange.receiveWanted(from.name, message as Extract<RelayMessage, {kind: 'retriesWanted'}>); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- by its kind
				},
				retriesReturned() {
					receiver.exchange.receiveReturned(from.name, message as Extract<RelayMessage, {kind: 'retriesReturned'}>); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- by its kind
				},
				retriesGranted() {
					receiver.exchange.receiveGranted(message as Extract<RelayMessage, {kind: 'retriesGranted'}>); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- by its kind
				},
			};
			// A process that has ended has closed its links
			if (from.incarnation === incarnation) {
				handlers[message.kind]?.();
			}
		});
	}

	/** Exchanges membership records between all hosts that reach each other. */
	#gossip(): void {
		const now = this.#clock.now();
		const isSplit = this.#isPartitioned;
		for (const host of this.#hosts) {
			host.census.update(host.members.list(), now);
			const census = host.census.describe();
			if (JSON.stringify(census) !== JSON.stringify(host.members.self.census)) {
				host.members.updateSelf({census});
			}
		}

		if (isSplit) {
			this.#loseOthers();
			return;
		}

		const records = this.#hosts.map(({members}) => members.self);
		for (const host of this.#hosts) {
			for (const record of records) {
				host.members.merge(record);
			}

			this.#refute(host);
		}
	}

	/** Refutes the records of hosts marked as dead during a partition. */
	#refute({members}: PlayedHost): void {
		for (const record of members.list().filter(({state}) => state === 'dead')) {
			const alive = this.#hosts.find(({name}) => name === record.host)?.members;
			alive?.merge(record);
			if (alive !== undefined) {
				members.merge(alive.self);
			}
		}
	}

	#loseOthers(): void {
		const playedMs = this.#clock.now() - warmMs;
		const isSuspect = this.#play.partitions?.some(([from, to]) => playedMs >= from + suspectMs && playedMs < to);
		for (const {members} of isSuspect === true ? this.#hosts : []) {
			for (const {host} of members.list()) {
				members.markState(host, 'dead');
			}
		}
	}

	#request(): void {
		const host = pick(this.#random, this.#hosts.slice(0, this.#play.entryHosts));
		if (host === undefined) {
			return;
		}

		const request = `r${this.#requestCount}`;
		this.#requestCount += 1;
		this.requests.push(this.#clock.now());
		this.arrivals.push({request, at: this.#clock.now(), isAcceptedPrefill: false});
		host.budget.recordRequest(this.#clock.now());
		for (let due = this.#play.wanted; this.#random.next() < due; due -= 1) {
			void this.#repeat(host, request);
		}
	}

	async #repeat(host: PlayedHost, request: string): Promise<void> {
		const {incarnation, budget, exchange} = host;
		const askedAt = this.#clock.now();
		this.wanted += 1;
		const own = budget.take(askedAt);
		if (own !== undefined) {
			exchange.noteTaken(service);
		}

		const permit: RetryPermit | undefined = own ?? await exchange.borrow(service, 0);
		this.longestWaitMs = Math.max(this.longestWaitMs, this.#clock.now() - askedAt);
		if (permit === undefined || host.incarnation !== incarnation) {
			return;
		}

		this.granted += 1;
		const latest = Math.min(mostArrivalMs, permit.sendBy - this.#clock.now());
		this.arrivals.push({request, at: this.#clock.now() + (this.#random.next() * latest), isAcceptedPrefill: false});
	}
}

/** Plays one fleet to its end. */
export async function playRetryFleet(play: RetryPlay): Promise<RetryResult> {
	const fleet = new RetryFleet(play);
	await fleet.run();
	return {
		worst: findWorstWindow(fleet.arrivals, fleet.requests, play),
		wanted: fleet.wanted,
		granted: fleet.granted,
		messagesPerHostS: fleet.messages / play.hosts / play.seconds,
		longestWaitMs: fleet.longestWaitMs,
	};
}
