/**
 * Time until a published configuration is active at the last host when
 * connections die or the directory rejects its readers, in fleets of the real
 * modules over a simulated network. Requirement: 2 s, in the largest fleets
 * 3 s. Prints the table in docs/PLATFORM.md.
 */
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type LinkListener} from '@gatehead/host/peer/peer-links';
import {RetryBudget} from '@gatehead/policy/relay/retry-budget';
import {wholeFleet} from '@gatehead/policy/relay/subsets';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {seedRandom, type Random} from '@gatehead/policy/utils/random';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {relaySettings} from '@gatehead/schema/relay-settings';
import {type Routing} from '@gatehead/schema/routing';
import {expect} from 'earl';
import fc from 'fast-check';
import {makeRelayContext} from '../core/context.js';
import {type Dialect} from '../core/dialect.js';
import {DirectoryWatch} from '../core/directory-watch.js';
import {DirectoryError, type Changes, type Directory} from '../core/directory.js';
import {RoutingState} from '../core/routing-state.js';
import {CrashGuard} from '../upstream/crash-guard.js';
import {Endpoints} from '../upstream/endpoints.js';
import {Metrics} from '../utils/metrics.js';
import {Fleet} from './fleet.js';

/** Message latency between hosts in milliseconds, including processing at a busy host; a new connection takes twice as long. */
const transitMs = 20;
/** Response time of the directory in milliseconds. */
const answerMs = 10;
const stepMs = 5;
/** Time for a fleet to settle before a fault, in milliseconds, and again after the first publication, which ends every host's first watch. */
const settleMs = 1800;
/** Time after which an unreachable host is suspected everywhere, in milliseconds. */
const suspicionMs = 3000;
/** Time in which hosts find each other again, in milliseconds: three attempts to contact dead hosts, three heartbeat intervals apart. */
const rejoinMs = 6000;
/** Time after which a run counts as failed, in milliseconds. */
const maxRunMs = 20_000;
const halls = ['a', 'b', 'c'];
const metrics = new Metrics(undefined, {});

/** A connection between two hosts. */
type Connection = {
	/** Hosts whose messages are dropped. */
	readonly droppedFrom: Set<string>;
	readonly ends: readonly string[];
};

function makeRouting(version: number): Routing {
	return {
		version, routes: [], services: [], callerLimits: {
			headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
		},
	};
}

/** Links of one host over the simulated network. */
class SimulatedLinks {
	readonly #host: string;
	readonly #listener: LinkListener<RelayMessage>;
	readonly #network: SimulatedNetwork;
	readonly #connections = new Map<string, Connection>();

	constructor(host: string, listener: LinkListener<RelayMessage>, network: SimulatedNetwork) {
		this.#host = host;
		this.#listener = listener;
		this.#network = network;
		network.links.set(host, this);
	}

	async listen(): Promise<string> {
		return this.#host;
	}

