/**
 * A model request as it is carried out, and the books of one run of it.
 * Safety: `hasLeft` decides whether a refusal may say "not run".
 */
import {type Caller, type Model, type Target} from '@gatehead/schema/bundle';

/** A checked request. */
export type Work = {
	readonly id: string;
	readonly caller: Caller;
	readonly model: Model;
	readonly adapter: string | undefined;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly blocks: readonly string[];
	readonly maxTokens: number;
	readonly target: Target;
	/** Own clock's instant of arrival. */
	readonly arrivedAt: number;
};

/** What happened so far: attempts started, first and last token's instants. */
export type Run = {
	attempts: number;
	/** True once an order for this request was put on a socket. */
	hasLeft: boolean;
	firstTokenAt: number | undefined;
	lastTokenAt: number | undefined;
};

/** Whether a whole answer met both latency targets. */
export function isGoodput({target, arrivedAt}: Work, {firstTokenAt, lastTokenAt}: Run, tokens: number): boolean {
	if (firstTokenAt === undefined || lastTokenAt === undefined || firstTokenAt - arrivedAt > target.ttftMs) {
		return false;
	}

	return tokens < 2 || (lastTokenAt - firstTokenAt) / (tokens - 1) <= target.tokenMs;
}
