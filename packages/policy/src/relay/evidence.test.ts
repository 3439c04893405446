import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {listConfirmers, isDirectoryReader} from './directory-readers.js';
import {computeAges} from './evidence.js';

describe('evidence', () => {
	it('is renewed before it expires, and a peer\'s answer is usable for a while', () => {
		fc.assert(fc.property(fc.integer({min: 500, max: 60_000}), revocationMs => {
			const {maxMs, renewMs, peerAnswerMs, refreshMs} = computeAges({revocationMs, applyMs: revocationMs});
			expect(refreshMs < peerAnswerMs && peerAnswerMs < renewMs && renewMs < maxMs && maxMs < revocationMs).toEqual(true);
		}), {seed: 21});
	});

	it('a peer\'s immediate answer is fresh enough for keys and refusals, whatever the bounds', () => {
		fc.assert(fc.property(fc.integer({min: 500, max: 60_000}), fc.option(fc.integer({min: 500, max: 60_000}), {nil: undefined}), (applyMs, revocationMs) => {
			const {renewMs, refusalMs, peerAnswerMs} = computeAges({revocationMs, applyMs});
			expect(peerAnswerMs < renewMs && peerAnswerMs < refusalMs && refusalMs < applyMs).toEqual(true);
		}), {seed: 22});
	});

	it('a bound shorter than the safety margin admits no key', () => {
		expect(computeAges({revocationMs: 50, applyMs: 2000}).maxMs).toEqual(0);
	});
});

describe('hosts queried for the freshness of the configuration', () => {
	const fleet = Array.from({length: 90}, (_, index) => ({host: `host-${index}`, hall: `hall-${index % 3}`}));

	it('are one per hall, starting with the own hall, whatever the fleet\'s size', () => {
		const self = {host: 'host-4', hall: 'hall-1'};
		const confirmers = listConfirmers(self, fleet);
		expect(confirmers.length).toEqual(3);
		expect(fleet.find(({host}) => host === confirmers[0])?.hall).toEqual('hall-1');
	});

	it('are three in a fleet of one hall, so that there are others if one cannot read the directory', () => {
		const hosts = Array.from({length: 5}, (_, index) => ({host: `host-${index}`, hall: 'only'}));
		for (const self of hosts) {
			expect(listConfirmers(self, hosts).length).toEqual(3);
		}
	});

	it('read the directory themselves', () => {
		for (const host of listConfirmers({host: 'host-4', hall: 'hall-1'}, fleet)) {
			const found = fleet.find(each => each.host === host);
			expect(found !== undefined && isDirectoryReader(found, fleet)).toEqual(true);
		}
	});

	it('start with the same host for all hosts of a hall', () => {
		const first = new Set(fleet.filter(({hall}) => hall === 'hall-2').map(each => listConfirmers(each, fleet)[0]));
		expect(first.size).toEqual(1);
	});
});
