/**
 * Catalogue: how late a configuration is in force at the last host, from the
 * directory's word on, where connections die in silence or the hosts that
 * read the directory are turned away by it; whole fleets of the real modules,
 * on a clock that the test moves. What stands for the network: a message
 * takes 20 ms, a new connection one message more, and nothing passes on a
 * connection once it is silent. The bounds are the operators': a
 * configuration is in force everywhere within 2 s, in the largest fleets 3 s.
 * Prints the table of docs/PLATFORM.md.
 */
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type LinkListener} from '@gatehead/host/peer/peer-links';
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

/** Time that a message takes between hosts, in milliseconds: twenty times the way between halls, since a small host works for some milliseconds before it looks. */
const transitMs = 20;
/** Time in which the directory answers, in milliseconds. */
const answerMs = 10;
const stepMs = 5;
/** Time for a fleet to settle before anything befalls it, in milliseconds, and again behind a first publication, which ends every host's first watch. */
const settleMs = 1800;
/** Time after which a host that is missed is suspect everywhere, in milliseconds. */
const suspicionMs = 3000;
/** Time in which hosts find each other again, in milliseconds: three times three ticks for words to hosts thought to be gone. */
const reunionMs = 6000;
/** Time after which a fleet that does not agree never will, in milliseconds. */
const longestMs = 20_000;
const halls = ['a', 'b', 'c'];
const metrics = new Metrics(undefined, {});

/** A connection between two hosts. */
type Connection = {
	/** Hosts whose words do not pass on it any more. */
	readonly silenced: Set<string>;
	readonly ends: readonly string[];
};

function makeRouting(version: number): Routing {
	return {
		version, routes: [], services: [], callerLimits: {
			headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
		},
	};
}

/** Links of one host over the played network. */
class PlayedLinks {
	readonly #host: string;
	readonly #listener: LinkListener<RelayMessage>;
	readonly #network: PlayedNetwork;
	readonly #connections = new Map<string, Connection>();

	constructor(host: string, listener: LinkListener<RelayMessage>, network: PlayedNetwork) {
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
		this.#network.carry(connection, this.#host, isNew ? 2 * transitMs : transitMs, () => {
			this.#network.links.get(host)?.hear(this.#host, message, connection);
		});
	}

	greet(address: string): void {
		this.send(address, {kind: 'hello', from: {host: this.#host, incarnation: 1}, record: this.#listener.ownRecord()});
	}

	renew(host: string): void {
		this.#connections.delete(host);
	}

	close(): void {
		this.#network.links.delete(this.#host);
	}

	/** A connection that a peer has opened serves for answers too. */
	hear(from: string, message: RelayMessage, connection: Connection): void {
		this.#connections.set(from, connection);
		this.#listener.onMessage({host: from, incarnation: 1}, message);
	}
}

/** What hosts speak over. */
class PlayedNetwork {
	readonly links = new Map<string, PlayedLinks>();
	/** Messages so far, by kind. */
	readonly counts = new Map<RelayMessage['kind'], number>();
	readonly #clock: ManualClock;
	#open: Connection[] = [];

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	open(ends: readonly string[]): Connection {
		const connection = {silenced: new Set<string>(), ends};
		this.#open.push(connection);
		return connection;
	}

	carry(connection: Connection, from: string, afterMs: number, arrive: () => void): void {
		this.#clock.after(afterMs, () => {
			if (!connection.silenced.has(from)) {
				arrive();
			}
		});
	}

	/** Nothing passes any more on some of the connections that are open now, or nothing one way. */
	silence(share: number, random: Random, isOneWay = false): void {
		for (const {silenced, ends} of this.#open) {
			if (random.next() < share) {
				const one = ends[Math.floor(2 * random.next())] ?? '';
				for (const end of isOneWay ? [one] : ends) {
					silenced.add(end);
				}
			}
		}

		this.#open = [];
	}
}

/** How the directory turns a host away; `none`: it does not. */
type Refusal = 'none' | 'busy' | 'silent' | 'reset';

type Call = {
	readonly host: string;
	readonly after: number;
	readonly resolve: (changes: Changes) => void;
	readonly reject: (error: Error) => void;
};

