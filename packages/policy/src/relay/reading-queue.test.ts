/** Catalogue: how long a prompt is expected to take at a prefill replica. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seedRandom} from '../utils/random.js';
import {ReadingQueue} from './reading-queue.js';

const empty = new ReadingQueue().expect(1000, 0);

describe('reading queue', () => {
	it('prompts of other hosts are ahead', () => {
		const queue = new ReadingQueue();
		queue.add(2000, 0);
		expect(queue.expect(1000, 0) - empty).toEqual(70);
	});

	it('the queue is read as time goes by', () => {
		const queue = new ReadingQueue();
		queue.add(2000, 0);
		expect(queue.expect(1000, 100)).toEqual(empty);
	});

	it('an own prompt that is overdue shows a queue that nobody told of', () => {
		const queue = new ReadingQueue();
		queue.begin(1000, 0);
		expect(queue.expect(1000, 500)).toEqual(empty + 500 - empty);
	});

	it('a prompt that came to nothing shows none', () => {
		const queue = new ReadingQueue();
		queue.abandon(queue.begin(1000, 0));
		expect(queue.expect(1000, 500)).toEqual(empty);
	});

	it('a delay that nobody told of is supposed to meet the next prompt', () => {
		const queue = new ReadingQueue();
		queue.finish(queue.begin(1000, 0), 600);
		expect(queue.expect(1000, 600) > empty + 300).toEqual(true);
	});

	it('a refusal means a full replica', () => {
		const queue = new ReadingQueue();
		queue.refuse(0);
		expect(queue.expect(1000, 0)).toEqual(empty + 500);
	});

	it('a replica that decodes takes longer for a token', () => {
		expect(new ReadingQueue(2).expect(1000, 0) - empty).toEqual(35);
	});

	const speeds = [
		{name: 'a fast engine is learned', tokenMs: 0.01, offsetMs: 20},
		{name: 'a slow one too', tokenMs: 0.12, offsetMs: 200},
	];
	for (const {name, tokenMs, offsetMs} of speeds) {
		it(name, () => {
			const random = seedRandom(7);
			const queue = new ReadingQueue();
			for (let at = 0; at < 300_000; at += 1000) {
				const tokens = 500 + (random.next() * 5000);
				const reading = queue.begin(tokens, at);
				queue.finish(reading, at + offsetMs + (tokens * tokenMs));
			}

			expect(Math.abs(queue.tokenMs - tokenMs) < 0.05 * tokenMs).toEqual(true);
			expect(Math.abs(queue.expect(3000, 400_000) - offsetMs - (3000 * tokenMs)) < 10).toEqual(true);
		});
	}

	const lengths = [
		{name: 'prompts of one length leave the time for a token as it was', tokens: 3000, count: 20_000},
		{name: 'so do prompts without a length', tokens: 0, count: 20_000},
	];
	for (const {name, tokens, count} of lengths) {
		it(name, () => {
			const random = seedRandom(9);
			const queue = new ReadingQueue();
			const {tokenMs} = queue;
			for (let at = 0; at < count * 1000; at += 1000) {
				queue.finish(queue.begin(tokens, at), at + 250 + (20 * random.next()));
			}

			expect(queue.tokenMs).toEqual(tokenMs);
			expect(Math.abs(queue.expect(tokens, (count + 1) * 1000) - 260) < 10).toEqual(true);
		});
	}
});
