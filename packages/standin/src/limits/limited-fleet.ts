/**
 * A fleet of real rate limiters on a clock that the caller moves, with a
 * network and endpoints that stand in for theirs. Hosts restart, freeze, are
 * cut off or split; messages take some milliseconds or are lost. Nothing here
 * decides: it carries messages and counts what reaches the endpoints.
 */
import {setImmediate} from 'node:timers/promises';
import {SignalBook, type SignalChange} from '@gatehead/policy/relay/endpoint-signals';
import {includesSeedMajority} from '@gatehead/policy/relay/order-quorum';
import {unlimitedPermit} from '@gatehead/policy/relay/rate-permits';
import {rankFirst} from '@gatehead/policy/core/rendezvous';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {pick, seedRandom, type Random} from '@gatehead/policy/utils/random';
import {RateLimiter, type PermitAnswer} from '@gatehead/relay/upstream/rate-limiter';
import {Metrics} from '@gatehead/relay/utils/metrics';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {type RelayMessage, type RelayMessageOf} from '@gatehead/schema/relay-message';

const stepMs = 2;
/** Time that a message or a request takes, and how much longer at most, in milliseconds. */
const transitMs = 1;
const transitSpreadMs = 4;
/** Time that an endpoint takes to answer, in milliseconds. */
const answerMs = 40;
/** Silence after which a host is suspect at another, in milliseconds. */
const suspectMs = 2100;
/** Time in which a host that starts learns of the others, in milliseconds. */
const joinMs = 300;
const metrics = new Metrics(undefined, {});

/** Number of hosts that every host finds others through. */
const seedCount = 3;
/** Age of a process from which it takes the hosts that it knows for the fleet, in milliseconds. */
const isolationMs = 60_000;

/** What befalls a fleet, beginning at an instant. */
export type FleetFault = {
	readonly at: number;
	readonly forMs: number;
	/** `restart`: the process ends and starts anew; `restartAll`: all do; `cut`: nobody reaches the host; `split`: two halves; `silence`: messages of every third pair are lost. */
	readonly kind: 'restart' | 'restartAll' | 'freeze' | 'cut' | 'split' | 'silence';
	/** The granter of that moment, or a host by its place. */
	readonly host: 'granter' | number;
};

/**
 * How rates are shared: by permits from lent shares, as in the product; by an
 * equal part of the limit at each host; or by permits from a granter that
 * gives out the part of the hosts that it can reach.
 */
export type FleetDesign = 'shares' | 'equalParts' | 'reachedParts';

/** One play. */
export type FleetPlay = {
	readonly hosts: number;
	readonly endpoints: number;
	readonly limitPerS: number;
	/** Whether the endpoints state it; absent: they do. */
	readonly isStated?: boolean;
	/** A limit that the endpoints state from an instant on; absent: the first stays. */
	readonly later?: {readonly at: number; readonly limitPerS: number | undefined};
	/** Requests for each endpoint, as a multiple of its limit. */
	readonly demand: number;
	/** Hosts that requests enter at; absent: all. */
	readonly entryHosts?: number | undefined;
	readonly seconds: number;
	readonly seed: number;
	readonly faults?: readonly FleetFault[];
	/** Absent: the product's. */
	readonly design?: FleetDesign;
};

/** What came of it. */
export type FleetResult = {
	/** Instants at which requests reached each endpoint. */
	readonly arrivals: ReadonlyArray<readonly number[]>;
	readonly messages: number;
	readonly bytes: number;
};

const freely: PermitAnswer = {kind: 'granted', permit: unlimitedPermit};

class PlayedHost {
	readonly name: string;
	incarnation = 0;
	startedAt = 0;
	frozenUntil = 0;
	signals = new SignalBook();
	/** Hosts of which it has heard. */
	known = new Set<string>();
	limiter!: RateLimiter;
	/** For the designs that are not the product's. */
	readonly buckets = new Map<string, {readonly tokens: number; readonly at: number}>();

	constructor(name: string) {
		this.name = name;
	}
}

