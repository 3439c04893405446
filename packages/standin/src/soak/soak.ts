/**
 * A randomized fault soak: real host processes on the platform's stand-ins,
 * faults injected from outside, and the promises checked from what callers
 * and replicas see. One seed gives one schedule of faults.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {
	jitter, pick, shuffle, type Random,
} from '@gatehead/policy/utils/random';
import {type ResponseCut} from '../wire/body-writer.js';
import {sendRequest} from '../wire/client.js';
import {type LinkCut} from '../wire/link-proxy.js';
import {readNodeOptions} from '../wire/memory-bed.js';
import {writeEvent, type ReplicaFault} from '../wire/replica-server.js';
import {type StoreFault} from '../wire/store-server.js';
import {platformTimes, type ConfigurationDraft} from '../wire/world.js';
import {
	configure, endBed, makeBed, publish, waitUntilServing, type Bed,
} from './bed.js';
import {entryLifeMs, expireEntries} from './entry-expiry.js';
import {type ProxyMode} from './faulty-proxy.js';
import {
	countExits, findFailedHosts, toMegabytes, type ExitCounts,
} from './failed-hosts.js';
import {type HostProcess} from './host-process.js';
import {findLostRequests} from './lost-requests.js';
import {memoryFaults} from './memory-faults.js';
import {stopAsPlanned} from './planned-stop.js';
import {startFaults} from './start-faults.js';
import {graceMs} from './stop-traffic.js';
import {varyRuns} from './varied-runs.js';
import {
	countRuns, findExcessRepeats, findLostStreams, judge, playStreams, sendUntil, type StreamReport,
} from './traffic.js';

const faultGapMs = 260;
const longestFaultMs = 1500;
const spread = 0.5;
const calmMs = 4000;
/** Time between two readings of the peaks of memory, in milliseconds. */
const samplingMs = 200;
/** Memory of a host's machine where nothing else is stated, in megabytes. */
const defaultMemoryMb = 200;
/** Highest limit that a replica announces, in requests a second, less one: below what the soak sends. */
const mostLimitPerS = 9;
const millisecondsPerSecond = 1000;
const replicaFaults: readonly ReplicaFault[] = ['full', 'reset', 'silent', 'error', 'foreign', 'unmarked', 'cut', 'doubled', 'emptyPromise', 'unframedReset'];
const storeFaults: readonly StoreFault[] = ['silent', 'busy', 'reset'];
const proxyModes: readonly ProxyMode[] = ['delay', 'silence', 'dropAnswers'];

const linkCuts: readonly LinkCut[] = ['silent', 'refused', 'newRefused'];
/** Chance of a host to lose its links where some do. */
const cutShare = 0.6;

/** What one seed played and found. */
export type SoakReport = {
	readonly seed: number;
	readonly requests: number;
	readonly served: number;
	readonly faults: number;
	readonly folder: string;
	/** Highest peaks of the hosts' resident memory, in megabytes, host by host. */
	readonly peaksMb: readonly number[];
	/** All ends of host processes, by their causes. */
	readonly exits: ExitCounts;
	readonly streams: Pick<StreamReport, 'streams' | 'resumed' | 'goneOn'>;
	/** Each broken promise, in a sentence. */
	readonly broken: readonly string[];
};

/** Engines get the next software version, one after the other: an old process drains, ends, and one of the new version starts. Releases overlap. */
async function releaseEngines(bed: Bed, lastsMs: number): Promise<void> {
	const {random, replicas} = bed;
	bed.release += 1;
	const version = `v${bed.release}`;
	const share = random.next();
	for (const [index, replica] of replicas.entries()) {
		if (replica.stage === undefined || random.next() > share) {
			continue;
		}

		publish(bed, index, 'draining');
		await pause(lastsMs / 3);
		await replica.kill();
		bed.store.remove(`servers/${replica.id}`);
		replica.softwareVersion = version;
		replica.id = `${replica.stage}-${index}-${version}`;
		await replica.revive();
		publish(bed, index, 'ready');
	}
}

