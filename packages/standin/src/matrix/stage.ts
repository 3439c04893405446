/**
 * The stage of a failure test: real hosts, sockets and small fakes in one
 * process, under a clock that stands still until it is moved.
 */
import {generateKeyPairSync, randomInt} from 'node:crypto';
import {setImmediate as turn} from 'node:timers/promises';
import {Host} from '@gatehead/host/host';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {ignore} from '@gatehead/policy/utils/ignore';
import {seedRandom} from '@gatehead/policy/utils/random';
import {bundle as bundleSchema, type Bundle, type BundleDraft} from '@gatehead/schema/bundle';
import {digestOf} from '@gatehead/schema/canonical-json';
import {type Event} from '@gatehead/schema/event';
import {bundleKey, type PublishedValue} from '@gatehead/schema/platform-protocol';
import {settings as settingsSchema, type SettingsDraft} from '@gatehead/schema/settings';
import {signBundle, type SignedBundle} from '@gatehead/schema/signed-bundle';
import {startEngine, type StandinEngine} from '../engine/engine-server.js';
import {traitsOf} from '../engine/traits.js';
import {startPlatform, type StandinPlatform} from '../platform/platform-server.js';
import {startService, type StandinService} from '../service/service-server.js';

const anyPort = '127.0.0.1:0';
const stepMs = 10;
/** Turns of the event loop that a step gives to the sockets. */
const turnsPerStep = 8;
const wallStart = 1_800_000_000_000;
const halls = ['north', 'south'] as const;

/** Short times, so that a test needs few steps. */
const timing: SettingsDraft['timing'] = {
	tickMs: 100, suspectMs: 400, reportMs: 50, orphanGraceMs: 700, watchMs: 1000, rosterMs: 200, lateWakeMs: 500, readerStallMs: 400, endpointStallMs: 500,
};

/** A host's own view of the clock: it can be paused, and it ends with its process. */
export class HostClock implements Clock {
	readonly #clock: ManualClock;
	readonly #held: Array<() => void> = [];
	#isPaused = false;
	#isDead = false;

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	now(): number {
		return this.#clock.now();
	}

	after(delayMs: number, run: () => void): Timer {
		let isStopped = false;
		const fire = () => {
			if (isStopped || this.#isDead) {
				return;
			}

			if (this.#isPaused) {
				this.#held.push(fire);
			} else {
				run();
			}
		};

		const timer = this.#clock.after(delayMs, fire);
		return {
			stop() {
				isStopped = true;
				timer.stop();
			},
		};
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		for (const fire of this.#held.splice(0)) {
			fire();
		}
	}

	die(): void {
		this.#isDead = true;
	}
}

/** A host on the stage. */
export type StagedHost = {
	readonly name: string;
	readonly hall: string;
	host: Host;
	clock: HostClock;
	address: string;
	isDead: boolean;
};

/** The bundle of the stage, before addresses are known. */
function draftBundle(engines: readonly StandinEngine[], replicas: readonly StandinService[], version: number): Bundle {
	const draft: BundleDraft = {
		deployment: 'stage',
		version,
		models: [{
			name: 'model', version: 'one', windowTokens: 8192, kvBytesPerToken: 1000, adapters: [],
		}],
		engines: engines.map(({traits, address}, index) => ({
			name: traits.name, hall: halls[index % 2] ?? 'north', address, pool: 'pool', role: traits.role, model: 'model', slots: traits.slots, resultHoldMs: traits.resultHoldMs, checksSender: traits.checksSender,
		})),
		services: [{
			name: 'labels', repeatable: false, timeoutMs: 600, replicas: replicas.map(({address}, index) => ({name: `labels-${index}`, hall: halls[index % 2] ?? 'north', address})),
		}],
		callers: [{
			name: 'caller', member: 'member', priority: 0, share: 1, tokenDigest: digestOf('token'),
		}],
		rules: {
			objective: 'goodput', targets: [{priority: 0, ttftMs: 3000, tokenMs: 500}], lookupTtlMs: 500,
		},
	};
	return bundleSchema.parse(draft);
}

const engineShapes = [
	{name: 'p0', role: 'prefill', checksSender: true}, {name: 'p1', role: 'prefill', checksSender: false}, {name: 'd0', role: 'decode', checksSender: true}, {name: 'd1', role: 'decode', checksSender: false},
] as const;

/** An IP number of the loopback range that no other stage uses, so that an endpoint that comes back finds its port free. */
function pickLoopback(): string {
	return `127.${[1, 2, 3].map(() => randomInt(1, 255)).join('.')}`;
}

/** Everything on the stage. */
export class Stage {
	readonly clock = new ManualClock();
	readonly hosts: StagedHost[] = [];
	readonly engines: StandinEngine[] = [];
	readonly services: StandinService[] = [];
	/** Keys of mutual TLS between the hosts; undefined: without. */
	tls: NonNullable<SettingsDraft['keys']['tls']> | undefined;
	platform!: StandinPlatform;
	/** Versions seen going back, which must stay empty. */
	readonly reverted: string[] = [];
	/** Where the stand-ins listen; the system chooses the ports. */
	readonly #standinPort = `${pickLoopback()}:0`;
	readonly #keys = generateKeyPairSync('ed25519');
	readonly #versions = new Map<string, number>();
	#published = 0;
	#first = '';

