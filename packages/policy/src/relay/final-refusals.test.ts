import {describe, it} from 'node:test';
import {codeNames, codes, type Code} from '@gatehead/schema/codes';
import {expect} from 'earl';
import {isDecidedByConfiguration, isFinal, mayRefuse} from './final-refusals.js';

const maxAgeMs = 1100;
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
		name: 'the configuration was confirmed after the arrival', arrivedAt: 5000, confirmedAt: 5010, mayRefuse: true,
	},
	{
		name: 'it was confirmed at the longest time before the arrival', arrivedAt: 5000, confirmedAt: 3900, mayRefuse: true,
	},
	{
		name: 'it was confirmed too long before the arrival', arrivedAt: 5000, confirmedAt: 3899, mayRefuse: false,
	},
	{
		name: 'it was never confirmed, as on a host that has it from a peer', arrivedAt: 5000, confirmedAt: never, mayRefuse: false,
	},
	{
		name: 'a newer one exists that this host cannot read', arrivedAt: 5000, confirmedAt: 5000, isBehind: true, mayRefuse: false,
	},
];

describe('final refusals', () => {
	for (const {name, isBehind = false, mayRefuse: expected, ...evidence} of cases) {
		it(`${expected ? 'allowed' : 'not allowed'}: ${name}`, () => {
			expect(mayRefuse({...evidence, isBehind, maxAgeMs})).toEqual(expected);
		});
	}

	it('a refusal that depends on the configuration is either final or has a retryable status', () => {
		const dependent = codeNames.filter(code => isDecidedByConfiguration(code));
		const isRetryable = (code: Code) => [429, 503].includes(codes[code].status);
		expect(dependent.filter(code => isFinal(code) === isRetryable(code))).toEqual([]);
	});
});
