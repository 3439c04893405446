/** What a stand-in engine is like, and the faults that tests give it. */
import {type Engine} from '@gatehead/schema/bundle';

/** Fixed traits of one engine. */
export type EngineTraits = {
	readonly name: string;
	readonly role: Engine['role'];
	readonly slots: number;
	readonly prefillTokensPerSecond: number;
	readonly linkBytesPerSecond: number;
	readonly resultHoldMs: number;
	readonly kvBytesPerToken: number;
	readonly cacheBlocks: number;
	readonly mostQueued: number;
	/** Time of one decode step with an empty batch, and what each stream in the batch adds. */
	readonly stepMs: number;
	readonly stepMsPerStream: number;
	readonly model: string;
	readonly modelVersion: string;
	readonly adapters: readonly string[];
	readonly checksSender: boolean;
	/** How old a report is when it is given out. */
	readonly reportLagMs: number;
};

/** Faults of one engine; tests change them while it runs. */
export type EngineFaults = {
	/** Part of the link's rate that is left, from 0 to 1. */
	linkShare: number;
	prefillStallMs: number;
	/** Time that each import stalls beyond its bytes' way. */
	transferStallMs: number;
	/** Tokens after which every stream goes silent; Infinity: never. */
	silentAfterTokens: number;
	/** Tokens after which the connection is reset; Infinity: never. */
	resetAfterTokens: number;
	/** Share of cache events that get lost. */
	cacheEventLoss: number;
	/** Streams that are still reset so. */
	resetsLeft: number;
	reportsStopped: boolean;
	/** Tokens that a resumed stream gives once more. */
	repeatedOnResume: number;
	/** Cancels that are answered with an error before one is obeyed. */
	cancelsLost: number;
};

/** An engine without faults. */
export function noFaults(): EngineFaults {
	return {
		linkShare: 1, prefillStallMs: 0, transferStallMs: 0, silentAfterTokens: Number.POSITIVE_INFINITY, resetAfterTokens: Number.POSITIVE_INFINITY, resetsLeft: 0, cacheEventLoss: 0, reportsStopped: false, repeatedOnResume: 0, cancelsLost: 0,
	};
}

/** Traits of an engine that a bundle names, with the stand-in's own speeds. */
export function traitsOf(engine: Engine, kvBytesPerToken: number, modelVersion: string): EngineTraits {
	return {
		name: engine.name,
		role: engine.role,
		slots: engine.slots,
		prefillTokensPerSecond: engine.prefillTokensPerSecond,
		linkBytesPerSecond: engine.linkBytesPerSecond,
		resultHoldMs: engine.resultHoldMs,
		kvBytesPerToken,
		cacheBlocks: 512,
		mostQueued: 64,
		stepMs: 16,
		stepMsPerStream: 1.5,
		model: engine.model,
		modelVersion,
		adapters: engine.adapters,
		checksSender: engine.checksSender,
		reportLagMs: 150,
	};
}
