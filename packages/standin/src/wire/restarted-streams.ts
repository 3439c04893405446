/** Plays streams that break when all hosts are restarted at once and are resumed afterwards, for tests. */
import {sendRequest} from './client.js';
import {type StandinReplica} from './replica-server.js';
import {StreamCaller, writePrompt} from './stream-caller.js';
import {
	makeEntry, patientTimes, startWorld, until, type World,
} from './world.js';

export const streams = 40;
/** Smallest share of resumed streams that go on, relative to the new streams that begin at the same time; counted where their version has this many engines. */
const leastShare = 0.5;
export const leastEngines = 2;
/** Time between two events until streams are resumed, in milliseconds: long enough that all of them break when the hosts end. */
const slowGapMs = 1000;
const eventGapMs = 20;
/** An earlier prompt of a session is shorter than the next one. */
const earlierTokens = 500;
const parts = {
	plain: 0, prefill: 4, decode: 12, slots: 64, eventGapMs, retryAllowance: 1000, routeTimes: patientTimes,
};

export type RestartCase = {
	readonly name: string;
	readonly hosts?: number;
	/** Number of decode engines; absent: 12. */
	readonly decode?: number;
	/** Time between the starts of two hosts, in milliseconds; absent: all start at once. */
	readonly startGapMs?: number;
	readonly softwareVersions?: readonly string[];
	/** Whether callers whose streams do not begin try the next host. */
	readonly isRoaming?: boolean;
	/** Called before streams begin. */
	readonly before?: (world: World, callers: readonly StreamCaller[]) => Promise<void>;
	/** Called once all streams have begun, while the hosts run. */
	readonly between?: (world: World) => Promise<void>;
	/** What changes while no host runs; before the first start if there are several. */
	readonly meanwhile?: (world: World, callers: readonly StreamCaller[]) => Promise<void>;
	/** How often all hosts are restarted, one time right after the other; absent: once. */
	readonly restarts?: number;
	/** Whether streams are resumed between two restarts too. */
	readonly isResumedBetween?: boolean;
	/** Whether callers retry as soon as a host is ready, before membership has converged. */
	readonly isEarly?: boolean;
	/** Attempts of the route; absent: two. */
	readonly streamAttempts?: number;
	/** Versions whose engines lose their memory, so that their streams may be rejected. */
	readonly lostVersions?: readonly string[];
	/** Whether no evidence of the streams' versions is left, so that all may be rejected. */
	readonly mayRefuse?: boolean;
	/** Whether no stream's version is left. */
	readonly isAllGone?: boolean;
};

function range(from: number, to: number): number[] {
	return Array.from({length: Math.max(0, to - from)}, (_, index) => from + index);
}

export function listVersion({replicas}: World, version: string): StandinReplica[] {
	return replicas.filter(({softwareVersion}) => softwareVersion === version);
}

export function isDecode({stage}: StandinReplica): boolean {
	return stage === 'decode';
}

export function listEngines({replicas}: World): StandinReplica[] {
	return replicas.filter(replica => isDecode(replica));
}

/** Lists an entry of another service's engine at an address where nobody answers. */
export function listForeignEngine({store, replicas: [replica]}: World, address: string): void {
	if (replica !== undefined) {
		const entry = makeEntry({...replica, address, stage: 'decode'}, 'ready') as Record<string, unknown>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the stand-in's own words
		store.put('servers/foreign', {...entry, service: 'plain'});
	}
}

/** Takes replicas out of the directory; they live on. */
export function remove({store}: World, replicas: readonly StandinReplica[]): void {
	for (const {id} of replicas) {
		store.remove(`servers/${id}`);
	}
}

/** Starts replicas anew at their addresses, with another version and nothing in memory. */
export async function replace(world: World, replicas: readonly StandinReplica[], version: string, idOf: (id: string) => string = id => id): Promise<void> {
	for (const replica of replicas) {
		await replica.kill();
		remove(world, [replica]);
		replica.id = idOf(replica.id);
		replica.softwareVersion = version;
		await replica.revive();
		world.publish(replica, 'ready');
	}
}

