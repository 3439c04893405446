/** Updates this host's census and publishes it in its membership record. */
import {settleMsOf} from '@gatehead/policy/relay/allowance-share';
import {FleetCensus} from '@gatehead/policy/relay/fleet-census';
import {type Timer} from '@gatehead/policy/utils/clock';
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type RelayContext} from '../core/context.js';

/** Interval of updates without any change of the members, in milliseconds. */
const intervalMs = 1000;
/** Delay from a change to the update, as a constant and for each member, in milliseconds: batches the changes while a fleet starts. */
const changeDelayMs = 50;
const changeDelayMsPerHost = 5;

export type CensusTaskParts = {
	readonly context: Pick<RelayContext, 'clock' | 'log' | 'self' | 'settings'>;
	readonly listMembers: () => readonly MemberRecord[];
	/** Publishes the census in this host's membership record. */
	readonly announce: (census: MemberRecord['census']) => void;
};

/** The census of one host. */
export class CensusTask {
	readonly census: FleetCensus;
	readonly #parts: CensusTaskParts;
	#announced = '';
	#lastDigest = '';
	#timer: Timer | undefined;
	#dueAt = Number.POSITIVE_INFINITY;
	#isStopped = false;

	constructor(parts: CensusTaskParts) {
		const {clock, self, settings: {seeds, start, retry}} = parts.context;
		this.#parts = parts;
		this.census = new FleetCensus({
			self: self.host, seeds, start, startedAt: clock.now(), settleMs: settleMsOf(retry.windowMs),
		});
	}

	start(): void {
		this.#update();
	}

	stop(): void {
		this.#isStopped = true;
		this.#timer?.stop();
	}

	/** Updates the census soon. */
	handleMembershipChange(): void {
		this.#schedule(this.#changeDelayMs);
	}

	get #changeDelayMs(): number {
		return changeDelayMs + (changeDelayMsPerHost * this.#parts.listMembers().length);
	}

	/** Updates the census. A digest is published only once it is stable, since each publication reaches all hosts. */
	#update(): void {
		const {context: {clock}, listMembers} = this.#parts;
		this.census.update(listMembers(), clock.now());
		const record = this.census.describe();
		const isStable = record.digest === this.#lastDigest;
		this.#lastDigest = record.digest;
		if (isStable) {
			this.#publish(record);
		}

		this.#schedule(isStable ? intervalMs : this.#changeDelayMs);
	}

	#publish(record: ReturnType<FleetCensus['describe']>): void {
		const {context: {log}, announce} = this.#parts;
		const text = JSON.stringify(record);
		if (text !== this.#announced) {
			this.#announced = text;
			log('censusChanged', {hosts: this.census.count, digest: record.digest, isEstablished: record.isEstablished});
			announce(record);
		}
	}

	/** Schedules an update, unless an earlier one is due. */
	#schedule(delayMs: number): void {
		const {clock} = this.#parts.context;
		const dueAt = clock.now() + delayMs;
		if (this.#isStopped || dueAt >= this.#dueAt) {
			return;
		}

		this.#timer?.stop();
		this.#dueAt = dueAt;
		this.#timer = clock.after(delayMs, () => {
			this.#dueAt = Number.POSITIVE_INFINITY;
			this.#update();
		});
	}
}