/** One fleet. */
class LimitedFleet {
	readonly arrivals: number[][];
	messages = 0;
	bytes = 0;
	readonly #clock = new ManualClock();
	readonly #random: Random;
	readonly #play: FleetPlay;
	readonly #hosts: PlayedHost[];
	/** By pair, in the order of their places: when they lost each other. */
	readonly #lostAt = new Map<string, number>();
	readonly #silent = new Set<string>();
	#limitPerS: number | undefined;
	#frozenForMs = 0;
	readonly #acquirers: Readonly<Record<FleetDesign, (host: PlayedHost, endpoint: string) => Promise<PermitAnswer>>> = {
		shares: async ({limiter}, endpoint) => limiter.acquire(endpoint),
		equalParts: async (host, endpoint) => this.#isLimited(host, endpoint) ? this.#take(host, endpoint, 1 / this.#hosts.length) : freely,
		reachedParts: async (host, endpoint) => {
			const reached = this.#listReachable(host).map(each => each.host);
			const granter = this.#hosts.find(({name}) => name === rankFirst('granter', reached));
			if (!this.#isLimited(host, endpoint)) {
				return freely;
			}

			const isSilent = granter === undefined || (granter !== host && (this.#isLost(host, granter) || granter.frozenUntil > this.#clock.now()));
			return isSilent ? {kind: 'limited', waitMs: 0} : this.#take(granter, endpoint, this.#listReachable(granter).length / this.#hosts.length);
		},
	};

	constructor(play: FleetPlay) {
		this.#play = play;
		this.#random = seedRandom(play.seed);
		this.#limitPerS = play.isStated === false ? undefined : play.limitPerS;
		this.arrivals = Array.from({length: play.endpoints}, () => []);
		this.#hosts = Array.from({length: play.hosts}, (_, index) => new PlayedHost(`host-${index}`));
		for (const host of this.#hosts) {
			this.#start(host);
		}
	}

	/** Plays to the end. */
	async run(): Promise<void> {
		const {seconds, faults = [], later, endpoints, limitPerS, demand} = this.#play;
		for (const fault of faults) {
			this.#clock.after(fault.at, () => {
				this.#begin(fault);
			});
		}

