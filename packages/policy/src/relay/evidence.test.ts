/** Catalogue: how old evidence of keys may be, and who is asked for it. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {listConfirmers, isDirectoryReader} from './directory-readers.js';
import {agesFor} from './evidence.js';

describe('evidence', () => {
	it('is renewed long before it lapses, and a peer\'s answer is of use for a while', () => {
		fc.assert(fc.property(fc.integer({min: 500, max: 60_000}), revocationMs => {
			const {mostMs, renewMs, givenMs, refreshMs} = agesFor({revocationMs, applyMs: revocationMs});
			expect(refreshMs < givenMs && givenMs < renewMs && renewMs < mostMs && mostMs < revocationMs).toEqual(true);
		}), {seed: 21});
	});

	it('an answer that a peer gives at once serves for both, whatever the bounds', () => {
		fc.assert(fc.property(fc.integer({min: 500, max: 60_000}), fc.option(fc.integer({min: 500, max: 60_000}), {nil: undefined}), (applyMs, revocationMs) => {
			const {renewMs, refusalMs, givenMs} = agesFor({revocationMs, applyMs});
			expect(givenMs < renewMs && givenMs < refusalMs && refusalMs < applyMs).toEqual(true);
		}), {seed: 22});
	});

	it('a bound that is shorter than the margin lets no key in', () => {
		expect(agesFor({revocationMs: 50, applyMs: 2000}).mostMs).toEqual(0);
	});
});

describe('who is asked how fresh the configuration is', () => {
	const fleet = Array.from({length: 90}, (_, index) => ({host: `host-${index}`, hall: `hall-${index % 3}`}));

	it('one host a hall, the own hall\'s first, whatever the fleet\'s size', () => {
		const self = {host: 'host-4', hall: 'hall-1'};
		const confirmers = listConfirmers(self, fleet);
		expect(confirmers.length).toEqual(3);
		expect(fleet.find(({host}) => host === confirmers[0])?.hall).toEqual('hall-1');
	});

	it('three of a single hall, so that one that is turned away by the directory has others to ask', () => {
		const hosts = Array.from({length: 5}, (_, index) => ({host: `host-${index}`, hall: 'only'}));
		for (const self of hosts) {
			expect(listConfirmers(self, hosts).length).toEqual(3);
		}
	});

	it('they read the directory themselves', () => {
		for (const host of listConfirmers({host: 'host-4', hall: 'hall-1'}, fleet)) {
			const found = fleet.find(each => each.host === host);
			expect(found !== undefined && isDirectoryReader(found, fleet)).toEqual(true);
		}
	});

	it('all hosts of a hall ask the same ones', () => {
		const asked = new Set(fleet.filter(({hall}) => hall === 'hall-2').map(each => listConfirmers(each, fleet)[0]));
		expect(asked.size).toEqual(1);
	});
});
