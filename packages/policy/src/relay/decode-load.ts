/**
 * Simulation of decode replicas at full load, for tests of what hosts reserve:
 * a replica counts the larger of the reservation and the memory of each
 * stream, grants what fits, and preempts the newest stream beyond its
 * reservation when its memory runs out. Hosts share replicas and hear of each
 * other by placements and periodic reports.
 */
import {seedRandom, type Random} from '../utils/random.js';
import {MemoryForecast, type OwnStream} from './memory-forecast.js';

/** Figures of a deployment with long outputs. */
const capacityTokens = 68_883;
const slots = 12;
const eventTokens = 76;
const tokenMs = 0.574;
const promptMean = 5200;
const maxPrompt = 11_300;
const eventsMean = 70;
const maxEvents = 130;
const lengthDeviation = 0.4;
const estimateDeviation = 0.5;
const blockTokens = 16;
/** Interval of the simulation, and the delay of a message, in milliseconds. */
const tickMs = 5;
/** Ticks between the polls of a host and between its reports, and ticks to prefill a prompt, first and again. */
const pollTicks = 12;
const reportTicks = 100;
const prefillTicks = 60;
const prefillAgainTicks = 80;
/** Requests that a host may fail to place per poll. */
const maxFailed = 4;
/** Noise in the order of replicas, as of the search for a decode replica, relative to the memory of one. */
const placementNoise = 0.08;
/** Requests that wait at each host. */
const waitingPerHost = 2;
const service = 's';

type Request = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly estimateTokens: number;
};

type Running = Request & {
	readonly reservedTokens: number;
	doneTokens: number;
	/** Tick at which it generates its first token. */
	startsAt: number;
	wasPreempted: boolean;
	readonly host: Host;
	readonly own: OwnStream | undefined;
};

type Replica = {
	readonly id: string;
	running: Running[];
	/** Preempted streams, which go on when they fit. */
	preempted: Running[];
};

type Host = {
	readonly name: string;
	readonly forecast: MemoryForecast;
	waiting: Request[];
};

type Instant = {readonly now: number; readonly tick: number};

/** Memory that a host asks a replica for; undefined if it does not ask. */
type Policy = (request: Request, replica: Replica, host: Host, instant: Instant) => number | undefined;

const policies = {
	/** Today's reservation. */
	fixed: ({promptTokens, estimateTokens}) => roundUp(promptTokens + (0.9 * estimateTokens)),
	/** A larger one. */
	larger: ({promptTokens, estimateTokens}) => roundUp(promptTokens + (1.4 * estimateTokens)),
	/** Knows all lengths and reserves them. */
	exact: ({promptTokens, outputTokens}) => roundUp(promptTokens + outputTokens),
	forecast(request, {id}, {forecast}, {now}) {
		const planned = planRequest(request, forecast);
		return forecast.findObstacle(id, {capacityTokens, slots}, planned, now) === undefined ? planned.reservedTokens : undefined;
	},
} as const satisfies Record<string, Policy>;

export type PolicyName = keyof typeof policies;

/** What a simulation is to run. */
export type LoadPlan = {
	readonly policy: PolicyName;
	readonly seed: number;
	readonly hosts: number;
	readonly replicas: number;
	readonly seconds: number;
};

/** Result of a simulation. */
export type LoadResult = {
	/** Streams that began. */
	readonly streams: number;
	/** Fraction of them that was preempted at least once. */
	readonly preempted: number;
	/** Mean fraction of the replicas' memory that streams used. */
	readonly used: number;
};

/** Runs a simulation. */
export function simulateDecodeLoad(plan: LoadPlan): LoadResult {
	return new DecodeLoad(plan).run();
}

class DecodeLoad {
	readonly #plan: LoadPlan;
	readonly #random: Random;
	readonly #hosts: readonly Host[];
	readonly #replicas: readonly Replica[];
	/** Messages that arrive at the next tick. */
	#messages: Array<{readonly from: Host; readonly deliver: (to: Host, now: number) => void}> = [];
	#streams = 0;
	#preempted = 0;
	#used = 0;

	constructor(plan: LoadPlan) {
		this.#plan = plan;
		this.#random = seedRandom(plan.seed);
		this.#hosts = Array.from({length: plan.hosts}, (_, index) => ({name: `h${index}`, forecast: new MemoryForecast(), waiting: []}));
		this.#replicas = Array.from({length: plan.replicas}, (_, index) => ({id: `r${index}`, running: [], preempted: []}));
	}

	run(): LoadResult {
		const ticks = this.#plan.seconds * 1000 / tickMs;
		for (let tick = 0; tick < ticks; tick += 1) {
			const instant = {tick, now: tick * tickMs};
			this.#deliver(instant);
			for (const replica of this.#replicas) {
				this.#generate(replica, instant);
				this.#preempt(replica, instant);
				this.#used += sumOf(replica.running, usedBy) / capacityTokens;
			}

			for (const [index, host] of this.#hosts.entries()) {
				// Coprime to the interval, so that few hosts poll at one tick
				if ((tick + (index * 5)) % pollTicks === 0) {
					this.#poll(host, instant);
				}

				if ((tick + (index * 7)) % reportTicks === 0) {
					this.#report(host);
				}
			}
		}

		return {streams: this.#streams, preempted: this.#preempted / this.#streams, used: this.#used / (ticks * this.#replicas.length)};
	}

	#deliver({now}: Instant): void {
		const messages = this.#messages;
		this.#messages = [];
		for (const {from, deliver} of messages) {
			for (const host of this.#hosts) {
				if (host !== from) {
					deliver(host, now);
				}
			}
		}
	}

