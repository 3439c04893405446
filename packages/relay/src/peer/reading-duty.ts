/**
 * Whether this host reads the directory for others, beyond those that always
 * do. A reader that lives but is turned away keeps its task as far as
 * membership can tell, so it says so itself; the other readers then look at
 * once, and until somebody is answered more and more hosts read themselves.
 * Efficiency: what is believed rests on versions and positions, not on who
 * has read them.
 */
import {
	isDirectoryReader, isSmallFleet, isSpareReader, standInAfterMs, viewReading,
} from '@gatehead/policy/relay/directory-readers';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayContext} from '../core/context.js';
import {type DirectoryWatch, type ReadOutcome} from '../core/directory-watch.js';

/** Time for which a host that was turned away as a stand-in does not try again, in milliseconds: a directory that is away for all is back within seconds, and its readers go on asking. */
const againMs = 8000;

/** What the duty works with. */
export type ReadingDutyParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log'>;
	readonly listAlive: () => readonly MemberRecord[];
	readonly self: () => MemberRecord;
	/** Changes what this host says of the directory, and tells the neighbours at once. */
	readonly say: (directory: MemberRecord['directory']) => void;
	readonly watch: () => Pick<DirectoryWatch, 'doubt' | 'wake'>;
};

/** One host's part in reading. */
export class ReadingDuty {
	readonly #parts: ReadingDutyParts;
	#standsIn = false;
	#isDoubted = false;
	#timer: Timer | undefined;
	#triedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: ReadingDutyParts) {
		this.#parts = parts;
	}

	/** Whether this host reads in place of those that cannot. */
	get standsIn(): boolean {
		return this.#standsIn;
	}

	/** Takes note of what the hosts say now. */
	noteFleet(): void {
		const {listAlive, self, watch} = this.#parts;
		const alive = listAlive();
		const view = viewReading(alive);
		const hasBegun = view.isDoubted && !this.#isDoubted;
		this.#isDoubted = view.isDoubted;
		if (!view.isDoubted) {
			this.#standDown();
			return;
		}

		const isReader = isDirectoryReader(self(), alive);
		if (!isReader && self().directory === 'away') {
			// Others read now: its word would go on asking for stand-ins, and no read of its own takes it back
			this.#say(undefined);
			return;
		}

		if (isReader) {
			if (hasBegun && self().directory === undefined) {
				// Its own watch may be as dead, and nothing else would show that for seconds
				watch().doubt();
			}

			return;
		}

		if (this.#standsIn && isSpareReader(self().host, view)) {
			this.#standDown();
		}

		if (view.answering.length === 0) {
			this.#plan(alive);
		}
	}

	/** Takes note of what a read of the directory came to. */
	noteRead(outcome: ReadOutcome): void {
		const {listAlive, self} = this.#parts;
		const alive = listAlive();
		if (isDirectoryReader(self(), alive)) {
			this.#noteOwnRead(outcome, alive);
			return;
		}

		if (this.#standsIn) {
			this.#standsIn = outcome === 'answered';
			this.#say(this.#standsIn ? 'answers' : undefined);
		}
	}

	/** Ends. */
	stop(): void {
		this.#timer?.stop();
	}

	/** What a host that always reads tells of it: nothing, unless it or another one is turned away. */
	#noteOwnRead(outcome: ReadOutcome, alive: readonly MemberRecord[]): void {
		if (outcome === 'away' && !isSmallFleet(alive)) {
			this.#say('away');
		}

		if (outcome === 'answered') {
			const {host} = this.#parts.self();
			const {isDoubted} = viewReading(alive.filter(each => each.host !== host));
			this.#say(isDoubted ? 'answers' : undefined);
		}
	}

	#plan(alive: readonly MemberRecord[]): void {
		const {context: {clock}, self} = this.#parts;
		if (this.#standsIn || this.#timer !== undefined) {
			return;
		}

		const restMs = Math.max(0, this.#triedAt + againMs - clock.now());
		this.#timer = clock.after(restMs + standInAfterMs(self(), alive), () => {
			this.#timer = undefined;
			this.#standIn();
		});
	}

	#standIn(): void {
		const {context: {clock, log}, listAlive, self, watch} = this.#parts;
		const alive = listAlive();
		const {isDoubted, answering} = viewReading(alive);
		if (!isDoubted || answering.length > 0 || isDirectoryReader(self(), alive)) {
			return;
		}

		this.#triedAt = clock.now();
		this.#standsIn = true;
		log('readerStandsIn', {detail: 'the hosts that read the directory are turned away'});
		// The first read only asks; its outcome comes back to `noteRead`
		watch().doubt();
		watch().wake();
	}

	#standDown(): void {
		this.#timer?.stop();
		this.#timer = undefined;
		this.#standsIn = false;
		if (this.#parts.self().directory === 'answers') {
			this.#say(undefined);
		}
	}

	#say(directory: MemberRecord['directory']): void {
		if (this.#parts.self().directory !== directory) {
			this.#parts.say(directory);
		}
	}
}
