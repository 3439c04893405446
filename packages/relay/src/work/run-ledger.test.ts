/** A rejection must take back the runs of its own attempt only, in any order of attempts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {RunLedger} from './run-ledger.js';

/** A step of one of several concurrent attempts. */
type Step = {
	readonly attempt: number;
	readonly kind: 'enter' | 'reject';
	readonly runs: number;
};

const steps: fc.Arbitrary<readonly Step[]> = fc.array(fc.record({
	attempt: fc.nat(5), kind: fc.constantFrom('enter' as const, 'reject' as const), runs: fc.integer({min: 1, max: 4}),
}));

describe('RunLedger', () => {
	it('counts the attempts that were not rejected, in any order of entries and repeated rejections', () => {
		fc.assert(fc.property(steps, sequence => {
			const ledger = new RunLedger();
			const rejections = new Map<number, () => void>();
			const open = new Map<number, number>();
			for (const {attempt, kind, runs} of sequence) {
				if (kind === 'reject') {
					rejections.get(attempt)?.();
					open.delete(attempt);
				} else if (!rejections.has(attempt)) {
					rejections.set(attempt, ledger.enter(runs));
					open.set(attempt, runs);
				}

				const expected = [...open.values()].reduce((sum, each) => sum + each, 0);
				expect({count: ledger.count, mayHaveRun: ledger.mayHaveRun}).toEqual({count: expected, mayHaveRun: expected > 0});
			}
		}), {seed: 1});
	});
});
