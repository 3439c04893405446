/**
 * Selects the hosts that read the directory; the others receive its changes
 * from these readers. Every change completes the watch of every reader, so the
 * number of readers must not grow with the fleet. One per hall is enough: if it
 * fails, its hall receives changes from the readers of other halls, and the next
 * host by rank takes over once the failure is suspected. A reader that is alive
 * but cannot read the directory says so, and further hosts then start to read,
 * in growing groups, until one of them succeeds.
 */
import {rank} from '../core/rendezvous.js';

/** Key of the rendezvous ranking. The first hosts of each hall read, so the first of the fleet is among them. */
export const readerRankKey = 'directory';
/** Fleet size up to which every host reads the directory, which then bears the calls; a host that is cut off from its peers stays up to date. */
const smallFleet = 12;
/** Smallest number of readers in a larger fleet: two may fail together. */
const minReaders = 3;

/** Time for the other readers to announce that they can read the directory, in milliseconds: one read and one broadcast. */
const failoverGraceMs = 150;
/** Time between two groups of hosts that start to read, in milliseconds: one response and its announcement. */
const failoverStepMs = 80;

/** A host and its hall. */
export type FleetHost = {
	readonly host: string;
	readonly hall: string;
	/** What it announced: `away`: it cannot read the directory; `answers`: it could after another reader could not. */
	readonly directory?: 'away' | 'answers' | undefined;
};

/** Whether the live hosts can read the directory, as they announced it. */
export type ReadingSummary = {
	/** A host announced that it cannot read the directory; other readers may have failed as well. */
	readonly hasFailedReader: boolean;
	/** Hosts that could read the directory since, in rank order. */
	readonly answering: readonly string[];
};

/** Whether the fleet is so small that every host reads the directory. */
export function isSmallFleet(alive: readonly FleetHost[]): boolean {
	return alive.length <= smallFleet;
}

/** Whether a host reads the directory. `alive` includes the host itself. */
export function isDirectoryReader(self: FleetHost, alive: readonly FleetHost[]): boolean {
	if (isSmallFleet(alive)) {
		return true;
	}

	const halls = new Set(alive.map(({hall}) => hall));
	return listFirst(self.hall, alive, halls.size).includes(self.host);
}

/** Whether one of the hosts with overdue heartbeats is a directory watcher. Its neighbours then watch as well until its heartbeats resume or it is replaced. By default a replacement takes 3.4 s (suspicion 2.1 s, heartbeat 0.8 s, check 0.5 s), longer than the 3 s in which endpoints that left may get requests; the neighbours watch after 1.7 s. */
export function isReaderSilent(silent: ReadonlySet<string>, alive: readonly FleetHost[]): boolean {
	return silent.size > 0 && alive.some(each => silent.has(each.host) && isDirectoryReader(each, alive));
}

/** Summarizes what the live hosts announced; empty in a small fleet, where every host reads for itself. */
export function summarizeReading(alive: readonly FleetHost[]): ReadingSummary {
	const readers = isSmallFleet(alive) ? [] : alive;
	return {
		hasFailedReader: readers.some(({directory}) => directory === 'away'),
		answering: rank(readerRankKey, readers.filter(({directory}) => directory === 'answers').map(({host}) => host)),
	};
}

/** Whether a host may stop reading, since enough hosts of a higher rank can read the directory. */
export function isRedundantReader(host: string, {answering}: ReadingSummary): boolean {
	return answering.indexOf(host) >= minReaders;
}

/** Delay after which a host starts to read while the readers cannot, in milliseconds. The first hosts by rank start first, and each step doubles their number, so that a small part of a large fleet that can read is found within a few steps. An unavailable directory costs one call per host. */
export function failoverDelayMs(self: FleetHost, alive: readonly FleetHost[]): number {
	const capable = alive.filter(({directory}) => directory !== 'away').map(({host}) => host);
	const position = rank(readerRankKey, capable).indexOf(self.host);
	return failoverGraceMs + (failoverStepMs * Math.max(0, Math.ceil(Math.log2((position + 1) / minReaders))));
}

/** The first hosts of a hall by rank, so many that all halls together have `minReaders`. */
function listFirst(hall: string, alive: readonly FleetHost[], halls: number): string[] {
	const local = alive.filter(each => each.hall === hall).map(({host}) => host);
	return rank(readerRankKey, local).slice(0, Math.ceil(minReaders / halls));
}

/** Hosts to query for the freshness of the configuration, in order: the readers of each hall, starting with the own hall; while readers cannot read the directory, the hosts that can. Querying only these bounds the calls to the directory at any fleet size. */
export function listConfirmers(self: FleetHost, alive: readonly FleetHost[]): string[] {
	const answering = alive.filter(({directory}) => directory === 'answers').map(({host}) => host);
	if (answering.length > 0) {
		return rank(self.host, answering).slice(0, minReaders);
	}

	const capable = alive.filter(({directory}) => directory !== 'away');
	const halls = [...new Set(capable.map(({hall}) => hall))];
	const others = rank(self.host, halls.filter(hall => hall !== self.hall));
	return [self.hall, ...others].flatMap(hall => listFirst(hall, capable, halls.length));
}
