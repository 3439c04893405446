/** Guards against conclusions from an outdated list of endpoints, and against a read of the directory for each request that asks. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {ListEvidence} from './list-evidence.js';

/** Rounds of the event loop in which all pending work of a test is done. */
const rounds = 10;
const leftMs = 8000;
const maxWaitMs = 400;

class Host {
	readonly clock = new ManualClock();
	reads = 0;
	/** Time that a read takes, in milliseconds; undefined: it never ends. */
	readMs: number | undefined = 10;
	readonly watch = {
		listedAt: Number.NEGATIVE_INFINITY, isRecovered: true, confirm: async () => this.#confirm(),
	};

	readonly evidence = new ListEvidence({clock: this.clock, watch: () => this.watch});

	/** Lets time pass and pending work run. */
	async pass(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += 1) {
			this.clock.advance(1);
			await settle();
		}
	}

	async #confirm(): Promise<void> {
		this.reads += 1;
		const sentAt = this.clock.now();
		await new Promise<void>(resolve => {
			if (this.readMs !== undefined) {
				this.clock.after(this.readMs, resolve);
			}
		});
		this.watch.listedAt = sentAt;
	}
}

async function settle(): Promise<void> {
	for (let round = 0; round < rounds; round += 1) {
		await setImmediate();
	}
}

describe('evidence of the list of endpoints', () => {
	it('a read that was sent before the question does not count', async () => {
		const host = new Host();
		void host.evidence.refresh(0, leftMs);
		await host.pass(5);
		let isDone = false;
		const askedAt = host.clock.now();
		void host.evidence.refresh(askedAt, leftMs).then(() => {
			isDone = true;
		});
		await host.pass(8);
		expect([host.watch.listedAt, host.evidence.isComplete(askedAt), isDone]).toEqual([0, false, false]);
		await host.pass(110);
		expect([host.evidence.isComplete(askedAt), isDone]).toEqual([true, true]);
	});

	it('requests that arrive within the interval share reads', async () => {
		const host = new Host();
		const asked: Array<Promise<void>> = [];
		for (let index = 0; index < 100; index += 1) {
			asked.push(host.evidence.refresh(host.clock.now(), leftMs));
			await host.pass(2);
		}

		await host.pass(maxWaitMs);
		await Promise.all(asked);
		expect(host.reads <= 4 && host.evidence.isComplete(198)).toEqual(true);
	});

	for (const {name, requestMs, waitMs} of [
		{name: 'a request waits no longer than the limit', requestMs: leftMs, waitMs: maxWaitMs},
		{name: 'a request waits no longer than a quarter of its time', requestMs: 400, waitMs: 100},
	]) {
		it(`while the directory is silent, ${name}`, async () => {
			const host = new Host();
			host.readMs = undefined;
			let isDone = false;
			void host.evidence.refresh(0, requestMs).then(() => {
				isDone = true;
			});
			await host.pass(waitMs - 1);
			expect(isDone).toEqual(false);
			await host.pass(1);
			expect([isDone, host.evidence.isComplete(0)]).toEqual([true, false]);
		});
	}

	it('a list that an outage may have shortened proves nothing', async () => {
		const host = new Host();
		host.watch.isRecovered = false;
		void host.evidence.refresh(0, leftMs);
		await host.pass(20);
		expect([host.watch.listedAt, host.evidence.isComplete(0)]).toEqual([0, false]);
	});
});
