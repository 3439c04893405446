/** Read-only client interface of the platform's directory: list, watch and position. */
import {type Position} from '@gatehead/schema/position';
import {type Endpoint, type Routing} from '@gatehead/schema/routing';

/** A published item or its removal, at a revision within the epoch of the response. */
export type Change
	= | {readonly kind: 'routing'; readonly revision: number; readonly routing: Routing}
		| {readonly kind: 'endpoint'; readonly revision: number; readonly endpoint: Endpoint}
		| {readonly kind: 'endpointGone'; readonly instance: string; readonly revision: number}
		/** An endpoint entry that cannot be parsed. */
		| {readonly kind: 'endpointUnreadable'; readonly instance: string; readonly revision: number; readonly detail: string}
		/** A configuration that cannot be parsed. */
		| {readonly kind: 'routingUnreadable'; readonly revision: number; readonly detail: string}
		/** An item of an unknown kind. */
		| {readonly kind: 'unreadable'; readonly detail: string};

/** Changes up to a position. */
export type Changes = {
	readonly changes: readonly Change[];
	/** Position of the response; the next watch starts after its revision. */
	readonly position: Position;
};

/** Details of a failed read. */
export type DirectoryErrorOptions = {
	/** Whether the requested revision is no longer available, so that a new list is needed. */
	readonly isGap?: boolean;
	/** Whether the directory itself rejected the request, such as with status 503. */
	readonly isRefused?: boolean;
	/** Epoch named in the rejection. */
	readonly epoch?: number;
	readonly cause?: unknown;
};

/** Thrown when a read of the directory fails. */
export class DirectoryError extends Error {
	readonly isGap: boolean;
	readonly isRefused: boolean;
	readonly epoch: number | undefined;

	constructor(message: string, {isGap = false, isRefused = false, epoch, cause}: DirectoryErrorOptions = {}) {
		super(message, {cause});
		this.isGap = isGap;
		this.isRefused = isRefused;
		this.epoch = epoch;
	}
}

/** Client of the directory. Failed calls reject with a `DirectoryError`. `onProgress` is called when a part of a response has arrived. */
export type Directory = {
	/** Reads all published items. */
	list(signal: AbortSignal, onProgress?: () => void): Promise<Changes>;
	/** Reads the changes after a revision of whichever epoch is current; waits up to `waitMs` milliseconds for a change. */
	watch(after: number, waitMs: number, signal: AbortSignal, onProgress?: () => void): Promise<Changes>;
	/** Reads the current position with a linearizable read. */
	readPosition(signal: AbortSignal): Promise<Position>;
	close(): void;
};