/** Kills hosts at once and starts them again. */
async function restartHosts({events}: Bed, hosts: readonly HostProcess[], downMs: number): Promise<void> {
	for (const host of hosts) {
		host.signal('SIGKILL');
		events.add({event: 'hostKilled', host: host.name});
	}

	await Promise.all(hosts.map(async host => host.ended()));
	await pause(downMs);
	for (const host of hosts) {
		host.start();
		events.add({event: 'hostStarted', host: host.name});
	}
}

/** Each fault, with what ends it. New ones go to the end: seeds that failed are played with the kinds that there were. */
const faults: Readonly<Record<string, (bed: Bed, lastsMs: number) => Promise<void>>> = {
	async killHost({random, hosts}, lastsMs) {
		const host = pick(random, hosts);
		host?.signal('SIGKILL');
		await host?.ended();
		await pause(lastsMs / 4);
		host?.start();
	},
	async stopHost({random, hosts}) {
		const host = pick(random, hosts);
		host?.signal('SIGTERM');
		await host?.ended();
		host?.start();
	},
	async pauseHost({random, hosts}, lastsMs) {
		const host = pick(random, hosts);
		host?.signal('SIGSTOP');
		await pause(lastsMs);
		host?.signal('SIGCONT');
	},
	async reloadHost({random, hosts}) {
		pick(random, hosts)?.signal('SIGHUP');
	},
	async crashReplica({random, replicas}, lastsMs) {
		const replica = pick(random, replicas);
		await replica?.kill();
		await pause(lastsMs);
		await replica?.revive();
	},
	async spoilReplica({random, replicas}, lastsMs) {
		const replica = pick(random, replicas);
		if (replica !== undefined) {
			replica.fault = pick(random, replicaFaults) ?? 'none';
			await pause(lastsMs);
			replica.fault = 'none';
		}
	},
	async harmPath({random, proxies, storeProxy}, lastsMs) {
		const proxy = pick(random, [...proxies, storeProxy]);
		if (proxy !== undefined) {
			proxy.mode = pick(random, proxyModes) ?? 'pass';
			await pause(lastsMs);
			proxy.mode = 'pass';
			// What was lost on the way is lost for the connection
			proxy.reset();
		}
	},
	async resetPaths({random, proxies}) {
		pick(random, proxies)?.reset();
	},
	async harmStore({random, store}, lastsMs) {
		store.setFault(pick(random, storeFaults) ?? 'none');
		await pause(lastsMs);
		store.setFault('none');
	},
	async forgetHistory({store}) {
		store.compact();
	},
	async configure(bed) {
		bed.version += 1;
		configure(bed);
	},
	async drainReplica(bed, lastsMs) {
		const index = Math.floor(bed.random.next() * bed.replicas.length);
		publish(bed, index, 'draining');
		await pause(lastsMs);
		publish(bed, index, 'ready');
	},
	async restoreStore(bed, lastsMs) {
		const {store, replicas, events} = bed;
		const copy = store.copy();
		await pause(lastsMs);
		store.setFault('reset');
		store.restore(copy, lastsMs > longestFaultMs / 2 ? 'cut' : 'silent');
		await pause(lastsMs / 2);
		store.setFault('none');
		// What the operator and the replicas wrote meanwhile is written again
		configure(bed);
		for (const {id} of replicas) {
			const written = store.lastWritten(`servers/${id}`);
			if (written !== undefined) {
				store.put(`servers/${id}`, written);
			}
		}

		await pause(entryLifeMs);
		for (const key of expireEntries(store, copy)) {
			events.add({event: 'expired', key});
		}
	},
	/** Open connections die in silence, to the store and to replicas, while the configuration changes; new ones work. */
	async silencePaths(bed, lastsMs) {
		const {storeProxy, proxies} = bed;
		const isEvery = lastsMs > longestFaultMs / 2;
		for (const proxy of isEvery ? [storeProxy, ...proxies] : [pick(bed.random, [storeProxy, ...proxies]) ?? storeProxy]) {
			proxy.silenceOpen();
		}

		bed.version += 1;
		configure(bed);
	},
	/** A replica announces a rate limit or asks for backoff in its responses, and stops to. */
	async limitReplica({random, replicas}, lastsMs) {
		const replica = pick(random, replicas);
		if (replica !== undefined) {
			replica.signals = random.next() < 0.5 ? {limitPerS: 1 + (random.next() * mostLimitPerS)} : {backoffS: lastsMs / millisecondsPerSecond};
			await pause(lastsMs);
			replica.signals = {};
		}
	},
	/** A replica announces its drain in responses alone, and starts anew under its name. */
	async drainUnlisted(bed, lastsMs) {
		const index = Math.floor(bed.random.next() * bed.replicas.length);
		const replica = bed.replicas[index];
		if (replica !== undefined) {
			replica.signals = {isLeaving: true};
			await pause(lastsMs);
			replica.signals = {};
			replica.born = Date.now();
			publish(bed, index, 'ready');
		}
	},
	/** Some or all hosts lose their links to the replicas. */
	async cutLinks({random, links}, lastsMs) {
		const how = pick(random, linkCuts) ?? 'silent';
		const cut = links.filter(() => random.next() < cutShare);
		await Promise.all(cut.map(async link => link.cut(how)));
		await pause(2 * lastsMs);
		await Promise.all(cut.map(async link => link.heal()));
	},
	releaseEngines,
	/** A host is killed at the moment at which a caller has its first event from it. */
	async killAtFirstEvent({firstEventListeners}, lastsMs) {
		const host = await new Promise<HostProcess>(resolve => {
			firstEventListeners.push(killed => {
				killed.signal('SIGKILL');
				resolve(killed);
			});
		});
		await host.ended();
		await pause(lastsMs / 4);
		host.start();
	},
	/** Half of the hosts are killed at once. */
	async killHalf(bed, lastsMs) {
		const {random, hosts} = bed;
		await restartHosts(bed, shuffle(random, hosts).slice(0, Math.ceil(hosts.length / 2)), lastsMs / 4);
	},
	/** Replicas answer without framing, and end or reset a part of their streams inside an event. */
	async unframeReplicas({random, replicas}, lastsMs) {
		const unframed = replicas.filter(() => random.next() < 0.5);
		for (const replica of unframed) {
			replica.framing = 'connection';
			if (replica.stage === 'decode') {
				const {length} = writeEvent(1, replica.softwareVersion);
				replica.cuts.push(...Array.from({length: cutsPerReplica}, () => makeCut(random, length)));
			}
		}

		await pause(lastsMs);
		for (const replica of unframed) {
			replica.framing = 'chunks';
			replica.cuts.length = 0;
		}
	},
	/** Replicas reject a share of what they are sent. */
	async rejectRequests({random, replicas}, lastsMs) {
		const share = random.next();
		const rejecting = replicas.filter(() => random.next() < 0.7);
		for (const replica of rejecting) {
			replica.rejectedShare = share;
		}

		await pause(4 * lastsMs);
		for (const replica of rejecting) {
			replica.rejectedShare = 0;
		}
	},
	/** All hosts are killed at once while engines get the next software version. */
	async killAll(bed, lastsMs) {
		const releasing = releaseEngines(bed, lastsMs);
		await pause(lastsMs / 2);
		await restartHosts(bed, bed.hosts, lastsMs / 4);
		await releasing;
	},
	/** Replicas of one stage, or all of them, stand still within a second of a change of the configuration, and go on. */
	async pauseReplicas(bed, lastsMs) {
		const {random, replicas, proxies} = bed;
		changeConfiguration(bed);
		await pause(random.next() * longestLeadMs);
		const stage = pick(random, replicas)?.stage;
		const isEvery = random.next() < 0.5;
		const held = proxies.filter((_, index) => replicas[index]?.stage === stage && (isEvery || random.next() < 0.5));
		for (const proxy of held) {
			proxy.hold();
		}

		await pause(shortestPauseMs + (pauseSpread * lastsMs));
		for (const proxy of held) {
			proxy.release();
		}
	},
	...memoryFaults,
	...startFaults,
	/** Hosts are restarted one after the other while the configuration changes all the time. */
	async restartSeries(bed, lastsMs) {
		const {random, hosts} = bed;
		for (const host of shuffle(random, hosts).slice(0, hostsInSeries)) {
			host.signal(random.next() < 0.5 ? 'SIGKILL' : 'SIGTERM');
			let hasEnded = false;
			const noted = host.ended().then(() => {
				hasEnded = true;
			});
			while (!hasEnded) { // eslint-disable-line no-unmodified-loop-condition -- changed by the end of the process
				changeConfiguration(bed);
				await pause(configurationGapMs);
			}

			await noted;

			host.start();
			changeConfiguration(bed);
			await pause(lastsMs / hostsInSeries);
		}
	},
	/** One to three hosts stop at once, and stand still at a moment of it. */
	async stallStop({random, hosts}) {
		const stopping = shuffle(random, hosts).slice(0, 1 + Math.floor(random.next() * mostStalled));
		await Promise.all(stopping.map(async host => {
			await stopAsPlanned(host, {atMs: random.next() * graceMs, lastsMs: random.next() * longestStallMs});
			host.start();
		}));
	},
};

