/** Guards against a part of prompts that ends the endpoints that begin to run it, in requests no two of which are alike. */
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {sendRequest} from './client.js';
import {startWorld, type World} from './world.js';

const hosts = 4;
/** Requests a second of each kind. */
const soundPerS = 20;
const crashingPerS = 5;
const millisecondsPerSecond = 1000;
/** Sound requests alone, then beside requests with the part. */
const soundMs = 2000;
const bothMs = 6000;
/** Time after which a replica starts again, with an id of its own. */
const restartMs = 1000;
/** Ends of one part that operators put up with. */
const mostEnds = 5;
/** Time in which all hosts know of an end. */
const knownMs = 500;
const leastSoundShare = 0.95;

type Case = {
	readonly name: string;
	readonly path: string;
	/** Shared parts of the requests that end replicas, and those of sound ones. */
	readonly crashing: readonly string[];
	readonly sound: readonly string[];
	readonly eventsBeforeCrash?: number;
	/** Beside the requests with the part, hosts are restarted in turn, or replicas end by themselves. */
	readonly beside?: 'restarts' | 'accidents';
};

const cases: readonly Case[] = [
	{
		name: 'the second part', path: '/stream/1', crashing: ['aa', 'bad'], sound: ['aa', 'cc'],
	},
	{
		name: 'the first part', path: '/stream/1', crashing: ['bad', 'bb'], sound: ['aa', 'bb'],
	},
	{
		name: 'the second part, on a route whose streams continue', path: '/resumable/1', crashing: ['aa', 'bad'], sound: ['aa', 'cc'],
	},
	{
		name: 'the second part, behind its first event', path: '/stream/1', crashing: ['aa', 'bad'], sound: ['aa', 'cc'], eventsBeforeCrash: 1,
	},
	{
		name: 'the second part, while hosts are restarted in turn', path: '/stream/1', crashing: ['aa', 'bad'], sound: ['aa', 'cc'], beside: 'restarts',
	},
	{
		name: 'the second part, while replicas also end by themselves', path: '/resumable/1', crashing: ['aa', 'bad'], sound: ['aa', 'cc'], beside: 'accidents',
	},
];

/** Interval between two restarts of hosts, or two accidents, in milliseconds. */
const disruptionGapMs = 1500;

type LoadParts = {
	readonly path: string;
	readonly kind: string;
	readonly parts: readonly string[];
	/** Whether hosts are restarted meanwhile. */
	readonly isHostLost?: boolean;
};

/** Requests of one kind, at evenly spaced times and at all hosts in turn. */
class Load {
	readonly statuses: number[] = [];
	readonly #world: World;
	readonly #path: string;
	readonly #kind: string;
	readonly #parts: readonly string[];
	#sent = 0;
	readonly #statusOfCut: number;

	constructor(world: World, {path, kind, parts, isHostLost = false}: LoadParts) {
		this.#statusOfCut = isHostLost ? 0 : 502;
		this.#world = world;
		this.#path = path;
		this.#kind = kind;
		this.#parts = parts;
	}

	/** Share of served requests, of those that their host has answered. */
	get share(): number {
		const answered = this.statuses.filter(status => status !== 0);
		return answered.filter(status => status === 200).length / Math.max(1, answered.length);
	}

