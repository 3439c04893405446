/** Steps of a close. Safety: a fault in one of them does not skip the others, which would leave listeners and connections open. */
import {toFailure} from '@gatehead/schema/failure';
import {type Log} from './log.js';

/** Begins all steps in order at once, resolves when all have ended, and logs their faults. */
export async function runCloseSteps(log: Log, steps: ReadonlyArray<() => unknown>): Promise<void> {
	const outcomes = await Promise.allSettled(steps.map(async step => step()));
	for (const outcome of outcomes) {
		if (outcome.status === 'rejected') {
			log('internal', {detail: toFailure(outcome.reason).message});
		}
	}
}
