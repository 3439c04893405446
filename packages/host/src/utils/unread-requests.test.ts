/** Guards against stops that callers hold up by sending on, and that leave connections unread which wait to be accepted. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {readUnreadRequests} from './unread-requests.js';

type Case = {
	readonly name: string;
	/** Turns in which something arrives, from the first on. */
	readonly busyTurns: number;
	/** Turns after which no time is left. */
	readonly mostTurns: number;
	readonly turns: number;
};

const cases: readonly Case[] = [
	{
		name: 'nothing arrives', busyTurns: 0, mostTurns: 100, turns: 3,
	},
	{
		name: 'connections wait to be accepted', busyTurns: 20, mostTurns: 100, turns: 23,
	},
	{
		name: 'callers go on sending', busyTurns: 1000, mostTurns: 30, turns: 30,
	},
	{
		name: 'no time is left', busyTurns: 1000, mostTurns: 0, turns: 3,
	},
];

describe('reading of requests that have arrived', () => {
	for (const {name, busyTurns, mostTurns, turns} of cases) {
		it(`${name}: ${turns} turns`, async () => {
			let counted = 0;
			// Called once before the first turn, and after each
			const countArrivals = () => {
				counted += 1;
				return Math.min(counted, busyTurns + 1);
			};

			await readUnreadRequests(countArrivals, () => counted <= mostTurns);
			expect(counted - 1).toEqual(turns);
		});
	}
});
