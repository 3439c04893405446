/** Catalogue: only whole events go on, however a stream is cut into chunks. */
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {EventSplitter} from './event-splitter.js';

type Case = {
	readonly name: string;
	readonly chunks: readonly string[];
	readonly whole: string;
	readonly lastId: string | undefined;
	readonly rest: string;
};

const cases: readonly Case[] = [
	{
		name: 'one event', chunks: ['id: 1\ndata: a\n\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: '',
	},
	{
		name: 'an event in two chunks', chunks: ['id: 1\nda', 'ta: a\n\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: '',
	},
	{
		name: 'a cut between the two line ends', chunks: ['id: 1\ndata: a\n', '\nid: 2\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: 'id: 2\n',
	},
	{
		name: 'line ends of two characters', chunks: ['id: 7\r\ndata: a\r\n\r\nid: 8'], whole: 'id: 7\r\ndata: a\r\n\r\n', lastId: '7', rest: 'id: 8',
	},
	{
		name: 'an event without an id keeps the last one', chunks: ['id: 1\n\ndata: x\n\n'], whole: 'id: 1\n\ndata: x\n\n', lastId: '1', rest: '',
	},
	{
		name: 'a piece of an event goes nowhere', chunks: ['data: a'], whole: '', lastId: undefined, rest: 'data: a',
	},
];

function toText(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('utf8');
}

describe('event splitter', () => {
	for (const {name, chunks, whole, lastId, rest} of cases) {
		it(name, () => {
			const splitter = new EventSplitter();
			const passed = chunks.map(chunk => toText(splitter.push(Buffer.from(chunk)).bytes)).join('');
			expect(passed).toEqual(whole);
			expect(splitter.lastId).toEqual(lastId);
			expect(toText(splitter.takeRest())).toEqual(rest);
		});
	}

	it('any cutting of any events gives the same bytes and never half an event', () => {
		const event = fc.record({id: fc.nat(), data: fc.string({unit: fc.constantFrom(...'abc: '), maxLength: 20})}).map(({id, data}) => `id: ${id}\ndata: ${data}\n\n`);
		fc.assert(fc.property(fc.array(event, {maxLength: 8}), fc.array(fc.nat({max: 40}), {maxLength: 20}), (events, cuts) => {
			const text = Buffer.from(events.join(''));
			const splitter = new EventSplitter();
			let passed = '';
			let from = 0;
			for (const cut of [...cuts, text.length]) {
				const to = Math.min(text.length, from + cut);
				const {bytes} = splitter.push(text.subarray(from, to));
				passed += toText(bytes);
				expect(passed === '' || passed.endsWith('\n\n')).toEqual(true);
				from = to;
			}

			passed += toText(splitter.push(text.subarray(from)).bytes);
			expect(passed).toEqual(text.toString('utf8'));
		}), {seed: 7});
	});

	it('what a broken run left is forgotten before the next run', () => {
		const splitter = new EventSplitter();
		splitter.push(Buffer.from('id: 4\ndata: a\n\nid: 5\nda'));
		splitter.reset();
		expect(toText(splitter.push(Buffer.from('id: 5\ndata: b\n\n')).bytes)).toEqual('id: 5\ndata: b\n\n');
	});
});
