/** Guards against requests that another host resolves differently, or cannot resolve, because what their entry host states is lost or misread. */
import {describe, it} from 'node:test';
import {type Route, type Service, type Workspace} from '@gatehead/schema/routing';
import fc from 'fast-check';
import {expect} from 'earl';
import {readForwardResolution, writeForwardResolution} from './forward-facts.js';

const route: Route = {
	name: 'route "é"', authority: 'calls.example', pathPrefix: '/a/', kind: 'stream', isResumable: true, maxAttempts: 2, timeoutMs: 900, targetMs: 300, gapTargetMs: 50, priority: 1, isPublic: true, shares: [{service: 'model', weight: 2}, {service: 'other', weight: 0}],
};
const service: Service = {
	name: 'model', maxConnections: 100, engine: {
		capacityTokens: 10_000, resultLifeMs: 500, reservationMs: 2000, slots: 8, eventTokens: 4,
	},
};
const workspace: Workspace = {
	name: 'guides', keyDigests: ['digest'], priority: 2, weight: 0.5, quota: {
		unit: 'tokens', ratePerS: 1, burst: 1, unnamedTokens: 1,
	},
};
const header = 'gatehead-resolution';

function toHeaders(pairs: readonly string[]): Record<string, string> {
	return pairs.length === 0 ? {} : {[pairs[0] ?? '']: pairs[1] ?? ''};
}

describe('what a forwarded request resolved to', () => {
	for (const owner of [undefined, workspace]) {
		it(`arrives whole, ${owner === undefined ? 'without' : 'with'} a workspace: with the service that was chosen, without keys and quota`, () => {
			const read = readForwardResolution(toHeaders(writeForwardResolution({route, service, workspace: owner})));
			expect(read).toEqual({
				route: {...route, shares: [{service: 'model', weight: 1}]},
				service,
				workspace: owner === undefined
					? undefined
					: {
						name: 'guides', keyDigests: [], priority: 2, weight: 0.5,
					},
			});
		});
	}

	it('is left out if it is too long', () => {
		expect(writeForwardResolution({route: {...route, authority: 'a'.repeat(10_000)}, service, workspace})).toEqual([]);
	});

	for (const text of ['', '{', '[]', '{}', '%', '%7B%22route%22%3A7%7D', '['.repeat(5000), 'x'.repeat(10_000)]) {
		it(`is not read from '${text.slice(0, 20)}' of ${text.length} characters`, () => {
			expect(readForwardResolution({[header]: text})).toEqual(undefined);
		});
	}

	it('any value is read without a fault', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
			expect(readForwardResolution({[header]: encodeURIComponent(text)})).toEqual(undefined);
		}), {seed: 43});
	});
});