	send(host: string, message: RelayMessage): void {
		const {counts} = this.#network;
		counts.set(message.kind, (counts.get(message.kind) ?? 0) + 1);
		const known = this.#connections.get(host);
		const connection = known ?? this.#network.open([this.#host, host]);
		this.#connections.set(host, connection);
		const isNew = known === undefined;
		this.#network.deliver(connection, this.#host, isNew ? 2 * transitMs : transitMs, () => {
			this.#network.links.get(host)?.receive(this.#host, message, connection);
		});
	}

	contact(address: string): void {
		this.send(address, {kind: 'hello', from: {host: this.#host, incarnation: 1}, record: this.#listener.localRecord()});
	}

	resetLink(host: string): void {
		this.#connections.delete(host);
	}

	close(): void {
		this.#network.links.delete(this.#host);
	}

	/** Receives a message; responses use the connection on which it arrived. */
	receive(from: string, message: RelayMessage, connection: Connection): void {
		this.#connections.set(from, connection);
		this.#listener.onMessage({host: from, incarnation: 1}, message);
	}
}

/** Network between the hosts. */
class SimulatedNetwork {
	readonly links = new Map<string, SimulatedLinks>();
	/** Hosts that no message reaches or leaves. */
	readonly partitioned = new Set<string>();
	/** Number of messages sent so far, by kind. */
	readonly counts = new Map<RelayMessage['kind'], number>();
	readonly #clock: ManualClock;
	#open: Connection[] = [];

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	open(ends: readonly string[]): Connection {
		const connection = {droppedFrom: new Set<string>(), ends};
		this.#open.push(connection);
		return connection;
	}

	deliver(connection: Connection, from: string, afterMs: number, arrive: () => void): void {
		this.#clock.after(afterMs, () => {
			if (!connection.droppedFrom.has(from) && !connection.ends.some(end => this.partitioned.has(end))) {
				arrive();
			}
		});
	}

	/** Drops all further traffic, in one or both directions, on a random share of the open connections. */
	dropTraffic(share: number, random: Random, isOneWay = false): void {
		for (const {droppedFrom, ends} of this.#open) {
			if (random.next() < share) {
				const one = ends[Math.floor(2 * random.next())] ?? '';
				for (const end of isOneWay ? [one] : ends) {
					droppedFrom.add(end);
				}
			}
		}

		this.#open = [];
	}
}

/** How the directory rejects a host's calls; `none`: it accepts them. */
type Refusal = 'none' | 'busy' | 'silent' | 'reset';

type Call = {
	readonly host: string;
	readonly after: number;
	readonly resolve: (changes: Changes) => void;
	readonly reject: (error: Error) => void;
};

/** Directory with one item, the configuration. */
class SimulatedDirectory {
	version = 1;
	calls = 0;
	readonly refusals = new Map<string, Refusal>();
	readonly #clock: ManualClock;
	#waiting = new Set<Call>();

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	/** Client of the directory for one host. */
	clientFor(host: string): Directory {
		const list = async (signal: AbortSignal) => this.#call(host, signal, -1, 0);
		return {
			list,
			async readPosition(signal) {
				const {position} = await list(signal);
				return position;
			},
			watch: async (after, waitMs, signal) => this.#call(host, signal, after, waitMs),
			close: ignore,
		};
	}

	publish(): void {
		this.version += 1;
		for (const call of this.#waiting) {
			this.#answer(call);
		}

		this.#waiting.clear();
	}

	/** Pending calls never get a response. */
	dropPendingCalls(): void {
		this.#waiting = new Set();
	}

	reject(host: string, refusal: Refusal): void {
		this.refusals.set(host, refusal);
		for (const call of this.#waiting) {
			if (call.host === host) {
				this.#waiting.delete(call);
				this.#refuse(refusal === 'reset' ? 'reset' : 'silent', call);
			}
		}
	}

	async #call(host: string, signal: AbortSignal, after: number, waitMs: number): Promise<Changes> {
		this.calls += 1;
		return new Promise((resolve, reject) => {
			const call: Call = {
				host, after, resolve, reject,
			};
			signal.addEventListener('abort', () => {
				this.#waiting.delete(call);
				reject(new DirectoryError('aborted'));
			}, {once: true});
			const refusal = this.refusals.get(host) ?? 'none';
			if (refusal !== 'none') {
				this.#refuse(refusal, call);
				return;
			}

			if (this.version > after) {
				this.#answer(call);
				return;
			}

			this.#waiting.add(call);
			this.#clock.after(waitMs, () => {
				if (this.#waiting.delete(call)) {
					this.#answer(call);
				}
			});
		});
	}

	#refuse(refusal: Refusal, {reject}: Call): void {
		if (refusal !== 'silent') {
			this.#clock.after(answerMs, () => {
				reject(new DirectoryError(refusal, {isRefused: refusal === 'busy'}));
			});
		}
	}

	#answer({after, resolve}: Call): void {
		const {version} = this;
		this.#clock.after(answerMs, () => {
			resolve({position: {epoch: 1, revision: version}, changes: version > after ? [{kind: 'routing', revision: version, routing: makeRouting(version)}] : []});
		});
	}
}

