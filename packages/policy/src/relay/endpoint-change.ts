/** Input of the endpoint book, and the changes that result. */
import {type Position} from '@gatehead/schema/position';
import {type Endpoint, type ListedEndpoint} from '@gatehead/schema/routing';

/** A change of one endpoint. */
export type EndpointChange = {
	readonly endpoint: Endpoint;
	/** Position of the entry that caused the change; absent if the change follows from no entry of the endpoint. */
	readonly position?: Position;
	readonly change: 'added' | 'changed' | 'restaged' | 'leaving' | 'vanished' | 'unreadable' | 'gone' | 'outdated';
};

/** Entries of the directory as of a position. */
export type EndpointList = {
	/** Entries in full: all, or those written recently. */
	readonly listed: readonly ListedEndpoint[];
	/** Ids of all entries. */
	readonly ids: ReadonlySet<string>;
	readonly position: Position;
	/** Another host read the list while the directory was available. */
	readonly isWitnessed?: boolean;
	/** Listed entries that have vanished from the directory, and that the sender keeps for a grace period. */
	readonly kept?: readonly KeptEntry[];
};

/** An entry that has vanished and is kept for `leftMs` more, in milliseconds. */
export type KeptEntry = {
	readonly id: string;
	readonly leftMs: number;
};
