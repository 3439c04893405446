/**
 * Which of the directory's histories this host follows, and up to where.
 * Safety: an answer of another history is not taken for the next part of this
 * one, and a directory that has just come back from a copy confirms nothing
 * that may have been written since the copy was made.
 */
import {returnGraceMs} from '@gatehead/policy/relay/endpoint-book';
import {isLater, type Position} from '@gatehead/schema/position';

/** How an answer's history lies to the one that is followed: the same, a later one, or one that is over. */
export type Standing = 'current' | 'restored' | 'outdated';

/** One host's place in the directory's history. */
export class DirectoryHistory {
	#position: Position | undefined;
	/** Up to where the directory was read while it answered. */
	#witnessed: Position | undefined;
	/** Where and when the history that is followed was first seen, if an earlier one was followed before. */
	#begin: {readonly position: Position; readonly at: number} | undefined;
	/** The configuration was written since this history was first seen: it is no copy's. */
	#isRoutingNew = false;

	/** Up to where this host knows the directory; undefined: it knows nothing. */
	get position(): Position | undefined {
		return this.#position;
	}

	/** Whether what this host knows was read while the directory answered, by itself or by the host that the news began with. */
	get isWitnessed(): boolean {
		return this.#position === undefined || (this.#witnessed !== undefined && !isLater(this.#position, this.#witnessed));
	}

	/** How an answer at a position stands. */
	place(answer: Position): Standing {
		if (this.#position === undefined || this.#position.epoch === answer.epoch) {
			return 'current';
		}

		return isLater(answer, this.#position) ? 'restored' : 'outdated';
	}

	/** Follows a history from the position at which it is first seen. */
	enter(position: Position, now: number): void {
		this.#begin = {position, at: now};
		this.#isRoutingNew = false;
		this.#position = position;
	}

	/** Takes note that all up to a position is known. */
	advance(position: Position, isWitnessed: boolean): void {
		if (this.#position === undefined || isLater(position, this.#position)) {
			this.#position = position;
		}

		if (isWitnessed && (this.#witnessed === undefined || isLater(position, this.#witnessed))) {
			this.#witnessed = position;
		}
	}

	/** Takes note that the configuration was written at a position. */
	noteRouting(position: Position): void {
		this.#isRoutingNew ||= this.#begin !== undefined && isLater(position, this.#begin.position);
	}

	/** Whether the directory's word counts as evidence that a configuration is the newest: what an operator wrote behind the copy is written again within the grace. */
	mayConfirm(now: number): boolean {
		return this.#begin === undefined || this.#isRoutingNew || now - this.#begin.at > returnGraceMs;
	}
}