type Host = {
	readonly name: string;
	readonly routing: RoutingState;
	readonly fleet: Fleet;
	readonly watch: DirectoryWatch;
};

/** Fleet of simulated hosts. */
class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly network = new SimulatedNetwork(this.clock);
	readonly directory = new SimulatedDirectory(this.clock);
	readonly hosts: Host[] = [];
	readonly random: Random;

	constructor(size: number, seed: number) {
		this.random = seedRandom(seed);
		for (let index = 0; index < size; index += 1) {
			this.hosts.push(this.#makeHost(index, seed));
		}

		const records: MemberRecord[] = this.hosts.map(({fleet}) => fleet.membership.members.self);
		for (const {fleet} of this.hosts) {
			for (const record of records) {
				fleet.membership.members.merge(record);
			}
		}
	}

	/** Starts all hosts within one heartbeat interval and lets them settle. */
	async start(): Promise<void> {
		for (const {fleet, watch} of this.hosts) {
			this.clock.after(this.random.next() * 700, () => {
				void fleet.start();
				watch.start();
			});
		}

		await this.run(settleMs, () => false);
		this.directory.publish();
		await this.run(settleMs, () => false);
	}

	/** Runs until a condition holds, at most `mostMs`; returns the elapsed time in milliseconds. */
	readonly run = async (limitMs: number, isDone: () => boolean): Promise<number> => {
		const startedAt = this.clock.now();
		while (!isDone() && this.clock.now() - startedAt < limitMs) {
			this.clock.advance(stepMs);
			await setImmediate();
		}

		return this.clock.now() - startedAt;
	};

	/** Publishes a configuration; returns the time until it is active at all hosts, in milliseconds. */
	async publish(): Promise<number> {
		this.directory.publish();
		return this.run(maxRunMs, () => this.hosts.every(({routing}) => routing.version === this.directory.version));
	}

	/** Whether every host considers all hosts alive. */
	get isWhole(): boolean {
		return this.hosts.every(({fleet}) => fleet.membership.members.list().filter(({state}) => state === 'alive').length === this.hosts.length);
	}

	close(): void {
		for (const {fleet, watch} of this.hosts) {
			watch.stop();
			fleet.close();
		}
	}

	#makeHost(index: number, seed: number): Host {
		const name = `host-${index}`;
		const settings = relaySettings.parse({
			host: name, hall: halls[index % halls.length] ?? '', region: 'r', listen: {
				caller: '127.0.0.1:1', ready: '127.0.0.1:2', lookup: '127.0.0.1:3', peer: '127.0.0.1:4',
			},
		});
		const {clock, network} = this;
		const context = makeRelayContext({
			settings, clock, random: seedRandom((1000 * seed) + index), log: ignore, metrics, dialect, directory: this.directory.clientFor(name), wall: () => clock.now(),
		});
		const endpoints = new Endpoints(context, {
			onPause: ignore, onLimit: ignore, onDrain: ignore, onLinkFailure: ignore, onCapacityFreed: ignore, onGone: ignore, subset: () => wholeFleet, isLoadManaged: () => false,
		});
		const routing = new RoutingState(context, ignore);
		const guard = new CrashGuard({
			context, hasCrashed: async () => false, broadcast: ignore, isTrialHost: () => false,
		});
		const fleet: Fleet = new Fleet({
			context, guard, endpoints, routing, watch: () => watch, reachability: {isUnreachable: () => false}, measureLoad: () => 0, retryBudgetOf: () => new RetryBudget(settings.retry, () => 0), survey: () => ({isOver: true, listUnheard: () => [], whenComplete: async () => true}), makeLinks: listener => new SimulatedLinks(name, listener, network),
		});
		fleet.membership.members.updateSelf({peerAddress: name});
		const watch = new DirectoryWatch({
			context,
			endpoints,
			routing,
			isReader: () => fleet.isReader(),
			isShortWatcher: () => fleet.isPrimaryReader(),
			onRead(outcome) {
				fleet.watcherFailover.handleRead(outcome);
			},
			onChange() {
				fleet.announce();
			},
		});
		return {
			name, routing, fleet, watch,
		};
	}
}