/** Hosts that stand still in a stop at once, and how long, in milliseconds. */
const mostStalled = 3;
const longestStallMs = 1000;

/** Long runs, and the times of their routes, in milliseconds. */
const longRuns = {share: 0.25, mostMs: 8900};
const longRunTimes = {timeoutMs: 9000, targetLatencyMs: 6000};

const hostsInSeries = 4;
/** Time between two configurations of a series, in milliseconds. */
const configurationGapMs = 150;

/** Faults during which endpoints break responses off. */
const breakingFaults: ReadonlySet<string> = new Set(['crashReplica', 'spoilReplica', 'harmPath', 'resetPaths', 'silencePaths', 'cutLinks', 'releaseEngines', 'unframeReplicas', 'killAll', 'floodResponses']);

/** Time from a configuration to the pause behind it, at most, and shortest pause, in milliseconds; the longest one is 2200. */
const longestLeadMs = 1000;
const shortestPauseMs = 1000;
const pauseSpread = 0.8;

/** Publishes a configuration that differs in one thing from the one before. */
function changeConfiguration(bed: Bed): void {
	const {random, draft} = bed;
	const drafts: ReadonlyArray<() => ConfigurationDraft> = [
		() => ({...draft, routeTimes: pick(random, [{timeoutMs: 2600, targetLatencyMs: 450}, {timeoutMs: 3000, targetLatencyMs: 900}, {timeoutMs: 6000, targetLatencyMs: 900}]) ?? platformTimes}),
		() => ({...draft, limits: {...draft.limits, idleTimeoutMs: pick(random, [4000, 15_000, 30_000]) ?? 0}}),
		() => ({...draft, limits: {...draft.limits, maxHeaderBytes: pick(random, [8192, 65_536]) ?? 0, maxBodyBytes: pick(random, [65_536, 8_388_608]) ?? 0}}),
		() => ({...draft, added: draft.added === undefined ? [{pathPrefix: '/added/', service: 'plain'}] : undefined}),
		() => ({...draft, spareServices: draft.spareServices === undefined ? ['spare'] : undefined}),
	];
	bed.draft = pick(random, drafts)?.() ?? draft;
	bed.version += 1;
	configure(bed);
}

