/**
 * Reading what the platform publishes: lists and watches, already translated.
 * Whoever implements this only reads; what to believe is decided elsewhere.
 * Neither safety nor efficiency rests here.
 */
import {type ListedEndpoint, type Routing} from '@gatehead/schema/routing';

/** One published item or its end. */
export type Change
	= | {readonly kind: 'routing'; readonly revision: number; readonly routing: Routing}
		| ({readonly kind: 'endpoint'} & ListedEndpoint)
		| {readonly kind: 'endpointGone'; readonly instance: string; readonly revision: number}
		/** An endpoint's entry that cannot be read. */
		| {readonly kind: 'endpointUnreadable'; readonly instance: string; readonly revision: number; readonly detail: string}
		/** The configuration, where it cannot be read. */
		| {readonly kind: 'routingUnreadable'; readonly detail: string}
		/** An item of no known kind. */
		| {readonly kind: 'unreadable'; readonly detail: string};

/** Changes up to a revision. */
export type Changes = {
	readonly changes: readonly Change[];
	/** The directory's revision: a watch continues from here. */
	readonly revision: number;
	/** How often the directory has come back from a copy, as it counts; undefined: it does not say. */
	readonly epoch?: number | undefined;
};

/** Why a read failed: it could not be had, or the history that it asked for is gone. */
export class DirectoryError extends Error {
	readonly isGap: boolean;

	constructor(message: string, {isGap = false, cause}: {readonly isGap?: boolean; readonly cause?: unknown} = {}) {
		super(message, {cause});
		this.isGap = isGap;
	}
}

/** The published directory. All calls raise a `DirectoryError`. */
export type Directory = {
	/** All that is published now. */
	list(signal: AbortSignal): Promise<Changes>;
	/** What has changed since a revision; waits up to `waitMs` for something. */
	watch(after: number, waitMs: number, signal: AbortSignal): Promise<Changes>;
	/** The directory's revision now, by a read that is never answered from an older state. */
	readRevision(signal: AbortSignal): Promise<number>;
	close(): void;
};
