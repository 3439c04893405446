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
		name: 'a chunk boundary between the two line feeds', chunks: ['id: 1\ndata: a\n', '\nid: 2\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: 'id: 2\n',
	},
	{
		name: 'CRLF line ends', chunks: ['id: 7\r\ndata: a\r\n\r\nid: 8'], whole: 'id: 7\r\ndata: a\r\n\r\n', lastId: '7', rest: 'id: 8',
	},
	{
		name: 'an event without an id keeps the last one', chunks: ['id: 1\n\ndata: x\n\n'], whole: 'id: 1\n\ndata: x\n\n', lastId: '1', rest: '',
	},
	{
		name: 'an incomplete event is not forwarded', chunks: ['data: a'], whole: '', lastId: undefined, rest: 'data: a',
	},
];

function toText(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('utf8');
}

describe('event splitter', () => {
	for (const {name, chunks, whole, lastId, rest} of cases) {
		it(name, () => {
			const splitter = new EventSplitter();
			const forwarded = chunks.map(chunk => toText(splitter.push(Buffer.from(chunk)).bytes)).join('');
			expect(forwarded).toEqual(whole);
			expect(splitter.lastId).toEqual(lastId);
			expect(toText(splitter.takeRest())).toEqual(rest);
		});
	}

	it('forwards the same bytes and only complete events, whatever the chunk boundaries', () => {
		const event = fc.record({id: fc.nat(), data: fc.string({unit: fc.constantFrom(...'abc: '), maxLength: 20})}).map(({id, data}) => `id: ${id}\ndata: ${data}\n\n`);
		fc.assert(fc.property(fc.array(event, {maxLength: 8}), fc.array(fc.nat({max: 40}), {maxLength: 20}), (events, cuts) => {
			const text = Buffer.from(events.join(''));
			const splitter = new EventSplitter();
			let forwarded = '';
			let from = 0;
			for (const cut of [...cuts, text.length]) {
				const to = Math.min(text.length, from + cut);
				const {bytes} = splitter.push(text.subarray(from, to));
				forwarded += toText(bytes);
				expect(forwarded === '' || forwarded.endsWith('\n\n')).toEqual(true);
				from = to;
			}

			forwarded += toText(splitter.push(text.subarray(from)).bytes);
			expect(forwarded).toEqual(text.toString('utf8'));
		}), {seed: 7});
	});

	it('reset discards an incomplete event', () => {
		const splitter = new EventSplitter();
		splitter.push(Buffer.from('id: 4\ndata: a\n\nid: 5\nda'));
		splitter.reset();
		expect(toText(splitter.push(Buffer.from('id: 5\ndata: b\n\n')).bytes)).toEqual('id: 5\ndata: b\n\n');
	});
});