/** Stands in for protocol methods, since the simulation sends no requests. */
function unused(): never {
	throw new RangeError('The simulation sends no requests to endpoints.');
}

const dialect: Dialect = {
	readyPath: '', lookupPath: '', readRequest: unused, readKeyDigest: unused, identifiesCaller: unused, isForwarded: unused, sendHeaders: unused, handOverHeaders: unused, readResponse: unused, reserve: unused, readReservation: unused, cancelReservation: unused, readPrefill: unused, freeResult: unused, orderStage: unused, listRuns: unused, readRuns: unused, listCachedParts: unused, readCachedParts: unused, readLookup: unused, writeLookup: unused,
};

/** Fault injected just before a configuration is published. */
type InjectFault = (fleet: SimulatedFleet) => void;

function dropConnections(share: number): InjectFault {
	return ({network, directory, random}) => {
		network.dropTraffic(share, random);
		directory.dropPendingCalls();
	};
}

/** Rejects all readers and most other hosts, so that about one host in ten can read the directory. */
function rejectReaders(refusal: Refusal): InjectFault {
	return ({hosts, directory}) => {
		const others = hosts.filter(({fleet}) => !fleet.isReader());
		const able = new Set(others.filter((_, index) => index % 10 === 3).map(({name}) => name));
		for (const {name} of hosts) {
			if (!able.has(name)) {
				directory.reject(name, refusal);
			}
		}
	};
}

type Case = {
	readonly name: string;
	readonly sizes: readonly number[];
	readonly inject: InjectFault;
};

/** Maximum time until the configuration is active at the last host, in milliseconds. */
function maxPropagationMs(size: number): number {
	return size > 100 ? 3000 : 2000;
}

const cases: readonly Case[] = [
	{name: 'no fault', sizes: [4, 16, 60, 90, 300], inject: ignore},
	{name: 'all open connections die', sizes: [4, 16, 60, 90, 300], inject: dropConnections(1)},
	{name: 'half of the connections between hosts die, and all to the directory', sizes: [16, 90], inject: dropConnections(0.5)},
	{name: 'nine in ten hosts, including all readers, get status 503 from the directory', sizes: [16, 60, 90, 300], inject: rejectReaders('busy')},
	{name: 'nine in ten hosts, including all readers, get no response', sizes: [16, 60, 90, 300], inject: rejectReaders('silent')},
	{name: 'nine in ten hosts, including all readers, get connection resets', sizes: [16, 60, 90, 300], inject: rejectReaders('reset')},
];

/** Seeds, which also vary the time of the fault relative to heartbeats and watches. */
const seeds = [1, 2, 3];

describe('propagation of a configuration', () => {
	for (const {name, sizes, inject} of cases) {
		for (const size of sizes) {
			it(`${name}: ${size} hosts`, async () => {
				const times: number[] = [];
				let splitFleets = 0;
				for (const seed of size > 100 ? seeds.slice(0, 1) : seeds) {
					const fleet = new SimulatedFleet(size, seed);
					await fleet.start();
					await fleet.run(seed * 230, () => false);
					inject(fleet);
					times.push(await fleet.publish());
					await fleet.run(suspicionMs, () => false);
					await fleet.run(rejoinMs, () => fleet.isWhole);
					splitFleets += fleet.isWhole ? 0 : 1;
					fleet.close();
				}

				console.log(`${name}, ${size} hosts: ${times.join(', ')} ms`);
				expect({late: times.filter(time => time > maxPropagationMs(size)), splitFleets}).toEqual({late: [], splitFleets: 0});
			});
		}
	}
});

