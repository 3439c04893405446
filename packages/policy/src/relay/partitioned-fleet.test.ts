/**
 * Fleets in which hosts lose their links to all endpoints, on an injected
 * clock: what forwarding requests to other hosts serves, what leaving the
 * hosts out of lookups serves, and how the load spreads over the others.
 * Prints the table in docs/CAPACITY.md.
 */
import {describe, it} from 'node:test';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import fc from 'fast-check';
import {ManualClock} from '../utils/manual-clock.js';
import {pick, seedRandom, type Random} from '../utils/random.js';
import {EndpointContacts} from './endpoint-contacts.js';
import {chooseForwardTarget} from './forward-target.js';

const service = 'model';
const endpointIds = Array.from({length: 12}, (_, index) => `e${index}`);
const halls = ['a', 'b', 'c'];
const callersPerHost = 4;
/** Mean time between two requests of a caller, in milliseconds. */
const requestGapMs = 400;
/** Time for which a lookup is used, in milliseconds; one caller in three uses it three times as long. */
const lookupMs = 1000;
const lookupStretch = 3;
const lookupAddresses = 64;
/** Timeout of a connection, in milliseconds. */
const connectMs = 250;
/** Time until all hosts know of a change of one, in milliseconds. */
const gossipMs = 600;
/** Time that a request is in work, in milliseconds. */
const workMs = 100;
const cutAtMs = 4000;
/** Time after the cut from which requests count, and until which they do, in milliseconds. */
const contactMs = 3000;
const endMs = cutAtMs + 8000;
/** Most hosts that one request is forwarded to. */
const maxTargets = 3;

/** What a fleet does about lost links. */
type Design = {
	readonly forwards: boolean;
	readonly steers: boolean;
};

/** A host of the fleet. */
type SimulatedHost = {
	record: MemberRecord;
	/** The record as the others know it. */
	known: MemberRecord;
	readonly contacts: EndpointContacts;
	isCut: boolean;
	/** Time at which it found its links lost. */
	lostAt: number | undefined;
	inWork: number;
	mostInWork: number;
};

type Tally = {
	sent: number;
	served: number;
};

type Outcome = {
	readonly cut: Tally;
	readonly others: Tally;
	/** Most requests in work at one healthy host, relative to their mean. */
	readonly skew: number;
};

type FleetPlan = Design & {
	readonly hosts: number;
	readonly cutHosts: number;
	readonly seed: number;
};

