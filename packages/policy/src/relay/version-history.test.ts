/** Which versions a host can vouch for, from what it has seen of the directory. */
import {describe, it} from 'node:test';
import {type Start} from '@gatehead/schema/relay-settings';
import {expect} from 'earl';
import {StreamRecords} from './stream-records.js';
import {findOnlyOrigin, VersionHistory} from './version-history.js';

const service = 'model';
const windowMs = 1000;

type Case = {
	readonly name: string;
	readonly start?: Start;
	readonly play: (history: VersionHistory) => void;
	readonly now: number;
	readonly versions: readonly string[];
	readonly coverageMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'nothing seen', play() {
			// No endpoint yet
		}, now: 50, versions: [], coverageMs: 0,
	},
	{
		name: 'endpoints of one version', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
			history.see({id: 'b', service, softwareVersion: 'v1'}, 10);
		}, now: 500, versions: ['v1'], coverageMs: 500,
	},
	{
		name: 'an endpoint without a version', play(history) {
			history.see({id: 'a', service}, 0);
		}, now: 1, versions: [''], coverageMs: 1,
	},
	{
		name: 'a version whose last endpoint has just left', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
			history.see({id: 'b', service, softwareVersion: 'v2'}, 0);
			history.forget('a', 100);
		}, now: 1100, versions: ['v2', 'v1'], coverageMs: 1100,
	},
	{
		name: 'a version whose last endpoint left long ago', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
			history.see({id: 'b', service, softwareVersion: 'v2'}, 0);
			history.forget('a', 100);
		}, now: 1101, versions: ['v2'], coverageMs: 1101,
	},
	{
		name: 'an endpoint that changes its version', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
			history.see({id: 'a', service, softwareVersion: 'v2'}, 100);
		}, now: 200, versions: ['v2', 'v1'], coverageMs: 200,
	},
	{
		name: 'another service', play(history) {
			history.see({id: 'a', service: 'other', softwareVersion: 'v1'}, 0);
		}, now: 10, versions: [], coverageMs: 10,
	},
	{
		name: 'changes that may have been missed', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
			history.restart(400);
		}, now: 500, versions: ['v1'], coverageMs: 100,
	},
	{
		name: 'the first start of the fleet', start: 'first', play(history) {
			history.restart(0);
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
		}, now: 500, versions: ['v1'], coverageMs: windowMs,
	},
	{
		name: 'the first start of the fleet, before the first list', start: 'first', play() {
			// No endpoint yet
		}, now: 500, versions: [], coverageMs: 0,
	},
	{
		name: 'the first start of the fleet, and changes that may have been missed', start: 'first', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
			history.restart(400);
		}, now: 500, versions: ['v1'], coverageMs: 100,
	},
	{
		name: 'a later start', start: 'again', play(history) {
			history.see({id: 'a', service, softwareVersion: 'v1'}, 0);
		}, now: 500, versions: ['v1'], coverageMs: 500,
	},
];

describe('version history', () => {
	for (const {name, start, play, now, versions, coverageMs} of cases) {
		it(name, () => {
			const history = new VersionHistory(start);
			play(history);
			expect(history.view(service, windowMs, now)).toEqual({versions, coverageMs});
		});
	}

	it('there is one version only if all views agree, and only at one service', () => {
		const one = {service, versions: ['v1']};
		const origin = {service, softwareVersion: 'v1'};
		expect(findOnlyOrigin([one, one, {service, versions: []}, {service: 'other', versions: []}])).toEqual(origin);
		expect(findOnlyOrigin([one, {service, versions: ['v2']}])).toEqual(undefined);
		expect(findOnlyOrigin([{service, versions: ['v1', 'v2']}])).toEqual(undefined);
		expect(findOnlyOrigin([one, {service: 'other', versions: ['v1']}])).toEqual(undefined);
		expect(findOnlyOrigin([])).toEqual(undefined);
	});
});

describe('stream records', () => {
	const record = {
		service, softwareVersion: 'v1', expiresAt: 100, isAmbiguous: false,
	};

	it('the oldest is removed for a new one, and counted unless it has expired', () => {
		const records = new StreamRecords(2);
		expect([records.set('a', record, 0), records.set('b', record, 0), records.set('c', record, 0), records.set('d', record, 200)]).toEqual([0, 0, 1, 0]);
		expect([records.size, records.get('a', 0)?.service, records.get('d', 0)?.service]).toEqual([2, undefined, service]);
	});

	it('an extended record keeps the later end', () => {
		const records = new StreamRecords(2);
		records.set('a', record, 0);
		records.set('a', {...record, expiresAt: 50}, 0);
		expect([records.get('a', 99)?.softwareVersion, records.get('a', 100)]).toEqual(['v1', undefined]);
	});

	it('a key of two versions stays ambiguous', () => {
		const records = new StreamRecords(2);
		records.set('a', record, 0);
		records.set('a', {...record, softwareVersion: 'v2'}, 0);
		records.set('a', {...record, softwareVersion: 'v2'}, 0);
		expect(records.get('a', 0)?.isAmbiguous).toEqual(true);
	});

	it('expired records are swept', () => {
		const records = new StreamRecords(2);
		records.set('a', record, 0);
		records.sweep(100);
		expect(records.size).toEqual(0);
	});
});
