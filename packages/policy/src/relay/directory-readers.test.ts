import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	isDirectoryReader, isReaderSilent, isRedundantReader, listConfirmers, failoverDelayMs, summarizeReading, type FleetHost,
} from './directory-readers.js';

/** Hosts assigned to halls in turn. */
function makeFleet(hosts: number, halls: number): FleetHost[] {
	return Array.from({length: hosts}, (_, index) => ({host: `host-${index}`, hall: `hall-${index % halls}`}));
}

function listReaders(alive: readonly FleetHost[]): FleetHost[] {
	return alive.filter(each => isDirectoryReader(each, alive));
}

type Case = {
	readonly name: string;
	readonly hosts: number;
	readonly halls: number;
	readonly readers: number;
};

const cases: readonly Case[] = [
	{
		name: 'a single host reads', hosts: 1, halls: 1, readers: 1,
	},
	{
		name: 'all hosts of a small fleet read', hosts: 12, halls: 3, readers: 12,
	},
	{
		name: 'five halls have one reader each', hosts: 20, halls: 5, readers: 5,
	},
	{
		name: 'the number of readers does not grow with the fleet', hosts: 350, halls: 6, readers: 6,
	},
	{
		name: 'three halls have one reader each', hosts: 58, halls: 3, readers: 3,
	},
	{
		name: 'two halls have two readers each, so that two may fail', hosts: 40, halls: 2, readers: 4,
	},
	{
		name: 'one hall has three readers', hosts: 40, halls: 1, readers: 3,
	},
];

describe('directory readers', () => {
	for (const {
		name, hosts, halls, readers,
	} of cases) {
		it(name, () => {
			const found = listReaders(makeFleet(hosts, halls));
			expect(found.length).toEqual(readers);
			expect(new Set(found.map(({hall}) => hall)).size).toEqual(halls);
		});
	}

	it('a lost reader is replaced by one of its hall, and the others stay', () => {
		const fleet = makeFleet(195, 5);
		const before = listReaders(fleet);
		for (const lost of before) {
			const after = listReaders(fleet.filter(({host}) => host !== lost.host));
			const replacements = after.filter(({host}) => before.every(each => each.host !== host));
			expect(replacements.map(({hall}) => hall)).toEqual([lost.hall]);
			expect(after.length).toEqual(before.length);
		}
	});

	it('a silent reader is distinguished from other silent hosts', () => {
		const fleet = makeFleet(60, 3);
		const readers = new Set(listReaders(fleet).map(({host}) => host));
		const others = fleet.filter(({host}) => !readers.has(host)).map(({host}) => host);
		expect(isReaderSilent(new Set([[...readers][0] ?? '']), fleet)).toEqual(true);
		expect(isReaderSilent(new Set(others), fleet)).toEqual(false);
		expect(isReaderSilent(new Set(), fleet)).toEqual(false);
	});

	it('the loss of a hall leaves the readers of the others', () => {
		const fleet = makeFleet(195, 5);
		const left = fleet.filter(({hall}) => hall !== 'hall-0');
		expect(listReaders(left).length).toEqual(4);
	});
});

describe('live readers that cannot read the directory', () => {
	const away = {directory: 'away'} as const;
	const answers = {directory: 'answers'} as const;
	const fleet = makeFleet(90, 3);
	const isReader = (each: FleetHost) => isDirectoryReader(each, fleet);

	type ViewCase = {readonly name: string; readonly alive: readonly FleetHost[]; readonly hasFailedReader: boolean; readonly answering: number};
	const viewCases: readonly ViewCase[] = [
		{
			name: 'no announcement', alive: fleet, hasFailedReader: false, answering: 0,
		},
		{
			name: 'one host cannot read the directory', alive: [...fleet.slice(1), {...fleet[0] ?? {host: '', hall: ''}, ...away}], hasFailedReader: true, answering: 0,
		},
		{
			name: 'others could read it since', alive: fleet.map((each, index) => index < 4 ? {...each, ...(index === 0 ? away : answers)} : each), hasFailedReader: true, answering: 3,
		},
		{
			name: 'all hosts of a small fleet read, so there is no failover', alive: makeFleet(12, 3).map(each => ({...each, ...away})), hasFailedReader: false, answering: 0,
		},
	];
	for (const {
		name, alive, hasFailedReader, answering,
	} of viewCases) {
		it(name, () => {
			const view = summarizeReading(alive);
			expect([view.hasFailedReader, view.answering.length]).toEqual([hasFailedReader, answering]);
		});
	}

	it('failover reaches all hosts within a second, in groups that double', () => {
		const alive = fleet.map(each => isReader(each) ? {...each, ...away} : each);
		const times = alive.filter(each => each.directory === undefined).map(each => failoverDelayMs(each, alive)).toSorted((left, right) => left - right);
		const groups = [...new Set(times)].map(time => times.filter(each => each === time).length);
		expect(groups).toEqual([3, 3, 6, 12, 24, 39]);
		expect((times.at(-1) ?? 0) < 1000).toEqual(true);
	});

	it('three of the hosts that can read go on', () => {
		const alive = fleet.map((each, index) => index < 6 ? {...each, ...answers} : {...each, ...away});
		const view = summarizeReading(alive);
		expect(view.answering.filter(host => !isRedundantReader(host, view)).length).toEqual(3);
	});

	it('the configuration is confirmed by hosts that can read, never by those that cannot', () => {
		const self = {host: 'host-50', hall: 'hall-2'};
		const withAway = fleet.map(each => isReader(each) ? {...each, ...away} : each);
		const found = listConfirmers(self, withAway);
		expect(found.filter(host => withAway.some(each => each.host === host && each.directory === 'away'))).toEqual([]);
		const answered = withAway.map(each => each.host === 'host-7' ? {...each, ...answers} : each);
		expect(listConfirmers(self, answered)).toEqual(['host-7']);
	});
});
