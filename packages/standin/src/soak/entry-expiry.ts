/** Entries of replicas that have ended expire in the platform's store; a copy brings them back, and nobody writes them again. */
import {type StandinStore, type StoreCopy} from '../wire/store-server.js';

/** Time without a write after which an entry goes, in milliseconds: three heartbeats of the platform. */
export const entryLifeMs = 3600;
const entryPrefix = 'servers/';

/** Removes the entries of a copy whose replicas have removed them since it was made; returns their keys. */
export function expireEntries(store: Pick<StandinStore, 'copy' | 'remove' | 'lastWritten'>, copy: StoreCopy): string[] {
	const {items} = store.copy();
	const expired = [...copy.items.keys()].filter(key => key.startsWith(entryPrefix) && items.has(key) && store.lastWritten(key) === undefined);
	for (const key of expired) {
		store.remove(key);
	}

	return expired;
}
