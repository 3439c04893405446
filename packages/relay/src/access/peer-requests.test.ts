/** Guards against replies of peers that are given up because this process was late to read them, and against waits without an end for peers that are silent. */
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {expect} from 'earl';
import {PeerRequests} from './peer-requests.js';

const timeoutMs = 500;

/** A clock of a process that may stand still: timers that become due meanwhile fire late. */
class LateClock implements Clock {
	readonly #timers = new Map<symbol, {readonly at: number; readonly run: () => void}>();
	#now = 0;

	now(): number {
		return this.#now;
	}

	after(delayMs: number, run: () => void): Timer {
		const id = Symbol('timer');
		this.#timers.set(id, {at: this.#now + delayMs, run});
		return {
			stop: () => {
				this.#timers.delete(id);
			},
		};
	}

	/** Passes time in one step, then fires what has become due. */
	pass(milliseconds: number): void {
		this.#now += milliseconds;
		for (const [id, {at, run}] of this.#timers) {
			if (at <= this.#now) {
				this.#timers.delete(id);
				run();
			}
		}
	}
}

type TimeoutCase = {
	readonly name: string;
	readonly extendsLateTimeouts: boolean;
	/** Steps in which time passes before the reply arrives, in milliseconds. */
	readonly steps: readonly number[];
	readonly answer: string | undefined;
};

const cases: readonly TimeoutCase[] = [
	{
		name: 'a reply in time', extendsLateTimeouts: true, steps: [timeoutMs - 1], answer: 'reply',
	},
	{
		name: 'a reply that is read after this process stood still', extendsLateTimeouts: true, steps: [1300], answer: 'reply',
	},
	{
		name: 'a reply of a peer that stood still as well', extendsLateTimeouts: true, steps: [600, 200, 200], answer: 'reply',
	},
	{
		name: 'no reply, while this process is on time', extendsLateTimeouts: true, steps: [timeoutMs], answer: undefined,
	},
	{
		name: 'no reply after this process stood still', extendsLateTimeouts: true, steps: [600, timeoutMs], answer: undefined,
	},
	{
		name: 'no reply while this process stands still again and again', extendsLateTimeouts: true, steps: [600, 600], answer: undefined,
	},
	{
		name: 'a reply that is read late where timeouts are fixed', extendsLateTimeouts: false, steps: [600], answer: undefined,
	},
];

describe('requests to peers', () => {
	for (const {name, extendsLateTimeouts, steps, answer} of cases) {
		it(name, async () => {
			const clock = new LateClock();
			const requests = new PeerRequests<string>(clock, {extendsLateTimeouts});
			let id = 0;
			const reply = requests.send(timeoutMs, asked => {
				id = asked;
			});
			for (const step of steps) {
				clock.pass(step);
			}

			await setImmediate();
			requests.settle(id, 'reply');
			expect(await reply).toEqual(answer);
		});
	}
});