/** A directory of one item, the configuration. */
class PlayedDirectory {
	version = 1;
	calls = 0;
	readonly refusals = new Map<string, Refusal>();
	readonly #clock: ManualClock;
	#waiting = new Set<Call>();

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	/** The directory as one host reaches it. */
	pathOf(host: string): Directory {
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

	/** Calls that wait hear nothing more. */
	silenceOpen(): void {
		this.#waiting = new Set();
	}

	turnAway(host: string, refusal: Refusal): void {
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
				reject(new DirectoryError('ended'));
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

/** A whole fleet. */
class PlayedFleet {
	readonly clock = new ManualClock();
	readonly network = new PlayedNetwork(this.clock);
	readonly directory = new PlayedDirectory(this.clock);
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

	/** Starts all hosts within one tick and lets them settle. */
	async start(): Promise<void> {
		for (const {fleet, watch} of this.hosts) {
			this.clock.after(this.random.next() * 700, () => {
				void fleet.start();
				watch.start();
			});
		}

		await this.play(settleMs, () => false);
		this.directory.publish();
		await this.play(settleMs, () => false);
	}

	/** Plays until something is so; returns the time that took. */
	async play(mostMs: number, isSo: () => boolean): Promise<number> {
		const startedAt = this.clock.now();
		while (!isSo() && this.clock.now() - startedAt < mostMs) {
			this.clock.advance(stepMs);
			await setImmediate();
		}

		return this.clock.now() - startedAt;
	}

	/** Publishes, and returns how long it took until the configuration was in force everywhere. */
	async publish(): Promise<number> {
		this.directory.publish();
		return this.play(longestMs, () => this.hosts.every(({routing}) => routing.version === this.directory.version));
	}

	/** Whether every host thinks that all are alive. */
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
			settings, clock, random: seedRandom((1000 * seed) + index), log: ignore, metrics, dialect, directory: this.directory.pathOf(name), wall: () => clock.now(),
		});
		const endpoints = new Endpoints(context, {
			onPause: ignore, onLimit: ignore, onDrain: ignore, onRoom: ignore, onGone: ignore, subset: () => wholeFleet,
		});
		const routing = new RoutingState(context, ignore);
		const guard = new CrashGuard({
			context, hasEnded: async () => false, tell: ignore, isTrialHost: () => false,
		});
		const fleet: Fleet = new Fleet({
			context, guard, endpoints, routing, watch: () => watch, measureLoad: () => 0, makeLinks: listener => new PlayedLinks(name, listener, network),
		});
		fleet.membership.members.updateSelf({peerAddress: name});
		const watch = new DirectoryWatch({
			context,
			endpoints,
			routing,
			isReader: () => fleet.isReader(),
			isShortWatcher: () => fleet.isFirstReader(),
			onRead(outcome) {
				fleet.watcherFailover.noteRead(outcome);
			},
			onNews() {
				fleet.announce();
			},
		});
		return {
			name, routing, fleet, watch,
		};
	}
}

/** Nothing is said to callers or endpoints here. */
function unused(): never {
	throw new RangeError('No request is played.');
}

const dialect: Dialect = {
	readyPath: '', lookupPath: '', readRequest: unused, readKeyDigest: unused, isIdentity: unused, isPassed: unused, sendHeaders: unused, readAnswer: unused, reserve: unused, readReservation: unused, cancelReservation: unused, readPrefill: unused, freeResult: unused, orderStage: unused, readLookup: unused, writeLookup: unused,
};

/** What befalls a fleet in the moment before a configuration is published. */
type Harm = (fleet: PlayedFleet) => void;

function silenceConnections(share: number): Harm {
	return ({network, directory, random}) => {
		network.silence(share, random);
		directory.silenceOpen();
	};
}

/** Of all hosts one in ten can read the directory, and none of those that read it now. */
function turnReadersAway(refusal: Refusal): Harm {
	return ({hosts, directory}) => {
		const others = hosts.filter(({fleet}) => !fleet.isReader());
		const able = new Set(others.filter((_, index) => index % 10 === 3).map(({name}) => name));
		for (const {name} of hosts) {
			if (!able.has(name)) {
				directory.turnAway(name, refusal);
			}
		}
	};
}

type Case = {
	readonly name: string;
	readonly sizes: readonly number[];
	readonly harm: Harm;
};

/** Time by which the last host has the configuration, in milliseconds. */
function boundOf(size: number): number {
	return size > 100 ? 3000 : 2000;
}

const cases: readonly Case[] = [
	{name: 'nothing else befalls the fleet', sizes: [4, 16, 60, 90, 300], harm: ignore},
	{name: 'all open connections fall silent', sizes: [4, 16, 60, 90, 300], harm: silenceConnections(1)},
	{name: 'half of them do, and all to the directory', sizes: [16, 90], harm: silenceConnections(0.5)},
	{name: 'nine in ten hosts, all readers among them, hear 503 from the directory', sizes: [16, 60, 90, 300], harm: turnReadersAway('busy')},
	{name: 'they hear nothing', sizes: [16, 60, 90, 300], harm: turnReadersAway('silent')},
	{name: 'they are reset', sizes: [16, 60, 90, 300], harm: turnReadersAway('reset')},
];

/** Moments of the fault against ticks and watches. */
const seeds = [1, 2, 3];

describe('the way of a configuration', () => {
	for (const {name, sizes, harm} of cases) {
		for (const size of sizes) {
			it(`${name}: ${size} hosts`, async () => {
				const times: number[] = [];
				let divided = 0;
				for (const seed of size > 100 ? seeds.slice(0, 1) : seeds) {
					const fleet = new PlayedFleet(size, seed);
					await fleet.start();
					await fleet.play(seed * 230, () => false);
					harm(fleet);
					times.push(await fleet.publish());
					await fleet.play(suspicionMs, () => false);
					await fleet.play(reunionMs, () => fleet.isWhole);
					divided += fleet.isWhole ? 0 : 1;
					fleet.close();
				}

				console.log(`${name}, ${size} hosts: ${times.join(', ')} ms`);
				expect({late: times.filter(time => time > boundOf(size)), divided}).toEqual({late: [], divided: 0});
			});
		}
	}
});

