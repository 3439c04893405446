/** Guards against a request that starts twice under one key, and against lost entries of requests that still run. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Ledger} from './ledger.js';

type Step = {
	readonly at: number;
	readonly id: string;
	readonly body: string;
	readonly lapsesAt: number;
	/** Marks the work as ended after the call. */
	readonly ends?: boolean;
	readonly expected: string;
};

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
	{
		name: 'a second call with the same key returns the first entry', steps: [
			{
				at: 0, id: 'a', body: 'x', lapsesAt: 100, expected: 'first',
			},
			{
				at: 1, id: 'a', body: 'x', lapsesAt: 100, expected: 'repeat',
			},
		],
	},
	{
		name: 'a key reused for a different body is rejected', steps: [
			{
				at: 0, id: 'a', body: 'x', lapsesAt: 100, expected: 'first',
			},
			{
				at: 1, id: 'a', body: 'y', lapsesAt: 100, expected: 'otherBody',
			},
		],
	},
	{
		name: 'a call with an expired ticket does not start', steps: [
			{
				at: 100, id: 'a', body: 'x', lapsesAt: 100, expected: 'lapsed',
			},
		],
	},
	{
		name: 'a request whose entry was removed cannot start again', steps: [
			{
				at: 0, id: 'a', body: 'x', lapsesAt: 100, ends: true, expected: 'first',
			},
			{
				at: 150, id: 'b', body: 'x', lapsesAt: 200, expected: 'first',
			},
			{
				at: 150, id: 'c', body: 'x', lapsesAt: 200, expected: 'first',
			},
			{
				at: 151, id: 'a', body: 'x', lapsesAt: 100, expected: 'lapsed',
			},
		],
	},
	{
		name: 'the entry of running work is kept after its ticket expired', steps: [
			{
				at: 0, id: 'a', body: 'x', lapsesAt: 100, expected: 'first',
			},
			{
				at: 150, id: 'b', body: 'x', lapsesAt: 200, expected: 'first',
			},
			{
				at: 150, id: 'c', body: 'x', lapsesAt: 200, expected: 'full',
			},
			{
				at: 151, id: 'a', body: 'x', lapsesAt: 100, expected: 'repeat',
			},
		],
	},
];

describe('ledger', () => {
	for (const {name, steps} of cases) {
		it(name, () => {
			const ledger = new Ledger<string>(2);
			for (const {at, id, body, lapsesAt, ends, expected} of steps) {
				const verdict = ledger.enter({
					id, bodyDigest: body, lapsesAt, createJob: () => id,
				}, at);
				expect(verdict.kind).toEqual(expected as typeof verdict.kind); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table holds plain text
				if (ends) {
					ledger.end(id);
				}
			}
		});
	}
});
