/**
 * Records of streams in fleets of the real registry over a simulated network:
 * a host never finds a version other than the one that began a stream, whatever
 * is lost; and how many records survive the loss of hosts, at what cost. Prints
 * the table in docs/CAPACITY.md.
 */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {VersionHistory} from '@gatehead/policy/relay/version-history';
import {ignore} from '@gatehead/policy/utils/ignore';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {
	pick, seedRandom, shuffle, type Random,
} from '@gatehead/policy/utils/random';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayMessage} from '@gatehead/schema/relay-message';
import {expect} from 'earl';
import fc from 'fast-check';
import {Metrics} from '../utils/metrics.js';
import {StreamRegistry, type StreamFinding} from './stream-registry.js';

const service = 'model';
const halls = ['a', 'b', 'c'];
const versions = ['v1', 'v1.1', 'v1.2'];
/** Latency of a message, in milliseconds. */
const transitMs = 2;
const lifeMs = 30_000;
const windowMs = 60_000;
/** Longest time for the first round of a lookup, with the latency of its messages, in milliseconds. */
const firstRoundMs = 150 + (2 * transitMs);
const metrics = new Metrics(undefined, {});

type SimulatedHost = {
	readonly name: string;
	incarnation: number;
	isAlive: boolean;
	registry: StreamRegistry;
};

/** A stream, the host that serves it and the version that began it. */
type SimulatedStream = {
	readonly key: string;
	readonly origin: string;
	readonly version: string;
};

