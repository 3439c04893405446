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
	readonly isInsideEvent?: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'one event', chunks: ['id: 1\ndata: a\n\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: '',
	},
	{
		name: 'an event in two chunks', chunks: ['id: 1\nda', 'ta: a\n\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: '',
	},
	{
		name: 'a chunk boundary between the two line feeds', chunks: ['id: 1\ndata: a\n', '\nid: 2\n'], whole: 'id: 1\ndata: a\n\n', lastId: '1', rest: 'id: 2\n', isInsideEvent: true,
	},
	{
		name: 'CR line ends', chunks: ['id: 7\rdata: a\r\rid: 8\rdata: b\r'], whole: 'id: 7\rdata: a\r\r', lastId: '7', rest: 'id: 8\rdata: b\r', isInsideEvent: true,
	},
	{
		name: 'a chunk boundary inside a CRLF that ends an event', chunks: ['id: 7\r\n\r', '\nid: 8\r\n\r\n'], whole: 'id: 7\r\n\r\nid: 8\r\n\r\n', lastId: '8', rest: '',
	},
	{
		name: 'empty lines after the last event', chunks: ['id: 1\n\n\n\r\n'], whole: 'id: 1\n\n', lastId: '1', rest: '\n\r\n',
	},
	{
		name: 'a whole comment after the last event', chunks: ['id: 1\n\n: ping\n'], whole: 'id: 1\n\n', lastId: '1', rest: ': ping\n',
	},
	{
		name: 'an incomplete comment after the last event', chunks: ['id: 1\n\n: pi'], whole: 'id: 1\n\n', lastId: '1', rest: ': pi', isInsideEvent: true,
	},
	{
		name: 'a comment inside an event', chunks: ['id: 1\n\n: ping\nid: 2\n'], whole: 'id: 1\n\n', lastId: '1', rest: ': ping\nid: 2\n', isInsideEvent: true,
	},
	{
		name: 'CRLF line ends', chunks: ['id: 7\r\ndata: a\r\n\r\nid: 8'], whole: 'id: 7\r\ndata: a\r\n\r\n', lastId: '7', rest: 'id: 8', isInsideEvent: true,
	},
	{
		name: 'an event without an id keeps the last one', chunks: ['id: 1\n\ndata: x\n\n'], whole: 'id: 1\n\ndata: x\n\n', lastId: '1', rest: '',
	},
	{
		name: 'an incomplete event is not forwarded', chunks: ['data: a'], whole: '', lastId: undefined, rest: 'data: a', isInsideEvent: true,
	},
];

function toText(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('utf8');
}

describe('event splitter', () => {
	for (const {name, chunks, whole, lastId, rest, isInsideEvent = false} of cases) {
		it(name, () => {
			const splitter = new EventSplitter();
			const forwarded = chunks.map(chunk => toText(splitter.push(Buffer.from(chunk)).bytes)).join('');
			expect(forwarded).toEqual(whole);
			expect(splitter.lastId).toEqual(lastId);
			expect(splitter.isInsideEvent).toEqual(isInsideEvent);
			expect(toText(splitter.takeRest())).toEqual(rest);
		});
	}

	it('a stream cut at any byte is inside an event unless the cut is at the end of one', () => {
		const text = fc.string({unit: fc.constantFrom(...'ab: '), maxLength: 6});
		const event = fc.record({id: fc.nat({max: 99}), texts: fc.array(text, {maxLength: 3}), lineEnd: fc.constantFrom('\n', '\r\n')});
		fc.assert(fc.property(fc.array(event, {maxLength: 4}), fc.nat({max: 4}), (events, chunkBytes) => {
			let stream = '';
			const ends = new Set([0]);
			for (const {id, texts, lineEnd} of events) {
				stream += [`id: ${id}`, ...texts.map(each => `data: ${each}`), '', ''].join(lineEnd);
				ends.add(stream.length);
				// The carriage return alone already ends the empty line
				ends.add(lineEnd === '\n' ? stream.length : stream.length - 1);
			}

			for (let cut = 0; cut <= stream.length; cut += 1) {
				const splitter = new EventSplitter();
				for (let at = 0; at < cut; at += chunkBytes + 1) {
					splitter.push(Buffer.from(stream.slice(at, Math.min(cut, at + chunkBytes + 1))));
				}

				expect(splitter.isInsideEvent).toEqual(!ends.has(cut));
			}
		}), {seed: 11});
	});

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
