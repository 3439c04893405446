/** Guards against hosts that end by themselves, or come close to the memory of their machine, in a soak that reports no broken promise. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countExits, findFailedHosts} from './failed-hosts.js';
import {type ExitCause} from './host-exit.js';

const bytesPerMegabyte = 1024 * 1024;
const cases: ReadonlyArray<{readonly name: string; readonly causes?: readonly ExitCause[]; readonly peakMb?: number; readonly failures: readonly string[]}> = [
	{name: 'ends that were asked for', causes: ['expected', 'beforeHandlers'], failures: []},
	{name: 'two ends by itself', causes: ['unasked', 'expected', 'unasked'], failures: ['host-0 ended by itself', 'host-0 ended by itself']},
	{name: 'a stop that SIGKILL ended', causes: ['overdue'], failures: ['host-0 was there at the end of its grace period']},
	{name: 'nine tenths of the memory', peakMb: 180, failures: []},
	{name: 'more than that', peakMb: 181, failures: ['host-0 had a peak of 181 MB']},
];

describe('hosts that fail', () => {
	for (const {name, causes = [], peakMb = 0, failures} of cases) {
		it(name, () => {
			const hosts = [{
				name: 'host-0', peakBytes: peakMb * bytesPerMegabyte, exits: causes.map(cause => ({
					cause, code: 1, signal: undefined, uptimeMs: 1, lastLines: [],
				})),
			}];
			expect(findFailedHosts(hosts, 200).map(text => text.split(',', 1)[0] ?? '')).toEqual([...failures]);
			expect(countExits(hosts).unasked).toEqual(causes.filter(cause => cause === 'unasked').length);
		});
	}
});
