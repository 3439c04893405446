/** Catalogue: how long a prompt is expected to take at a prefill replica. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
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
});