/** The engine of a version that has run the fewest streams, but some. */
export function findLeastUsed(world: World, version: string): StandinReplica[] {
	const countRuns = (engine: StandinReplica) => world.log.runs.filter(({replica, request}) => replica === engine.id && request.startsWith('old')).length;
	return listVersion(world, version).filter(replica => countRuns(replica) > 0).toSorted((left, right) => countRuns(left) - countRuns(right)).slice(0, 1);
}

/** Replicas that the directory lists. */
function listPublished({store, replicas}: World): StandinReplica[] {
	const {items} = store.copy();
	return replicas.filter(({id}) => items.has(`servers/${id}`));
}

/** Waits until each host has its endpoints and all its peers. */
export async function waitUntilJoined(world: World): Promise<void> {
	const {length} = [...world.store.copy().items.keys()].filter(key => key.startsWith('servers/'));
	await until(() => world.relays.every(({relay}) => relay.routing.version > 0 && relay.endpoints.book.list().length === length && relay.fleet.countHosts() === world.relays.length));
}

async function waitUntilReady({relays}: World): Promise<void> {
	await until(() => relays.every(({relay}) => relay.isReady));
}

function setGap({replicas}: World, milliseconds: number): void {
	for (const replica of replicas) {
		replica.eventGapMs = milliseconds;
	}
}

/** Runs a request of its own at a replica, past all hosts. */
async function runAt({address, id}: StandinReplica, request: string, prompt: string): Promise<void> {
	await sendRequest({
		address, id: request, path: '/resumable/1', headers: {'Expect-Instance': id, 'Prompt-Prefix': prompt},
	});
}

/** Runs a shorter request of each stream's session at an engine of each version. */
export async function runEarlier({replicas}: World, callers: readonly StreamCaller[]): Promise<void> {
	const engines = ['v1', 'v2'].map(version => replicas.find(replica => isDecode(replica) && replica.softwareVersion === version)).filter(engine => engine !== undefined);
	await Promise.all(engines.flatMap(engine => callers.map(async ({name}) => runAt(engine, `${name}-earlier`, writePrompt(name, earlierTokens)))));
}

/** Runs an attempt of each stream whose events reach nobody at a replica of another version. */
export async function runUnseen(world: World, callers: readonly StreamCaller[]): Promise<void> {
	setGap(world, eventGapMs);
	await Promise.all(callers.map(async ({name, versions}) => {
		const other = world.replicas.find(replica => isDecode(replica) && !versions.has(replica.softwareVersion ?? ''));
		await (other === undefined ? undefined : runAt(other, `${name}-unseen`, writePrompt(name)));
	}));
}

/** Resumes each stream at a host, and waits until it goes on or has ended. */
async function resumeEach(callers: readonly StreamCaller[], addressOf: (index: number) => string): Promise<void> {
	await Promise.all(callers.map(async (caller, index) => {
		const {length} = caller.events;
		let isOver = false;
		void caller.resumeOnce(addressOf(index)).then(() => {
			isOver = true;
		});
		await until(() => isOver || caller.events.length > length);
	}));
}

/** Refusals that say that a stream cannot go on; others depend on time or load. */
const finalReasons: ReadonlySet<unknown> = new Set(['streamVersionUnknown', 'streamVersionGone']);

/** Whether all responses since a restart rejected the stream for its version, the last one without Retry-After. */
function isRefusedAtOnce({lines}: World, {name, ends, hasGivenUp}: StreamCaller, attemptsBefore: number): boolean {
	const since = ends.slice(attemptsBefore);
	const attempts = new Set(since.map((_, index) => `${name}-${attemptsBefore + index}`));
	const reasons = lines.filter(({code, facts}) => code === 'requestEnded' && attempts.has(String(facts.request))).map(({facts}) => facts.reason);
	return !hasGivenUp && since.length > 0 && since.every(({status}) => status === 503) && since.at(-1)?.retryAfterMs === undefined && reasons.every(reason => finalReasons.has(reason));
}

function countEach(texts: readonly string[]): string {
	const counts = new Map<string, number>();
	for (const text of texts) {
		counts.set(text, (counts.get(text) ?? 0) + 1);
	}

	return [...counts].map(([text, count]) => `${text}: ${count}`).join(', ');
}