class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly hosts: SimulatedHost[];
	/** Messages sent, and pairs of hosts that exchanged any. */
	messages = 0;
	readonly pairs = new Set<string>();
	/** Share of messages that are lost. */
	lossShare = 0;
	readonly #random: Random;

	constructor(count: number, seed: number) {
		this.#random = seedRandom(seed);
		this.hosts = Array.from({length: count}, (_, index) => this.#makeHost(`host-${index}`, 1));
		this.announce();
	}

	get alive(): SimulatedHost[] {
		return this.hosts.filter(({isAlive}) => isAlive);
	}

	/** Tells all live hosts which hosts there are; `dead` are known to be lost, `unknown` are not known yet. */
	announce(dead: readonly string[] = [], unknown: readonly string[] = []): void {
		const members = this.hosts.map(({name, incarnation}, index): MemberRecord => ({
			host: name, hall: halls[index % halls.length] ?? '', region: 'r', incarnation, counter: 0, state: dead.includes(name) ? 'dead' : 'alive', callerAddress: '', peerAddress: '', adminAddress: '', load: 0,
		}));
		for (const {registry} of this.alive) {
			registry.setMembers(members.filter(({host}) => !unknown.includes(host)));
		}
	}

	kill(host: SimulatedHost): void {
		host.isAlive = false;
		host.registry.close();
	}

	restart(host: SimulatedHost): void {
		this.kill(host);
		const {incarnation, registry} = this.#makeHost(host.name, host.incarnation + 1);
		Object.assign(host, {incarnation, registry, isAlive: true});
	}

	/** Runs until a promise has settled, and all that it left to do. */
	async settle<Result>(promise: Promise<Result>): Promise<Result> {
		const state = {isSettled: false};
		const watched = promise.finally(() => {
			state.isSettled = true;
		});
		while (!state.isSettled) {
			await setImmediate();
			this.clock.advance(1);
		}

		return watched;
	}

	async begin(key: string): Promise<SimulatedStream> {
		const origin = pick(this.#random, this.alive) ?? this.#makeHost('none', 1);
		const version = pick(this.#random, versions) ?? '';
		await this.settle(origin.registry.record(key, {service, softwareVersion: version}, lifeMs));
		return {key, origin: origin.name, version};
	}

	/** Looks for a stream at a host that did not serve it. */
	async find({key, origin}: SimulatedStream): Promise<StreamFinding | undefined> {
		const asker = pick(this.#random, this.alive.filter(({name}) => name !== origin));
		return asker === undefined ? undefined : this.settle(asker.registry.find({key, service, windowMs}));
	}

	#makeHost(name: string, incarnation: number): SimulatedHost {
		const registry = new StreamRegistry({
			context: {
				clock: this.clock, log: ignore, metrics, self: {host: name, incarnation},
			},
			versions: new VersionHistory(),
			send: (to, message) => {
				this.#send(name, to, message);
			},
		});
		return {
			name, incarnation, registry, isAlive: true,
		};
	}

	#send(from: string, to: string, message: RelayMessage): void {
		this.messages += 1;
		this.pairs.add([from, to].toSorted().join(' '));
		const target = this.hosts.find(({name}) => name === to);
		const sender = this.hosts.find(({name}) => name === from);
		if (target === undefined || this.#random.next() < this.lossShare) {
			return;
		}

		const {incarnation} = target;
		this.clock.after(transitMs, () => {
			if (target.isAlive && target.incarnation === incarnation && sender?.isAlive) {
				deliver(target.registry, from, message);
			}
		});
	}
}

function deliver(registry: StreamRegistry, from: string, message: RelayMessage): void {
	const handlers: Readonly<Partial<Record<RelayMessage['kind'], (message: never) => void>>> = {
		streamRecords(records: Extract<RelayMessage, {kind: 'streamRecords'}>) {
			registry.receiveRecords(from, records);
		},
		streamRecordsHeld(held: Extract<RelayMessage, {kind: 'streamRecordsHeld'}>) {
			registry.receiveHeld(held);
		},
		streamWanted(question: Extract<RelayMessage, {kind: 'streamWanted'}>) {
			registry.receiveQuestion(from, question);
		},
		streamFound(found: Extract<RelayMessage, {kind: 'streamFound'}>) {
			registry.receiveFound(found);
		},
	};
	handlers[message.kind]?.(message as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- each handler is listed under its kind
}

type LossCase = {
	readonly hosts: number;
	/** Hosts that are lost at once, besides the one that served the streams. */
	readonly lost: (hosts: number) => number;
	readonly name: string;
	/** Smallest share of streams that are found. */
	readonly leastShare: number;
};

const losses = [
	{name: 'its host', lost: () => 0, leastShare: 1},
	{name: 'its host and another', lost: () => 1, leastShare: 1},
	{name: 'its host and half of the others', lost: (hosts: number) => Math.floor((hosts - 1) / 2), leastShare: 0.95},
];
const cases: readonly LossCase[] = [4, 8, 60, 300].flatMap(hosts => losses.map(loss => ({...loss, hosts})));
const streamsPerCase = 120;

describe('records of streams', () => {
	for (const {hosts, lost, name, leastShare} of cases) {
		it(`${hosts} hosts, a stream loses ${name}`, async () => {
			const random = seedRandom(hosts);
			let found = 0;
			let askMessages = 0;
			let slowestMs = 0;
			let recordMessages = 0;
			for (let index = 0; index < streamsPerCase; index += 1) {
				const fleet = new SimulatedFleet(hosts, (hosts * streamsPerCase) + index);
				const stream = await fleet.begin(`stream-${index}`);
				fleet.clock.advance(transitMs);
				recordMessages += fleet.messages;
				const others = fleet.hosts.filter(each => each.name !== stream.origin);
				const killed = shuffle(random, others).slice(0, lost(hosts));
				for (const host of [...fleet.hosts.filter(each => each.name === stream.origin), ...killed]) {
					fleet.kill(host);
				}

				fleet.messages = 0;
				const startedAt = fleet.clock.now();
				const finding = await fleet.find(stream);
				slowestMs = Math.max(slowestMs, fleet.clock.now() - startedAt);
				askMessages += fleet.messages;
				found += finding?.record?.softwareVersion === stream.version ? 1 : 0;
			}

			console.log(`${hosts} hosts, lost ${name}: ${found} of ${streamsPerCase} found, ${(recordMessages / streamsPerCase).toFixed(1)} messages a stream, ${(askMessages / streamsPerCase).toFixed(1)} a resumed request, ${slowestMs} ms at most`);
			expect(found / streamsPerCase >= leastShare).toEqual(true);
		});
	}

	it('an event waits for a host that answers, not for those that are silent', async () => {
		const fleet = new SimulatedFleet(8, 1);
		for (const host of fleet.hosts.slice(1, 7)) {
			fleet.kill(host);
		}

		const startedAt = fleet.clock.now();
		await fleet.begin('stream');
		expect(fleet.clock.now() - startedAt <= 60).toEqual(true);
	});

	it('holders that are restarted get the records again', async () => {
		const fleet = new SimulatedFleet(6, 2);
		const stream = await fleet.begin('stream');
		for (const host of fleet.hosts) {
			if (host.name !== stream.origin) {
				fleet.restart(host);
				fleet.announce();
				fleet.clock.advance(1000);
			}
		}

		const origin = fleet.hosts.find(({name}) => name === stream.origin);
		fleet.kill(origin ?? fleet.hosts[0]!);
		const finding = await fleet.find(stream);
		expect(finding?.record?.softwareVersion).toEqual(stream.version);
	});

	// A host on one side of a partition took those on the other side for dead, and the stream that they had begun for one that nobody knows
	for (const {name, isReturned, passedMs, silent} of [
		{
			name: 'a host that was lost counts as silent', isReturned: false, passedMs: windowMs - 1000, silent: 1,
		},
		{
			name: 'a host that was lost before any stream can have begun does not', isReturned: false, passedMs: windowMs, silent: 0,
		},
		{
			name: 'a host that has returned does not', isReturned: true, passedMs: 0, silent: 0,
		},
	]) {
		it(name, async () => {
			const fleet = new SimulatedFleet(4, 5);
			const [asker] = fleet.hosts;
			const lost = fleet.hosts.at(-1)?.name ?? '';
			fleet.announce([lost]);
			fleet.clock.advance(1000);
			fleet.announce(isReturned ? [] : [lost]);
			fleet.clock.advance(passedMs);
			const finding = await fleet.settle(asker?.registry.find({key: 'unknown', service, windowMs: windowMs + 500}) ?? Promise.resolve(undefined));
			expect([finding?.record, finding?.silent]).toEqual([undefined, silent]);
		});
	}

	// A host that rejoins during a lookup was not queried, and the stream got a permanent error
	for (const {name, setUp} of [
		{
			name: 'a lost host that returns during a search counts as silent', setUp(fleet: SimulatedFleet, last: string) {
				fleet.announce([last]);
			},
		},
		{
			name: 'a host that is met during a search counts as silent', setUp(fleet: SimulatedFleet, last: string) {
				fleet.announce([], [last]);
			},
		},
	]) {
		it(name, async () => {
			const fleet = new SimulatedFleet(4, 5);
			const [asker] = fleet.hosts;
			setUp(fleet, fleet.hosts.at(-1)?.name ?? '');
			const finding = asker?.registry.find({key: 'unknown', service, windowMs}) ?? Promise.resolve(undefined);
			fleet.announce();
			expect(await fleet.settle(finding.then(found => [found?.record, found?.asked, found?.silent]))).toEqual([undefined, 2, 1]);
		});
	}

	for (const {hosts, lost, isFound} of [
		{hosts: 4, lost: 0, isFound: true},
		{hosts: 8, lost: 1, isFound: true},
		{hosts: 60, lost: 1, isFound: true},
		{hosts: 300, lost: 0, isFound: true},
		{hosts: 8, lost: 7, isFound: false},
	]) {
		it(`holders are asked within a bound: ${hosts} hosts, of which ${lost} are lost`, async () => {
			const fleet = new SimulatedFleet(hosts, 7);
			const {key, origin, version} = await fleet.begin('stream');
			const [asker, ...others] = fleet.hosts.filter(({name}) => name !== origin);
			for (const host of [...fleet.hosts.filter(({name}) => name === origin), ...others].slice(0, lost)) {
				fleet.kill(host);
			}

			const startedAt = fleet.clock.now();
			const record = await fleet.settle(asker?.registry.findAtHolders({key: isFound ? key : 'unknown', service, windowMs}) ?? Promise.resolve(undefined));
			expect([record?.softwareVersion, fleet.clock.now() - startedAt <= firstRoundMs]).toEqual([isFound ? version : undefined, true]);
		});
	}

	it('two streams of one key are ambiguous', async () => {
		const fleet = new SimulatedFleet(4, 3);
		const [first, second] = fleet.hosts;
		await fleet.settle(first?.registry.record('key', {service, softwareVersion: 'v1'}, lifeMs) ?? Promise.resolve());
		await fleet.settle(second?.registry.record('key', {service, softwareVersion: 'v2'}, lifeMs) ?? Promise.resolve());
		fleet.clock.advance(transitMs);
		const finding = await fleet.find({key: 'key', origin: 'host-0', version: ''});
		expect(finding?.record?.isAmbiguous).toEqual(true);
	});

	it('a record lapses', async () => {
		const fleet = new SimulatedFleet(4, 4);
		const stream = await fleet.begin('stream');
		fleet.clock.advance(lifeMs + 1);
		const finding = await fleet.find(stream);
		expect(finding?.record).toEqual(undefined);
	});

	const step = fc.oneof(
		{weight: 6, arbitrary: fc.constant('begin' as const)},
		{weight: 6, arbitrary: fc.constant('resume' as const)},
		fc.constant('kill' as const),
		fc.constant('restart' as const),
		fc.constant('announce' as const),
		fc.constant('detect' as const),
		fc.constant('lose' as const),
		fc.constant('heal' as const),
		fc.constant('wait' as const),
	);
	it('no host ever finds another version than the one that began a stream', async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 40}), fc.integer({min: 1, max: 10_000}), fc.array(step, {maxLength: 40}), async (count, seed, steps) => {
			const random = seedRandom(seed);
			const fleet = new SimulatedFleet(count, seed);
			const streams: SimulatedStream[] = [];
			const actions: Readonly<Record<typeof steps[number], () => Promise<void> | void>> = {
				async begin() {
					streams.push(await fleet.begin(`s-${streams.length}`));
				},
				async resume() {
					const stream = pick(random, streams);
					const finding = stream === undefined ? undefined : await fleet.find(stream);
					expect(finding?.record === undefined || finding.record.softwareVersion === stream?.version).toEqual(true);
				},
				kill() {
					const host = pick(random, fleet.alive);
					if (host !== undefined && fleet.alive.length > 1) {
						fleet.kill(host);
					}
				},
				restart() {
					fleet.restart(pick(random, fleet.hosts) ?? fleet.hosts[0]!);
				},
				announce() {
					fleet.announce();
				},
				detect() {
					fleet.announce(fleet.hosts.filter(({isAlive}) => !isAlive).map(({name}) => name));
				},
				lose() {
					fleet.lossShare = random.next();
				},
				heal() {
					fleet.lossShare = 0;
				},
				wait() {
					fleet.clock.advance(lifeMs * random.next());
				},
			};
			for (const each of steps) {
				await actions[each]();
			}
		}), {seed: 21, numRuns: 60});
	});
});
