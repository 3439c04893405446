/**
 * A model request and the state of its execution.
 * Safety: `mayHaveBeenSent` decides whether a failure may report "not run".
 */
import {type Caller, type Model, type Target} from '@gatehead/schema/bundle';

/** A validated model request. */
export type ModelRequest = {
	readonly id: string;
	readonly caller: Caller;
	readonly model: Model;
	readonly adapter: string | undefined;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly blocks: readonly string[];
	readonly maxTokens: number;
	readonly target: Target;
	/** Arrival time on the context's clock, in milliseconds. */
	readonly arrivedAt: number;
};

/** State of an execution; times are on the context's clock, in milliseconds. */
export type ExecutionState = {
	attempts: number;
	/** True from just before the first call to an engine for this request. */
	mayHaveBeenSent: boolean;
	firstTokenAt: number | undefined;
	lastTokenAt: number | undefined;
};

/** Whether a complete response met the targets for time to first token and time per output token. */
export function isGoodput({target, arrivedAt}: ModelRequest, {firstTokenAt, lastTokenAt}: ExecutionState, tokens: number): boolean {
	if (firstTokenAt === undefined || lastTokenAt === undefined || firstTokenAt - arrivedAt > target.ttftMs) {
		return false;
	}

	return tokens < 2 || (lastTokenAt - firstTokenAt) / (tokens - 1) <= target.tokenMs;
}