class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly cut: Tally = {sent: 0, served: 0};
	readonly others: Tally = {sent: 0, served: 0};
	readonly hosts: readonly SimulatedHost[];
	readonly #plan: FleetPlan;
	readonly #random: Random;

	constructor(plan: FleetPlan) {
		this.#plan = plan;
		this.#random = seedRandom(plan.seed);
		this.hosts = Array.from({length: plan.hosts}, (_, index) => {
			const record: MemberRecord = {
				host: `host-${index}`, hall: halls[index % halls.length] ?? '', region: 'r', incarnation: 1, counter: 0, state: 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0, forwardAddress: `host-${index}`,
			};
			return {
				record, known: record, contacts: new EndpointContacts(), isCut: false, lostAt: undefined, inWork: 0, mostInWork: 0,
			};
		});
	}

	run(): Outcome {
		for (let caller = 0; caller < this.#plan.hosts * callersPerHost; caller += 1) {
			this.#startCaller(caller % 3 === 0 ? lookupMs * lookupStretch : lookupMs);
		}

		this.clock.after(cutAtMs, () => {
			for (const host of this.hosts.slice(0, this.#plan.cutHosts)) {
				host.isCut = true;
			}
		});
		this.clock.after(cutAtMs + contactMs, () => {
			for (const host of this.hosts) {
				host.mostInWork = 0;
			}
		});
		this.clock.advance(endMs);
		const peaks = this.hosts.filter(({isCut}) => !isCut).map(({mostInWork}) => mostInWork);
		const mean = peaks.reduce((sum, each) => sum + each, 0) / Math.max(1, peaks.length);
		return {
			cut: this.cut, others: this.others, skew: Math.max(...peaks) / Math.max(1, mean),
		};
	}

	#startCaller(heldMs: number): void {
		let addresses: SimulatedHost[] = [];
		let askedAt = Number.NEGATIVE_INFINITY;
		const send = () => {
			if (this.clock.now() - askedAt > heldMs) {
				addresses = this.#lookUp();
				askedAt = this.clock.now();
			}

			const host = pick(this.#random, addresses);
			if (host !== undefined) {
				this.#receive(host);
			}

			this.clock.after(2 * requestGapMs * this.#random.next(), send);
		};

		this.clock.after(requestGapMs * this.#random.next(), send);
	}

	#lookUp(): SimulatedHost[] {
		const named = this.#plan.steers ? this.hosts.filter(({known}) => known.unreachable === undefined) : this.hosts;
		const usable = named.length === 0 ? this.hosts : named;
		const first = Math.floor(this.#random.next() * usable.length);
		return [...usable.slice(first), ...usable.slice(0, first)].slice(0, lookupAddresses);
	}

	#receive(host: SimulatedHost): void {
		const tally = host.isCut ? this.cut : this.others;
		const isCounted = this.clock.now() >= cutAtMs + contactMs && this.clock.now() < endMs - (2 * connectMs) - workMs;
		const count = (isServed: boolean) => {
			tally.sent += isCounted ? 1 : 0;
			tally.served += isCounted && isServed ? 1 : 0;
		};

		if (!host.isCut) {
			this.#work(host);
			count(true);
			return;
		}

		if (host.lostAt === undefined) {
			this.#fail(host, () => {
				count(this.#forward(host));
			});
			return;
		}

		count(this.#forward(host));
	}

	/** A request fails to connect; the host finds out whether its links are lost. */
	#fail(host: SimulatedHost, then: () => void): void {
		const from = this.clock.now();
		const tried = pick(this.#random, endpointIds) ?? '';
		this.clock.after(connectMs, () => {
			host.contacts.recordFailure(tried, from);
			const verdict = host.contacts.judge(endpointIds, this.clock.now());
			const probedFrom = this.clock.now();
			this.clock.after(connectMs, () => {
				for (const id of verdict.kind === 'doubtful' ? verdict.candidates : []) {
					host.contacts.recordFailure(id, probedFrom);
				}

				this.#loseLinks(host);
				then();
			});
		});
	}

	#loseLinks(host: SimulatedHost): void {
		if (host.lostAt !== undefined || host.contacts.judge(endpointIds, this.clock.now()).kind !== 'unreachable') {
			return;
		}

		host.lostAt = this.clock.now();
		host.record = {...host.record, unreachable: [service]};
		this.clock.after(gossipMs, () => {
			host.known = host.record;
		});
	}

	/** Whether another host serves a request. */
	#forward(from: SimulatedHost): boolean {
		if (!this.#plan.forwards || from.lostAt === undefined) {
			return false;
		}

		const excluded = new Set<string>();
		for (let tried = 0; tried < maxTargets; tried += 1) {
			const target = chooseForwardTarget(this.hosts.map(({known}) => known), {
				self: from.record, service, excluded, inFlight: () => 0,
			}, this.#random);
			const host = this.hosts.find(each => each.record.host === target?.host);
			if (host === undefined) {
				return false;
			}

			if (!host.isCut) {
				this.#work(host);
				return true;
			}

			excluded.add(host.record.host);
		}

		return false;
	}

	#work(host: SimulatedHost): void {
		host.inWork += 1;
		host.mostInWork = Math.max(host.mostInWork, host.inWork);
		this.clock.after(workMs, () => {
			host.inWork -= 1;
		});
	}
}

function shareOf({sent, served}: Tally): number {
	return sent === 0 ? 1 : served / sent;
}

const designs: Readonly<Record<string, Design>> = {
	'forwarding and steering': {forwards: true, steers: true},
	forwarding: {forwards: true, steers: false},
	steering: {forwards: false, steers: true},
};
const fleets = [{hosts: 8, cutHosts: 1}, {hosts: 8, cutHosts: 5}, {hosts: 60, cutHosts: 20}, {hosts: 300, cutHosts: 100}, {hosts: 300, cutHosts: 250}];
/** Smallest share served at partitioned hosts, relative to the others. */
const leastShare = 0.9;

describe('fleets with partitioned hosts', () => {
	for (const {hosts, cutHosts} of fleets) {
		it(`${cutHosts} of ${hosts}: forwarding serves their callers`, () => {
			for (const [name, design] of Object.entries(designs)) {
				const {cut, others, skew} = new SimulatedFleet({
					...design, hosts, cutHosts, seed: 1,
				}).run();
				console.log(`${cutHosts} of ${hosts}, ${name}: ${cut.served} of ${cut.sent} first tries at partitioned hosts, ${others.served} of ${others.sent} at the others; busiest host ${skew.toFixed(1)} times the mean`);
				expect(!design.forwards || shareOf(cut) >= leastShare * shareOf(others)).toEqual(true);
			}
		});
	}

	it('any part of any fleet but all of it', () => {
		fc.assert(fc.property(fc.integer({min: 2, max: 60}), fc.double({min: 0, max: 1, noNaN: true}), fc.integer({min: 1, max: 1000}), (hosts, part, seed) => {
			const cutHosts = Math.min(hosts - 1, Math.floor(part * hosts));
			const {cut, others} = new SimulatedFleet({
				forwards: true, steers: true, hosts, cutHosts, seed,
			}).run();
			return shareOf(cut) >= leastShare * shareOf(others);
		}), {seed: 5, numRuns: 25});
	});
});
