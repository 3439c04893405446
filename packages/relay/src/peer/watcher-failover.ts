/**
 * Failover of the directory watcher role. A watcher that is alive but gets
 * only errors keeps its role as far as membership can tell, so it announces
 * itself as unavailable. The other watchers then check their own watches at
 * once, and more and more hosts take over until one succeeds.
 */
import {
	isDirectoryReader, isSmallFleet, isRedundantReader, failoverDelayMs, summarizeReading,
} from '@gatehead/policy/relay/directory-readers';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayContext} from '../core/context.js';
import {type DirectoryWatch, type ReadOutcome} from '../core/directory-watch.js';

/** Delay before a host whose takeover failed tries again, in milliseconds; long, because the regular watchers keep retrying. */
const retryMs = 8000;

/** Dependencies of `WatcherFailover`. */
export type WatcherFailoverParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log'>;
	readonly listAlive: () => readonly MemberRecord[];
	readonly self: () => MemberRecord;
	/** Publishes this host's state as a watcher to its neighbours. */
	readonly announce: (directory: MemberRecord['directory']) => void;
	readonly watch: () => Pick<DirectoryWatch, 'recheck' | 'wake'>;
};

/** Failover logic of one host. */
export class WatcherFailover {
	readonly #parts: WatcherFailoverParts;
	#isTakingOver = false;
	#isWatcherUnavailable = false;
	#timer: Timer | undefined;
	#triedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: WatcherFailoverParts) {
		this.#parts = parts;
	}

	/** Whether this host watches in place of watchers that cannot. */
	get isTakingOver(): boolean {
		return this.#isTakingOver;
	}

	/** Reacts to a change of any host's state. */
	handleMembershipChange(): void {
		const {listAlive, self, watch} = this.#parts;
		const alive = listAlive();
		const view = summarizeReading(alive);
		const isNewlyUnavailable = view.hasFailedReader && !this.#isWatcherUnavailable;
		this.#isWatcherUnavailable = view.hasFailedReader;
		if (!view.hasFailedReader) {
			this.#stepDown();
			return;
		}

		const isReader = isDirectoryReader(self(), alive);
		if (!isReader && self().directory === 'away') {
			// No longer a watcher, so no successful read would clear the announcement
			this.#announce(undefined);
			return;
		}

		if (isReader) {
			if (isNewlyUnavailable && self().directory === undefined) {
				// The own watch may be half-open as well, which would otherwise go undetected for seconds
				watch().recheck();
			}

			return;
		}

		if (this.#isTakingOver && isRedundantReader(self().host, view)) {
			this.#stepDown();
		}

		if (view.answering.length === 0) {
			this.#scheduleTakeover(alive);
		}
	}

	/** Reacts to the outcome of a read of the directory. */
	handleRead(outcome: ReadOutcome): void {
		const {listAlive, self} = this.#parts;
		const alive = listAlive();
		if (isDirectoryReader(self(), alive)) {
			this.#handleOwnRead(outcome, alive);
			return;
		}

		if (this.#isTakingOver) {
			this.#isTakingOver = outcome === 'answered';
			this.#announce(this.#isTakingOver ? 'answers' : undefined);
		}
	}

	stop(): void {
		this.#timer?.stop();
	}

	/** A watcher announces its state only while it or another watcher is unavailable. */
	#handleOwnRead(outcome: ReadOutcome, alive: readonly MemberRecord[]): void {
		if (outcome === 'away' && !isSmallFleet(alive)) {
			this.#announce('away');
		}

		if (outcome === 'answered') {
			const {host} = this.#parts.self();
			const {hasFailedReader: isDoubted} = summarizeReading(alive.filter(each => each.host !== host));
			this.#announce(isDoubted ? 'answers' : undefined);
		}
	}

	#scheduleTakeover(alive: readonly MemberRecord[]): void {
		const {context: {clock}, self} = this.#parts;
		if (this.#isTakingOver || this.#timer !== undefined) {
			return;
		}

		const backoffMs = Math.max(0, this.#triedAt + retryMs - clock.now());
		this.#timer = clock.after(backoffMs + failoverDelayMs(self(), alive), () => {
			this.#timer = undefined;
			this.#takeOver();
		});
	}

	#takeOver(): void {
		const {context: {clock, log}, listAlive, self, watch} = this.#parts;
		const alive = listAlive();
		const {hasFailedReader: isDoubted, answering} = summarizeReading(alive);
		if (!isDoubted || answering.length > 0 || isDirectoryReader(self(), alive)) {
			return;
		}

		this.#triedAt = clock.now();
		this.#isTakingOver = true;
		log('readerStandsIn', {detail: 'the regular directory watchers are unavailable'});
		// The outcome of the first read arrives at `handleRead`
		watch().recheck();
		watch().wake();
	}

	#stepDown(): void {
		this.#timer?.stop();
		this.#timer = undefined;
		this.#isTakingOver = false;
		if (this.#parts.self().directory === 'answers') {
			this.#announce(undefined);
		}
	}

	#announce(directory: MemberRecord['directory']): void {
		if (this.#parts.self().directory !== directory) {
			this.#parts.announce(directory);
		}
	}
}
