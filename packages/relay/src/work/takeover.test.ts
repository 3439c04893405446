/** When another run is sought for a silent one, and when the silent one ends: a run that is ended for one that cannot begin is lost, and two runs at a time repeat work. */
import {setImmediate as turn} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type Clock, type Timer} from '@gatehead/policy/utils/clock';
import {ManualClock} from '@gatehead/policy/utils/manual-clock';
import {expect} from 'earl';
import {Takeover, type TakeoverAttempt} from './takeover.js';

const idleMs = 1000;
const firstIdleMs = 1500;

/** Time for which a process stands still, in milliseconds. */
const frozenMs = 400;

/** Clock of a process that can stand still: timers that are due meanwhile fire late. */
class FreezableClock implements Clock {
	readonly #running = new ManualClock();
	#frozenMs = 0;

	now(): number {
		return this.#running.now() + this.#frozenMs;
	}

	after(delayMs: number, run: () => void): Timer {
		return this.#running.after(delayMs, run);
	}

	advance(milliseconds: number): void {
		this.#running.advance(milliseconds);
	}

	freeze(): void {
		this.#frozenMs += frozenMs;
	}
}

/** An attempt in progress, and how it ends. */
type PendingAttempt = TakeoverAttempt & {
	readonly finish: (result: string | undefined) => void;
	readonly fail: (error: Error) => void;
};

class Run {
	readonly clock = new FreezableClock();
	readonly request = new AbortController();
	readonly attempts: PendingAttempt[] = [];
	readonly errors: string[] = [];
	/** Times that the silent run was ended. */
	ended = 0;
	readonly takeover: Takeover<string>;
	readonly #actions: Readonly<Record<Action, () => void>> = {
		event: () => {
			this.takeover.recordProgress();
		},
		stop: () => {
			this.takeover.stop();
		},
		freeze: () => {
			this.clock.freeze();
		},
		leave: () => {
			this.request.abort('callerLeft');
		},
		commit: () => {
			this.#last.commit();
		},
		done: () => {
			this.#last.finish('replaced');
		},
		none: () => {
			this.#last.finish(undefined);
		},
		fail: () => {
			this.#last.fail(new Error('broken'));
		},
	};

	constructor() {
		const {clock, request: {signal}} = this;
		this.takeover = new Takeover<string>({
			clock,
			idleMs,
			signal,
			begin: async attempt => new Promise((resolve, reject) => {
				this.attempts.push({...attempt, finish: resolve, fail: reject});
			}),
			endSilent: () => {
				this.ended += 1;
			},
			onError: error => {
				this.errors.push(String(error));
			},
		}, firstIdleMs);
	}

	get #last(): PendingAttempt {
		const attempt = this.attempts.at(-1);
		if (attempt === undefined) {
			throw new Error('no attempt has begun');
		}

		return attempt;
	}

	async play(step: Step): Promise<void> {
		if (typeof step === 'number') {
			this.clock.advance(step);
		} else {
			this.#actions[step]();
		}

		// Lets an attempt that has ended be taken note of
		await turn();
	}
}

type Action = 'event' | 'freeze' | 'stop' | 'leave' | 'commit' | 'done' | 'none' | 'fail';

/** Milliseconds that pass, or what happens. */
type Step = number | Action;

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	/** Attempts that began. */
	readonly begun: number;
	/** Whether the last attempt was told to give up. */
	readonly isAborted?: boolean;
	/** Times that the silent run was ended. */
	readonly ended?: number;
	/** What takes the place of the run once it has ended. */
	readonly result?: string;
	readonly errors?: number;
};

