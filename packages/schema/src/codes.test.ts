/** Guards against error codes whose status promises that a request did not run although it may have run. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {codes, type Code} from './codes.js';

/** Statuses that callers take for "not run". */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

describe('codes', () => {
	for (const [name, {status, ran}] of Object.entries(codes) as Array<[Code, typeof codes[Code]]>) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table's own entries
		if (notRunStatuses.has(status)) {
			it(`${name} (${status}) is sent only for requests that did not run`, () => {
				expect(ran).toEqual('no');
			});
		}
	}
});