/** Breaks streams by restarts of all hosts, and resumes them beside as many new ones. */
export async function playRestart({hosts = 8, decode = parts.decode, startGapMs, softwareVersions = ['v1', 'v2'], before, between, meanwhile, restarts = 1, isResumedBetween = false, isEarly = false, mayRefuse = false, streamAttempts, isRoaming = false, lostVersions = []}: RestartCase, report: (text: string) => void) {
	const world = await startWorld({
		...parts, hosts, decode, softwareVersions, ...(streamAttempts === undefined ? {} : {streamAttempts}),
	});
	try {
		const addressOf = (index: number) => world.relays[index % hosts]?.caller ?? '';
		const callers = range(0, streams).map(index => new StreamCaller(`old-${index}`));
		// The first request of a host opens its links, which takes long where all hosts share one process
		await Promise.all(range(0, hosts).map(async index => new StreamCaller(`first-${index}`).begin(addressOf(index))));
		await before?.(world, callers);
		setGap(world, slowGapMs);
		await Promise.all(callers.map(async (caller, index) => caller.beginAt(addressOf(index), ...(isRoaming ? [addressOf(index + 1)] : []))));
		await between?.(world);
		let brokenAt = performance.now();
		await world.restartAll(async () => {
			await Promise.all(callers.map(async ({ended}) => ended));
			brokenAt = performance.now();
			await meanwhile?.(world, callers);
		}, startGapMs);
		for (const restart of range(1, restarts)) {
			if (isResumedBetween) {
				await waitUntilJoined(world);
				await resumeEach(callers, index => addressOf(index + restart));
			}

			await world.restartAll();
		}

		await (isEarly ? waitUntilReady(world) : waitUntilJoined(world));
		await Promise.all(callers.map(async ({ended}) => ended));
		setGap(world, eventGapMs);
		for (const caller of callers) {
			// The new streams that these are compared with begin with their whole deadline
			caller.deadlineMs += performance.now() - brokenAt;
		}

		const broken = callers.filter(({events, isComplete}) => events.length > 0 && !isComplete).map(caller => ({
			caller, version: caller.events[0]?.version ?? '', events: caller.events.length, attempts: caller.ends.length,
		}));
		const added = range(0, streams).map(index => new StreamCaller(`new-${index}`));
		const addressesFrom = (index: number) => range(index, index + (2 * hosts)).map(each => addressOf(each));
		await Promise.all([...callers, ...added].map(async (caller, index) => caller.resume(addressesFrom(index + restarts))));
		const published = listPublished(world).filter(replica => isDecode(replica));
		const countEngines = (version: string) => published.filter(({softwareVersion}) => softwareVersion === version).length;
		const counted = broken.filter(({version}) => countEngines(version) >= leastEngines && !lostVersions.includes(version));
		const gone = broken.filter(({version}) => countEngines(version) === 0);
		const goneOn = counted.filter(({caller, events}) => caller.events.length > events);
		const begun = added.filter(({events}) => events.length > 0);
		const mixed = [...callers, ...added].filter(({versions}) => versions.size > 1);
		const late = gone.filter(({caller, attempts}) => !isRefusedAtOnce(world, caller, attempts));
		const share = counted.length === 0 ? 'none' : (goneOn.length / counted.length) / (begun.length / added.length);
		report(`${mixed.length} mixed; ${goneOn.length} of ${counted.length} went on, ${begun.length} of ${added.length} new ones began; ${late.length} of ${gone.length} whose version is gone did not end at once`);
		report(`resumed: ${countEach(broken.flatMap(({caller, attempts}) => [`after ${caller.ends.length - attempts} attempts`, ...caller.ends.slice(attempts).map(({status, retryAfterMs}) => `${status} ${retryAfterMs}`)]))}`);
		report(`lookups: ${countEach(world.lines.filter(({code, facts}) => code === 'streamResumed' && String(facts.request).startsWith('old')).map(({facts}) => String(facts.source)))}`);
		return {
			broken: broken.length, mixed: mixed.length, late: late.length, inOrder: callers.every(({isInOrder}) => isInOrder), share: mayRefuse || (typeof share === 'number' && share >= leastShare) ? 'enough' : share,
		};
	} finally {
		await world.stop();
	}
}
