/** The fractions of all hosts must never add up to more than one, whatever restarts, partitions and additions do to their views. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type Start} from '@gatehead/schema/relay-settings';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {Members} from '../core/members.js';
import {pick, seedRandom, type Random} from '../utils/random.js';
import {AllowanceShare, permitLifetimeMs, settleMsOf} from './allowance-share.js';
import {FleetCensus} from './fleet-census.js';

const windowMs = 10_000;
const settleMs = settleMsOf(windowMs);
/** Repeats that all hosts together may make in a window. */
const allowance = 100;
/** Latest arrival after a repeat was taken, in milliseconds. */
const transitMs = settleMs - windowMs - permitLifetimeMs;
const stepMs = 100;
const playMs = 120_000;
/** Partitions end before hosts that restarted in them may form a fleet of their own. */
const longestPartitionMs = 50_000;
const tolerance = 1e-6;

class PlayedHost {
	readonly name: string;
	members!: Members;
	census!: FleetCensus;
	share!: AllowanceShare;
	side = 0;
	downUntil = 0;
	#incarnation = 0;
	#now = 0;

	constructor(name: string) {
		this.name = name;
	}

	start(now: number, start: Start, seeds: readonly string[]): void {
		this.#incarnation += 1;
		this.members = new Members({
			host: this.name, hall: 'a', region: 'r', incarnation: this.#incarnation, counter: 0, state: 'alive', callerAddress: '', peerAddress: this.name, adminAddress: '', load: 0,
		});
		this.census = new FleetCensus({
			self: this.name, seeds, start, startedAt: now, settleMs,
		});
		this.share = new AllowanceShare(windowMs, () => allowance * this.census.fraction(this.#now));
	}

	update(now: number): void {
		this.#now = now;
		this.census.update(this.members.list(), now);
		const census = this.census.describe();
		if (JSON.stringify(census) !== JSON.stringify(this.members.self.census)) {
			this.members.updateSelf({census});
		}
	}
}

class PlayedFleet {
	readonly hosts: PlayedHost[] = [];
	now = 0;
	/** Repeats by the time of their arrival. */
	readonly arrivals: Array<{readonly at: number; readonly amount: number}> = [];
	readonly #random: Random;
	readonly #seeds: readonly string[];
	#partitionedUntil = 0;

	constructor(size: number, seed: number) {
		this.#random = seedRandom(seed);
		this.#seeds = Array.from({length: Math.min(3, size)}, (_, index) => `host-${index}`);
		for (let index = 0; index < size; index += 1) {
			this.#add('first');
		}
	}

	/** Lets time pass: faults begin and end, hosts talk to each other. */
	step(faultsPerS: number): void {
		this.now += stepMs;
		if (this.now >= this.#partitionedUntil) {
			for (const host of this.hosts) {
				host.side = 0;
			}
		}

		if (this.#random.next() < faultsPerS * stepMs / 1000) {
			this.#disrupt();
		}

		for (const host of this.#listUp()) {
			this.#talk(host);
			host.update(this.now);
			this.#spend(host);
		}
	}

	/** Largest sum of repeats in any window. */
	worstWindow(): number {
		const ordered = this.arrivals.toSorted((left, right) => left.at - right.at);
		let worst = 0;
		let sum = 0;
		let first = 0;
		for (const {at, amount} of ordered) {
			sum += amount;
			for (let oldest = ordered[first]; oldest !== undefined && oldest.at <= at - windowMs; oldest = ordered[first]) {
				sum -= oldest.amount;
				first += 1;
			}

			worst = Math.max(worst, sum);
		}

		return worst;
	}

	/** Sum of the fractions that hosts may use now. */
	sum(): number {
		return this.#listUp().reduce((sum, {census}) => sum + census.fraction(this.now), 0);
	}

	/** Spends or gives away a random part of what is left, or all of it. */
	#spend({share}: PlayedHost): void {
		const wanted = share.left(this.now) * (this.#random.next() < 0.1 ? 1 : this.#random.next());
		const isLent = this.#random.next() < 0.5;
		const amount = isLent ? share.lend(wanted, this.now) : wanted;
		if (!isLent) {
			share.take(amount, this.now);
		}

		const at = this.now + (this.#random.next() * (permitLifetimeMs + transitMs));
		this.arrivals.push({at, amount});
	}

	#listUp(): PlayedHost[] {
		return this.hosts.filter(({downUntil}) => downUntil <= this.now);
	}

	#add(start: Start): void {
		const host = new PlayedHost(`host-${this.hosts.length}`);
		host.start(this.now, start, this.#seeds);
		this.hosts.push(host);
	}

	#disrupt(): void {
		const faults = [
			() => {
				this.#restart(1);
			},
			() => {
				this.#restart(this.hosts.length / 2);
			},
			() => {
				this.#restart(this.hosts.length);
			},
			() => {
				this.#partition();
			},
			() => {
				this.#add('again');
			},
		];
		pick(this.#random, faults)?.();
	}

	#restart(most: number): void {
		for (let count = 0; count < most; count += 1) {
			const host = pick(this.#random, this.hosts);
			if (host !== undefined) {
				host.downUntil = this.now + (this.#random.next() * 3000);
				host.start(host.downUntil, 'again', this.#seeds);
			}
		}
	}

	#partition(): void {
		this.#partitionedUntil = this.now + (this.#random.next() * longestPartitionMs);
		for (const host of this.hosts) {
			host.side = Math.floor(this.#random.next() * 3);
		}
	}

	/** Exchanges records with a random host, which is taken for dead if it does not answer. */
	#talk(host: PlayedHost): void {
		const peer = pick(this.#random, this.hosts);
		if (peer === undefined || peer === host) {
			return;
		}

		const isReached = peer.side === host.side && peer.downUntil <= this.now;
		const isKnown = host.members.recordOf(peer.name) !== undefined;
		if (!isReached) {
			host.members.markState(peer.name, 'dead');
		} else if (isKnown || peer.members.recordOf(host.name) !== undefined || this.#seeds.includes(peer.name)) {
			host.members.merge(peer.members.self);
			for (const record of peer.members.list()) {
				host.members.merge(record);
			}

			for (const record of host.members.list()) {
				peer.members.merge(record);
			}
		}
	}
}

describe('fractions of a bound', () => {
	for (const size of [1, 4, 7, 12]) {
		it(`${size} hosts: all hosts of a first start use an equal part`, () => {
			const fleet = new PlayedFleet(size, 1);
			for (let step = 0; step < 250; step += 1) {
				fleet.step(0);
			}

			expect(fleet.hosts.map(({census}) => census.fraction(fleet.now))).toEqual(Array.from({length: size}, () => 1 / size));
		});
	}

	it('a host that starts anew has its part back after it has settled', () => {
		const fleet = new PlayedFleet(5, 2);
		for (let step = 0; step < 100; step += 1) {
			fleet.step(0);
		}

		const [host] = fleet.hosts;
		host?.start(fleet.now, 'again', ['host-1']);
		const before = fleet.now;
		while (fleet.now - before < settleMs - stepMs) {
			fleet.step(0);
			expect(host?.census.fraction(fleet.now)).toEqual(0);
		}

		for (let step = 0; step < 30; step += 1) {
			fleet.step(0);
		}

		expect(host?.census.fraction(fleet.now)).toEqual(1 / 5);
	});

	for (const size of [2, 3, 4, 7, 12]) {
		it(`${size} hosts: never more than the whole in series of restarts, partitions and additions`, () => {
			let used = 0;
			for (let seed = 1; seed <= 40; seed += 1) {
				const fleet = new PlayedFleet(size, seed);
				for (let at = 0; at < playMs; at += stepMs) {
					fleet.step(seed % 2 === 0 ? 0.1 : 0.5);
					const sum = fleet.sum();
					used = Math.max(used, sum);
					if (sum > 1 + tolerance) {
						throw new Error(`seed ${seed}: ${sum} at ${fleet.now} ms`);
					}
				}

				const worst = fleet.worstWindow();
				if (worst > allowance + tolerance) {
					throw new Error(`seed ${seed}: ${worst} repeats in a window`);
				}
			}

			expect(used).toBeGreaterThan(0.9);
		});
	}
});
