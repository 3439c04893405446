/**
 * Reads the directory: a list at the start, after a gap and in a new epoch,
 * otherwise consecutive watches. Safety: an endpoint is not considered gone for
 * lack of confirmation while the directory is unavailable, and a watch never
 * continues from one epoch into another.
 */
import {outageGraceMs} from '@gatehead/policy/relay/endpoint-book';
import {type Timer} from '@gatehead/policy/utils/clock';
import {jitter} from '@gatehead/policy/utils/random';
import {isCovered, type Position} from '@gatehead/schema/position';
import {type Endpoint} from '@gatehead/schema/routing';
import {type Endpoints} from '../upstream/endpoints.js';
import {type BaseContext, type RelayContext} from './context.js';
import {DirectoryError, type Changes} from './directory.js';
import {DirectoryHistory} from './directory-history.js';
import {DirectoryChangeApplier} from './directory-change-applier.js';
import {type RoutingState} from './routing-state.js';

/** Relative jitter of the retry delay, so that hosts do not retry at the same time. */
const retryJitter = 0.3;
/** Consecutive failures after which delays and timeouts no longer double; keeps the factor finite. */
const maxBackoffDoublings = 8;
/** Delay before the list after a gap, in milliseconds; only yields to other pending work. */
const gapPauseMs = 1;
/** Response timeout of a watch with a short wait, in addition to its wait, in milliseconds; doubles with each failure. Twice the response time of a directory that is fifty times slower than usual. */
const shortWatchTimeoutMs = 400;
/** Wait of a watch that only checks whether the directory is available, in milliseconds: the minimum that the directory accepts. */
const probeWaitMs = 1;
/** Interval at which a host that does not read the directory checks whether it has become a reader, in milliseconds; shorter than the heartbeat interval. */
const roleCheckMs = 500;
/** Timeout of the first list, in milliseconds; doubles with each failure. Short, because a connection opened during an outage may never respond, and the host rejects all callers until it has a list. */
const initialListTimeoutMs = 250;
/** Maximum duration of a read whose response keeps arriving, in milliseconds: the shortest time for which the directory remembers changes. */
const maxReadMs = 20_000;
/** Timeout of a position read, in milliseconds. */
const confirmTimeoutMs = 500;
/** Revisions before the first list from which a host reads the past, largest first: the directory may have forgotten them. */
const pastSpans = [1024, 256, 64, 16] as const;
/** Timeout of a read of the past, in milliseconds. */
const pastTimeoutMs = 400;
/** Consecutive failures after which the directory counts as unavailable. One failure is not enough, because the directory may close a pending watch; its entries only expire in outages of two heartbeats (2.4 s) or more. */
const unavailableAfterFailures = 2;

function outcomeOf(isGap: boolean, isTimeout: boolean): string {
	if (isGap) {
		return 'gap';
	}

	return isTimeout ? 'silent' : 'failed';
}

/** Outcome of a read. `failed`: a single failure, such as a closed watch; `away`: the directory is unavailable to this host. */
export type ReadOutcome = 'answered' | 'failed' | 'away';

/** A read of the directory, which reports that a part of its response has arrived. */
type DirectoryRead<Result> = (signal: AbortSignal, onProgress: () => void) => Promise<Result>;

/** Dependencies of `DirectoryWatch`. */
export type DirectoryWatchParts = {
	readonly context: BaseContext & Pick<RelayContext, 'directory' | 'settings'>;
	readonly endpoints: Endpoints;
	readonly routing: RoutingState;
	/** Whether this host reads the directory itself; otherwise other hosts send it updates. */
	readonly isReader: () => boolean;
	/** Whether this host uses short watches, so that one host of the fleet detects dead connections early. */
	readonly isShortWatcher: () => boolean;
	/** Called with the outcome of each read of the directory. */
	readonly onRead: (outcome: ReadOutcome) => void;
	/** Called when a read returned changes that other hosts may lack. */
	readonly onChange: () => void;
	/** Called after the first list with the entries written before it, in order, as far as the directory remembers them; absent: they are not read. */
	readonly onPast?: (entries: readonly Endpoint[]) => void;
};