/** Generated fault. */
type Fault = {
	readonly share: number;
	readonly isOneWay: boolean;
	readonly isDirectoryToo: boolean;
	/** Time since the previous fault, in milliseconds. */
	readonly gapMs: number;
};

const fault: fc.Arbitrary<Fault> = fc.record({
	share: fc.constantFrom(0.1, 0.5, 0.9, 1), isOneWay: fc.boolean(), isDirectoryToo: fc.boolean(), gapMs: fc.integer({min: 0, max: 2500}),
});

describe('propagation of a configuration under generated faults', () => {
	it('any share of connections dies in one or both directions, repeatedly within seconds', async () => {
		await fc.assert(fc.asyncProperty(fc.constantFrom(2, 5, 13, 24), fc.integer({min: 1, max: 1000}), fc.array(fault, {minLength: 1, maxLength: 3}), async (size, seed, faults) => {
			const fleet = new SimulatedFleet(size, seed);
			await fleet.start();
			const times: number[] = [];
			for (const {share, isOneWay, isDirectoryToo, gapMs} of faults) {
				await fleet.run(gapMs, () => false);
				fleet.network.dropTraffic(share, fleet.random, isOneWay);
				if (isDirectoryToo) {
					fleet.directory.dropPendingCalls();
				}

				times.push(await fleet.publish());
			}

			fleet.close();
			expect(times.filter(time => time > maxPropagationMs(size))).toEqual([]);
		}), {seed: 77, numRuns: Number(process.env.NEWS_PATH_RUNS ?? 25)});
	});
});

/** Several faults in a row; the last one strikes just before a configuration is published. */
type FaultSeries = {
	readonly name: string;
	readonly inject: (fleet: SimulatedFleet) => Promise<void>;
};

const repeatedFaults = 6;
/** Time between two faults of a series in milliseconds: connections that replace dead ones die while they are new. */
const repeatMs = 600;
/** Duration of each partition in milliseconds: longer than hosts take to suspect each other. */
const partitionMs = 4000;
/** Time after a partition until a host counts as reachable, in milliseconds. */
const contactMs = 3000;

/** Partitions the first host from its peers, then from the directory; it stays partitioned from the directory. */
async function partitionInTurn({network, directory, hosts, run}: SimulatedFleet): Promise<void> {
	const name = hosts[0]?.name ?? '';
	network.partitioned.add(name);
	await run(partitionMs, () => false);
	directory.reject(name, 'silent');
	network.partitioned.delete(name);
	await run(contactMs, () => false);
}

const series: readonly FaultSeries[] = [
	{
		name: 'one direction of all connections dies, six times',
		async inject(fleet) {
			for (let count = 0; count < repeatedFaults; count += 1) {
				fleet.network.dropTraffic(1, fleet.random, true);
				fleet.directory.dropPendingCalls();
				await fleet.run(count === repeatedFaults - 1 ? 0 : repeatMs, () => false);
			}
		},
	},
	{
		name: 'all connections die in both directions, six times',
		async inject(fleet) {
			for (let count = 0; count < repeatedFaults; count += 1) {
				fleet.network.dropTraffic(1, fleet.random);
				fleet.directory.dropPendingCalls();
				await fleet.run(count === repeatedFaults - 1 ? 0 : repeatMs, () => false);
			}
		},
	},
	{name: 'a host is partitioned from its peers, then from the directory', inject: partitionInTurn},
];

describe('propagation of a configuration after several faults in a row', () => {
	for (const {name, inject} of series) {
		for (const size of [4, 9, 30, 90, 300]) {
			it(`${name}: ${size} hosts`, async () => {
				const fleet = new SimulatedFleet(size, 1);
				await fleet.start();
				await inject(fleet);
				const tookMs = await fleet.publish();
				fleet.close();
				console.log(`${name}, ${size} hosts: ${tookMs} ms`);
				expect(tookMs <= maxPropagationMs(size)).toEqual(true);
			});
		}
	}
});