/** Streams of one replica that are cut, one after the other. */
const cutsPerReplica = 20;
const mostCutBytes = 120;
const mostCutAfterMs = 30;

/** A cut inside an event: a close between two of them cannot be told from the end of the stream. */
function makeCut(random: Random, eventBytes: number): ResponseCut {
	const bytes = 1 + Math.floor(random.next() * mostCutBytes);
	return {
		bytes: bytes % eventBytes === 0 ? bytes + 1 : bytes, end: random.next() < 0.5 ? 'end' : 'reset', afterMs: random.next() * mostCutAfterMs,
	};
}

/** Number of kinds of fault before streams were resumed; seeds that were played with these have no such streams. */
const kindsWithoutStreams = 17;
/** Time between two events where streams are resumed, in milliseconds: long enough to be broken. */
const resumedEventGapMs = 15;
/** Number of kinds of fault before all hosts were killed at once. */
const kindsWithoutKillAll = 22;
/** Number of kinds of fault before replicas paused; callers keep their connections since. */
const kindsWithoutPauses = 23;
/** Time between two events where all hosts are killed at once, in milliseconds: long enough that many streams break together. */
const longEventGapMs = 80;
const noStreams: StreamReport = {
	streams: 0, resumed: 0, goneOn: 0, sentAt: [], broken: [], attempts: [],
};

