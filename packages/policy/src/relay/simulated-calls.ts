/** Simulated fleet that calls the endpoints of one plain service, on a manual clock; compares designs of admission in tests. */
import {loadReport} from '@gatehead/schema/relay-message';
import {ManualClock} from '../utils/manual-clock.js';
import {
	jitter, pick, seedRandom, type Random,
} from '../utils/random.js';
import {CallLimits, type CallEndpoint, type CallRequest} from './call-limits.js';
import {CallQueue, latestSendAt, type WaitingCall} from './call-queue.js';

const serviceMs = 57;
const targetMs = 304;
const deadlineMs = 1520;
const slots = 6;
const queueLength = 24;
/** Time after which an endpoint rejects a call in its queue, in milliseconds. */
const maxQueueMs = 500;
const reportMs = 500;
const reportDelayMs = 10;
/** Relative spread of service times. */
const serviceSpread = 0.3;
/** Hosts that exchange reports. */
const subsetHosts = 22;
/** Time before calls are counted, in milliseconds: hosts have exchanged their first reports. */
const warmupMs = 1500;

/** How a host decides. */
export type CallDesign = 'none' | 'division' | 'estimate';

export type CallScenario = {
	readonly design: CallDesign;
	readonly hosts: number;
	readonly seed: number;
	readonly durationMs: number;
	/** Demand of the fleet relative to the capacity. */
	readonly demandAt: (now: number) => number;
	/** Service time of each endpoint relative to the average. */
	readonly paces: readonly number[];
	/** Factor on an endpoint's service time at a time. */
	readonly slowdownAt?: (endpoint: number, now: number) => number;
	/** Whether rejected callers return once. */
	readonly hasReturns?: boolean;
	/** Whether a host's reports are lost at a time. */
	readonly isCutOff?: (host: number, now: number) => boolean;
	/** Time at which a tenth of the hosts restart. */
	readonly restartAt?: number;
};

export type CallTally = {
	arrived: number;
	timely: number;
	late: number;
	waited: number;
	/** Calls that their host rejected. */
	refused: number;
	refusedTwice: number;
	returned: number;
	/** Calls that reached an endpoint, and those that it rejected. */
	sent: number;
	rejected: number;
	/** Calls that the endpoints could have served. */
	capacity: number;
	/** Calls that arrived at each host, and those served in time. */
	readonly arrivedByHost: number[];
	readonly timelyByHost: number[];
};

type SimulatedCall = WaitingCall & {readonly host: number; readonly arrivedAt: number; readonly isCounted: boolean};

class SimulatedEndpoint implements CallEndpoint {
	readonly id: string;
	readonly slots = slots;
	readonly #clock: ManualClock;
	readonly #serviceMs: () => number;
	#running = 0;
	readonly #queue: Array<{readonly at: number; readonly done: (isServed: boolean) => void; isOver: boolean}> = [];

	constructor(id: string, clock: ManualClock, sampleServiceMs: () => number) {
		this.id = id;
		this.#clock = clock;
		this.#serviceMs = sampleServiceMs;
	}

	call(done: (isServed: boolean) => void): void {
		if (this.#running < slots) {
			this.#run(done);
			return;
		}

		if (this.#queue.length >= queueLength) {
			done(false);
			return;
		}

		const entry = {at: this.#clock.now(), done, isOver: false};
		this.#queue.push(entry);
		this.#clock.after(maxQueueMs, () => {
			const index = this.#queue.indexOf(entry);
			if (index !== -1) {
				this.#queue.splice(index, 1);
				done(false);
			}
		});
	}

	#run(done: (isServed: boolean) => void): void {
		this.#running += 1;
		this.#clock.after(this.#serviceMs(), () => {
			this.#running -= 1;
			done(true);
			const next = this.#queue.shift();
			if (next !== undefined) {
				this.#run(next.done);
			}
		});
	}
}

class SimulatedFleet {
	readonly tally: CallTally;
	readonly #scenario: CallScenario;
	readonly #clock = new ManualClock();
	readonly #random: Random;
	readonly #endpoints: readonly SimulatedEndpoint[];
	readonly #limits: CallLimits[];
	readonly #queues: Array<CallQueue<SimulatedCall>>;
	/** Own calls in flight by host and endpoint. */
	readonly #own: number[][];
	/** Recent arrivals by host, for the division of slots. */
	readonly #recent: number[];
	readonly #subsets: number;

