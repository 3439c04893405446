/**
 * Starts, reloads and stops a process on signals. Safety: while a listener is
 * missing, a signal ends the process and cuts its requests, so signals are
 * received from the first statement on and kept until they can be handled.
 */
import {type EventEmitter} from 'node:events';
import {setImmediate as nextTurn, setTimeout as pause} from 'node:timers/promises';
import {ignore} from '@gatehead/policy/utils/ignore';
import {StandstillWatch} from './standstill.js';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;
const reloadSignal = 'SIGHUP';
/** Turns of the event loop in which signals are reported that arrived while the process was loaded: a turn that has begun may be past them. */
const signalTurns = 2;
/** Time that a stop gets beyond its own, in milliseconds: in a process that stood still it has not gone on yet when that is over. */
const overdueMs = 50;

/** What a process does on signals. */
export type ProcessTasks = {
	readonly start: () => Promise<unknown>;
	/** Reads the settings again; absent: they take effect at a start only. */
	readonly reload?: () => void;
	readonly stop: (elapsed: StopDelay) => Promise<void>;
	/** Longest time from the first stop signal to the end of the stop, and of a start that it finds unfinished, in milliseconds; absent: any time. */
	readonly maxStopMs?: number;
};

/** Time since the first stop signal, in milliseconds. */
export type StopDelay = {
	/** Since the process saw it. */
	readonly sinceSeenMs: number;
	/** Since it may have been sent at the earliest: it is seen late if it is sent while the process stands still. */
	readonly sinceSentMs: number;
};

/** How a process has stopped; `overdue`: a step had not ended in time. */
export type StopOutcome = 'complete' | 'overdue';

/** Signals of one process. */
export class ProcessSignals {
	readonly #abort = new AbortController();
	readonly #standstills = new StandstillWatch();
	readonly #stopped: Promise<void>;
	#stopSignal = '';
	#seenAt = Number.POSITIVE_INFINITY;
	#sentAt = Number.POSITIVE_INFINITY;
	#isReloadDue = false;
	/** Undefined: the start is not complete. */
	#reload: (() => void) | undefined;

	constructor(source: Pick<EventEmitter, 'on'>) {
		this.#stopped = new Promise(resolve => {
			for (const signal of stopSignals) {
				source.on(signal, () => {
					if (this.#stopSignal === '') {
						this.#stopSignal = signal;
						this.#seenAt = performance.now();
						this.#sentAt = this.#standstills.earliestArrival();
					}

					this.#abort.abort();
					resolve();
				});
			}
		});
		source.on(reloadSignal, () => {
			this.reload();
		});
	}

	/** Aborted by the first stop signal. A start that waits throws its reason. */
	get stopping(): AbortSignal {
		return this.#abort.signal;
	}

	/** First stop signal; empty: none. */
	get stopSignal(): string {
		return this.#stopSignal;
	}

	/** Time since the first stop signal, in milliseconds; 0 before. One that arrived while the process stood still counts from the begin of the standstill. */
	get stoppingForMs(): number {
		return Math.max(0, performance.now() - this.#sentAt);
	}

	/** Reads the settings again, once the start is complete and unless a stop has begun. */
	reload(): void {
		this.#isReloadDue = true;
		this.#handleReload();
	}

	/** Runs a process until the first stop signal and resolves once it has stopped, or its time to stop is over. Throws the error of the start or the stop. Later signals change nothing. */
	async run(tasks: ProcessTasks): Promise<StopOutcome> {
		for (let turn = 0; turn < signalTurns; turn += 1) {
			await nextTurn();
		}

		if (this.stopping.aborted) {
			return 'complete';
		}

		const {maxStopMs} = tasks;
		const outcomes = [this.#runTasks(tasks)];
		if (maxStopMs !== undefined) {
			outcomes.push(this.#waitForOverdue(maxStopMs));
		}

		return Promise.race(outcomes);
	}

	async #runTasks({start, reload = ignore, stop}: ProcessTasks): Promise<StopOutcome> {
		await start();
		this.#reload = reload;
		this.#handleReload();
		await this.#stopped;
		await stop({sinceSeenMs: performance.now() - this.#seenAt, sinceSentMs: this.stoppingForMs});
		return 'complete';
	}

	async #waitForOverdue(maxStopMs: number): Promise<StopOutcome> {
		await this.#stopped;
		await pause(Math.max(0, maxStopMs - this.stoppingForMs));
		await pause(overdueMs);
		return 'overdue';
	}

	#handleReload(): void {
		if (this.#isReloadDue && !this.stopping.aborted && this.#reload !== undefined) {
			this.#isReloadDue = false;
			this.#reload();
		}
	}
}
