/**
 * Determines the fraction of a fleet-wide bound that this host may use: one
 * over the number of hosts in its membership history.
 *
 * Safety: the fractions of all hosts add up to at most one for any membership
 * views. A host that may use its fraction is established. It counts every host
 * of which it ever received a record, also unreachable ones. It becomes
 * established only if the latest record of each counted host carries the digest
 * of the same set of hosts, and one of them is established. Hence any two
 * established hosts count each other: all others had counted the later one,
 * and it received the earlier one's record from an established host. Before a
 * host uses its fraction, one window passes, so that usage by its previous
 * process, or by others before they counted it, has expired.
 *
 * The first established hosts of a fleet require other evidence that no host is
 * established: the first start of the fleet and a majority of the seeds, or a
 * minute without a record of an established host. The latter fails if a network
 * partition lasts longer and all hosts on one side restart. Hosts unreachable
 * for ten minutes are not counted.
 */
import {type MemberRecord} from '@gatehead/schema/peer-message';
import {type Start} from '@gatehead/schema/relay-settings';
import {hashText} from '@gatehead/schema/hash-text';
import {includesSeedMajority} from './order-quorum.js';

/** Time for which an unreachable host is counted, in milliseconds; limited because hosts replaced under new names would otherwise reduce the fractions permanently. */
const lostMs = 600_000;
/** Process age at which hosts without a record of an established one may form a fleet without a majority of the seeds, in milliseconds; longer than the longest expected network partition. */
const isolationMs = 60_000;
/** Process age at which the hosts of a first start have exchanged records, in milliseconds. */
const firstStartMs = 500;
const hexadecimal = 16;

type Census = NonNullable<MemberRecord['census']>;

type KnownHost = {
	record: MemberRecord;
	/** Undefined while it is reachable. */
	lostAt: number | undefined;
};

export type FleetCensusOptions = {
	readonly self: string;
	/** Peer addresses that every host is configured with. */
	readonly seeds: readonly string[];
	readonly start: Start;
	readonly startedAt: number;
	/** Time until usage by a previous process has expired, in milliseconds. */
	readonly settleMs: number;
};

/** The census of one process; times are in milliseconds. */
export class FleetCensus {
	readonly #options: FleetCensusOptions;
	#seeds: readonly string[];
	readonly #known = new Map<string, KnownHost>();
	#digest = '';
	#count = 1;
	#formedDigest: string | undefined;
	/** Time from which the fraction may be used; undefined until the host is established. */
	#usableFrom: number | undefined;

	constructor(options: FleetCensusOptions) {
		this.#options = options;
		this.#seeds = options.seeds;
	}

	/** Peer addresses that every host is configured with. */
	get seeds(): readonly string[] {
		return this.#seeds;
	}

	/** Number of hosts that this one counts. */
	get count(): number {
		return this.#count;
	}

	/** Replaces the seeds. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
	}

	/** Applies the current list of members. */
	update(members: readonly MemberRecord[], now: number): void {
		for (const record of members) {
			this.#note(record, now);
		}

		const counted = this.#listCounted(now);
		const digest = digestOf(counted.map(({host}) => host));
		if (digest !== this.#digest) {
			this.#digest = digest;
			this.#count = Math.max(1, counted.length);
		}

		this.#establish(counted, now);
	}

	/** Returns the census for this host's membership record. */
	describe(): Census {
		return {
			digest: this.#digest, isEstablished: this.#usableFrom !== undefined, isFirstStart: this.#options.start === 'first', formedDigest: this.#formedDigest,
		};
	}

	/** Returns the fraction that this host may use, from 0 to 1. */
	fraction(now: number): number {
		return this.#usableFrom !== undefined && now >= this.#usableFrom ? 1 / this.#count : 0;
	}

	#note(record: MemberRecord, now: number): void {
		const known = this.#known.get(record.host);
		if (known === undefined) {
			this.#known.set(record.host, {record, lostAt: record.state === 'dead' ? now : undefined});
			return;
		}

		known.lostAt = record.state === 'dead' ? known.lostAt ?? now : undefined;
		known.record = record;
	}

	#listCounted(now: number): MemberRecord[] {
		const counted: MemberRecord[] = [];
		for (const {record, lostAt} of this.#known.values()) {
			if (lostAt === undefined || now - lostAt < lostMs) {
				counted.push(record);
			}
		}

		return counted;
	}

	/** Makes this host established if all counted hosts have the same digest. */
	#establish(counted: readonly MemberRecord[], now: number): void {
		const {self, start, startedAt, settleMs} = this.#options;
		const others = counted.filter(({host}) => host !== self);
		const isAgreed = others.every(({census}) => census?.digest === this.#digest);
		if (this.#usableFrom !== undefined || !isAgreed) {
			return;
		}

		const established = others.filter(({census}) => census?.isEstablished);
		if (established.length === 0 && !this.#mayForm(counted, now)) {
			return;
		}

		// Founders that counted this host from the beginning never used its fraction, so their usage need not expire
		const isFounder = established.every(({census}) => census?.formedDigest === this.#digest);
		const ownSettledAt = start === 'first' ? startedAt : startedAt + settleMs;
		this.#formedDigest = isFounder ? this.#digest : undefined;
		this.#usableFrom = isFounder ? ownSettledAt : now + settleMs;
	}

	/** Whether no other host can be established. */
	#mayForm(counted: readonly MemberRecord[], now: number): boolean {
		const {self, start, startedAt, settleMs} = this.#options;
		const ageMs = now - startedAt;
		const formingMs: Readonly<Record<Start, number>> = {first: firstStartMs, unknown: settleMs, again: isolationMs};
		if (ageMs >= isolationMs) {
			return true;
		}

		// A restarted seed may belong to a fleet from which this host has no record
		const candidates = counted.filter(({host, census}) => start !== 'first' || host === self || census?.isFirstStart);
		return ageMs >= formingMs[start] && includesSeedMajority(this.#seeds, candidates);
	}
}

function digestOf(hosts: readonly string[]): string {
	const names = hosts.toSorted().join('\n');
	return `${hashText(names).toString(hexadecimal)}-${hashText(`\n${names}`).toString(hexadecimal)}`;
}