/** One fault of a generated fleet. */
type Fault = {
	readonly share: number;
	readonly isOneWay: boolean;
	readonly isDirectoryToo: boolean;
	/** Time before it, in milliseconds. */
	readonly gapMs: number;
};

const fault: fc.Arbitrary<Fault> = fc.record({
	share: fc.constantFrom(0.1, 0.5, 0.9, 1), isOneWay: fc.boolean(), isDirectoryToo: fc.boolean(), gapMs: fc.integer({min: 0, max: 2500}),
});

describe('the way of a configuration in generated fleets', () => {
	it('any set of connections falls silent, one way or both, again within seconds', async () => {
		await fc.assert(fc.asyncProperty(fc.constantFrom(2, 5, 13, 24), fc.integer({min: 1, max: 1000}), fc.array(fault, {minLength: 1, maxLength: 3}), async (size, seed, faults) => {
			const fleet = new PlayedFleet(size, seed);
			await fleet.start();
			const times: number[] = [];
			for (const {share, isOneWay, isDirectoryToo, gapMs} of faults) {
				await fleet.play(gapMs, () => false);
				fleet.network.silence(share, fleet.random, isOneWay);
				if (isDirectoryToo) {
					fleet.directory.silenceOpen();
				}

				times.push(await fleet.publish());
			}

			fleet.close();
			expect(times.filter(time => time > boundOf(size))).toEqual([]);
		}), {seed: 77, numRuns: Number(process.env.NEWS_PATH_RUNS ?? 25)});
	});
});

/** Time for which the directory is away, in milliseconds: the longest that operators plan for. */
const awayMs = 9000;
/** Calls that a directory which is away may cost, besides those of its readers: each host looks once. */
const mostLooks = 1;
/** Calls that its readers make meanwhile, each: one a second, and the first ones closer together. */
const mostReaderCalls = 16;
const readers = 3;

describe('a directory that is away for all', () => {
	for (const refusal of ['busy', 'silent', 'reset'] as const) {
		it(`(${refusal}) is asked once by each host besides its readers, and by its readers alone when it is back`, async () => {
			const fleet = new PlayedFleet(60, 1);
			await fleet.start();
			for (const {name} of fleet.hosts) {
				fleet.directory.turnAway(name, refusal);
			}

			const {calls} = fleet.directory;
			await fleet.play(awayMs, () => false);
			const asked = fleet.directory.calls - calls;
			fleet.directory.refusals.clear();
			await fleet.play(awayMs, () => false);
			const readingNow = fleet.hosts.filter(each => each.fleet.isReader()).length;
			const tookMs = await fleet.publish();
			fleet.close();
			console.log(`away (${refusal}): ${asked} calls in ${awayMs} ms at 60 hosts, then ${readingNow} readers`);
			expect({isBounded: asked <= (60 * mostLooks) + (readers * mostReaderCalls), readingNow, isInTime: tookMs <= boundOf(60)}).toEqual({isBounded: true, readingNow: readers, isInTime: true});
		});
	}
});

/** Time for which unknown routes are asked for, in milliseconds, and the gap between two at one host: 500 a second. */
const scanMs = 2000;
const scanGapMs = 2;
/** Time within which a request that is really wrong hears so on a calm day, in milliseconds. */
const promptMs = 100;
/** Most calls a second that readers make for it: each confirms once in the time for which it gives an answer away. */
const mostScanCalls = 10;
/** Most questions a second of one host: each answer serves for a third of a second at the least. */
const mostQuestions = 4;

describe('evidence for refusals', () => {
	it('costs the same however many unknown routes are asked for, and is there at once', async () => {
		const fleet = new PlayedFleet(60, 1);
		await fleet.start();
		const {directory, network: {counts}, hosts, clock} = fleet;
		const before = directory.calls;
		await fleet.play(scanMs, () => false);
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

		await fleet.play(scanMs + promptMs, () => false);
		const seconds = (clock.now() - startedAt) / 1000;
		const calls = Math.round((directory.calls - before - (2 * idleCalls)) / seconds);
		const questions = ((counts.get('freshnessWanted') ?? 0) - asked) / seconds / hosts.length;
		fleet.close();
		const late = waits.filter(wait => wait > promptMs).length;
		console.log(`unknown routes, 500 a second at each of 60 hosts: ${calls} calls to the directory a second besides ${idleCalls / scanMs * 1000}, ${questions.toFixed(1)} questions a second of a host, ${late} of ${waits.length} later than ${promptMs} ms`);
		expect({
			unproven, late: late <= waits.length / 100, calls: calls <= mostScanCalls, questions: questions <= mostQuestions,
		}).toEqual({
			unproven: 0, late: true, calls: true, questions: true,
		});
	});
});