	constructor(scenario: CallScenario) {
		const {hosts, paces, seed, slowdownAt} = scenario;
		this.#scenario = scenario;
		this.#random = seedRandom(seed);
		this.#subsets = Math.max(1, Math.round(hosts / subsetHosts));
		this.#endpoints = paces.map((pace, index) => new SimulatedEndpoint(`e${index}`, this.#clock, () => {
			const slowdown = slowdownAt?.(index, this.#clock.now()) ?? 1;
			return jitter(this.#random, serviceMs * pace * slowdown, serviceSpread);
		}));
		this.#limits = Array.from({length: hosts}, (_, host) => this.#makeLimits(host));
		this.#queues = Array.from({length: hosts}, () => new CallQueue<SimulatedCall>());
		this.#own = Array.from({length: hosts}, () => paces.map(() => 0));
		this.#recent = Array.from({length: hosts}, () => 0);
		this.tally = {
			arrived: 0,
			timely: 0,
			late: 0,
			waited: 0,
			refused: 0,
			refusedTwice: 0,
			returned: 0,
			sent: 0,
			rejected: 0,
			capacity: 0,
			arrivedByHost: Array.from({length: hosts}, () => 0),
			timelyByHost: Array.from({length: hosts}, () => 0),
		};
	}

	run(): CallTally {
		const {hosts, durationMs, paces, slowdownAt, restartAt} = this.#scenario;
		for (let host = 0; host < hosts; host += 1) {
			this.#clock.after(this.#random.next() * reportMs, () => {
				this.#report(host);
			});
		}

		if (restartAt !== undefined) {
			this.#clock.after(restartAt, () => {
				for (let host = 0; host < hosts / 10; host += 1) {
					this.#limits[host] = this.#makeLimits(host);
				}
			});
		}

		this.#scheduleArrival();
		this.#clock.advance(durationMs);
		for (let now = warmupMs; now < durationMs; now += 1) {
			for (const [index, pace] of paces.entries()) {
				this.tally.capacity += slots / (serviceMs * pace * (slowdownAt?.(index, now) ?? 1));
			}
		}

		return this.tally;
	}

	#makeLimits(host: number): CallLimits {
		const {hosts} = this.#scenario;
		const members = Math.ceil((hosts - (host % this.#subsets)) / this.#subsets);
		return new CallLimits({random: this.#random, hostRatio: () => hosts / members}, this.#clock.now());
	}

	/** Schedules the next call of a Poisson process. */
	#scheduleArrival(): void {
		const {demandAt, hosts, paces} = this.#scenario;
		const nominal = paces.reduce((sum, pace) => sum + (slots / (serviceMs * pace)), 0);
		const rate = nominal * demandAt(this.#clock.now());
		this.#clock.after(-Math.log(1 - this.#random.next()) / rate, () => {
			this.#arrive(Math.floor(this.#random.next() * hosts), false);
			this.#scheduleArrival();
		});
	}

	#arrive(host: number, isReturn: boolean): void {
		const now = this.#clock.now();
		const isCounted = now >= warmupMs && now < this.#scenario.durationMs - deadlineMs;
		if (isCounted) {
			this.tally.returned += isReturn ? 1 : 0;
			this.tally.arrived += isReturn ? 0 : 1;
			this.tally.arrivedByHost[host]! += isReturn ? 0 : 1;
		}

		const call: SimulatedCall = {
			host, arrivedAt: now, isReturn, isCounted, sendBy: latestSendAt({arrivedAt: now, targetMs}, serviceMs),
		};
		const handlers: Readonly<Record<CallDesign, () => void>> = {
			none: () => {
				this.#send(call, this.#leastOwn(host));
			},
			division: () => {
				this.#divide(call);
			},
			estimate: () => {
				this.#admit(call);
			},
		};
		handlers[this.#scenario.design]();
	}

	/** Limits by dividing each endpoint's slots and timely queue by recent demand; a fraction of a call is rounded at random. */
	#divide(call: SimulatedCall): void {
		const {hosts} = this.#scenario;
		this.#recent[call.host]! += 1;
		const total = this.#recent.reduce((sum, each) => sum + each, 0);
		const share = hosts * this.#recent[call.host]! / Math.max(1, total) / hosts;
		const open = this.#endpoints.map((_, index) => index).filter(index => {
			const limit = share * Math.min(slots + queueLength, 0.85 * slots * targetMs / (serviceMs * this.#scenario.paces[index]!));
			const whole = Math.floor(limit) + (this.#random.next() < limit % 1 ? 1 : 0);
			return this.#own[call.host]![index]! < whole;
		});
		const chosen = pick(this.#random, open);
		if (chosen === undefined) {
			this.#refuse(call);
		} else {
			this.#send(call, chosen);
		}
	}

	#admit(call: SimulatedCall): void {
		const queue = this.#queues[call.host]!;
		this.#limits[call.host]!.recordArrival(this.#requestOf(call), this.#clock.now());
		queue.add(call);
		this.#serve(call.host);
		if (queue.list().includes(call)) {
			this.tally.waited += call.isCounted ? 1 : 0;
			this.#clock.after(call.sendBy - this.#clock.now(), () => {
				this.#serve(call.host);
			});
		}
	}

	#serve(host: number): void {
		const now = this.#clock.now();
		const queue = this.#queues[host]!;
		for (const call of queue.list()) {
			const endpoint = this.#limits[host]!.take(this.#requestOf(call), now);
			if (endpoint === undefined) {
				break;
			}

			queue.remove(call);
			this.#send(call, this.#endpoints.findIndex(({id}) => id === endpoint.id));
		}

		for (const call of queue.expire(now)) {
			this.#refuse(call);
		}
	}

	#requestOf({isReturn}: SimulatedCall): CallRequest {
		return {candidates: this.#endpoints, targetMs, isReturn};
	}

	#send(call: SimulatedCall, index: number): void {
		const {host, arrivedAt, isCounted} = call;
		const endpoint = this.#endpoints[index]!;
		const limits = this.#limits[host]!;
		const sentAt = this.#clock.now();
		const end = limits.begin(endpoint, sentAt);
		this.#own[host]![index]! += 1;
		this.tally.sent += isCounted ? 1 : 0;
		endpoint.call(isServed => {
			const now = this.#clock.now();
			this.#own[host]![index]! -= 1;
			end(now, isServed ? now - sentAt : undefined);
			if (!isServed) {
				limits.recordRejection(endpoint, targetMs, now);
			}

			if (!isCounted) {
				return;
			}

			this.tally.rejected += isServed ? 0 : 1;
			const isTimely = isServed && now - arrivedAt <= targetMs;
			this.tally.timely += isTimely ? 1 : 0;
			this.tally.late += isServed && !isTimely ? 1 : 0;
			this.tally.timelyByHost[host]! += isTimely ? 1 : 0;
		});
	}

	#refuse(call: SimulatedCall): void {
		const {host, isReturn, isCounted} = call;
		this.tally.refused += isCounted ? 1 : 0;
		this.tally.refusedTwice += isCounted && isReturn ? 1 : 0;
		if (this.#scenario.hasReturns === true && !isReturn) {
			const now = this.#clock.now();
			const waitMs = this.#limits[host]!.planReturn(this.#requestOf(call), now).waitMs * (1 + this.#random.next());
			if (waitMs > deadlineMs / 3) {
				return;
			}

			this.#clock.after(waitMs, () => {
				this.#arrive(host, true);
			});
		}
	}

	#leastOwn(host: number): number {
		const own = this.#own[host]!;
		const least = Math.min(...own);
		return pick(this.#random, own.flatMap((count, index) => count === least ? [index] : []))!;
	}

	#report(host: number): void {
		const {hosts, isCutOff} = this.#scenario;
		const now = this.#clock.now();
		this.#clock.after(reportMs, () => {
			this.#report(host);
		});
		const report = loadReport.parse(this.#limits[host]!.collect());
		this.#clock.after(reportDelayMs, () => {
			for (let peer = host % this.#subsets; peer < hosts; peer += this.#subsets) {
				if (peer !== host && !(isCutOff?.(host, now) ?? false) && !(isCutOff?.(peer, now) ?? false)) {
					this.#limits[peer]!.receive(`h${host}`, report, this.#clock.now());
				}
			}
		});
	}
}

/** Runs a scenario. */
export function simulateCalls(scenario: CallScenario): CallTally {
	return new SimulatedFleet(scenario).run();
}
