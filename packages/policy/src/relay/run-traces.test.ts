/** A trace proves a version only if it is long enough and no trace of another version is. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	findTracedOrigin, RunTraces, type RunTrace, type TraceQuery,
} from './run-traces.js';

const service = 'model';

function trace(key: string, softwareVersion: string, size: number, expiresAt = 100): RunTrace {
	return {
		key, service, softwareVersion, size, expiresAt,
	};
}

type FindCase = {
	readonly name: string;
	readonly queries: readonly TraceQuery[];
	readonly traces: readonly RunTrace[];
	/** A version, `ambiguous`, or undefined if nothing is proved. */
	readonly found: string | undefined;
};

const run: TraceQuery = {key: 'run', leastSize: 10, isExact: true};
const part: TraceQuery = {key: 'part', leastSize: 200, isExact: false};

const findCases: readonly FindCase[] = [
	{
		name: 'no trace', queries: [run, part], traces: [], found: undefined,
	},
	{
		name: 'no query', queries: [], traces: [trace('run', 'v1', 10)], found: undefined,
	},
	{
		name: 'as many events as the caller has', queries: [run], traces: [trace('run', 'v1', 10)], found: 'v1',
	},
	{
		name: 'more events than the caller has', queries: [run], traces: [trace('run', 'v1', 11)], found: 'v1',
	},
	{
		name: 'fewer events than the caller has', queries: [run], traces: [trace('run', 'v1', 9)], found: undefined,
	},
	{
		name: 'a trace of another key', queries: [run], traces: [trace('other', 'v1', 1000)], found: undefined,
	},
	{
		name: 'a size of another query', queries: [run, part], traces: [trace('part', 'v1', 199)], found: undefined,
	},
	{
		name: 'a part only', queries: [run, part], traces: [trace('part', 'v1', 200)], found: 'v1',
	},
	{
		name: 'a run and a part of one version', queries: [run, part], traces: [trace('run', 'v1', 12), trace('part', 'v1', 230)], found: 'v1',
	},
	{
		name: 'two engines of one version', queries: [run], traces: [trace('run', 'v1', 12), trace('run', 'v1', 15)], found: 'v1',
	},
	{
		name: 'runs at two versions', queries: [run], traces: [trace('run', 'v1', 12), trace('run', 'v2', 15)], found: 'ambiguous',
	},
	{
		name: 'a run and a part of two versions', queries: [run, part], traces: [trace('run', 'v1', 12), trace('part', 'v2', 200)], found: 'ambiguous',
	},
	{
		name: 'three versions, the first two alike', queries: [run, part], traces: [trace('run', 'v1', 12), trace('part', 'v1', 300), trace('part', 'v2', 200)], found: 'ambiguous',
	},
	{
		name: 'another version with fewer events', queries: [run], traces: [trace('run', 'v2', 9), trace('run', 'v1', 12)], found: 'v1',
	},
	{
		name: 'two services of one version', queries: [run], traces: [trace('run', 'v1', 12), {...trace('run', 'v1', 12), service: 'other'}], found: 'ambiguous',
	},
	{
		name: 'engines without a version', queries: [run], traces: [trace('run', '', 12)], found: '',
	},
];

type Step = (traces: RunTraces) => boolean | void;

type StoreCase = {
	readonly name: string;
	readonly maxKeys: number;
	readonly steps: readonly Step[];
	/** Results of the steps that add a trace. */
	readonly stored: readonly boolean[];
	readonly now: number;
	readonly key: string;
	readonly found: readonly RunTrace[];
	readonly size: number;
};

const add = (...added: Parameters<typeof trace>): Step => traces => traces.add(trace(...added));
const sweep = (now: number): Step => traces => {
	traces.sweep(now);
};