async function injectFault(bed: Bed, fault: string, number: number, lastsMs: number): Promise<void> {
	bed.events.add({
		event: 'faultBegun', fault, number, lastsMs: Math.round(lastsMs),
	});
	const from = performance.now();
	await faults[fault]?.(bed, lastsMs);
	if (breakingFaults.has(fault)) {
		bed.breaks.push({from, to: performance.now()});
	}

	bed.events.add({
		event: 'faultEnded', fault, number, lastsMs: Math.round(lastsMs),
	});
}

async function injectFaults(bed: Bed, endsAt: number, names: readonly string[], gapMs: number): Promise<number> {
	const running: Array<Promise<void>> = [];
	while (performance.now() < endsAt) {
		await pause(jitter(bed.random, gapMs, spread));
		const fault = pick(bed.random, names) ?? '';
		running.push(injectFault(bed, fault, running.length, bed.random.next() * longestFaultMs));
	}

	await Promise.all(running);
	return running.length;
}

/** After the last fault every host serves again. */
async function findUnserved(bed: Bed): Promise<string[]> {
	const unserved: string[] = [];
	for (const host of bed.hosts) {
		const endsAt = performance.now() + (3 * calmMs);
		let isServed = false;
		for (let tries = 0; !isServed && performance.now() < endsAt; tries += 1) {
			host.start();
			const {status, isWhole} = await sendRequest({address: host.caller, id: `calm-${host.name}-${tries}`, path: '/repeatable/1'});
			isServed = status === 200 && isWhole;
			await pause(faultGapMs);
		}

		if (!isServed) {
			unserved.push(`${host.name} does not serve after the last fault`);
		}
	}

	return unserved;
}

export const faultNames = Object.keys(faults);

/** How a seed is played. */
export type SoakPlan = {
	readonly seed: number;
	readonly seconds: number;
	readonly hosts?: number;
	/** How many kinds of fault there are, from the first on; absent: all. */
	readonly kinds?: number | undefined;
	/** Names of the only faults; absent: those of all kinds. */
	readonly only?: readonly string[] | undefined;
	/** Mean time between the begins of two faults, in milliseconds. */
	readonly gapMs?: number | undefined;
	/** Whether hosts manage the load. */
	readonly isLoadManaged?: boolean;
	/** Whether some runs take as long as a planned stop, and callers wait for them. */
	readonly hasLongRuns?: boolean;
	/** The program as the deploy file builds it. */
	readonly program: string;
	/** Memory of a host's machine, in megabytes. */
	readonly memoryMb?: number | undefined;
};