		if (later !== undefined) {
			this.#clock.after(later.at, () => {
				this.#limitPerS = later.limitPerS;
			});
		}

		const perStep = demand * limitPerS * stepMs / 1000;
		for (let now = 0; now < seconds * 1000; now += stepMs) {
			for (let endpoint = 0; endpoint < endpoints; endpoint += 1) {
				this.#request(endpoint, perStep);
			}

			this.#clock.advance(stepMs);
			await setImmediate();
		}

		for (const {limiter} of this.#hosts) {
			limiter.close();
		}
	}

	#request(endpoint: number, perStep: number): void {
		let due = perStep;
		while (this.#random.next() < due) {
			due -= 1;
			const host = pick(this.#random, this.#hosts.slice(0, this.#play.entryHosts));
			if (host !== undefined && this.#clock.now() >= host.frozenUntil) {
				void this.#send(host, endpoint);
			}
		}
	}

	async #send(host: PlayedHost, endpoint: number): Promise<void> {
		const {incarnation} = host;
		const answer = await this.#acquirers[this.#play.design ?? 'shares'](host, `e${endpoint}`);
		const now = this.#clock.now();
		if (answer.kind === 'limited' || host.incarnation !== incarnation || now < host.frozenUntil || now > answer.permit.sendBy) {
			return;
		}

		this.#clock.after(this.#transit(), () => {
			this.arrivals[endpoint]?.push(this.#clock.now());
			const limitPerS = this.#limitPerS;
			this.#clock.after(answerMs, () => {
				if (host.incarnation === incarnation) {
					this.#receiveResponse(host, endpoint, limitPerS, now);
				}
			});
		});
	}

	#isLimited({signals}: PlayedHost, endpoint: string): boolean {
		return signals.limitOf(endpoint) !== undefined;
	}

	/** Takes a permit from a host's own bucket, which gets a part of the limit and saves one token at least. */
	#take(host: PlayedHost, endpoint: string, share: number): PermitAnswer {
		const now = this.#clock.now();
		const bucket = host.buckets.get(endpoint) ?? {tokens: this.#random.next(), at: now};
		const perMs = share * (host.signals.limitOf(endpoint) ?? this.#play.limitPerS) / 1000;
		const tokens = Math.min(Math.max(1, 2 * share), bucket.tokens + ((now - bucket.at) * perMs));
		host.buckets.set(endpoint, {tokens: tokens >= 1 ? tokens - 1 : tokens, at: now});
		return tokens >= 1 ? freely : {kind: 'limited', waitMs: 0};
	}

	#receiveResponse(host: PlayedHost, endpoint: number, limitPerS: number | undefined, sentAt: number): void {
		const signals = {
			limitPerS, isDraining: false, backoffMs: undefined, malformed: [],
		};
		for (const change of host.signals.note(`e${endpoint}`, {signals, sentAt, isComplete: true}, this.#clock.now())) {
			this.#announce(host, endpoint, change);
		}
	}

	#announce(host: PlayedHost, endpoint: number, {signal}: SignalChange): void {
		if (signal === 'limit') {
			host.limiter.noteStated(`e${endpoint}`);
		}
	}

	#start(host: PlayedHost): void {
		host.limiter?.close();
		host.incarnation += 1;
		host.startedAt = this.#clock.now();
		host.known = new Set([host.name]);
		const {signals} = host;
		host.limiter = new RateLimiter({
			context: {
				// A frozen process runs nothing until it thaws
				clock: {
					now: () => this.#clock.now(),
					after: (delayMs, run) => this.#clock.after(delayMs, () => {
						this.#whenAwake(host, run);
					}),
				},
				log: ignore,
				metrics,
				self: {host: host.name, incarnation: host.incarnation},
				settings: relaySettings.parse({
					host: host.name, hall: 'h', region: 'r', seeds: ['127.0.0.1:9'], listen: {
						caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
					},
				}),
			},
			signals,
			receiveLimits: limits => {
				for (const limit of limits) {
					signals.mergeLimit(limit, 'peer', this.#clock.now());
				}
			},
			listReachable: () => this.#listReachable(host),
			countKnown: () => host.known.size,
			isFleetKnown: () => this.#isFleetKnown(host),
			send: (to, message) => {
				this.#deliver(host, to, message);
			},
			reconnect: ignore,
		});
		this.#clock.after(joinMs, () => {
			this.#noteFleetChange();
		});
	}

	#whenAwake(host: PlayedHost, run: () => void): void {
		const leftMs = host.frozenUntil - this.#clock.now();
		if (leftMs > 0) {
			this.#clock.after(leftMs, run);
		} else {
			run();
		}
	}

	#deliver(from: PlayedHost, to: string, message: RelayMessage): void {
		const target = this.#hosts.find(({name}) => name === to);
		this.messages += 1;
		this.bytes += JSON.stringify(message).length;
		if (target === undefined || this.#isLost(from, target)) {
			return;
		}

		const {incarnation} = target;
		const sender = {host: from.name, incarnation: from.incarnation};
		this.#clock.after(this.#transit(), () => {
			this.#whenAwake(target, () => {
				if (target.incarnation === incarnation) {
					receive(target.limiter, sender, message);
				}
			});
		});
	}

	#transit(): number {
		return transitMs + (this.#random.next() * transitSpreadMs);
	}

	#isLost(left: PlayedHost, right: PlayedHost): boolean {
		const pair = pairOf(left, right);
		return this.#lostAt.has(pair) || this.#silent.has(pair);
	}

	#hasJoined({startedAt}: PlayedHost): boolean {
		return this.#clock.now() - startedAt >= joinMs;
	}

	#listReachable(host: PlayedHost): MemberRecord[] {
		const others = this.#hosts.filter(other => other !== host && this.#hasJoined(host) && !this.#isSuspect(host, other));
		return [host, ...others].map(({name, incarnation}) => ({
			host: name, hall: 'h', region: 'r', incarnation, counter: 0, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0,
		}));
	}

	#isSuspect(host: PlayedHost, other: PlayedHost): boolean {
		const now = this.#clock.now();
		const lostAt = this.#lostAt.get(pairOf(host, other));
		const isFrozen = other.frozenUntil > now && other.frozenUntil - now < this.#frozenForMs - suspectMs;
		return isFrozen || (lostAt !== undefined && now - lostAt > suspectMs);
	}

	#begin({kind, host, forMs}: FleetFault): void {
		const now = this.#clock.now();
		const target = host === 'granter' ? this.#findGranter() : this.#hosts[host % this.#hosts.length];
		if (target === undefined) {
			return;
		}

		const begin: Readonly<Record<FleetFault['kind'], () => void>> = {
			restart: () => {
				this.#restart(target);
			},
			restartAll: () => {
				for (const each of this.#hosts) {
					this.#restart(each);
				}
			},
			freeze: () => {
				target.frozenUntil = now + forMs;
				this.#frozenForMs = forMs;
			},
			cut: () => {
				this.#lose(forMs, left => left === target);
			},
			split: () => {
				const half = new Set(this.#hosts.slice(0, Math.floor(this.#hosts.length / 2)));
				this.#lose(forMs, (left, right) => half.has(left) !== half.has(right));
			},
			silence: () => {
				this.#silence(forMs);
			},
		};
		begin[kind]();
		this.#clock.after(suspectMs + stepMs, () => {
			this.#noteFleetChange();
		});
	}

	#restart(host: PlayedHost): void {
		host.signals = new SignalBook();
		host.buckets.clear();
		this.#start(host);
	}

	#lose(forMs: number, isLost: (left: PlayedHost, right: PlayedHost) => boolean): void {
		const pairs = this.#listPairs().filter(([left, right]) => isLost(left, right) || isLost(right, left)).map(([left, right]) => pairOf(left, right));
		for (const pair of pairs) {
			this.#lostAt.set(pair, this.#clock.now());
		}

		this.#clock.after(forMs, () => {
			for (const pair of pairs) {
				this.#lostAt.delete(pair);
			}

			this.#noteFleetChange();
		});
	}

	#silence(forMs: number): void {
		for (const [left, right] of this.#listPairs()) {
			if (this.#random.next() < 1 / 3) {
				this.#silent.add(pairOf(left, right));
			}
		}

		this.#clock.after(forMs, () => {
			this.#silent.clear();
		});
	}

	#listPairs(): Array<readonly [PlayedHost, PlayedHost]> {
		return this.#hosts.flatMap((left, index) => this.#hosts.slice(index + 1).map(right => [left, right] as const));
	}

	/** The host that most others ask, by the fleet's own choice. */
	#findGranter(): PlayedHost | undefined {
		return this.#hosts.find(({limiter}) => limiter.isGranter);
	}

	#isFleetKnown({known, startedAt}: PlayedHost): boolean {
		const seeds = this.#hosts.slice(0, seedCount).map(({name}) => name);
		return this.#clock.now() - startedAt >= isolationMs || includesSeedMajority(seeds, [...known].map(name => ({peerAddress: name})));
	}

	#learn(host: PlayedHost): void {
		for (const other of this.#hosts) {
			if (host.known.size === this.#hosts.length) {
				return;
			}

			if (this.#hasJoined(host) && this.#hasJoined(other) && !this.#lostAt.has(pairOf(host, other))) {
				host.known = new Set([...host.known, ...other.known]);
			}
		}
	}

	/** Hosts tell each other of those that they know; then limiters learn of the change. */
	#noteFleetChange(): void {
		for (const host of this.#hosts) {
			this.#learn(host);
		}

		for (const {limiter} of this.#hosts) {
			limiter.noteFleetChange();
		}
	}
}