/** Reader of the directory at one host. */
export class DirectoryWatch {
	readonly #parts: DirectoryWatchParts;
	readonly #abort = new AbortController();
	/** Aborts the read in progress. */
	#readAbort: AbortController | undefined;
	#timer: Timer | undefined;
	/** Ends the idle delay of a host that is not a reader. */
	#wake: (() => void) | undefined;
	#isUnavailable = false;
	#failures = 0;
	/** Whether `recheck` aborted a watch and no read has succeeded since; watches use the shortest wait meanwhile. */
	#isRechecking = false;
	#mustList = true;
	/** Time at which the latest known state was read, on this host's clock. */
	#readAt = Number.NEGATIVE_INFINITY;
	/** Time from which this host has known a state of the directory. */
	#knownSince = Number.POSITIVE_INFINITY;
	/** Latest time as of which all listed endpoints are known here. */
	#listedAt = Number.NEGATIVE_INFINITY;
	/** Time at which the directory was last available again or found restored. */
	#backAt = Number.NEGATIVE_INFINITY;
	/** Position of this host's latest list that could confirm a configuration. */
	#listPosition: Position | undefined;
	readonly #history = new DirectoryHistory();
	readonly #changeApplier: DirectoryChangeApplier;
	/** Confirmation in progress, shared by concurrent callers. */
	#confirming: Promise<void> | undefined;

