/**
 * Reading what the platform publishes: lists and watches, already translated.
 * Whoever implements this only reads; what to believe is decided elsewhere.
 * Neither safety nor efficiency rests here.
 */
import {type Position} from '@gatehead/schema/position';
import {type Endpoint, type Routing} from '@gatehead/schema/routing';

/** One published item or its end, at a revision of the history that its answer belongs to. */
export type Change
	= | {readonly kind: 'routing'; readonly revision: number; readonly routing: Routing}
		| {readonly kind: 'endpoint'; readonly revision: number; readonly endpoint: Endpoint}
		| {readonly kind: 'endpointGone'; readonly instance: string; readonly revision: number}
		/** An endpoint's entry that cannot be read. */
		| {readonly kind: 'endpointUnreadable'; readonly instance: string; readonly revision: number; readonly detail: string}
		/** The configuration, where it cannot be read. */
		| {readonly kind: 'routingUnreadable'; readonly detail: string}
		/** An item of no known kind. */
		| {readonly kind: 'unreadable'; readonly detail: string};

/** Changes up to a position. */
export type Changes = {
	readonly changes: readonly Change[];
	/** Where the directory's history stands: a watch continues from here. */
	readonly position: Position;
};

/** What a failed read says all the same. */
export type DirectoryFault = {
	/** The history that it asked for is gone. */
	readonly isGap?: boolean;
	/** The directory itself said that it does not answer. */
	readonly isRefused?: boolean;
	/** The epoch that the refusal names. */
	readonly epoch?: number;
	readonly cause?: unknown;
};

/** Why a read failed: it could not be had, or the history that it asked for is gone. */
export class DirectoryError extends Error {
	readonly isGap: boolean;
	readonly isRefused: boolean;
	readonly epoch: number | undefined;

	constructor(message: string, {isGap = false, isRefused = false, epoch, cause}: DirectoryFault = {}) {
		super(message, {cause});
		this.isGap = isGap;
		this.isRefused = isRefused;
		this.epoch = epoch;
	}
}

/** The published directory. All calls raise a `DirectoryError`. */
export type Directory = {
	/** All that is published now. */
	list(signal: AbortSignal): Promise<Changes>;
	/** What has changed since a revision, whichever history now has it; waits up to `waitMs` for something. */
	watch(after: number, waitMs: number, signal: AbortSignal): Promise<Changes>;
	/** Where the directory's history stands now, by a read that is never answered from an older state. */
	readPosition(signal: AbortSignal): Promise<Position>;
	close(): void;
};
