/** Simulated fleets of several subsets under demand beyond their capacity. They have a file of their own as they take as long as all others together. */
import {describe, it} from 'node:test';
import {loadChecks, type FleetCase} from './service-load-checks.js';

/** Of 300 hosts, 16 subsets, each has a sixteenth of the replicas. */
const cases: readonly FleetCase[] = [
	{hosts: 300, replicas: 96, fault: 'none'},
];

describe('load of a service over simulated fleets of several subsets', () => {
	for (const each of cases) {
		for (const {name, check} of loadChecks) {
			it(`${name}: ${each.hosts} hosts, fault ${each.fault}`, () => {
				check(each);
			});
		}
	}
});