	constructor(parts: DirectoryWatchParts) {
		this.#parts = parts;
		this.#changeApplier = new DirectoryChangeApplier({
			...parts,
			onRoutingWrite: position => {
				this.#history.recordRoutingWrite(position);
			},
			canConfirm: () => this.#canConfirm,
		});
	}

	/** Latest position known to this host; undefined before the first read or update. */
	get position(): Position | undefined {
		return this.#history.position;
	}

	/** Revision of `position`; -1 if undefined. */
	get revision(): number {
		return this.position?.revision ?? -1;
	}

	/** Whether the directory is considered unavailable. */
	get isUnavailable(): boolean {
		return this.#isUnavailable;
	}

	/** Starts reading. */
	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#abort.abort();
		this.#timer?.stop();
	}

	/** Aborts a watch that has not delivered changes known to other hosts; the next read uses a new connection. */
	recheck(): void {
		if (!this.#isUnavailable && !this.#isRechecking) {
			this.#isRechecking = true;
			this.#readAbort?.abort();
		}
	}

	/** Starts the next read at once if this host is idle because it was not a reader. */
	wake(): void {
		this.#wake?.();
	}

	/** Whether this host's last read succeeded. */
	get isHealthy(): boolean {
		return this.#failures === 0;
	}

	/** Whether the latest position was confirmed by a successful read of the directory, by this host or by the host that the update originated from. */
	get isWitnessed(): boolean {
		return this.#history.isWitnessed;
	}

	/** Whether this host has known the directory for so long that entries which an outage removed before it started have reappeared. */
	get isSettled(): boolean {
		return this.#parts.context.clock.now() - this.#knownSince >= outageGraceMs;
	}

	/** Latest time as of which this host is known, from a read that it sent then, to know all endpoints that the directory lists. What other hosts confirm is the configuration, so it does not count. */
	get listedAt(): number {
		return this.#listedAt;
	}

	/** Whether entries that an outage or a restore of the directory removed have had the time to reappear. */
	get isRecovered(): boolean {
		return this.isSettled && !this.#isUnavailable && this.#parts.context.clock.now() - this.#backAt >= outageGraceMs;
	}

	/** Time since the latest known state was read from the directory, by this or another host, in milliseconds; 0 if there is none. */
	get ageMs(): number {
		return Number.isFinite(this.#readAt) ? Math.max(0, this.#parts.context.clock.now() - this.#readAt) : 0;
	}

	/** Advances to a position whose state was read `ageMs` milliseconds ago, by this or another host. */
	advance(position: Position, isWitnessed: boolean, ageMs = 0): void {
		const now = this.#parts.context.clock.now();
		this.#readAt = now - ageMs;
		this.#knownSince = Math.min(this.#knownSince, now);
		this.#history.advance(position, isWitnessed);
	}

	/**
	 * Switches to the epoch of a position if it is a later one, that is, if the
	 * directory was restored from a backup. Must be called before any state of
	 * that position is applied.
	 */
	followEpoch(position: Position, source: string): void {
		if (this.#history.classify(position) !== 'restored') {
			return;
		}

		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		const {position: previous} = this;
		this.#history.switchTo(position, clock.now());
		this.#backAt = clock.now();
		endpoints.book.directoryRestored(position, clock.now());
		endpoints.versions.restart(clock.now());
		metrics.add('directoryRestores');
		log('directoryRestored', {
			epoch: position.epoch, revision: position.revision, previousEpoch: previous?.epoch, previousRevision: previous?.revision, source,
		});
	}

	/**
	 * Checks with the directory that this host is up to date, reads what is
	 * missing, and confirms the configuration as of the time of the request. A
	 * pending watch proves nothing: its connection may be dead, or a change may
	 * be delivered late.
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
				this.#stopReading();
			}

			const pauseMs = isNeeded ? await this.#read() : roleCheckMs;
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

	/** Clears this host's own failures when other hosts read the directory, so that endpoints which those report as removed are removed here too. */
	#stopReading(): void {
		if (this.#isUnavailable) {
			const {context: {clock, log}, endpoints} = this.#parts;
			this.#isUnavailable = false;
			this.#failures = 0;
			endpoints.book.directoryDelegated(clock.now());
			log('directoryBack', {revision: this.revision, detail: 'other hosts now read the directory'});
		}
	}

	/** Performs one read; returns the delay before the next one, in milliseconds. */
	async #read(): Promise<number> {
		const {metrics} = this.#parts.context;
		const wasRechecking = this.#isRechecking;
		const from = this.position;
		const read = this.#mustList || from === undefined ? 'list' : 'watch';
		const askedAt = this.#parts.context.clock.now();
		try {
			const changes = from === undefined || read === 'list' ? await this.#list() : await this.#watch(from.revision);
			this.#rejectOutdated(changes.position);
			metrics.add('directoryReads', {read, outcome: 'answered'});
			this.#markAvailable();
			if (read === 'watch' && changes.position.epoch !== from?.epoch) {
				// The response omits changes of the new epoch below the requested revision
				this.#mustList = true;
				return gapPauseMs;
			}

			this.#apply(changes, read);
			if (read === 'list') {
				this.#recordConfirmation(askedAt);
			} else if (from !== undefined) {
				this.#parts.routing.recordChanges(from, changes.position);
			}

			if (from === undefined && this.#parts.onPast !== undefined) {
				void this.#readPast(changes.position);
			}

			return 0;
		} catch (error) {
			if (this.#abort.signal.aborted || this.#isRechecking !== wasRechecking) {
				// Aborted by this host, so this is no failure of the directory
				return 0;
			}

			return this.#handleFailure(error, read, this.#readAbort?.signal.aborted === true);
		}
	}

	/** Reads the changes before the first list. A failure is no failure of the directory, which need not remember them. */
	async #readPast({epoch, revision}: Position): Promise<void> {
		const {directory, log, metrics} = this.#parts.context;
		for (const span of pastSpans) {
			try {
				const {changes, position} = await this.#withTimeout(pastTimeoutMs, async (signal, onProgress) => directory.watch(Math.max(0, revision - span), probeWaitMs, signal, onProgress));
				metrics.add('directoryReads', {read: 'past', outcome: 'answered'});
				if (position.epoch === epoch) {
					this.#parts.onPast?.(changes.flatMap(change => change.kind === 'endpoint' ? [change.endpoint] : []));
				}

				return;
			} catch (error) {
				const isGap = error instanceof DirectoryError && error.isGap;
				metrics.add('directoryReads', {read: 'past', outcome: outcomeOf(isGap, false)});
				if (!isGap) {
					log('directoryPastUnread', {revision, detail: String(error)});
					return;
				}
			}
		}
	}

	async #confirm(): Promise<void> {
		const {routing, context: {clock, directory, metrics, settings: {timing}}} = this.#parts;
		const askedAt = clock.now();
		try {
			const position = await this.#withTimeout(confirmTimeoutMs, async signal => directory.readPosition(signal));
			metrics.add('directoryReads', {read: 'revision', outcome: 'answered'});
			if (this.#isUpToDate(position)) {
				this.#recordConfirmation(askedAt);
				return;
			}

			this.#rejectOutdated(position);

			const listedAt = clock.now();
			const changes = await this.#withTimeout(timing.directoryAnswerMs, async (signal, onProgress) => directory.list(signal, onProgress));
			this.#rejectOutdated(changes.position);
			metrics.add('directoryReads', {read: 'list', outcome: 'answered'});
			if (this.position === undefined || !isCovered(position, this.position) || !isCovered(changes.position, this.position)) {
				// What came and left between the two positions is not in the list
				this.#parts.endpoints.versions.restart(clock.now());
			}

			this.#apply(changes, 'list');
			this.#recordConfirmation(listedAt);
		} catch (error) {
			metrics.add('directoryReads', {read: 'revision', outcome: 'failed'});
			this.#parts.context.log('directoryUnconfirmed', {revision: this.revision, confirmedMs: Math.round(routing.ageMs()), detail: String(error)});
		}
	}

	async #list(): Promise<Changes> {
		const {context: {directory, settings: {timing}}} = this.#parts;
		const limitMs = this.position === undefined ? initialListTimeoutMs * (2 ** Math.min(this.#failures, maxBackoffDoublings)) : timing.directoryAnswerMs;
		return this.#withReadTimeout(Math.min(limitMs, timing.directoryAnswerMs), async (signal, onProgress) => directory.list(signal, onProgress));
	}

	async #watch(after: number): Promise<Changes> {
		const {isShortWatcher, context: {directory, settings: {timing}}} = this.#parts;
		const normalWaitMs = isShortWatcher() ? Math.min(timing.shortWatchMs, timing.watchMs) : timing.watchMs;
		const waitMs = this.#failures > 0 || this.#isRechecking ? probeWaitMs : normalWaitMs;
		// Short watches exist to detect dead connections, so they need a shorter timeout than lists
		const answerMs = waitMs < timing.watchMs ? shortWatchTimeoutMs * (2 ** Math.min(this.#failures, maxBackoffDoublings)) : timing.directoryAnswerMs;
		return this.#withReadTimeout(waitMs + Math.min(answerMs, timing.directoryAnswerMs), async (signal, onProgress) => directory.watch(after, waitMs, signal, onProgress));
	}

	/** Runs a read that `recheck` can abort. */
	async #withReadTimeout<Result>(limitMs: number, call: DirectoryRead<Result>): Promise<Result> {
		const controller = new AbortController();
		this.#readAbort = controller;
		return this.#withTimeout(limitMs, call, controller);
	}

	/** Runs a read; aborts it if no part of its response has arrived for `limitMs` milliseconds. Large responses take longer than that, and would fail each time. */
	async #withTimeout<Result>(limitMs: number, call: DirectoryRead<Result>, controller = new AbortController()): Promise<Result> {
		const {clock} = this.#parts.context;
		const endsAt = clock.now() + Math.max(limitMs, maxReadMs);
		const startTimer = () => clock.after(Math.min(limitMs, endsAt - clock.now()), () => {
			controller.abort();
		});
		let timer = startTimer();
		try {
			return await call(AbortSignal.any([this.#abort.signal, controller.signal]), () => {
				timer.stop();
				timer = startTimer();
			});
		} finally {
			timer.stop();
		}
	}

	/** Handles a failed read; returns the delay before the next one, in milliseconds. `isTimeout`: there was no response within the read's timeout. */
	#handleFailure(error: unknown, read: string, isTimeout: boolean): number {
		const {log, metrics, random, settings: {timing}} = this.#parts.context;
		const isGap = error instanceof DirectoryError && error.isGap;
		metrics.add('directoryReads', {read, outcome: outcomeOf(isGap, isTimeout)});
		const hasNewEpoch = error instanceof DirectoryError && error.epoch !== undefined && this.#history.classify({epoch: error.epoch, revision: 0}) === 'restored';
		this.#mustList ||= hasNewEpoch;
		if (isGap) {
			log('directoryLost', {read, revision: this.revision, detail: 'the changes since this revision are no longer available; listing again'});
			this.#mustList = true;
			this.#parts.endpoints.versions.restart(this.#parts.context.clock.now());
			return gapPauseMs;
		}

		this.#failures += 1;
		const isRefused = error instanceof DirectoryError && error.isRefused;
		this.#parts.onRead(isTimeout || isRefused || this.#failures >= unavailableAfterFailures ? 'away' : 'failed');

		if (!this.#isUnavailable && this.#failures >= unavailableAfterFailures) {
			this.#markUnavailable(error, read);
		}

		if (isTimeout && this.#failures === 1) {
			// The connection may be dead; retry at once over a new one
			return 0;
		}

		const pauseMs = Math.min(timing.directoryRetryMostMs, timing.directoryRetryMs * (2 ** Math.min(this.#failures, maxBackoffDoublings)));
		return jitter(random, pauseMs, retryJitter);
	}

	#markUnavailable(error: unknown, read: string): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		this.#isUnavailable = true;
		endpoints.book.directoryLost();
		log('directoryLost', {
			read, revision: this.revision, detail: String(error), at: Math.round(clock.now()),
		});
		metrics.set('directory', 0);
	}

	#markAvailable(): void {
		const {context: {clock, log, metrics}, endpoints} = this.#parts;
		metrics.set('directory', 1);
		if (this.#isUnavailable) {
			this.#isUnavailable = false;
			this.#backAt = clock.now();
			endpoints.book.directoryBack(clock.now());
			log('directoryBack', {revision: this.revision, failures: this.#failures});
		}

		this.#failures = 0;
		this.#isRechecking = false;
		this.#parts.onRead('answered');
	}

	/** Rejects a response from before a restore: it was delayed, or comes from an outdated replica. */
	#rejectOutdated(position: Position): void {
		if (this.#history.classify(position) === 'outdated') {
			throw new DirectoryError(`response from outdated epoch ${String(position.epoch)}`);
		}
	}

	get #canConfirm(): boolean {
		return this.#history.canConfirm(this.#parts.context.clock.now());
	}

	/** Whether this host knows all that the directory had published at a position. Updates from other hosts lack configurations that those cannot use, so a host that is behind needs a list of its own. */
	#isUpToDate(position: Position): boolean {
		const known = this.#parts.routing.isBehind ? this.#listPosition : this.position;
		return known !== undefined && isCovered(position, known);
	}

	/** Confirms the list of endpoints as of `askedAt`, and the active configuration unless the directory was only just restored. */
	#recordConfirmation(askedAt: number): void {
		this.#listedAt = Math.max(this.#listedAt, askedAt);
		if (this.#canConfirm) {
			this.#parts.routing.confirm(askedAt);
		}
	}

	#apply(changes: Changes, read: string): void {
		const isNewEpoch = this.#history.classify(changes.position) === 'restored';
		this.followEpoch(changes.position, 'directory');
		if (read === 'list') {
			this.#mustList = false;
			this.#changeApplier.replace(changes);
		}

		this.#changeApplier.apply(changes, read === 'list');
		if (read === 'list' && this.#canConfirm) {
			this.#listPosition = changes.position;
		}

		this.advance(changes.position, true);
		if (changes.changes.length > 0 || isNewEpoch) {
			this.#parts.onChange();
		}
	}
}