/** Duration of the outage in milliseconds: the longest that operators plan for. */
const outageMs = 9000;
/** Maximum calls during an outage for each host that is not a reader. */
const maxCallsPerHost = 1;
/** Maximum calls during an outage for each reader: one a second, with the first ones closer together. */
const maxCallsPerReader = 16;
const readerCount = 3;

describe('a directory unavailable to all hosts', () => {
	for (const refusal of ['busy', 'silent', 'reset'] as const) {
		it(`(${refusal}) receives a bounded number of calls, and is left to its regular readers after recovery`, async () => {
			const fleet = new SimulatedFleet(60, 1);
			await fleet.start();
			for (const {name} of fleet.hosts) {
				fleet.directory.reject(name, refusal);
			}

			const {calls} = fleet.directory;
			await fleet.run(outageMs, () => false);
			const asked = fleet.directory.calls - calls;
			fleet.directory.refusals.clear();
			await fleet.run(outageMs, () => false);
			const activeReaders = fleet.hosts.filter(each => each.fleet.isReader()).length;
			const tookMs = await fleet.publish();
			fleet.close();
			console.log(`unavailable (${refusal}): ${asked} calls in ${outageMs} ms at 60 hosts, then ${activeReaders} readers`);
			expect({isBounded: asked <= (60 * maxCallsPerHost) + (readerCount * maxCallsPerReader), activeReaders, isInTime: tookMs <= maxPropagationMs(60)}).toEqual({isBounded: true, activeReaders: readerCount, isInTime: true});
		});
	}
});

/** Duration of the scan for unknown routes, and the interval between requests at one host (500 a second), in milliseconds. */
const scanMs = 2000;
const scanGapMs = 2;
/** Time within which a request for an unknown route is refused without faults, in milliseconds. */
const promptMs = 100;
/** Maximum calls to the directory a second: each reader confirms once per validity period of its responses. */
const maxConfirmCalls = 10;
/** Maximum evidence requests a second of one host: each response is valid for at least a third of a second. */
const maxFreshnessRequests = 4;

describe('evidence for refusals', () => {
	it('is available at once, at a cost that does not grow with the number of unknown routes', async () => {
		const fleet = new SimulatedFleet(60, 1);
		await fleet.start();
		const {directory, network: {counts}, hosts, clock} = fleet;
		const before = directory.calls;
		await fleet.run(scanMs, () => false);
		const idleCalls = directory.calls - before;
		const asked = counts.get('freshnessWanted') ?? 0;
		const waits: number[] = [];
		let unproven = 0;
		const ask = async ({fleet: {freshness}}: Host) => {
			const arrivedAt = clock.now();
			await freshness.refreshForRefusal(arrivedAt, 400);
			unproven += freshness.mayRefuse(arrivedAt) ? 0 : 1;
			waits.push(clock.now() - arrivedAt);
		};

		const startedAt = clock.now();
		for (const host of hosts) {
			for (let at = 0; at < scanMs; at += scanGapMs) {
				clock.after(at, () => {
					void ask(host);
				});
			}
		}

		await fleet.run(scanMs + promptMs, () => false);
		const seconds = (clock.now() - startedAt) / 1000;
		const calls = Math.round((directory.calls - before - (2 * idleCalls)) / seconds);
		const questions = ((counts.get('freshnessWanted') ?? 0) - asked) / seconds / hosts.length;
		fleet.close();
		const late = waits.filter(wait => wait > promptMs).length;
		console.log(`unknown routes, 500 a second at each of 60 hosts: ${calls} calls to the directory a second besides ${idleCalls / scanMs * 1000}, ${questions.toFixed(1)} evidence requests a second of a host, ${late} of ${waits.length} later than ${promptMs} ms`);
		expect({
			unproven, late: late <= waits.length / 100, calls: calls <= maxConfirmCalls, questions: questions <= maxFreshnessRequests,
		}).toEqual({
			unproven: 0, late: true, calls: true, questions: true,
		});
	});
});
