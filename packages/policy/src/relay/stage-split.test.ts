/** Catalogue: when replicas change their part. */
import {describe, it} from 'node:test';
import {type Endpoint} from '@gatehead/schema/routing';
import {expect} from 'earl';
import {
	bestPrefill, serviceRate, StageSplit, type Paces,
} from './stage-split.js';

function replicas(prefill: number, decode: number): Endpoint[] {
	return Array.from({length: prefill + decode}, (_, index) => ({
		id: `r${index}`, service: 'model', address: '10.0.0.1:80', hall: `h${index % 3}`, state: 'ready', stage: index < prefill ? 'prefill' : 'decode', slots: 64,
	}));
}

const usual: Paces = {
	prefillPerS: 10, decodePerS: 3, seen: 100, isShort: false,
};
const unseen: Paces = {...usual, seen: 0};

type Case = {
	readonly name: string;
	readonly prefill: number;
	readonly decode: number;
	readonly paces: Paces;
	readonly broken?: readonly string[];
	readonly changes: ReadonlyArray<'prefill' | 'decode'>;
};

const cases: readonly Case[] = [
	{
		name: 'before any request the wanted share is made at once', prefill: 5, decode: 8, paces: unseen, changes: ['decode', 'decode'],
	},
	{
		name: 'the wanted share stays as it is', prefill: 3, decode: 10, paces: unseen, changes: [],
	},
	{
		name: 'a few requests say nothing', prefill: 5, decode: 8, paces: {...usual, seen: 5}, changes: [],
	},
	{
		name: 'a replica that is not needed for reading decodes, one at a time', prefill: 5, decode: 8, paces: usual, changes: ['decode'],
	},
	{
		name: 'where replicas are lost, one reader is enough for the rest', prefill: 2, decode: 3, paces: usual, changes: ['decode'],
	},
	{
		name: 'the last reader stays', prefill: 1, decode: 2, paces: usual, changes: [],
	},
	{
		name: 'a lost prefill replica is made up for', prefill: 0, decode: 5, paces: usual, changes: ['prefill'],
	},
	{
		name: 'but not while requests wait for memory', prefill: 0, decode: 5, paces: {...usual, isShort: true}, changes: [],
	},
	{
		name: 'a second reader stays where one would be short', prefill: 2, decode: 4, paces: {...usual, prefillPerS: 8}, changes: [],
	},
	{
		name: 'longer prompts want more readers', prefill: 1, decode: 7, paces: {...usual, prefillPerS: 3}, changes: ['prefill'],
	},
	{
		name: 'a small gain is not worth a decode replica that is away', prefill: 1, decode: 6, paces: usual, changes: [],
	},
	{
		name: 'a replica that fails is not ordered', prefill: 3, decode: 5, paces: usual, broken: ['r0', 'r1', 'r2'], changes: [],
	},
	{
		name: 'the only replica is left alone', prefill: 0, decode: 1, paces: usual, changes: [],
	},
];

describe('stage split', () => {
	for (const {name, prefill, decode, paces, broken = [], changes} of cases) {
		it(name, () => {
			const split = new StageSplit(0.25);
			expect(split.choose(replicas(prefill, decode), paces, ({id}) => !broken.includes(id)).map(({stage}) => stage)).toEqual([...changes]);
		});
	}

	it('the best split is the one that serves most', () => {
		for (const prefillPerS of [2, 5, 10, 40]) {
			const paces = {...usual, prefillPerS};
			const best = serviceRate(13, bestPrefill(13, paces), paces);
			for (let prefill = 1; prefill < 13; prefill += 1) {
				expect(serviceRate(13, prefill, paces) <= best).toEqual(true);
			}
		}
	});

	it('with readers to spare the decode side bounds the rate, without them both share its time', () => {
		expect(serviceRate(6, 2, usual)).toEqual(12);
		expect(Math.round(10 * serviceRate(6, 0, usual))).toEqual(108);
	});

	it('bursts of long prompts: a quarter of a large fleet reads before any request, about what its paces will ask for', () => {
		// Prompts of 5,000 tokens read in 0.12 s; their streams hold an eighth of a replica's memory for 3.4 s
		const long: Paces = {...usual, prefillPerS: 8.3, decodePerS: 2.27};
		const atFirst = 14 - new StageSplit(0.25).choose(replicas(14, 28), unseen, () => true).length;
		const best = bestPrefill(42, long);
		expect([atFirst, best]).toEqual([11, 10]);
		expect(serviceRate(42, atFirst, long) / serviceRate(42, best, long) > 0.95).toEqual(true);
		expect(new StageSplit(0.25).choose(replicas(atFirst, 42 - atFirst), long, () => true)).toEqual([]);
	});
});
