/** Catalogue: which refusals need evidence, and how old it may be. */
import {describe, it} from 'node:test';
import {codeNames, codes, type Code} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {isDecidedByConfiguration, isFinal, mayRefuse} from './final-refusals.js';

const mostAgeMs = 1100;
const never = Number.NEGATIVE_INFINITY;

type Case = {
	readonly name: string;
	readonly arrivedAt: number;
	readonly confirmedAt: number;
	readonly isBehind?: boolean;
	readonly mayRefuse: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'the configuration was confirmed behind the arrival', arrivedAt: 5000, confirmedAt: 5010, mayRefuse: true,
	},
	{
		name: 'it was confirmed shortly before', arrivedAt: 5000, confirmedAt: 3900, mayRefuse: true,
	},
	{
		name: 'a little too long before', arrivedAt: 5000, confirmedAt: 3899, mayRefuse: false,
	},
	{
		name: 'it never was, as at a host whose first configuration a peer told', arrivedAt: 5000, confirmedAt: never, mayRefuse: false,
	},
	{
		name: 'a newer one exists that cannot be read', arrivedAt: 5000, confirmedAt: 5000, isBehind: true, mayRefuse: false,
	},
];

describe('final refusals', () => {
	for (const {name, isBehind = false, mayRefuse: expected, ...evidence} of cases) {
		it(`${expected ? 'said' : 'not said'}: ${name}`, () => {
			expect(mayRefuse({...evidence, isBehind, mostAgeMs})).toEqual(expected);
		});
	}

	it('a refusal that the configuration decides is either final or asks the caller back', () => {
		const kept = codeNames.filter(code => isDecidedByConfiguration(code));
		const asksBack = (code: Code) => [429, 503].includes(codes[code].status);
		expect(kept.filter(code => isFinal(code) === asksBack(code))).toEqual([]);
	});
});
