/**
 * Reads the published directory: a list at the start, after a gap and in a
 * new history, one watch after the other else. Efficiency, but for two rules:
 * what the directory does not say is not believed to be gone while it is away,
 * and a watch never goes on from one history into another.
 */
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter} from '@gatehead/policy/utils/random';
import {isCovered, type Position} from '@gatehead/schema/position';
import {type Endpoints} from '../upstream/endpoints.js';
import {type Bookkeeping, type RelayContext} from './context.js';
import {DirectoryError, type Changes} from './directory.js';
import {DirectoryHistory} from './directory-history.js';
import {DirectoryIntake} from './directory-intake.js';
import {type RoutingState} from './routing-state.js';

/** Part by which the pause before the next read differs, so that hosts do not ask together. */
const retrySpread = 0.3;
/** Failures in a row beyond which the pause between reads grows no further: the setting's longest pause bounds it before. */
const mostDoublings = 8;
/** Pause before the list that follows a gap, in milliseconds: only lets other work of this turn go first. */
const gapPauseMs = 1;
/** Time that the directory gets to answer a watch that waits briefly, beyond its wait, in milliseconds; doubled with each failure: twice what one takes that is fifty times slower than usual. */
const briefAnswerMs = 400;
/** Wait of the watch that only asks whether the directory is back, in milliseconds: the shortest that the directory takes. */
const probeMs = 1;
/** Interval at which a host that need not watch looks whether that has changed, in milliseconds: shorter than a tick between hosts. */
const idleMs = 500;
/** Time that the first list of a host which knows nothing yet gets, in milliseconds, doubled with each that fails: a hundred times what a directory at ease takes. A connection that was opened while the directory said nothing stays silent, and the host refuses all callers until its list is there. */
const firstListMs = 250;
/** Time that the directory gets to tell its revision, in milliseconds: twice what one takes that is sixty times slower than usual. */
const confirmMs = 500;
/** Reads that must fail one after the other before the directory counts as away: it may cut a watch while it waits, and entries lapse only in outages of two heartbeats (2.4 s) or more. */
const awayFailures = 2;

function outcomeOf(isGap: boolean, isSilent: boolean): string {
	if (isGap) {
		return 'gap';
	}

	return isSilent ? 'silent' : 'failed';
}

/** What a read came to. `failed` once: the directory may cut a watch while it waits; `away`: it is away from this host. */
export type ReadOutcome = 'answered' | 'failed' | 'away';

/** What the watch works with. */
export type WatchParts = {
	readonly context: Bookkeeping & Pick<RelayContext, 'directory' | 'settings'>;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	/** Whether this host reads the directory itself, or hears of it from others. */
	readonly isReader: () => boolean;
	/** Whether this host is the one whose watches are short, so that the others' silence is noticed. */
	readonly isShortWatcher: () => boolean;
	/** Called with the outcome of each read of the directory. */
	readonly onRead: (outcome: ReadOutcome) => void;
	/** Called when something was read that others may not know. */
	readonly onNews: () => void;
};

