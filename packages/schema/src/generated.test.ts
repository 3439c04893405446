/** Property tests. Guards against validation that throws anything but a `Failure`, and against signed bundles that open after a change. */
import {generateKeyPairSync} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {bundle} from './bundle.js';
import {toCanonicalJson} from './canonical-json.js';
import {checkJson} from './check.js';
import {Failure} from './failure.js';
import {peerBatch} from './peer-message.js';
import {settings} from './settings.js';
import {openBundle, signBundle} from './signed-bundle.js';

const options = {seed: 20_261_202, numRuns: 300};
const example: unknown = JSON.parse(readFileSync(new URL('../../../examples/tour/bundle.json', import.meta.url), 'utf8'));

describe('external data', () => {
	for (const [name, schema] of Object.entries({bundle, settings})) {
		it(`any JSON is accepted as ${name} or rejected with a result code`, () => {
			fc.assert(fc.property(fc.json(), text => {
				try {
					checkJson(schema, text, 'bundleInvalid');
				} catch (error) {
					expect(error instanceof Failure).toEqual(true);
				}
			}), options);
		});
	}

	it('arbitrary objects are never accepted as peer messages', () => {
		fc.assert(fc.property(fc.array(fc.object()), batch => {
			const {success} = peerBatch.safeParse(batch);
			expect(success).toEqual(batch.length === 0);
		}), options);
	});

	it('equal values have equal canonical text', () => {
		fc.assert(fc.property(fc.dictionary(fc.string(), fc.integer()), value => {
			expect(toCanonicalJson(Object.fromEntries(Object.entries(value).toReversed()))).toEqual(toCanonicalJson(value));
		}), options);
	});
});

describe('signed bundles', () => {
	it('open only if unchanged', () => {
		const {privateKey, publicKey} = generateKeyPairSync('ed25519');
		const keys = [{name: 'operator', publicKey}];
		const signed = signBundle(bundle.parse(example), 'operator', privateKey);
		expect(openBundle(signed, keys).version).toEqual(1);
		const text = JSON.stringify(signed);
		fc.assert(fc.property(fc.integer({min: 0, max: text.length - 1}), fc.constantFrom('0', 'a', '9', '}'), (at, character) => {
			const changed = text.slice(0, at) + character + text.slice(at + 1);
			if (changed === text) {
				return;
			}

			try {
				const opened = openBundle(JSON.parse(changed) as typeof signed, keys); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- invalid shapes must be rejected
				expect(opened).toEqual(openBundle(signed, keys));
			} catch (error) {
				expect(error instanceof Error).toEqual(true);
			}
		}), options);
	});
});
