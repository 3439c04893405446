/** Guards against rejections without Retry-After by hosts that have just started and have not found the hosts with the records. */
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {expect} from 'earl';
import {KnownHosts} from './known-hosts.js';

const seeds = ['seed-0:1', 'seed-1:1', 'seed-2:1'];

function makeMember(peerAddress: string): MemberRecord {
	return {
		host: peerAddress, hall: 'a', region: 'r', incarnation: 1, counter: 0, load: 0, state: 'alive', callerAddress: '', peerAddress, adminAddress: '',
	};
}

type Case = {
	readonly name: string;
	readonly ageMs: number;
	readonly heard: readonly string[];
	readonly isFleetKnown: boolean;
	readonly hasMetOthers: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'no seed heard of', ageMs: 3000, heard: ['other:1'], isFleetKnown: false, hasMetOthers: false,
	},
	{
		name: 'a majority of the seeds, right after the start', ageMs: 600, heard: seeds.slice(0, 2), isFleetKnown: true, hasMetOthers: false,
	},
	{
		name: 'a majority of the seeds, a millisecond before hosts have met', ageMs: 1999, heard: seeds, isFleetKnown: true, hasMetOthers: false,
	},
	{
		name: 'a majority of the seeds, once hosts have met', ageMs: 2000, heard: seeds.slice(0, 2), isFleetKnown: true, hasMetOthers: true,
	},
	{
		name: 'a minority of the seeds for a minute', ageMs: 60_000, heard: seeds.slice(0, 1), isFleetKnown: true, hasMetOthers: true,
	},
];

describe('hosts that one host knows of', () => {
	for (const {name, ageMs, heard, isFleetKnown, hasMetOthers} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const known = new KnownHosts({clock, listSeeds: () => seeds, listMembers: () => heard.map(each => makeMember(each))});
			clock.advance(ageMs);
			expect([known.isFleetKnown, known.hasMetOthers]).toEqual([isFleetKnown, hasMetOthers]);
		});
	}
});