function pairOf(left: PlayedHost, right: PlayedHost): string {
	return left.name < right.name ? `${left.name} ${right.name}` : `${right.name} ${left.name}`;
}

type Sender = {readonly host: string; readonly incarnation: number};

type Receiver<Kind extends RelayMessage['kind']> = (limiter: RateLimiter, from: Sender, message: RelayMessageOf<Kind>) => void;

/** What a limiter does with each kind of message that limiters send. */
const receivers: {readonly [Kind in RelayMessage['kind']]?: Receiver<Kind>} = {
	rateRound(limiter, from, message) {
		limiter.receiveRound(from, message);
	},
	rateLoan(limiter, from, message) {
		limiter.receiveLoan(from.host, message);
	},
	rateStated(limiter, from, message) {
		limiter.receiveStated(from.host, message);
	},
	rateWanted(limiter, from, message) {
		limiter.receiveWanted(from.host, message);
	},
	rateGranted(limiter, _from, message) {
		limiter.receiveGranted(message);
	},
};

function receive<Kind extends RelayMessage['kind']>(limiter: RateLimiter, from: Sender, message: RelayMessageOf<Kind> & {readonly kind: Kind}): void {
	const receiver: Receiver<Kind> | undefined = receivers[message.kind];
	receiver?.(limiter, from, message);
}

/** Plays a fleet. */
export async function playFleet(play: FleetPlay): Promise<FleetResult> {
	const fleet = new LimitedFleet(play);
	await fleet.run();
	return {arrivals: fleet.arrivals, messages: fleet.messages, bytes: fleet.bytes};
}

/** Requests that an endpoint may receive in any 4 s: 1.5 times its limit, and 5. */
export function allowedIn4S(limitPerS: number): number {
	return (1.5 * 4 * limitPerS) + 5;
}

/** Most arrivals in any window of a length that begins at `from` or later. */
export function mostWithin(arrivals: readonly number[], windowMs: number, from: number): number {
	let most = 0;
	let first = 0;
	for (const [last, at] of arrivals.entries()) {
		while (first <= last && ((arrivals[first] ?? at) <= at - windowMs || (arrivals[first] ?? at) < from)) {
			first += 1;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

/** Arrivals from `from` until `to`, as a part of what the limit allows in that time. */
export function useOf(arrivals: readonly number[], limitPerS: number, from: number, to: number): number {
	return arrivals.filter(at => at >= from && at < to).length / (limitPerS * (to - from) / 1000);
}
