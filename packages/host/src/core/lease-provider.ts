/**
 * Interface between the execution of requests and the scheduler that grants leases.
 * Leases are advisory: one that is lost or granted twice costs goodput only, as engines refuse work that does not fit.
 */
import {type LeaseRequest} from '@gatehead/schema/peer-message';
import {type ModelRequest} from './model-request.js';

/** Identity of a lease: one per attempt of a request. */
export type LeaseId = {
	readonly request: string;
	readonly attempt: number;
};

/** How an attempt ended, for the scheduler's accounting. */
export type LeaseOutcome = {
	/** Tokens generated in this attempt. */
	readonly tokens: number;
	/** Whether the response is complete. */
	readonly goodput: boolean;
};

/** Grants leases on prefill and decode slots. */
export type LeaseProvider = {
	/** Waits for a prefill slot and resolves with the engine's name; throws `Failure` if the lease is refused. */
	acquirePrefill(model: string, request: LeaseRequest, signal: AbortSignal): Promise<string>;
	/** Reports that the prefill has ended, waits for a decode slot and resolves with the engine's name. The prefill result is held for `holdMs` milliseconds. */
	acquireDecode(lease: LeaseId, cachedTokens: number, holdMs: number, signal: AbortSignal): Promise<string>;
	/** Claims the decode slot of a stream whose owner has failed. */
	takeOver(modelRequest: ModelRequest, lease: LeaseId, engine: string): void;
	/** Reports that the KV cache is imported and decoding has started. */
	reportStarted(lease: LeaseId): void;
	/** Reports that an engine refused the work or failed; `lost` if the engine seems unreachable. */
	reportFailure(lease: LeaseId, engine: string, lost: boolean): void;
	/** Releases the lease's slots. */
	release(lease: LeaseId, outcome: LeaseOutcome): void;
};
