/** What is told to the endpoint book, and what it says of it. Neither safety nor efficiency rests here. */
import {type Position} from '@gatehead/schema/position';
import {type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';

/** What changed for one endpoint. */
export type BookChange = {
	readonly endpoint: Endpoint;
	/** Where in the directory's history that is written; absent: it does not say so. */
	readonly position?: Position;
	readonly change: 'added' | 'changed' | 'restaged' | 'leaving' | 'vanished' | 'unreadable' | 'gone' | 'outdated';
};

/** All entries of the directory, as one host knows them. */
export type BookList = {
	/** Entries in full: all, or those written lately. */
	readonly listed: readonly ListedEndpoint[];
	/** Ids of all entries. */
	readonly ids: ReadonlySet<string>;
	readonly position: Position;
	/** The list was read while the directory answered, by another host. */
	readonly isWitnessed?: boolean;
	/** Entries among them that have vanished, and that its teller keeps for a grace. */
	readonly kept?: readonly KeptEntry[];
};

/** An entry that has vanished and is kept for a while. */
export type KeptEntry = {
	readonly id: string;
	readonly leftMs: number;
};