/** One host's reading of the directory. */
export class DirectoryWatch {
	readonly #parts: WatchParts;
	readonly #abort = new AbortController();
	/** Ends the read in work. */
	#call: AbortController | undefined;
	#timer: Timer | undefined;
	/** Ends the pause of a host that is not needed. */
	#wake: (() => void) | undefined;
	#isDown = false;
	#failures = 0;
	/** A watch was ended because others know more; until a read is answered the directory is asked anew. */
	#isDoubted = false;
	#mustList = true;
	/** When the newest that this host knows was read, on its own clock. */
	#readAt = Number.NEGATIVE_INFINITY;
	readonly #history = new DirectoryHistory();
	readonly #intake: DirectoryIntake;
	/** The confirmation under way: all that ask meanwhile share it. */
	#confirming: Promise<void> | undefined;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		this.#intake = new DirectoryIntake({
			...parts,
			onRouting: position => {
				this.#history.noteRouting(position);
			},
		});
	}

	/** Up to where this host knows the directory; undefined: it knows nothing. */
	get position(): Position | undefined {
		return this.#history.position;
	}

	/** The revision of that; -1: it knows nothing. */
	get revision(): number {
		return this.position?.revision ?? -1;
	}

	/** Whether the directory is held to be away. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Starts to read. */
	start(): void {
		void this.#run();
	}

	/** Stops. */
	stop(): void {
		this.#abort.abort();
		this.#timer?.stop();
	}

	/** Ends a watch that has not brought what others know; the next read goes over another connection. */
	doubt(): void {
		if (!this.#isDown && !this.#isDoubted) {
			this.#isDoubted = true;
			this.#call?.abort();
		}
	}

	/** Begins the next read at once, where this host only waits to be needed. */
	wake(): void {
		this.#wake?.();
	}

	/** Whether the directory answered this host's last read. */
	get isAnswered(): boolean {
		return this.#failures === 0;
	}

	/** Whether what this host knows was read while the directory answered, by itself or by the host that the news began with. */
	get isWitnessed(): boolean {
		return this.#history.isWitnessed;
	}

	/** How long ago what this host knows was read, by itself or by the host that the news began with, in milliseconds. */
	get ageMs(): number {
		return Number.isFinite(this.#readAt) ? Math.max(0, this.#parts.context.clock.now() - this.#readAt) : 0;
	}

	/** Takes over what another host has read, so long ago. */
	hear(position: Position, isWitnessed: boolean, ageMs = 0): void {
		this.#readAt = this.#parts.context.clock.now() - ageMs;
		this.#history.advance(position, isWitnessed);
	}

	/**
	 * Follows the history of a position that was read or heard, where it is a
	 * later one: the directory has come back from a copy. Called before
	 * anything of it is believed.
	 */
	follow(position: Position, source: string): void {
		if (this.#history.place(position) !== 'restored') {
			return;
		}

		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		const {position: previous} = this;
		this.#history.enter(position, clock.now());
		endpoints.book.directoryRestored(position, clock.now());
		metrics.add('directoryRestores');
		log('directoryRestored', {
			epoch: position.epoch, revision: position.revision, previousEpoch: previous?.epoch, previousRevision: previous?.revision, source,
		});
	}

	/**
	 * Asks the directory whether this host knows all that is published, reads
	 * what it lacks, and notes the instant of asking. A watch is no evidence:
	 * its connection may be cut in silence, and it may be told of a change late.
	 */
	async confirm(): Promise<void> {
		this.#confirming ??= this.#confirm().finally(() => {
			this.#confirming = undefined;
		});
		return this.#confirming;
	}

	async #run(): Promise<void> {
		const {clock} = this.#parts.context;
		while (!this.#abort.signal.aborted) {
			const isNeeded = this.position === undefined || this.#parts.isReader();
			if (!isNeeded) {
				this.#resign();
			}

			const pauseMs = isNeeded ? await this.#read() : idleMs;
			if (pauseMs > 0) {
				await new Promise<void>(resolve => {
					this.#timer = clock.after(pauseMs, resolve);
					this.#wake = isNeeded ? undefined : resolve;
				});
				this.#timer?.stop();
				this.#wake = undefined;
			}
		}
	}

	/** Others read the directory now: that this host could not says nothing any more, and what they call gone is believed. */
	#resign(): void {
		if (this.#isDown) {
			const {context: {clock, log}, endpoints} = this.#parts;
			this.#isDown = false;
			this.#failures = 0;
			endpoints.book.directoryLeftToOthers(clock.now());
			log('directoryBack', {revision: this.revision, detail: 'other hosts read it now'});
		}
	}

	/** One read; returns the pause before the next. */
	async #read(): Promise<number> {
		const {metrics} = this.#parts.context;
		const wasDoubted = this.#isDoubted;
		const from = this.position;
		const read = this.#mustList || from === undefined ? 'list' : 'watch';
		const askedAt = this.#parts.context.clock.now();
		try {
			const changes = from === undefined || read === 'list' ? await this.#list() : await this.#watch(from.revision);
			this.#refuseOutdated(changes.position);
			metrics.add('directoryReads', {read, outcome: 'answered'});
			this.#back();
			if (read === 'watch' && changes.position.epoch !== from?.epoch) {
				// What this history changed below the revision that was asked for is not among the changes
				this.#mustList = true;
				return gapPauseMs;
			}

			this.#take(changes, read);
			if (read === 'list') {
				this.#confirmAt(askedAt);
			}

			return 0;
		} catch (error) {
			if (this.#abort.signal.aborted || this.#isDoubted !== wasDoubted) {
				// Ended from here: that says nothing about the directory
				return 0;
			}

			return this.#fail(error, read, this.#call?.signal.aborted === true);
		}
	}

	async #confirm(): Promise<void> {
		const {routing, context: {clock, directory, metrics, settings: {timing}}} = this.#parts;
		const askedAt = clock.now();
		try {
			const position = await this.#limit(confirmMs, async signal => directory.readPosition(signal));
			metrics.add('directoryReads', {read: 'revision', outcome: 'answered'});
			if (this.position !== undefined && isCovered(position, this.position)) {
				this.#confirmAt(askedAt);
				return;
			}

			this.#refuseOutdated(position);

			const listedAt = clock.now();
			const changes = await this.#limit(timing.directoryAnswerMs, async signal => directory.list(signal));
			this.#refuseOutdated(changes.position);
			metrics.add('directoryReads', {read: 'list', outcome: 'answered'});
			this.#take(changes, 'list');
			this.#confirmAt(listedAt);
		} catch (error) {
			metrics.add('directoryReads', {read: 'revision', outcome: 'failed'});
			this.#parts.context.log('directoryUnconfirmed', {revision: this.revision, confirmedMs: Math.round(routing.ageMs()), detail: String(error)});
		}
	}

	async #list(): Promise<Changes> {
		const {context: {directory, settings: {timing}}} = this.#parts;
		const limitMs = this.position === undefined ? firstListMs * (2 ** Math.min(this.#failures, mostDoublings)) : timing.directoryAnswerMs;
		return this.#limitRead(Math.min(limitMs, timing.directoryAnswerMs), async signal => directory.list(signal));
	}

	async #watch(after: number): Promise<Changes> {
		const {isShortWatcher, context: {directory, settings: {timing}}} = this.#parts;
		const calmMs = isShortWatcher() ? Math.min(timing.shortWatchMs, timing.watchMs) : timing.watchMs;
		const waitMs = this.#failures > 0 || this.#isDoubted ? probeMs : calmMs;
		// Connections die in silence: a host that is to notice that for all must not wait as long as for a list
		const answerMs = waitMs < timing.watchMs ? briefAnswerMs * (2 ** Math.min(this.#failures, mostDoublings)) : timing.directoryAnswerMs;
		return this.#limitRead(waitMs + Math.min(answerMs, timing.directoryAnswerMs), async signal => directory.watch(after, waitMs, signal));
	}

	/** A read of the watch, which `doubt` may end. */
	async #limitRead<Result>(limitMs: number, call: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
		const controller = new AbortController();
		this.#call = controller;
		return this.#limit(limitMs, call, controller);
	}

	async #limit<Result>(limitMs: number, call: (signal: AbortSignal) => Promise<Result>, controller = new AbortController()): Promise<Result> {
		const {clock} = this.#parts.context;
		const timer = clock.after(limitMs, () => {
			controller.abort();
		});
		try {
			return await call(AbortSignal.any([this.#abort.signal, controller.signal]));
		} finally {
			timer.stop();
		}
	}

	/** `isSilent`: nothing came within the read's own bound. */
	#fail(error: unknown, read: string, isSilent: boolean): number {
		const {log, metrics, random, settings: {timing}} = this.#parts.context;
		const isGap = error instanceof DirectoryError && error.isGap;
		metrics.add('directoryReads', {read, outcome: outcomeOf(isGap, isSilent)});
		const namesAnother = error instanceof DirectoryError && error.epoch !== undefined && this.#history.place({epoch: error.epoch, revision: 0}) === 'restored';
		this.#mustList ||= namesAnother;
		if (isGap) {
			log('directoryLost', {read, revision: this.revision, detail: 'the history since this revision is gone; it is listed anew'});
			this.#mustList = true;
			return gapPauseMs;
		}

		this.#failures += 1;
		const isRefused = error instanceof DirectoryError && error.isRefused;
		this.#parts.onRead(isSilent || isRefused || this.#failures >= awayFailures ? 'away' : 'failed');

		if (!this.#isDown && this.#failures >= awayFailures) {
			this.#lose(error, read);
		}

		if (isSilent && this.#failures === 1) {
			// The connection may have died; the next read goes over a new one
			return 0;
		}

		const pauseMs = Math.min(timing.directoryRetryMostMs, timing.directoryRetryMs * (2 ** Math.min(this.#failures, mostDoublings)));
		return jitter(random, pauseMs, retrySpread);
	}

	#lose(error: unknown, read: string): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		this.#isDown = true;
		endpoints.book.directoryLost();
		log('directoryLost', {
			read, revision: this.revision, detail: String(error), at: Math.round(clock.now()),
		});
		metrics.set('directory', 0);
	}

	#back(): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		metrics.set('directory', 1);
		if (this.#isDown) {
			this.#isDown = false;
			endpoints.book.directoryBack(clock.now());
			log('directoryBack', {revision: this.revision, failures: this.#failures});
		}

		this.#failures = 0;
		this.#isDoubted = false;
		this.#parts.onRead('answered');
	}

	/** An answer from before the directory came back was long on its way, or its teller is out of date: it is none. */
	#refuseOutdated(position: Position): void {
		if (this.#history.place(position) === 'outdated') {
			throw new DirectoryError(`an answer of epoch ${String(position.epoch)}, which is over`);
		}
	}

	/** Takes note that the configuration in force was the newest at an instant, where the directory can tell. */
	#confirmAt(askedAt: number): void {
		if (this.#history.mayConfirm(this.#parts.context.clock.now())) {
			this.#parts.routing.confirm(askedAt);
		}
	}

	#take(changes: Changes, read: string): void {
		const isNewHistory = this.#history.place(changes.position) === 'restored';
		this.follow(changes.position, 'directory');
		if (read === 'list') {
			this.#mustList = false;
			this.#intake.replace(changes);
		}

		this.#intake.apply(changes);
		this.hear(changes.position, true);
		if (changes.changes.length > 0 || isNewHistory) {
			this.#parts.onNews();
		}
	}
}
