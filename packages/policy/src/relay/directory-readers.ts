/**
 * Which hosts read the directory themselves; the others hear of its changes
 * from them. Each change ends every reader's watch, and each call counts
 * against what the directory bears, so that the readers must not grow with
 * the fleet. One reader a hall is enough: where it is lost, cut off or frozen,
 * its hall hears from the readers of the other halls, and the next by rank
 * takes over once it is suspected. A reader that lives and is turned away says
 * so; until one is answered, more and more hosts read themselves. Efficiency:
 * what is believed rests on versions and revisions, not on who has read them.
 */
import {rank} from '../core/rendezvous.js';

/** What hosts are ranked for: the first of a hall read, the first of all is among them. */
export const readerMatter = 'directory';
/** Fleet size up to which every host reads the directory itself: its calls are few then, and a host that is cut off from its peers still knows all. */
const smallFleet = 12;
/** Least readers of a larger fleet: two may be lost or cut off together while the third still reads. */
const leastReaders = 3;

/** Time that the other readers get to say that the directory answers them, in milliseconds: a look, and the way to all hosts. */
const standInGraceMs = 150;
/** Time between two groups of hosts that begin to read, in milliseconds: an answer, and the way of the word that it came. */
const standInStepMs = 80;

/** A host, and where it stands. */
export type PlacedHost = {
	readonly host: string;
	readonly hall: string;
	/** What it says of the directory. */
	readonly directory?: 'away' | 'answers' | undefined;
};

/** What the hosts alive say of reading the directory. */
export type ReadingView = {
	/** A host that reads for others says that it is turned away: all that read may be. */
	readonly isDoubted: boolean;
	/** Hosts that were answered since, first by rank. */
	readonly answering: readonly string[];
};

/** Whether every host reads for itself, so that none does for others. */
export function isSmallFleet(alive: readonly PlacedHost[]): boolean {
	return alive.length <= smallFleet;
}

/** Whether a host reads the directory, among the hosts alive, itself among them. */
export function isDirectoryReader(self: PlacedHost, alive: readonly PlacedHost[]): boolean {
	if (isSmallFleet(alive)) {
		return true;
	}

	const halls = new Set(alive.map(({hall}) => hall));
	return listFirst(self.hall, alive, halls.size).includes(self.host);
}

/** Whether one of the silent hosts reads the directory: its neighbours read as well until it is heard or replaced, so that readers which are lost together leave no gap. By the default times three readers that are lost in silence are replaced after 3.4 s (suspicion 2.1 s, a tick 0.8 s, a look 0.5 s), their neighbours read after 1.7 s; endpoints that left may get requests for 3 s. */
export function isReaderSilent(silent: ReadonlySet<string>, alive: readonly PlacedHost[]): boolean {
	return silent.size > 0 && alive.some(each => silent.has(each.host) && isDirectoryReader(each, alive));
}

/** What the hosts alive say of reading. */
export function viewReading(alive: readonly PlacedHost[]): ReadingView {
	const readers = isSmallFleet(alive) ? [] : alive;
	return {
		isDoubted: readers.some(({directory}) => directory === 'away'),
		answering: rank(readerMatter, readers.filter(({directory}) => directory === 'answers').map(({host}) => host)),
	};
}

/** Whether a host that was answered need not go on: enough others of a higher rank were. */
export function isSpareReader(host: string, {answering}: ReadingView): boolean {
	return answering.indexOf(host) >= leastReaders;
}

/** Time after which a host reads itself, where those that should are turned away and nobody says that the directory answers, in milliseconds: the first few soon, then twice as many with each step. Whichever tenth of a fleet can read is found within seven steps, and a directory that is away costs one call of each host. */
export function standInAfterMs(self: PlacedHost, alive: readonly PlacedHost[]): number {
	const able = alive.filter(({directory}) => directory !== 'away').map(({host}) => host);
	const place = rank(readerMatter, able).indexOf(self.host);
	return standInGraceMs + (standInStepMs * Math.max(0, Math.ceil(Math.log2((place + 1) / leastReaders))));
}

/** The hosts of a hall that come first: as many as make the least number of readers in all halls together. */
function listFirst(hall: string, alive: readonly PlacedHost[], halls: number): string[] {
	const near = alive.filter(each => each.hall === hall).map(({host}) => host);
	return rank(readerMatter, near).slice(0, Math.ceil(leastReaders / halls));
}

/** Hosts that are asked how fresh the configuration is, in the order to ask them: the readers of each hall, the own hall's first. Asking these alone keeps the calls at the directory few, whatever the fleet's size; where one of them is turned away by the directory, the next is asked. */
export function listConfirmers(self: PlacedHost, alive: readonly PlacedHost[]): string[] {
	const answering = alive.filter(({directory}) => directory === 'answers').map(({host}) => host);
	if (answering.length > 0) {
		return rank(self.host, answering).slice(0, leastReaders);
	}

	const able = alive.filter(({directory}) => directory !== 'away');
	const halls = [...new Set(able.map(({hall}) => hall))];
	const others = rank(self.host, halls.filter(hall => hall !== self.hall));
	return [self.hall, ...others].flatMap(hall => listFirst(hall, able, halls.length));
}
