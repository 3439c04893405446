/**
 * What one host knows of all hosts, and whom it exchanges heartbeats with:
 * a ring of small fixed degree, so that the cost of a host does not grow with
 * the fleet. Efficiency: a wrong guess here costs goodput, never a promise.
 */
import {hashText} from '@gatehead/schema/hash-text';
import {type MemberRecord, type MemberState} from '@gatehead/schema/peer-message';
import {rankFirst} from './rendezvous.js';

/** Neighbours after oneself on the ring; a chord across it is added. */
const successors = 2;

const severity: Record<MemberState, number> = {
	alive: 0, leaving: 1, suspect: 2, dead: 3,
};

type Entry = {
	record: MemberRecord;
	/** Rises with each change here, so that a link sends only what is new to it. */
	sequence: number;
	readonly ringPlace: number;
};

/** Whether `news` replaces `known`: by incarnation, then counter, then the worse state. */
export function isNewer(news: MemberRecord, known: MemberRecord): boolean {
	if (news.incarnation !== known.incarnation) {
		return news.incarnation > known.incarnation;
	}

	if (news.counter !== known.counter) {
		return news.counter > known.counter;
	}

	return severity[news.state] > severity[known.state];
}

/** The table of hosts of one process. */
export class Members {
	readonly #entries = new Map<string, Entry>();
	readonly #selfName: string;
	#sequence = 0;

	constructor(self: MemberRecord) {
		this.#selfName = self.host;
		this.#put(self);
	}

	/** This host's own record. */
	get self(): MemberRecord {
		const entry = this.#entries.get(this.#selfName);
		if (entry === undefined) {
			throw new RangeError('A host always knows itself.');
		}

		return entry.record;
	}

	/** Sequence number of the newest change. */
	get sequence(): number {
		return this.#sequence;
	}

	/** What is known of a host. */
	recordOf(host: string): MemberRecord | undefined {
		return this.#entries.get(host)?.record;
	}

	/** All known hosts. */
	list(): MemberRecord[] {
		return [...this.#entries.values()].map(each => each.record);
	}

	/** Hosts that can be asked for something: neither suspect nor dead. */
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

	/** Changes this host's own record under a higher counter. */
	updateSelf(change: Partial<Pick<MemberRecord, 'state' | 'load' | 'callerAddress' | 'peerAddress' | 'adminAddress' | 'directory'>>): void {
		this.#put({...this.self, ...change, counter: this.self.counter + 1});
	}

	/**
	 * Takes in news; returns the record where it changed anything. News that
	 * this host itself is suspect or dead is refuted with a higher counter.
	 */
	merge(news: MemberRecord): MemberRecord | undefined {
		if (news.host === this.#selfName) {
			this.#refute(news);
			return undefined;
		}

		const known = this.#entries.get(news.host);
		if (known !== undefined && !isNewer(news, known.record)) {
			return undefined;
		}

		this.#put(news);
		return news;
	}

	/** Forgets a host that is gone for good. */
	forget(host: string): void {
		if (host !== this.#selfName) {
			this.#entries.delete(host);
			this.#sequence += 1;
		}
	}

	/** Changes what is thought of a host; returns the record where that is news. */
	judge(host: string, state: 'suspect' | 'dead'): MemberRecord | undefined {
		const known = this.recordOf(host);
		if (known === undefined || host === this.#selfName || severity[known.state] >= severity[state]) {
			return undefined;
		}

		const judged = {...known, state};
		this.#put(judged);
		return judged;
	}

	/** Hosts to exchange heartbeats with: the next two on the ring, and one in another hall by hash, which lets news cross the ring. */
	neighbours(): string[] {
		const others = this.listReachable().filter(each => each.host !== this.#selfName);
		const own = this.#placeOf(this.#selfName);
		const ordered = others.toSorted((left, right) => this.#distance(own, left.host) - this.#distance(own, right.host));
		const chosen = ordered.slice(0, successors);
		const rest = ordered.slice(successors).map(each => ({host: each.host, isFar: each.hall !== this.self.hall}));
		const far = rest.filter(each => each.isFar);
		const chord = rankFirst(this.#selfName, (far.length > 0 ? far : rest).map(each => each.host));
		return [...chosen.map(each => each.host), ...(chord === undefined ? [] : [chord])];
	}

	#refute(news: MemberRecord): void {
		const {self} = this;
		if (news.incarnation === self.incarnation && news.counter >= self.counter && severity[news.state] > severity[self.state]) {
			this.#put({...self, counter: news.counter + 1});
		}
	}

	#distance(from: number, host: string): number {
		const place = this.#placeOf(host);
		return place > from ? place - from : place - from + (2 ** 32);
	}

	#placeOf(host: string): number {
		return this.#entries.get(host)?.ringPlace ?? hashText(host);
	}

	#put(record: MemberRecord): void {
		this.#sequence += 1;
		this.#entries.set(record.host, {record, sequence: this.#sequence, ringPlace: this.#entries.get(record.host)?.ringPlace ?? hashText(record.host)});
	}
}