const storeCases: readonly StoreCase[] = [
	{
		name: 'an unknown key', maxKeys: 2,
		steps: [],
		stored: [], now: 0, key: 'a', found: [], size: 0,
	},
	{
		name: 'a trace until it expires', maxKeys: 2,
		steps: [add('a', 'v1', 3)],
		stored: [true], now: 99, key: 'a', found: [trace('a', 'v1', 3)], size: 1,
	},
	{
		name: 'a trace that has expired', maxKeys: 2,
		steps: [add('a', 'v1', 3)],
		stored: [true], now: 100, key: 'a', found: [], size: 1,
	},
	{
		name: 'a larger size of the same version', maxKeys: 2,
		steps: [add('a', 'v1', 3), add('a', 'v1', 5)],
		stored: [true, true], now: 0, key: 'a', found: [trace('a', 'v1', 5)], size: 1,
	},
	{
		name: 'a smaller size of the same version', maxKeys: 2,
		steps: [add('a', 'v1', 5), add('a', 'v1', 3)],
		stored: [true, true], now: 0, key: 'a', found: [trace('a', 'v1', 5)], size: 1,
	},
	{
		name: 'a later expiry', maxKeys: 2,
		steps: [add('a', 'v1', 3, 100), add('a', 'v1', 3, 150)],
		stored: [true, true], now: 120, key: 'a', found: [trace('a', 'v1', 3, 150)], size: 1,
	},
	{
		name: 'an earlier expiry', maxKeys: 2,
		steps: [add('a', 'v1', 3, 150), add('a', 'v1', 3, 100)],
		stored: [true, true], now: 120, key: 'a', found: [trace('a', 'v1', 3, 150)], size: 1,
	},
	{
		name: 'two versions', maxKeys: 2,
		steps: [add('a', 'v1', 3), add('a', 'v2', 5)],
		stored: [true, true], now: 0, key: 'a', found: [trace('a', 'v1', 3), trace('a', 'v2', 5)], size: 1,
	},
	{
		name: 'one of two versions has expired', maxKeys: 2,
		steps: [add('a', 'v1', 3, 50), add('a', 'v2', 5, 100), sweep(60)],
		stored: [true, true], now: 60, key: 'a', found: [trace('a', 'v2', 5, 100)], size: 1,
	},
	{
		name: 'all that has expired is removed', maxKeys: 2,
		steps: [add('a', 'v1', 3, 50), add('b', 'v1', 3, 60), sweep(60)],
		stored: [true, true], now: 60, key: 'a', found: [], size: 0,
	},
	{
		name: 'a key beyond the bound', maxKeys: 2,
		steps: [add('a', 'v1', 3), add('b', 'v1', 3), add('c', 'v1', 3)],
		stored: [true, true, false], now: 0, key: 'c', found: [], size: 2,
	},
	{
		name: 'a contradiction at the bound', maxKeys: 2,
		steps: [add('a', 'v1', 3), add('b', 'v1', 3), add('a', 'v2', 4)],
		stored: [true, true, true], now: 0, key: 'a', found: [trace('a', 'v1', 3), trace('a', 'v2', 4)], size: 2,
	},
	{
		name: 'a key after others have expired', maxKeys: 2,
		steps: [add('a', 'v1', 3, 50), add('b', 'v1', 3), sweep(50), add('c', 'v1', 3)],
		stored: [true, true, true], now: 50, key: 'c', found: [trace('c', 'v1', 3)], size: 2,
	},
];

describe('traces of runs', () => {
	for (const {name, queries, traces, found} of findCases) {
		it(`proof: ${name}`, () => {
			for (const each of [traces, traces.toReversed()]) {
				const origin = findTracedOrigin(queries, each, []);
				expect(typeof origin === 'object' ? origin.softwareVersion : origin).toEqual(found);
			}
		});
	}

	for (const {name, maxKeys, steps, stored, now, key, found, size} of storeCases) {
		it(`store: ${name}`, () => {
			const traces = new RunTraces(maxKeys);
			const results = steps.map(step => step(traces)).filter(result => result !== undefined);
			expect(results).toEqual([...stored]);
			expect(traces.get(key, now)).toEqual([...found]);
			expect(traces.size).toEqual(size);
		});
	}
});
