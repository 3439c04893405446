/**
 * Membership table of one host, and the neighbours with which it exchanges
 * heartbeats. The neighbours form a ring of fixed degree, so that the cost per
 * host does not grow with the number of hosts. Wrong states cost goodput only.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {type MemberRecord, type MemberState} from '@gatehead/schema/peer-message';
import {rankFirst} from './rendezvous.js';

/** Number of ring successors among the neighbours; one chord across the ring is added. */
const successorCount = 2;

const severity: Record<MemberState, number> = {
	alive: 0, leaving: 1, suspect: 2, dead: 3,
};

type Entry = {
	record: MemberRecord;
	/** Local sequence number of the last change; a link sends only records that changed since its last message. */
	sequence: number;
	readonly ringPosition: number;
};

/** Whether `update` supersedes `known`: higher incarnation, then higher counter, then worse state. */
export function isNewer(update: MemberRecord, known: MemberRecord): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}

	if (update.counter !== known.counter) {
		return update.counter > known.counter;
	}

	return severity[update.state] > severity[known.state];
}

/** Membership table of one process. */
export class Members {
	readonly #entries = new Map<string, Entry>();
	readonly #selfName: string;
	#sequence = 0;

	constructor(self: MemberRecord) {
		this.#selfName = self.host;
		this.#put(self);
	}

	get self(): MemberRecord {
		const entry = this.#entries.get(this.#selfName);
		if (entry === undefined) {
			throw new RangeError('The record of this host is missing from the membership table.');
		}

		return entry.record;
	}

	/** Sequence number of the last change. */
	get sequence(): number {
		return this.#sequence;
	}

	recordOf(host: string): MemberRecord | undefined {
		return this.#entries.get(host)?.record;
	}

	list(): MemberRecord[] {
		return [...this.#entries.values()].map(each => each.record);
	}

	/** Hosts that are neither suspect nor dead, including this one. */
	listReachable(): MemberRecord[] {
		return this.list().filter(({state}) => state === 'alive' || state === 'leaving');
	}

	/** Records that changed after `sequence`. */
	listChangedAfter(sequence: number): MemberRecord[] {
		const changed: MemberRecord[] = [];
		for (const entry of this.#entries.values()) {
			if (entry.sequence > sequence) {
				changed.push(entry.record);
			}
		}

		return changed;
	}

	/** Changes this host's record and increments its counter. */
	updateSelf(change: Partial<Pick<MemberRecord, 'state' | 'load' | 'callerAddress' | 'peerAddress' | 'adminAddress' | 'directory' | 'unreachable' | 'census' | 'isSurveying'>>): void {
		this.#put({...this.self, ...change, counter: this.self.counter + 1});
	}

	/**
	 * Merges an update from another host; returns it if it changed the table.
	 * Refutes an update that marks this host as suspect or dead with a higher counter.
	 */
	merge(update: MemberRecord): MemberRecord | undefined {
		if (update.host === this.#selfName) {
			this.#refute(update);
			return undefined;
		}

		const known = this.#entries.get(update.host);
		if (known !== undefined && !isNewer(update, known.record)) {
			return undefined;
		}

		this.#put(update);
		return update;
	}

	/** Removes a host that has permanently left. */
	forget(host: string): void {
		if (host !== this.#selfName) {
			this.#entries.delete(host);
			this.#sequence += 1;
		}
	}

	/** Marks another host as suspect or dead; returns the new record, or undefined if the host is unknown or its state is as bad or worse. */
	markState(host: string, state: 'suspect' | 'dead'): MemberRecord | undefined {
		const known = this.recordOf(host);
		if (known === undefined || host === this.#selfName || severity[known.state] >= severity[state]) {
			return undefined;
		}

		const marked = {...known, state};
		this.#put(marked);
		return marked;
	}

	/** Hosts to exchange heartbeats with: the ring successors, and a chord to a host chosen by hash, preferably in another hall, which shortens the path of updates around the ring. */
	neighbours(): string[] {
		const others = this.listReachable().filter(each => each.host !== this.#selfName);
		const own = this.#positionOf(this.#selfName);
		const ordered = others.toSorted((left, right) => this.#distance(own, left.host) - this.#distance(own, right.host));
		const chosen = ordered.slice(0, successorCount);
		const rest = ordered.slice(successorCount).map(each => ({host: each.host, isFar: each.hall !== this.self.hall}));
		const far = rest.filter(each => each.isFar);
		const chord = rankFirst(this.#selfName, (far.length > 0 ? far : rest).map(each => each.host));
		return [...chosen.map(each => each.host), ...(chord === undefined ? [] : [chord])];
	}

	#refute(update: MemberRecord): void {
		const {self} = this;
		if (update.incarnation === self.incarnation && update.counter >= self.counter && severity[update.state] > severity[self.state]) {
			this.#put({...self, counter: update.counter + 1});
		}
	}

	#distance(from: number, host: string): number {
		const position = this.#positionOf(host);
		return position > from ? position - from : position - from + (2 ** 32);
	}

	#positionOf(host: string): number {
		return this.#entries.get(host)?.ringPosition ?? hashText(host);
	}

	#put(record: MemberRecord): void {
		this.#sequence += 1;
		this.#entries.set(record.host, {record, sequence: this.#sequence, ringPosition: this.#entries.get(record.host)?.ringPosition ?? hashText(record.host)});
	}
}