	#generate(replica: Replica, {now, tick}: Instant): void {
		for (const stream of replica.running) {
			if (stream.startsAt <= tick) {
				stream.doneTokens = Math.min(stream.outputTokens, stream.doneTokens + (tickMs / tokenMs));
				stream.own?.progress(Math.floor(stream.doneTokens / eventTokens) * eventTokens, now);
			}
		}

		const ended = replica.running.filter(({doneTokens, outputTokens}) => doneTokens >= outputTokens);
		replica.running = replica.running.filter(stream => !ended.includes(stream));
		for (const {own, host, outputTokens, estimateTokens} of ended) {
			own?.end();
			host.forecast.outputsOf(service).record(outputTokens, estimateTokens, now);
		}
	}

	#preempt(replica: Replica, {tick}: Instant): void {
		while (sumOf(replica.running, committedBy) > capacityTokens) {
			const victim = replica.running.findLast(stream => usedBy(stream) > stream.reservedTokens)!;
			this.#preempted += victim.wasPreempted ? 0 : 1;
			victim.wasPreempted = true;
			replica.running = replica.running.filter(stream => stream !== victim);
			replica.preempted.push(victim);
		}

		for (const stream of replica.preempted) {
			// Room for an event of each stream, so that it is not preempted again at once
			if (sumOf(replica.running, committedBy) + committedBy(stream) + (slots * eventTokens) <= capacityTokens) {
				replica.preempted = replica.preempted.filter(each => each !== stream);
				stream.startsAt = tick + prefillAgainTicks;
				replica.running.unshift(stream);
			}
		}
	}

	#poll(host: Host, instant: Instant): void {
		while (host.waiting.length < waitingPerHost) {
			host.waiting.push(drawRequest(this.#random));
		}

		const remaining: Request[] = [];
		for (const request of host.waiting) {
			if (remaining.length >= maxFailed || !this.#place(request, host, instant)) {
				remaining.push(request);
			}
		}

		host.waiting = remaining;
	}

	/** Asks the replicas, least loaded first; false if none takes the request. */
	#place(request: Request, host: Host, instant: Instant): boolean {
		const loads = new Map(this.#replicas.map(replica => [replica, sumOf(replica.running, committedBy) + (placementNoise * capacityTokens * this.#random.next())]));
		for (const replica of this.#replicas.toSorted((left, right) => loads.get(left)! - loads.get(right)!)) {
			const tokens = policies[this.#plan.policy](request, replica, host, instant);
			const isGranted = tokens !== undefined && replica.running.length < slots && replica.preempted.length === 0
				&& sumOf(replica.running, committedBy) + Math.max(tokens, request.promptTokens) <= capacityTokens;
			if (isGranted) {
				this.#start(request, replica, host, {...instant, tokens});
				return true;
			}
		}

		return false;
	}

	#start(request: Request, {id, running}: Replica, host: Host, {tick, now, tokens}: Instant & {readonly tokens: number}): void {
		const isForecast = this.#plan.policy === 'forecast';
		const own = isForecast ? host.forecast.begin(id, planRequest(request, host.forecast), now) : undefined;
		own?.confirm();
		this.#streams += 1;
		running.push({
			...request, reservedTokens: tokens, doneTokens: 0, startsAt: tick + prefillTicks, wasPreempted: false, host, own,
		});
		if (isForecast) {
			this.#messages.push({
				from: host, deliver(to, at) {
					to.forecast.place(host.name, {
						service, endpoint: id, tokens, heldMs: 3500,
					}, at);
				},
			});
		}
	}

	#report(host: Host): void {
		const streams = host.forecast.listOwn(service);
		const outputs = host.forecast.outputsOf(service).takeUnreported();
		this.#messages.push({
			from: host, deliver({forecast}, now) {
				forecast.receive(host.name, service, streams, now);
				forecast.outputsOf(service).merge(outputs, now);
			},
		});
	}
}

function usedBy({promptTokens, doneTokens}: Running): number {
	return promptTokens + doneTokens;
}

function committedBy(stream: Running): number {
	return Math.max(stream.reservedTokens, usedBy(stream));
}

function sumOf(streams: readonly Running[], of: (stream: Running) => number): number {
	let sum = 0;
	for (const stream of streams) {
		sum += of(stream);
	}

	return sum;
}

function planRequest({promptTokens, estimateTokens}: Request, forecast: MemoryForecast) {
	return {
		service, promptTokens, estimateTokens, reservedTokens: forecast.reservationFor(service, {promptTokens, estimateTokens}),
	};
}

function roundUp(tokens: number): number {
	return Math.ceil(tokens / blockTokens) * blockTokens;
}

function drawRequest(random: Random): Request {
	const spread = () => Math.exp((lengthDeviation * drawNormal(random)) - (lengthDeviation * lengthDeviation / 2));
	const promptTokens = Math.round(Math.min(maxPrompt, promptMean * spread()));
	const outputTokens = Math.round(Math.min(maxEvents, Math.max(1, eventsMean * spread()))) * eventTokens;
	return {promptTokens, outputTokens, estimateTokens: Math.round(outputTokens * Math.exp(estimateDeviation * drawNormal(random)))};
}

function drawNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