	/** The value that a stale configuration service goes on serving: the first bundle. */
	get staleValue(): PublishedValue {
		return {key: bundleKey, revision: 1, value: this.#first};
	}

	/** Newest version published. */
	get published(): number {
		return this.#published;
	}

	/** Starts all; returns once every host is ready. */
	async start(hostCount: number): Promise<void> {
		this.platform = await startPlatform(this.clock, this.#standinPort);
		for (const {name, role, checksSender} of engineShapes) {
			const traits = {
				...traitsOf({
					name, role, hall: 'north', address: anyPort, pool: 'pool', model: 'model', adapters: [], slots: role === 'prefill' ? 1 : 4, prefillTokensPerSecond: 20_000, linkBytesPerSecond: 10_000_000, resultHoldMs: 800, checksSender, leaving: false,
				}, 1000, 'one'), reportLagMs: 20,
			};
			this.engines.push(await startEngine(traits, this.clock, this.#standinPort));
		}

		for (const _ of halls) {
			this.services.push(await startService(this.clock, this.#standinPort));
		}

		this.publish(1);
		for (let index = 0; index < hostCount; index += 1) {
			await this.addHost(`host-${index}`, halls[index % 2] ?? 'north');
		}

		this.listHosts();
		await this.until(() => this.hosts.every(each => this.isServing(each)), 5000);
	}

	/** Starts a host, or a new incarnation of one on new addresses. */
	async addHost(name: string, hall: string): Promise<StagedHost> {
		const clock = new HostClock(this.clock);
		const checked = settingsSchema.parse({
			host: name,
			hall,
			deployment: 'stage',
			listen: {caller: anyPort, peer: anyPort, admin: anyPort},
			platform: {configuration: this.platform.address, hosts: this.platform.address},
			keys: {
				tickets: ['ab'.repeat(32)], operators: [{name: 'operator', publicKey: this.#keys.publicKey.export({type: 'spki', format: 'pem'}).toString()}], adminTokenDigest: digestOf('operator'), tls: this.tls,
			},
			timing,
		} satisfies SettingsDraft);
		const host = new Host({
			settings: checked, clock, random: seedRandom(this.hosts.length + 1), wall: () => wallStart + this.clock.now(), log: ignore,
		});
		const {caller} = await host.start();
		const staged: StagedHost = {
			name, hall, host, clock, address: caller, isDead: false,
		};
		this.hosts.push(staged);
		return staged;
	}

	/** Whether a host answers callers and has heard from all others; those that it knows only from the platform's list have incarnation 0, and it names none of them to callers. */
	isServing({host, isDead}: StagedHost): boolean {
		const known = host.membership.members.listReachable().filter(({incarnation}) => incarnation > 0);
		return !isDead && host.isReady && known.length >= this.living.length;
	}

	/** Hosts whose process lives. */
	get living(): StagedHost[] {
		return this.hosts.filter(each => !each.isDead);
	}

	/** Publishes the stage's bundle, changed as wished, under a version. */
	publish(version: number, change: (bundle: Bundle) => Bundle = same => same): SignedBundle {
		const signed = signBundle(change(draftBundle(this.engines, this.services, version)), 'operator', this.#keys.privateKey);
		const value = JSON.stringify(signed);
		this.#first = this.#first === '' ? value : this.#first;
		this.platform.publish(bundleKey, value);
		this.#published = Math.max(this.#published, version);
		return signed;
	}

	/** Puts the living hosts on the platform's list. */
	listHosts(): void {
		this.platform.list(this.living.map(({host}) => {
			const {host: name, hall, region, callerAddress, peerAddress, adminAddress} = host.membership.members.self;
			return {
				host: name, hall, region, callerAddress, peerAddress, adminAddress, state: 'live',
			};
		}));
	}

	/** Ends a host's process at once. */
	async kill(staged: StagedHost): Promise<void> {
		staged.isDead = true;
		staged.clock.die();
		await staged.host.close();
	}

	/** Cuts a host off from the others, or joins it again. */
	setSplit(staged: StagedHost, isSplit: boolean): void {
		for (const other of this.hosts) {
			if (other === staged) {
				continue;
			}

			if (isSplit) {
				staged.host.links.blocked.add(other.name);
				other.host.links.blocked.add(staged.name);
			} else {
				staged.host.links.blocked.delete(other.name);
				other.host.links.blocked.delete(staged.name);
			}
		}
	}

	/** The host that keeps the stage's one cell. */
	findKeeper(): StagedHost | undefined {
		return this.living.find(({host}) => host.keeper.describe().length > 0);
	}

	/** All events noted so far by living and dead hosts. */
	listEvents(): Event[] {
		return this.hosts.flatMap(({host}) => host.context.timeline.listAfter(''));
	}

	/** Moves the clock one step and lets the sockets work. */
	async step(): Promise<void> {
		this.clock.advance(stepMs);
		for (let index = 0; index < turnsPerStep; index += 1) {
			await turn();
		}

		this.#watchVersions();
	}

	/** Steps until `condition` holds; returns whether it came to hold within `mostMs` of the stage's time. */
	async until(condition: () => boolean, mostMs: number): Promise<boolean> {
		const end = this.clock.now() + mostMs;
		while (!condition()) {
			if (this.clock.now() >= end) {
				return false;
			}

			await this.step();
		}

		return true;
	}

	/** Steps for a while. */
	async pass(milliseconds: number): Promise<void> {
		await this.until(() => false, milliseconds);
	}

	/** Ends everything. */
	async close(): Promise<void> {
		for (const staged of this.living) {
			await this.kill(staged);
		}

		for (const standin of [this.platform, ...this.engines, ...this.services]) {
			await standin.kill();
		}
	}

	#watchVersions(): void {
		for (const {name, host, isDead} of this.hosts) {
			const key = `${name} ${host.context.self.incarnation}`;
			const {version} = host.bundles;
			const known = this.#versions.get(key) ?? 0;
			if (version < known) {
				this.reverted.push(`${name}: ${known} to ${version}`);
			}

			if (!isDead) {
				this.#versions.set(key, Math.max(known, version));
			}
		}
	}
}
