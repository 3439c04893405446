/** Guards against requests that a stopping host begins and then cuts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {StopWindow} from './stop-window.js';

const closesAt = 7500;
/** Repetitions that make any duration a sample. */
const sampleSize = 16;

type Case = {
	readonly name: string;
	readonly now: number;
	/** Durations, repeated until there are enough for a sample unless `isSmallSample`. */
	readonly durations: readonly number[];
	readonly isSmallSample?: boolean;
	readonly timeoutMs: number;
	readonly isStopping?: boolean;
	readonly mayBegin: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a host that is not stopping begins everything', now: 0, durations: [], timeoutMs: 14_000, isStopping: false, mayBegin: true,
	},
	{
		name: 'a short request begins while there is time', now: 3000, durations: [100, 120, 100, 100], timeoutMs: 14_000, mayBegin: true,
	},
	{
		name: 'a request whose deadline comes first begins', now: 6000, durations: [], timeoutMs: 1500, mayBegin: true,
	},
	{
		name: 'a stream that may outlast the host does not begin', now: 3500, durations: [3700, 3900, 3600, 3700], timeoutMs: 14_000, mayBegin: false,
	},
	{
		name: 'a stream that would outlast the host if its endpoint paused does not begin', now: 3100, durations: [1900, 2100, 2000, 2000], timeoutMs: 14_000, mayBegin: false,
	},
	{
		name: 'a stream that ends in time even if its endpoint pauses begins', now: 2900, durations: [1900, 2100, 2000, 2000], timeoutMs: 14_000, mayBegin: true,
	},
	{
		name: 'a short request that would outlast the host if its endpoint paused does not begin', now: 4950, durations: [100, 120, 100, 100], timeoutMs: 14_000, mayBegin: false,
	},
	{
		name: 'the same stream begins earlier', now: 1000, durations: [3700, 3900, 3600, 3700], timeoutMs: 14_000, mayBegin: true,
	},
	{
		name: 'the longest of the last requests counts', now: 2000, durations: [6000, 100, 100, 100], timeoutMs: 14_000, mayBegin: false,
	},
	{
		name: 'a request that took long some time ago does not', now: 2000, durations: [6000, ...Array.from({length: 32}, () => 100)], isSmallSample: true, timeoutMs: 14_000, mayBegin: true,
	},
	{
		name: 'too few requests are no sample', now: 100, durations: Array.from({length: 15}, () => 100), isSmallSample: true, timeoutMs: 14_000, mayBegin: false,
	},
	{
		name: 'a stream as long as the time left does not begin, since it may take longer', now: 3200, durations: [3700, 3900, 3900, 3800], timeoutMs: 14_000, mayBegin: false,
	},
	{
		name: 'a call with a long timeout of an unknown duration does not begin', now: 100, durations: [], timeoutMs: 14_000, mayBegin: false,
	},
];

describe('requests at a stopping host', () => {
	for (const {name, now, durations, isSmallSample = false, timeoutMs, isStopping = true, mayBegin} of cases) {
		it(name, () => {
			const window = new StopWindow();
			const sample = isSmallSample ? durations : Array.from({length: sampleSize}, () => durations).flat();
			for (const duration of sample) {
				window.recordDuration('route', duration);
			}

			if (isStopping) {
				window.begin(closesAt);
			}

			expect(window.mayBegin('route', now + timeoutMs, now)).toEqual(mayBegin);
		});
	}
});
