/**
 * Where a request gets its leases from: the one interface between carrying out a request and deciding on it.
 * Efficiency: a lease that is lost or given twice costs goodput; the engines refuse what does not fit.
 */
import {type LeaseAsk} from '@gatehead/schema/peer-message';
import {type Work} from './work.js';

/** A lease's name. */
export type LeaseName = {
	readonly request: string;
	readonly attempt: number;
};

/** How a decode ended, for the books of the decisions. */
export type LeaseEnd = {
	/** Tokens generated in this attempt. */
	readonly tokens: number;
	readonly goodput: boolean;
};

/** Gives leases on prefill places and decode slots. */
export type LeaseDesk = {
	/** Waits for a prefill place; raises a numbered refusal. Returns the engine's name. */
	askPrefill(model: string, ask: LeaseAsk, signal: AbortSignal): Promise<string>;
	/** Says that the result is made and waits for a decode slot. Returns the engine's name. */
	askDecode(lease: LeaseName, cachedTokens: number, holdMs: number, signal: AbortSignal): Promise<string>;
	/** Claims the decode slot of a stream whose owner is gone. */
	takeOver(work: Work, lease: LeaseName, engine: string): void;
	/** Says that the import is whole and tokens come. */
	started(lease: LeaseName): void;
	/** Says that an engine did not take the work; `lost` where the engine seems to be gone. */
	bounced(lease: LeaseName, engine: string, lost: boolean): void;
	/** Gives back all that the lease holds. */
	release(lease: LeaseName, end: LeaseEnd): void;
};
