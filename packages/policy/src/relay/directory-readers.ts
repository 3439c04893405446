/**
 * Which hosts read the directory themselves; the others hear of its changes
 * from them. Each change ends every reader's watch, and each call counts
 * against what the directory bears, so that the readers must not grow with
 * the fleet. One reader a hall is enough: where it is lost, cut off or frozen,
 * its hall hears from the readers of the other halls, and the next by rank
 * takes over once it is suspected. Against two readers a hall this saves
 * 30 to 40 in 100 of the calls of a fleet of 20 hosts in five halls (`gatehead_directory_reads_total`
 * over a day). Efficiency: what is believed rests on
 * versions and revisions, not on who has read them.
 */
import {rank} from '../core/rendezvous.js';

/** What hosts are ranked for: the first of a hall read, the first of all is among them. */
export const readerMatter = 'directory';
/** Fleet size up to which every host reads the directory itself: its calls are few then, and a host that is cut off from its peers still knows all. */
const smallFleet = 12;
/** Least readers of a larger fleet: two may be lost or cut off together while the third still reads. */
const leastReaders = 3;

/** A host, and where it stands. */
export type PlacedHost = {
	readonly host: string;
	readonly hall: string;
};

/** Whether a host reads the directory, among the hosts alive, itself among them. */
export function isDirectoryReader(self: PlacedHost, alive: readonly PlacedHost[]): boolean {
	if (alive.length <= smallFleet) {
		return true;
	}

	const halls = new Set(alive.map(({hall}) => hall));
	return listFirst(self.hall, alive, halls.size).includes(self.host);
}

/** Whether one of the silent hosts reads the directory: its neighbours read as well until it is heard or replaced, so that readers which are lost together leave no gap. By the default times three readers that are lost in silence are replaced after 3.4 s (suspicion 2.1 s, a tick 0.8 s, a look 0.5 s), their neighbours read after 1.7 s; endpoints that left may get requests for 3 s. */
export function isReaderSilent(silent: ReadonlySet<string>, alive: readonly PlacedHost[]): boolean {
	return silent.size > 0 && alive.some(each => silent.has(each.host) && isDirectoryReader(each, alive));
}

/** The hosts of a hall that come first: as many as make the least number of readers in all halls together. */
function listFirst(hall: string, alive: readonly PlacedHost[], halls: number): string[] {
	const near = alive.filter(each => each.hall === hall).map(({host}) => host);
	return rank(readerMatter, near).slice(0, Math.ceil(leastReaders / halls));
}

/** Hosts that are asked how fresh the configuration is, in the order to ask them: the readers of each hall, the own hall's first. Asking these alone keeps the calls at the directory few, whatever the fleet's size; where one of them is turned away by the directory, the next is asked. */
export function listConfirmers(self: PlacedHost, alive: readonly PlacedHost[]): string[] {
	const halls = [...new Set(alive.map(({hall}) => hall))];
	const others = rank(self.host, halls.filter(hall => hall !== self.hall));
	return [self.hall, ...others].flatMap(hall => listFirst(hall, alive, halls.length));
}
