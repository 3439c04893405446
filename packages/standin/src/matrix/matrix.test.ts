/** Catalogue: every promise under every fault at every step, and what breaks when a mechanism is missing. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {listCells} from './matrix.js';
import {mutants} from './mutants.js';
import {playCells} from './players.js';
import {describe as describeResult} from './report.js';
import {steps} from './steps.js';

describe('fault matrix', () => {
	for (const step of Object.keys(steps)) {
		it(`every promise holds under every fault at: ${step}`, async () => {
			const cells = listCells().filter(each => each.step === step);
			const results = await playCells(cells);
			expect(results.flatMap(each => describeResult(each))).toEqual([]);
			expect(results.length).toEqual(cells.length);
		});
	}
});

describe('the matrix can fail', () => {
	for (const [name, {step, fault, promise}] of Object.entries(mutants)) {
		it(`without ${name}, "${promise}" breaks at ${step} × ${fault}`, async () => {
			const results = await playCells([{step, faults: [fault]}], name);
			const broken = results.flatMap(each => ('error' in each ? [] : each.broken.map(one => one.promise)));
			expect(broken.includes(promise)).toEqual(true);
		});
	}
});