/** Samples the peaks of all hosts until told that it is over. */
async function samplePeaks(hosts: readonly HostProcess[], isOver: () => boolean): Promise<void> {
	do {
		await pause(samplingMs);
		for (const host of hosts) {
			host.samplePeak();
		}
	} while (!isOver());
}

/** Makes some runs take as long as a planned stop, until the returned function is called. */
function beginLongRuns(bed: Bed): () => void {
	const {replicas} = bed;
	const usual = replicas.map(({workMs, eventGapMs}) => ({workMs, eventGapMs}));
	bed.draft = {routeTimes: longRunTimes};
	bed.version += 1;
	configure(bed);
	const stopVarying = varyRuns(bed, longRuns);
	return () => {
		stopVarying();
		for (const [index, replica] of replicas.entries()) {
			Object.assign(replica, usual[index]);
		}
	};
}

/** Plays one seed. */
export async function playSoak({seed, seconds, hosts: hostCount = 3, kinds = faultNames.length, only = faultNames.slice(0, kinds), gapMs = faultGapMs, isLoadManaged, hasLongRuns = false, program, memoryMb = defaultMemoryMb}: SoakPlan): Promise<SoakReport> {
	const resumesStreams = kinds > kindsWithoutStreams;
	const killsAll = kinds > kindsWithoutKillAll;
	const resumedGapMs = killsAll ? longEventGapMs : resumedEventGapMs;
	const bed = await makeBed(seed, hostCount, {eventGapMs: resumesStreams ? resumedGapMs : undefined, isLoadManaged, run: {program, memoryMb, nodeOptions: readNodeOptions(memoryMb)}});
	let isPlayed = false;
	const sampling = samplePeaks(bed.hosts, () => isPlayed);
	try {
		await waitUntilServing(bed);
		const endLongRuns = hasLongRuns ? beginLongRuns(bed) : undefined;
		let isOver = false;
		const sending = sendUntil(bed, () => isOver, kinds > kindsWithoutPauses, hasLongRuns ? longRunTimes.timeoutMs : undefined);
		const streaming = resumesStreams ? playStreams(bed, seed, {isOver: () => isOver, isPatient: killsAll}) : Promise.resolve(noStreams);
		// Durations that the hosts judge later requests by
		await pause(hasLongRuns ? calmMs : 0);
		const faultCount = await injectFaults(bed, performance.now() + (seconds * 1000), only, gapMs);
		isOver = true;
		const sent = await sending;
		const streams = await streaming;
		endLongRuns?.();
		for (const host of bed.hosts) {
			host.start();
		}

		const unserved = await findUnserved(bed);
		const lost = resumesStreams ? await findLostStreams(bed, seed) : [];
		const lostByRestart = killsAll
			? await findLostStreams(bed, seed, async () => {
				await restartHosts(bed, bed.hosts, 0);
				await waitUntilServing(bed);
			})
			: [];
		const runs = countRuns(bed);
		const unanswered = findLostRequests([...sent.map(({attempt}) => attempt), ...streams.attempts], {...bed, arrived: new Set(bed.log.arrivals.map(({request}) => request)), finishedAt: bed.log.finishedAt});
		isPlayed = true;
		await sampling;
		const broken = sent.map(each => judge(each, runs.get(each.id) ?? 0)).filter(text => text !== undefined);
		return {
			seed, requests: sent.length, served: sent.filter(({answer}) => answer.status === 200 && answer.isWhole).length, faults: faultCount, folder: bed.folder, peaksMb: bed.hosts.map(({peakBytes}) => toMegabytes(peakBytes)), exits: countExits(bed.hosts), streams, broken: [...broken, ...streams.broken, ...unanswered, ...findFailedHosts(bed.hosts, memoryMb), ...unserved, ...lost, ...lostByRestart, ...findExcessRepeats(bed, sent, streams.sentAt)],
		};
	} finally {
		isPlayed = true;
		await endBed(bed);
	}
}