	async run(perS: number, forMs: number): Promise<void> {
		const calls: Array<Promise<void>> = [];
		for (let count = 0; count < perS * forMs / millisecondsPerSecond; count += 1) {
			calls.push(this.#send());
			await pause(millisecondsPerSecond / perS);
		}

		await Promise.all(calls);
	}

	async #send(): Promise<void> {
		this.#sent += 1;
		const id = `${this.#kind}-${this.#sent}`;
		const parts = [...this.#parts, `own${id}`].map(part => `${part}:100`).join(',');
		const {status, isWhole} = await sendRequest({
			address: this.#world.relays[this.#sent % hosts]?.caller ?? '', id, path: this.#path, body: `question ${id}`, headers: {'Prompt-Prefix': parts},
		});
		// A restart of the host cuts its responses, too
		this.statuses.push(status === 200 && !isWhole ? this.#statusOfCut : status);
	}
}

/** Starts ended replicas again, under new ids, until stopped. */
async function restartEnded(world: World, signal: AbortSignal): Promise<void> {
	const restarted = new Set<string>();
	while (!signal.aborted) {
		await pause(restartMs / 10);
		for (const replica of world.replicas) {
			if (!world.log.ended.includes(replica.id) || restarted.has(replica.id)) {
				continue;
			}

			restarted.add(replica.id);
			world.store.remove(`servers/${replica.id}`);
			setTimeout(() => {
				replica.id = `${replica.id}n`;
				void replica.revive().then(() => {
					world.publish(replica, 'ready');
				});
			}, restartMs);
		}
	}
}

/** Ids of replicas that end by themselves. */
const accidentIds = new Set<string>();

const disruptions: Readonly<Record<NonNullable<Case['beside']>, (world: World, count: number) => Promise<void>>> = {
	async restarts(world, count) {
		await world.restart(count % hosts);
	},
	async accidents({replicas, log}, count) {
		const decoding = replicas.filter(({stage, id}) => stage === 'decode' && !log.ended.includes(id));
		const replica = decoding[(5 * count) % decoding.length];
		if (replica !== undefined) {
			accidentIds.add(replica.id);
			log.ended.push(replica.id);
			await replica.kill();
		}
	},
};

async function disrupt(world: World, beside: Case['beside'], signal: AbortSignal): Promise<void> {
	if (beside === undefined) {
		return;
	}

	for (let count = 0; !signal.aborted; count += 1) {
		await pause(disruptionGapMs);
		await disruptions[beside](world, count);
	}
}

describe('a part of prompts that ends the endpoints that run it', () => {
	for (const {name, path, crashing, sound, eventsBeforeCrash, beside: disruption} of cases) {
		it(`${name}: ends at most ${mostEnds}, and sound requests are served`, {timeout: 60_000}, async context => {
			const world = await startWorld({
				hosts, plain: 0, prefill: 3, decode: 12, slots: 16, eventGapMs: 30, crashingParts: ['bad'], eventsBeforeCrash,
			});
			const stopped = new AbortController();
			try {
				const restarts = restartEnded(world, stopped.signal);
				const before = new Load(world, {path, kind: 'before', parts: sound});
				await before.run(soundPerS, soundMs);
				const beside = new Load(world, {
					path, kind: 'sound', parts: sound, isHostLost: disruption === 'restarts',
				});
				const harmful = new Load(world, {path, kind: 'harmful', parts: crashing});
				const listEnds = () => world.log.ended.filter(id => !accidentIds.has(id));
				let lastEndAt = Number.POSITIVE_INFINITY;
				const watch = setInterval(() => {
					if (listEnds().length >= mostEnds) {
						lastEndAt = Math.min(lastEndAt, performance.now());
					}
				}, 5);
				const disrupted = disrupt(world, disruption, stopped.signal);
				await Promise.all([beside.run(soundPerS, bothMs), harmful.run(crashingPerS, bothMs)]);
				stopped.abort();
				await disrupted;
				clearInterval(watch);
				const late = world.log.arrivals.filter(({request, at}) => request.startsWith('harmful') && at > lastEndAt + knownMs).length;
				context.diagnostic(`${listEnds().length} ends, ${late} late sends, sound ${before.share.toFixed(2)} before, ${beside.share.toFixed(2)} beside`);
				expect(listEnds().length).toBeLessThanOrEqual(mostEnds);
				expect(late).toEqual(0);
				expect(beside.share).toBeGreaterThanOrEqual(leastSoundShare * before.share);
				await restarts;
			} finally {
				stopped.abort();
				await world.stop();
			}
		});
	}
});