const cases: readonly Case[] = [
	{name: 'no attempt before the first idle time', steps: [firstIdleMs - 1], begun: 0},
	{name: 'an attempt after the first idle time', steps: [firstIdleMs], begun: 1},
	{name: 'an event makes the shorter idle time count', steps: ['event', idleMs], begun: 1},
	{name: 'events in time keep the run alone', steps: ['event', idleMs - 1, 'event', idleMs - 1, 'event', idleMs - 1], begun: 0},
	{name: 'a process that stood still reads what has arrived first', steps: ['freeze', firstIdleMs, frozenMs - 1], begun: 0},
	{name: 'an event that waited meanwhile counts', steps: ['freeze', firstIdleMs, 'event', idleMs - 1], begun: 0},
	{name: 'a run that is still silent is replaced', steps: ['freeze', firstIdleMs, frozenMs], begun: 1},
	{name: 'a process that stands still again delays the attempt once', steps: ['freeze', firstIdleMs, 'freeze', frozenMs], begun: 1},
	{name: 'one attempt at a time', steps: [firstIdleMs, 5 * idleMs], begun: 1},
	{
		name: 'an event ends an attempt', steps: [firstIdleMs, 'event'], begun: 1, isAborted: true,
	},
	{
		name: 'an attempt that cannot begin leaves the run alone', steps: [firstIdleMs, 'none'], begun: 1, isAborted: false, ended: 0,
	},
	{name: 'the next attempt follows after the idle time', steps: [firstIdleMs, 'none', idleMs - 1], begun: 1},
	{name: 'and no sooner', steps: [firstIdleMs, 'none', idleMs], begun: 2},
	{name: 'an attempt that ends late after an event does not delay the next one for long', steps: [firstIdleMs, 'event', idleMs, 'none', idleMs], begun: 2},
	{
		name: 'a result without a commit is not used', steps: [firstIdleMs, 'done'], begun: 1, ended: 0,
	},
	{
		name: 'an attempt that fails leaves the run alone', steps: [firstIdleMs, 'fail'], begun: 1, ended: 0, errors: 1,
	},
	{
		name: 'and another one follows', steps: [firstIdleMs, 'fail', idleMs], begun: 2, errors: 1,
	},
	{
		name: 'a commit ends the run', steps: [firstIdleMs, 'commit', 'done'], begun: 1, ended: 1, result: 'replaced',
	},
	{
		name: 'a second commit does nothing', steps: [firstIdleMs, 'commit', 'commit', 'done'], begun: 1, ended: 1, result: 'replaced',
	},
	{
		name: 'an event behind the commit does not end the other run', steps: [firstIdleMs, 'commit', 'event', 'done'], begun: 1, isAborted: false, ended: 1, result: 'replaced',
	},
	{
		name: 'nothing begins behind the commit', steps: [firstIdleMs, 'commit', 10 * idleMs, 'done'], begun: 1, ended: 1, result: 'replaced',
	},
	{
		name: 'the end of the silent run does not end the other one', steps: [firstIdleMs, 'commit', 'stop', 'done'], begun: 1, isAborted: false, ended: 1, result: 'replaced',
	},
	{
		name: 'the end of the run ends an attempt', steps: [firstIdleMs, 'stop', 'none'], begun: 1, isAborted: true,
	},
	{name: 'nothing begins once the run has ended', steps: ['stop', 10 * idleMs], begun: 0},
	{name: 'nor after an attempt that ends later', steps: [firstIdleMs, 'stop', 'none', 10 * idleMs], begun: 1},
	{name: 'nor after an event that is read later', steps: ['stop', 'event', 10 * idleMs], begun: 0},
	{
		name: 'a caller that leaves ends an attempt', steps: [firstIdleMs, 'leave', 'none'], begun: 1, isAborted: true,
	},
	{
		name: 'a caller that leaves ends the other run', steps: [firstIdleMs, 'commit', 'leave', 'done'], begun: 1, isAborted: true, ended: 1, result: 'replaced',
	},
];

describe('the takeover of a silent run', () => {
	for (const {name, steps, begun, isAborted, ended = 0, result, errors = 0} of cases) {
		it(name, async () => {
			const run = new Run();
			for (const step of steps) {
				await run.play(step);
			}

			expect({
				begun: run.attempts.length, ended: run.ended, isCommitted: run.takeover.isCommitted, errors: run.errors.length,
			}).toEqual({
				begun, ended, isCommitted: ended > 0, errors,
			});
			if (isAborted !== undefined) {
				expect(run.attempts.at(-1)?.signal.aborted).toEqual(isAborted);
			}

			const settled = run.takeover.settle();
			run.attempts.at(-1)?.finish(undefined);
			expect(await settled).toEqual(result);
		});
	}

	it('an error of the other run reaches whoever waits for its result', async () => {
		const run = new Run();
		for (const step of [firstIdleMs, 'commit', 'fail'] as const) {
			await run.play(step);
		}

		await expect(run.takeover.settle()).toBeRejectedWith('broken');
		expect(run.errors).toEqual([]);
	});

	it('the caller of `settle` waits until an attempt has ended', async () => {
		const run = new Run();
		await run.play(firstIdleMs);
		let isSettled = false;
		const settled = run.takeover.settle().then(() => {
			isSettled = true;
		});
		await turn();
		expect(isSettled).toEqual(false);
		run.attempts[0]?.finish(undefined);
		await settled;
	});
});
