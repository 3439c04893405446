/**
 * Tracks the epoch of the directory that this host follows, and its position
 * in it. The epoch changes when the directory is restored from a backup.
 * Safety: a response from another epoch is never treated as a continuation of
 * the current one, and a directory that was just restored does not confirm a
 * configuration that may have been replaced after the backup was made.
 */
import {outageGraceMs} from '@gatehead/policy/relay/endpoint-book';
import {isLater, type Position} from '@gatehead/schema/position';

/** How the epoch of a response relates to the current one: the same, a later one after a restore, or an earlier one. */
export type EpochRelation = 'current' | 'restored' | 'outdated';

/** One host's position in the directory's history. */
export class DirectoryHistory {
	#position: Position | undefined;
	/** Latest position known from a successful read of the directory, by this or another host. */
	#witnessedPosition: Position | undefined;
	/** Position and time at which the current epoch was first seen; undefined if no earlier epoch was followed. */
	#epochStart: {readonly position: Position; readonly at: number} | undefined;
	/** Whether the configuration was written after the current epoch was first seen, so that it does not come from the backup. */
	#hasRoutingWrite = false;

	/** Latest position known to this host; undefined before the first read or update. */
	get position(): Position | undefined {
		return this.#position;
	}

	/** Whether the latest position was confirmed by a successful read of the directory, by this host or by the host that the update originated from. */
	get isWitnessed(): boolean {
		return this.#position === undefined || (this.#witnessedPosition !== undefined && !isLater(this.#position, this.#witnessedPosition));
	}

	/** Compares the epoch of a response with the current one. */
	classify(position: Position): EpochRelation {
		if (this.#position === undefined || this.#position.epoch === position.epoch) {
			return 'current';
		}

		return isLater(position, this.#position) ? 'restored' : 'outdated';
	}

	/** Switches to a later epoch, first seen at `position`. */
	switchTo(position: Position, now: number): void {
		this.#epochStart = {position, at: now};
		this.#hasRoutingWrite = false;
		this.#position = position;
	}

	/** Records that this host knows the directory up to a position. */
	advance(position: Position, isWitnessed: boolean): void {
		if (this.#position === undefined || isLater(position, this.#position)) {
			this.#position = position;
		}

		if (isWitnessed && (this.#witnessedPosition === undefined || isLater(position, this.#witnessedPosition))) {
			this.#witnessedPosition = position;
		}
	}

	/** Records that the configuration was written at a position. */
	recordRoutingWrite(position: Position): void {
		this.#hasRoutingWrite ||= this.#epochStart !== undefined && isLater(position, this.#epochStart.position);
	}

	/** Whether a read of the directory proves that a configuration is the newest. After a restore, writes missing from the backup may still have to be repeated, for which operators have a grace period. */
	canConfirm(now: number): boolean {
		return this.#epochStart === undefined || this.#hasRoutingWrite || now - this.#epochStart.at > outageGraceMs;
	}
}
